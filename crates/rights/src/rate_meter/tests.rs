//! Tests of `rate_meter`.

use super::*;

#[test]
fn estimates_the_rate_and_decays_without_calls() {
    let mut meter = RateMeter::new(0, 500_000);
    (0..200).for_each(|n| meter.record(n * 25_000));
    let rate = meter.rate(199 * 25_000);
    assert!((38.0..43.0).contains(&rate), "{rate}");
    assert!(meter.rate(199 * 25_000 + 5_000_000) < 0.1);
}
