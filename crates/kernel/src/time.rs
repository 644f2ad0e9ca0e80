//! The unit of time.

/// An instant or a duration in microseconds, on the simulation's clock or on a member's.
pub type Micros = u64;
