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
mod tests;
