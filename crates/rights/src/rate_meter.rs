//! Measures demand with an exponentially decaying counter.

use crate::durations::Micros;

/// Rate of recent calls; their weight halves in each `half_life` (microseconds).
#[derive(Clone, Debug)]
pub struct RateMeter {
    half_life: f64,
    count: f64,
    at: Micros,
}

impl RateMeter {
    /// Returns a meter that has recorded nothing.
    pub fn new(now: Micros, half_life: Micros) -> Self {
        RateMeter { half_life: (half_life as f64).max(1.0), count: 0.0, at: now }
    }

    fn decayed(&self, now: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / self.half_life).exp2()
    }

    /// Records a call.
    pub fn record(&mut self, now: Micros) {
        self.count = self.decayed(now) + 1.0;
        self.at = self.at.max(now);
    }

    /// Returns an estimate of the rate of calls (calls per second).
    pub fn rate(&self, now: Micros) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 * 1e6 / self.half_life
    }
}

#[cfg(test)]
mod tests;
