//! Numeric helpers that make no decisions: a decaying counter and a pseudo-random number generator.

use crate::api::Micros;

/// Returns a pseudo-random number from 0 up to but not including 1, from an xorshift generator; the same seed
/// gives the same sequence.
pub(crate) fn random_unit(seed: &mut u64) -> f64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    (*seed >> 11) as f64 / (1u64 << 53) as f64
}

/// A counter that decays exponentially with time.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingCounter {
    count: f64,
    updated_at: Micros,
}

impl DecayingCounter {
    /// Returns the remaining count, which falls by a factor of e in each `time_constant` (microseconds).
    pub(crate) fn value(&self, now: Micros, time_constant: f64) -> f64 {
        self.count * (-((now - self.updated_at) as f64) / time_constant).exp()
    }

    /// Adds one to the remaining count.
    pub(crate) fn add(&mut self, now: Micros, time_constant: f64) {
        *self = DecayingCounter { count: self.value(now, time_constant) + 1.0, updated_at: now };
    }
}
