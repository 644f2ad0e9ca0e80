//! Turns a right into single calls.

use crate::CALL;
use crate::durations::Micros;

/// One call, in millionths of a call.
const ONE_CALL: u64 = 1_000_000;

/// A token bucket that fills at the rate of the current right. It holds at most one call and a tenth of a
/// second of the right. So in any window `w` a member makes at most its right times `w` plus that many calls,
/// and a fleet at most its limit times `w`, plus a tenth of a second of the limit, plus one call per member.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    level: u64,
    filled_at: Micros,
    right: u64,
}

impl TokenBucket {
    /// Returns an empty bucket: a restart yields no calls.
    pub fn new(now: Micros) -> Self {
        TokenBucket { level: 0, filled_at: now, right: 0 }
    }

    /// Fills the bucket for the time since the last refill, at the smaller of the right then and the right
    /// now: a right that expired between two refills has added nothing since.
    pub fn refill(&mut self, now: Micros, right: u64) {
        let elapsed = now.saturating_sub(self.filled_at);
        let rate = self.right.min(right);
        let gained = u128::from(rate) * u128::from(elapsed) / u128::from(CALL);
        let max = ONE_CALL + right / 10;
        self.level = self.level.saturating_add(u64::try_from(gained).unwrap_or(u64::MAX)).min(max);
        (self.filled_at, self.right) = (self.filled_at.max(now), right);
    }

    /// Returns whether the bucket holds a call.
    pub fn has_token(&self) -> bool {
        self.level >= ONE_CALL
    }

    /// Takes a call from the bucket and returns whether there was one.
    pub fn take(&mut self) -> bool {
        let available = self.has_token();
        if available {
            self.level -= ONE_CALL;
        }
        available
    }

    /// Returns when the bucket will hold a call if the right stays as at the last refill, or none if the
    /// right is zero.
    pub fn next_token_at(&self) -> Option<Micros> {
        let missing = ONE_CALL.saturating_sub(self.level);
        (self.right > 0).then(|| {
            let wait = u128::from(missing) * u128::from(CALL) / u128::from(self.right);
            self.filled_at.saturating_add(u64::try_from(wait).unwrap_or(u64::MAX) + 1)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn yields_calls_at_the_rate_of_the_right() {
        let mut bucket = TokenBucket::new(0);
        let mut calls = 0;
        for now in (0..10_000_000).step_by(10_000) {
            bucket.refill(now, 7 * CALL);
            while bucket.take() {
                calls += 1;
            }
        }
        assert!((68..=70).contains(&calls), "{calls}");
        // A right of one call in 150 seconds yields that call after 150 seconds.
        let mut slow = TokenBucket::new(0);
        slow.refill(0, CALL / 150);
        assert!(slow.next_token_at().is_some_and(|at| (149_000_000..151_000_000).contains(&at)));
        slow.refill(100_000_000, CALL / 150);
        assert!(!slow.take());
        slow.refill(151_000_000, CALL / 150);
        assert!(slow.take() && !slow.take());
    }

    #[test]
    fn adds_nothing_for_a_right_that_expired_between_refills() {
        let mut bucket = TokenBucket::new(0);
        bucket.refill(0, 100 * CALL);
        // The process was stopped for a minute, in which its right expired.
        bucket.refill(60_000_000, 0);
        assert!(!bucket.take());
    }
}
