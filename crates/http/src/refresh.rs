//! When the list of endpoints is asked for, how long a watch may wait, and when to ask again after a failure. No I/O:
//! what came of each ask is passed in.
//!
//! Many forwarders share one discovery, and none sees the others. Each alone does no harm; all together, asking in
//! step and asking again in step, keep it overbooked for good. So the pace follows from the fleet's size, which every
//! forwarder is told, and chance takes them out of step (exponential
//! back-off with equal jitter: half of each pause is certain, half is chance).

use rand::{Rng, RngExt};
use std::time::Duration;

/// Together all forwarders of a fleet begin about one watch in this time, whether they start at once or all fail.
const APART: Duration = Duration::from_millis(80);
/// No more than so long is waited for that, however many they are.
const PACE_MOST: Duration = Duration::from_secs(10);
/// Few enough that they need not be kept apart.
const PACE_LEAST: Duration = Duration::from_millis(400);
/// How long a watch waits for news. Short: an agent that has fallen silent shows only when this has passed, and what it
/// had to tell counts as told a few seconds later all the same. A watch that goes on costs discovery nothing.
const WATCH: Duration = Duration::from_secs(2);
/// The first pause after a failure, where few share discovery; doubled with each further failure.
const BACK_OFF: Duration = Duration::from_millis(100);
/// Where many do, it starts at this part of the pace: a first failure is most likely everybody's.
const BACK_OFF_PART: u32 = 4;
/// An answer may be so late and still count. Long: discovery turns away what it can't answer in 2 s, so what it took
/// on comes; an ask that is given up sooner has cost as much, and is asked once more.
const GRACE: Duration = Duration::from_millis(2500);

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
    /// How often one of the fleet may ask, the whole fleet counted.
    pace: Duration,
    chance: R,
}

impl<R: Rng> Refresh<R> {
    /// A forwarder among `senders`, that knows the list as of `index`.
    pub fn new(senders: usize, index: u64, chance: R) -> Self {
        let senders = u32::try_from(senders).unwrap_or(u32::MAX);
        let pace = APART.saturating_mul(senders).min(PACE_MOST);
        Refresh { index: Some(index), failures: 0, pace, chance }
    }

    /// How long to wait with the first ask: what is known at the start was true not long ago, and all of a fleet may
    /// have started at once.
    pub fn first(&mut self) -> Duration {
        let many = self.pace > PACE_LEAST;
        if many { self.pace.mul_f64(self.chance.random_range(0.0..1.0)) } else { Duration::ZERO }
    }

    /// What to ask for next.
    pub fn ask(&self) -> Ask {
        let wait = self.index.map_or(Duration::ZERO, |_| WATCH);
        Ask { index: self.index, wait, lost: wait + GRACE }
    }

    /// The list came, as of this version.
    pub fn answered(&mut self, index: u64) {
        (self.index, self.failures) = (Some(index), 0);
    }

    /// The ask failed; the next is due after this time.
    pub fn failed(&mut self, failure: Failure) -> Duration {
        if failure == Failure::Unusable {
            self.index = None;
        }
        let most = self.pace.max(PACE_LEAST);
        let span =
            BACK_OFF.max(self.pace / BACK_OFF_PART).saturating_mul(1 << self.failures.min(16)).min(most);
        self.failures += 1;
        span.mul_f64(self.chance.random_range(0.5..1.0))
    }

    /// Discovery is to be found elsewhere now: what it told is not known to be what the old one told.
    pub fn moved(&mut self) {
        (self.index, self.failures) = (None, 0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_chacha::ChaCha8Rng;

    fn refresh(senders: usize, seed: u64) -> Refresh<ChaCha8Rng> {
        Refresh::new(senders, 7, ChaCha8Rng::seed_from_u64(seed))
    }

    #[test]
    fn what_is_known_stays_known_while_nothing_shows_it_wrong() {
        let mut r = refresh(100, 1);
        r.failed(Failure::Unheard);
        assert_eq!(r.ask().index, Some(7));
        r.answered(9);
        assert_eq!(r.ask().index, Some(9));
        r.failed(Failure::Unusable);
        assert_eq!(r.ask().index, None);
        r.answered(10);
        r.moved();
        assert_eq!(r.ask().index, None);
    }

    /// What came of a fleet's first twenty seconds: asks that were turned away or came too late, of all; and how many
    /// forwarders heard within 9 s of a change.
    struct Played {
        failed: f64,
        told: usize,
    }

    /// A discovery that can answer one new watch of each forwarder in 5 s, 20 a second at least, and turns away what
    /// would wait for more than 4 s. Who asked is gone after 2 s, but its ask is worked on all the same. Most
    /// forwarders are killed at 5 s and start again in the same tenth of a second.
    fn play<F: FnMut(usize) -> Refresh<ChaCha8Rng>>(senders: usize, mut new: F) -> Played {
        let (step, change) = (Duration::from_millis(10), Duration::from_secs(6));
        let cost = (5.0 / senders as f64).min(1.0 / 20.0);
        let mut fleet: Vec<_> = (0..senders).map(&mut new).collect();
        let mut asks: Vec<_> = fleet.iter_mut().map(|r| Some(r.first())).collect();
        // By forwarder: when its ask fails, and since when it has a watch.
        let (mut fails, mut watching) = (vec![None; senders], vec![None; senders]);
        let (mut busy, mut total, mut failed, mut told) = (0.0_f64, 0, 0, 0);
        let (mut now, mut seen) = (Duration::ZERO, vec![false; senders]);
        while now < Duration::from_secs(20) {
            let at = now.as_secs_f64();
            if now == Duration::from_secs(5) {
                for i in 0..senders * 4 / 5 {
                    fleet[i] = new(i + senders);
                    (asks[i], fails[i], watching[i]) = (Some(now + fleet[i].first()), None, None);
                }
            }
            for (i, r) in fleet.iter_mut().enumerate() {
                if asks[i].is_some_and(|at| at <= now) {
                    (asks[i], total) = (None, total + 1);
                    let late = busy - at;
                    if late <= 4.0 {
                        busy = busy.max(at) + cost;
                    }
                    match late {
                        _ if late > 4.0 => fails[i] = Some(now),
                        _ if late > 2.0 => fails[i] = Some(now + Duration::from_secs(2)),
                        _ => watching[i] = Some(now + Duration::from_secs_f64(late.max(0.0))),
                    }
                }
                if fails[i].is_some_and(|at| at <= now) {
                    (fails[i], failed) = (None, failed + 1);
                    asks[i] = Some(now + r.failed(Failure::Unheard));
                }
                if watching[i].is_some_and(|since| since <= now) {
                    r.answered(8);
                    if now >= change && !seen[i] {
                        seen[i] = true;
                        told += usize::from(now < change + Duration::from_secs(9));
                    }
                }
            }
            now += step;
        }
        Played { failed: f64::from(failed) / f64::from(total), told }
    }

    #[test]
    fn a_fleet_that_starts_at_once_does_not_keep_discovery_overbooked() {
        for senders in [1, 3, 30, 100, 300] {
            for seed in [1, 1000] {
                let Played { failed, told } = play(senders, |i| refresh(senders, seed + i as u64));
                assert!(failed < 0.2, "{senders} forwarders: {failed:.2} of the asks failed");
                assert!(told * 10 >= senders * 9, "{senders} forwarders: {told} were told of a change");
            }
        }
    }

    #[test]
    fn a_forwarder_alone_asks_again_at_once_and_a_fleet_spreads_out() {
        let pauses = |senders| {
            let mut r = refresh(senders, 3);
            (r.first(), (0..8).map(|_| r.failed(Failure::Unheard)).collect::<Vec<_>>())
        };
        assert!(pauses(1).0.is_zero() && pauses(1).1.iter().all(|p| *p <= PACE_LEAST));
        assert!(pauses(100).1[7] > Duration::from_secs(2));
        assert!(pauses(usize::MAX).1.iter().all(|p| *p <= PACE_MOST));
    }
}
