//! From a right to single calls.

use crate::CALL;
use crate::durations::Micros;

/// One whole call, in millionths of a call.
const WHOLE: u64 = 1_000_000;

/// Fills by the right that holds at each moment, and gives a call for each whole that it holds. It holds one call and a
/// tenth of a second of the right at most: so over any span `w` a member calls at most its right times `w` and
/// that, and a fleet at most its limit times `w` and a tenth of a second, and one call a member.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    held: u64,
    filled: Micros,
    right: u64,
}

impl TokenBucket {
    /// An empty one: a start brings no calls.
    pub fn new(now: Micros) -> Self {
        TokenBucket { held: 0, filled: now, right: 0 }
    }

    /// Fills by the right that held since the last look, or the one that holds now if that is less: a right that ran out
    /// while nobody looked has filled nothing since.
    pub fn refill(&mut self, now: Micros, right: u64) {
        let span = now.saturating_sub(self.filled);
        let by = self.right.min(right);
        let gained = u128::from(by) * u128::from(span) / u128::from(CALL);
        let most = WHOLE + right / 10;
        self.held = self.held.saturating_add(u64::try_from(gained).unwrap_or(u64::MAX)).min(most);
        (self.filled, self.right) = (self.filled.max(now), right);
    }

    /// Whether there is a call to take.
    pub fn has_token(&self) -> bool {
        self.held >= WHOLE
    }

    /// Takes a call if there is one.
    pub fn take(&mut self) -> bool {
        let there = self.has_token();
        if there {
            self.held -= WHOLE;
        }
        there
    }

    /// When there will be one if the right stays, for one that looked just now.
    pub fn next_token_at(&self) -> Option<Micros> {
        let lacks = WHOLE.saturating_sub(self.held);
        (self.right > 0).then(|| {
            let span = u128::from(lacks) * u128::from(CALL) / u128::from(self.right);
            self.filled.saturating_add(u64::try_from(span).unwrap_or(u64::MAX) + 1)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_follow_the_right() {
        let mut tokens = TokenBucket::new(0);
        let mut calls = 0;
        for now in (0..10_000_000).step_by(10_000) {
            tokens.refill(now, 7 * CALL);
            while tokens.take() {
                calls += 1;
            }
        }
        assert!((68..=70).contains(&calls), "{calls}");
        // Less than one call in two minutes: in the end there is one.
        let mut slow = TokenBucket::new(0);
        slow.refill(0, CALL / 150);
        assert!(slow.next_token_at().is_some_and(|at| (149_000_000..151_000_000).contains(&at)));
        slow.refill(100_000_000, CALL / 150);
        assert!(!slow.take());
        slow.refill(151_000_000, CALL / 150);
        assert!(slow.take() && !slow.take());
    }

    #[test]
    fn a_right_that_ran_out_unseen_fills_nothing() {
        let mut tokens = TokenBucket::new(0);
        tokens.refill(0, 100 * CALL);
        // Stopped for a minute; its right is gone.
        tokens.refill(60_000_000, 0);
        assert!(!tokens.take());
    }
}
