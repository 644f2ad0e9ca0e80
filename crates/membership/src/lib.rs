//! Who of a fleet is there, and what a process may do under what it knows of that. No I/O, no clock, no chance of its
//! own: time, packets and a seed come in, packets, timers and events go out, so that whole fleets run in virtual time
//! and every run can be repeated. `docs/design-membership.md` weighs the options.
//!
//! - `id`, `record`, `identity`: names and lives; which of two words counts; under which incarnation a process speaks
//! - `roster`: who should exist, and by which steps that changes
//! - `members`, `detector`: what is known of each; probes, suspicion, local health
//! - `view`, `support`, `standing`: who is there, in stable steps; what makes a view the only one that acts; what
//!   follows for this process
//! - `packet`, `core`: what is said, and the member that says it
//!
//! ```
//! use yarrowhill_membership::*;
//! let seat = |name: &str| MemberConfig { name: name.into(), zone: "a".into(), votes: None };
//! let roster = Roster::new(1, vec![seat("n0")]).unwrap();
//! let timing = Timing::from_period(1_000_000);
//! let mut only = Membership::new(0, roster, "n0", 1, InstanceId(7), timing, 1).unwrap();
//! let mut now = 0;
//! while only.state(now) != MembershipState::Complete {
//!     now = only.next_wake();
//!     only.tick(now);
//! }
//! // It has waited out what an earlier life of its own may have promised.
//! assert!(now >= 3_000_000 && now < 5_000_000, "{now}");
//! // Stopped for a minute, it may no longer do what one alone may do, before it has looked at anything.
//! assert!(!only.permits(now + 60_000_000).hold_duty);
//! ```

mod core;
mod detector;
mod id;
mod identity;
mod members;
mod packet;
mod record;
mod roster;
mod state;
mod support;
mod view;

pub use core::{Event, Membership, Output, Rejected, Timing};
pub use detector::{INDIRECT_PROBES, LocalHealth, Suspicion};
pub use id::{Incarnation, InstanceId, MemberId, Micros, ViewId};
pub use identity::{Identity, SelfUpdate};
pub use members::{MemberEntry, Members, UpdateOutcome};
pub use packet::{Body, FullState, Header, MAX_UPDATES, Packet, Update};
pub use record::{Health, Record};
pub use roster::{DEFAULT_VOTERS, MAX_MEMBERS, MemberConfig, Roster, RosterError, RosterRef};
pub use state::{Evidence, MembershipState, Permits, Share, membership_state, permits};
pub use support::{Lease, Support, Voter};
pub use view::{PresentBoots, View, ViewStabilizer};
