//! How much is asked for: a count that fades.

use crate::durations::Micros;

/// Calls a second that were lately asked for, fading by half in each `half` (microseconds).
#[derive(Clone, Debug)]
pub struct RateMeter {
    half: f64,
    count: f64,
    at: Micros,
}

impl RateMeter {
    /// Nothing asked yet.
    pub fn new(now: Micros, half: Micros) -> Self {
        RateMeter { half: (half as f64).max(1.0), count: 0.0, at: now }
    }

    fn faded(&self, now: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / self.half).exp2()
    }

    /// One more was asked for.
    pub fn record(&mut self, now: Micros) {
        self.count = self.faded(now) + 1.0;
        self.at = self.at.max(now);
    }

    /// Calls a second, as far as what was lately asked tells.
    pub fn rate(&self, now: Micros) -> f64 {
        self.faded(now) * std::f64::consts::LN_2 * 1e6 / self.half
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_tells_what_is_asked_and_forgets_it() {
        let mut meter = RateMeter::new(0, 500_000);
        (0..200).for_each(|n| meter.record(n * 25_000));
        let rate = meter.rate(199 * 25_000);
        assert!((38.0..43.0).contains(&rate), "{rate}");
        assert!(meter.rate(199 * 25_000 + 5_000_000) < 0.1);
    }
}
