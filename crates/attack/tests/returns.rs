//! Outage and return of a destination: the fault schedules and measurements that CI runs; `attack returns`
//! runs more.

use yarrowhill_attack::{RecoveryMode, measure_return, run_return_schedule};

/// A member that starts during an outage calls the destination only to probe it, even if packets are lost,
/// and the destination is not overloaded after its return.
#[test]
fn only_probes_after_a_restart_and_does_not_overload_a_returning_destination() {
    for seed in 0..100 {
        run_return_schedule(seed).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}

#[test]
fn probes_less_and_returns_no_later_with_coordinated_recovery() {
    let (coordinated, independent) = (
        measure_return(100, RecoveryMode::Coordinated, 1),
        measure_return(100, RecoveryMode::Independent, 1),
    );
    assert!(coordinated.calls_while_down <= 24, "{coordinated}");
    assert!(independent.calls_while_down > 5 * coordinated.calls_while_down, "{independent}");
    let full = |of: &yarrowhill_attack::ReturnStats| of.full_use_secs.unwrap_or(f64::INFINITY);
    assert!(
        coordinated.peak_load < 1.0 && full(&coordinated) <= full(&independent),
        "{coordinated}, {independent}"
    );
}
