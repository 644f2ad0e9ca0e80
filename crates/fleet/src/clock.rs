//! The clock that membership, leases and limits run on.

use rustix::time::{ClockId, clock_gettime};
use yarrowhill_membership::Micros;

/// Returns the microseconds since the machine booted, from `CLOCK_BOOTTIME`: it never steps, and advances
/// while the process is stopped and while the machine is suspended. `CLOCK_MONOTONIC` stands still during
/// suspend, and the wall clock can step.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds.saturating_mul(1_000_000) + u64::try_from(time.tv_nsec).unwrap_or(0) / 1000
}
