//! The clock of membership.

use rustix::time::{ClockId, clock_gettime};
use yarrowhill_membership::Micros;

/// Microseconds since the machine started. `CLOCK_BOOTTIME`: it never steps, and it goes on while the process is
/// stopped and while the machine sleeps; `CLOCK_MONOTONIC` does not count sleep, and the wall clock steps.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    seconds.saturating_mul(1_000_000) + u64::try_from(time.tv_nsec).unwrap_or(0) / 1000
}
