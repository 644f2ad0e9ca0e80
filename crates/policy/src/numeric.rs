//! Parts without a decision: a count that fades, and chance.

use crate::api::Micros;

/// A part of 1 by chance; the same seed gives the same parts.
pub(crate) fn chance(seed: &mut u64) -> f64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    (*seed >> 11) as f64 / (1u64 << 53) as f64
}

/// A count that fades with time.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading(f64, Micros);

impl Fading {
    /// What is left of it, where it falls by e in each span.
    pub(crate) fn get(&self, now: Micros, span: f64) -> f64 {
        self.0 * (-((now - self.1) as f64) / span).exp()
    }

    /// Counts one more.
    pub(crate) fn add(&mut self, now: Micros, span: f64) {
        *self = Fading(self.get(now, span) + 1.0, now);
    }
}
