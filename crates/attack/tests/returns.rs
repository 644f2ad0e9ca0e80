//! Outages and returns under attack, as CI plays it; `attack returns` plays more.

use yarrowhill_attack::{Way, measure_return, play_return};

/// Whoever starts in the midst of an outage calls nobody but as the one that tries, whatever is lost; and nobody is pushed over.
#[test]
fn a_newcomer_calls_nobody_who_is_down_and_none_is_pushed_over() {
    for seed in 0..100 {
        play_return(seed).unwrap_or_else(|breach| panic!("seed {seed}: {breach}"));
    }
}

#[test]
fn one_tries_for_all_and_all_are_back_sooner() {
    let (together, apart) = (measure_return(100, Way::Together, 1), measure_return(100, Way::Apart, 1));
    assert!(together.tried <= 24, "{together}");
    assert!(apart.tried > 5 * together.tried, "{apart}");
    let full = |of: &yarrowhill_attack::ReturnFigures| of.full.unwrap_or(f64::INFINITY);
    assert!(together.pushed < 1.0 && full(&together) <= full(&apart), "{together}, {apart}");
}
