//! Attacks the packages without I/O, clocks and chance: seeded schedules in virtual time, and every way that a small
//! world can go. The third attack, on processes, is the rig's.
//!
//! - `member`: a member of a fleet in the kernel's virtual time, with its folder
//! - `schedule`: a seed's faults, and what must hold under them
//! - `worlds`: small worlds of the parts that safety rests on
//! - `rights`: rights over a fleet: a small world, schedules, figures
//! - `returns`: a partner of all that is down and comes back cold
//! - `duties`: duties over a fleet: a small world, schedules, figures
//! - `measure`: figures over many members
//! - `shares`: what members make of a limit that they divide by who is there

mod duties;
mod measure;
mod member;
mod returns;
mod rights;
mod schedule;
mod shares;
mod worlds;

pub use duties::{DutyFigures, DutyStep, DutyWorld, Ending, measure_duties, play_duties};
pub use measure::{Figures, Plain, measure, measure_replaced, plain};
pub use member::{Folder, Msg, Seated, World, size};
pub use returns::{ReturnFigures, Way, measure_return, play_return};
pub use rights::{Even, RightsFigures, RightsWorld, measure_rights, play_rights};
pub use schedule::{Breach, Fault, Schedule, play};
pub use shares::{ShareFigures, measure_shares};
pub use worlds::{IdentityWorld, SupportWorld};
