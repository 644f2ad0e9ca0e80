//! One destination that all senders share: a limit that refused calls use up, few connections, outages, and the
//! cold time after one, judged as the operators do.

use std::collections::BTreeMap;
use yarrowhill_policy::api::*;

use crate::{MS, SEC};

/// Share of its capacity that it has right after an outage, and when it has all of it again.
pub const START: f64 = 0.17;
pub const WARM: Micros = 13 * SEC;
/// Sent more than this multiple of what it can do for so long, it falls over.
pub const FALL_MULTIPLE: f64 = 2.0;
pub const FALL_FOR: Micros = 3 * SEC;
/// How far its capacity is over its limit.
const SPARE: f64 = 1.3;

/// How it is down.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Down {
    /// Connections are refused.
    #[default]
    Refuses,
    /// Calls get no answer.
    Hangs,
    /// Calls are answered with an error.
    Errs,
    /// Calls are turned away.
    Shuts,
}

pub struct Destination {
    pub rate: f64,
    depth: f64,
    level: f64,
    at: Micros,
    /// What answers tell is left: refreshed now and then.
    left: (f64, Micros),
    /// Down from then, up again then.
    pub outage: Option<(Micros, Micros)>,
    pub down: Down,
    /// It never turns a call away while it is cold: nothing shows that it is.
    pub mute: bool,
    /// When each idle or busy connection was last used, by sender; and how many there may be.
    connections: BTreeMap<usize, Micros>,
    pub most_connections: usize,
    idle_timeout: Micros,
    /// Calls that came after the outage, and whether their sender had seen it.
    pushed: Vec<(Micros, bool)>,
    pub connects_refused: usize,
}

impl Destination {
    pub fn new(rate: f64, now: Micros, idle_timeout: Micros) -> Self {
        Destination {
            rate,
            depth: rate * 0.6,
            level: rate * 0.6,
            at: now,
            left: (1.0, now),
            outage: None,
            down: Down::default(),
            mute: false,
            connections: BTreeMap::new(),
            most_connections: usize::MAX,
            idle_timeout,
            pushed: Vec::new(),
            connects_refused: 0,
        }
    }

    fn is_down(&self, now: Micros) -> bool {
        self.outage.is_some_and(|(from, until)| (from..until).contains(&now))
    }

    /// What it can do now (calls a second).
    fn capacity(&self, now: Micros) -> f64 {
        let whole = self.rate * SPARE;
        let Some((_, until)) = self.outage.filter(|(_, until)| now >= *until) else { return whole };
        whole * (START + (1.0 - START) * ((now - until) as f64 / WARM as f64).min(1.0))
    }

    /// Takes a call from a sender; `saw` if that has seen the outage. Gives its outcome and what the answer tells.
    pub fn call(&mut self, now: Micros, sender: usize, saw: bool) -> (Outcome, Option<LimitReport>) {
        if self.is_down(now) {
            let outcome = match self.down {
                Down::Refuses => Outcome::ConnectFailed,
                Down::Hangs => Outcome::TimedOut,
                Down::Errs => Outcome::Error,
                Down::Shuts => Outcome::Full { wait: None },
            };
            self.connections.clear();
            return (outcome, None);
        }
        let idle_timeout = self.idle_timeout;
        self.connections.retain(|_, used| now - *used < idle_timeout);
        if !self.connections.contains_key(&sender) && self.connections.len() >= self.most_connections {
            self.connects_refused += 1;
            return (Outcome::ConnectFailed, None);
        }
        self.connections.insert(sender, now);
        let cold = self.outage.is_some_and(|(_, until)| (until..until + WARM).contains(&now));
        if cold {
            self.pushed.push((now, saw));
        }
        let takes = self.rate.min(self.capacity(now));
        self.level = (self.level + takes * (now - self.at) as f64 / SEC as f64).min(self.depth);
        self.at = now;
        if now - self.left.1 > 300 * MS {
            self.left = ((self.level / self.depth).clamp(0.0, 1.0), now);
        }
        let taken = self.level >= 1.0 || self.mute;
        // A debt of one depth is the most that is remembered.
        self.level = (self.level - 1.0).max(-self.depth);
        let outcome = if taken { Outcome::Delivered } else { Outcome::Full { wait: None } };
        (outcome, Some(LimitReport { limit: Some(self.rate), remaining: Some(self.left.0) }))
    }

    pub fn close(&mut self, sender: usize) {
        self.connections.remove(&sender);
    }

    /// The most that came in any span after the outage, as a part of what makes it fall over; and of those spans that
    /// do, the greatest share that came from senders which had seen the outage.
    pub fn push(&self) -> (f64, f64) {
        let (mut most, mut culpable) = (0.0f64, 0.0f64);
        for (i, (from, _)) in self.pushed.iter().enumerate() {
            let span: Vec<_> = self.pushed[i..].iter().take_while(|(at, _)| at - from < FALL_FOR).collect();
            let bears = FALL_MULTIPLE * self.capacity(from + FALL_FOR / 2) * FALL_FOR as f64 / SEC as f64;
            let part = span.len() as f64 / bears;
            most = most.max(part);
            if part > 1.0 {
                let saw = span.iter().filter(|(_, saw)| *saw).count();
                culpable = culpable.max(saw as f64 / span.len() as f64);
            }
        }
        (most, culpable)
    }

    /// How many calls beyond its budget and what is put down to chance came in the worst span while it was cold: of
    /// those spans of which over two thirds came from senders that had seen the outage, and of all. Of a budget of N
    /// calls, 2 sqrt(N) + 2 more are chance.
    pub fn excess(&self) -> (f64, f64) {
        let (mut culpable, mut most) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        for (i, (from, _)) in self.pushed.iter().enumerate() {
            let budget = FALL_MULTIPLE * self.capacity(from + FALL_FOR / 2) * FALL_FOR as f64 / SEC as f64;
            let (mut came, mut saw) = (0.0, 0.0);
            for (_, told) in self.pushed[i..].iter().take_while(|(at, _)| at - from < FALL_FOR) {
                came += 1.0;
                saw += f64::from(u8::from(*told));
            }
            let over = came - (budget + 2.0 * budget.sqrt() + 2.0);
            most = most.max(over);
            if saw > came * 2.0 / 3.0 {
                culpable = culpable.max(over);
            }
        }
        (culpable, most)
    }
}
