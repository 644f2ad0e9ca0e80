//! When the list of endpoints is asked for, how long a watch may wait, and when to ask again after a failure. No I/O:
//! what came of each ask is passed in.
//!
//! Many forwarders share one discovery, and none sees the others. Each alone does no harm; all together, asking in
//! step and asking again in step, keep it overbooked for good. So the pace follows from the fleet's size, which every
//! forwarder is told, and chance takes them out of step (exponential
//! back-off with equal jitter: half of each pause is certain, half is chance).

use rand::{Rng, RngExt};
use std::time::Duration;

/// What discovery has counts as told this long after it could be reached, whatever became of the calls to it.
#[cfg(test)]
const TOLD: Duration = Duration::from_secs(6);
/// So much time at the most lies between the beginnings of two asks of which the first has failed: what is left of
/// [`TOLD`] then is enough for the answer to the second.
const AGAIN_WITHIN: Duration = Duration::from_millis(3300);
/// Together all forwarders of a fleet begin about one watch in this time, whether they start at once or all fail.
const APART: Duration = Duration::from_millis(80);
/// No more than so long is waited for that, however many they are.
const PACE_MOST: Duration = AGAIN_WITHIN;
/// Few enough that they need not be kept apart.
const PACE_LEAST: Duration = Duration::from_millis(400);
/// How long a watch waits for news. Short: a watch that has fallen silent shows only when this has passed, and what it
/// had to tell counts as told a few seconds later all the same. A watch that goes on costs discovery nothing.
const WATCH: Duration = Duration::from_secs(2);
/// The first pause after a failure, where few share discovery; doubled with each further failure.
const BACK_OFF: Duration = Duration::from_millis(100);
/// Where many do, it starts at this part of the pace: a first failure is most likely everybody's.
const BACK_OFF_PART: u32 = 4;
/// What is had at once, from an agent or by a watch that goes on, is lost when it is so late.
const PROMPT: Duration = Duration::from_secs(1);
/// Where discovery has to be asked, the answer to a new watch may be so late and still count. Long: it turns away what
/// it can't answer in 2 s, so what it took on comes; an ask that is given up sooner has cost as much, and is asked once
/// more.
const BOOKED: Duration = Duration::from_millis(2500);

/// What to ask discovery for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The version that is known; `None` asks for the whole list at once.
    pub index: Option<u64>,
    /// How long discovery may wait for news; zero without an index.
    pub wait: Duration,
    /// When the answer is taken for lost, counted from the ask.
    pub lost: Duration,
}

/// How an ask failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was learnt of the version that is known: no connection, no answer, or turned away for now.
    Unheard,
    /// The version was answered with what can't be used: the next ask is for the whole list.
    Unusable,
}

/// The state of one forwarder's watch.
#[derive(Debug)]
pub struct Refresh<R> {
    index: Option<u64>,
    failures: u32,
    /// The last answer came: the next ask goes on with its watch.
    goes_on: bool,
    /// How often one of the fleet may ask, the whole fleet counted.
    pace: Duration,
    /// How late an answer to a new watch may be.
    patience: Duration,
    chance: R,
}

impl<R: Rng> Refresh<R> {
    /// A forwarder that knows the list as of `index`. `askers` share discovery with it, itself among them; none where
    /// an agent of its own has what is pushed.
    pub fn new(askers: Option<usize>, index: u64, chance: R) -> Self {
        let senders = u32::try_from(askers.unwrap_or(1)).unwrap_or(u32::MAX);
        let pace = APART.saturating_mul(senders).min(PACE_MOST);
        let patience = if askers.is_some() { BOOKED } else { PROMPT };
        Refresh { index: Some(index), failures: 0, goes_on: false, pace, patience, chance }
    }

    /// How long to wait with the first ask: what is known at the start was true not long ago, and all of a fleet may
    /// have started at once.
    pub fn first(&mut self) -> Duration {
        let many = self.pace > PACE_LEAST;
        if many { self.pace.mul_f64(self.chance.random_range(0.0..1.0)) } else { Duration::ZERO }
    }

    /// What to ask for next. A new watch does not wait: what there is by now is wanted at once, and a silent one shows
    /// as early as can be.
    pub fn ask(&self) -> Ask {
        let wait = if self.goes_on { WATCH } else { Duration::ZERO };
        Ask { index: self.index, wait, lost: if self.goes_on { WATCH + PROMPT } else { self.patience } }
    }

    /// The list came, as of this version.
    pub fn answered(&mut self, index: u64) {
        (self.index, self.failures, self.goes_on) = (Some(index), 0, true);
    }

    /// The ask failed after so long; the next is due after this time. By the clock alone, whatever the failure: a fleet
    /// stays out of step, but nobody for longer than [`AGAIN_WITHIN`] allows.
    pub fn failed(&mut self, failure: Failure, took: Duration) -> Duration {
        if failure == Failure::Unusable {
            self.index = None;
        }
        self.goes_on = false;
        let least = self.pace / BACK_OFF_PART;
        let most = self.pace.max(PACE_LEAST).min(AGAIN_WITHIN.saturating_sub(took).max(least));
        let span = BACK_OFF.max(least).saturating_mul(1 << self.failures.min(16)).min(most);
        self.failures += 1;
        span.mul_f64(self.chance.random_range(0.5..1.0))
    }

    /// Discovery is to be found elsewhere now: what it told is not known to be what the old one told.
    pub fn moved(&mut self) {
        (self.index, self.failures, self.goes_on) = (None, 0, false);
    }
}

#[cfg(test)]
mod tests;
