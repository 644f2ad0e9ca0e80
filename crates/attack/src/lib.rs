//! Tests the deterministic packages (no I/O, no system clock, no ambient randomness) in two ways: seeded
//! fault schedules in virtual time, and state-space search of small models. Fault injection on real processes
//! is done by the rig.
//!
//! - `member`: a simulated membership fleet with the members' state folders
//! - `schedule`: seeded fault schedules for membership, and the properties checked under them
//! - `worlds`: small models of the parts of membership that safety depends on
//! - `rights`: shared limits: a small model, seeded schedules, measurements
//! - `returns`: outage and cold return of a destination that all members call: seeded schedules, measurements
//! - `duties`: duties: a small model, seeded schedules, measurements
//! - `measure`: failure detection measured on large fleets
//! - `shares`: use of a limit that is divided by the number of live members

mod duties;
mod measure;
mod member;
mod returns;
mod rights;
mod schedule;
mod shares;
mod worlds;

pub use duties::{DutyStats, DutyStep, DutyWorld, TermEnd, measure_duties, run_duties_schedule};
pub use measure::{
    DetectionStats, HeartbeatMember, measure_detection, measure_heartbeats, measure_replacement,
};
pub use member::{Message, SimulatedMember, Simulation, StateFolder, size};
pub use returns::{RecoveryMode, ReturnStats, measure_return, run_return_schedule};
pub use rights::{LimitDivision, RightsStats, RightsWorld, measure_rights, run_rights_schedule};
pub use schedule::{Fault, Schedule, Violation, run_schedule};
pub use shares::{ShareStats, measure_shares};
pub use worlds::{IdentityWorld, SupportWorld};
