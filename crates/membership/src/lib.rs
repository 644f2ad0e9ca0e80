//! Membership of a fleet: which members are present, and what this process may do with that knowledge. The
//! package does no I/O and reads no clock or random source: time, packets and a seed are its input; packets,
//! timers and events its output. So whole fleets run in virtual time, and every run is reproducible.
//! `docs/design-membership.md` compares the design options.
//!
//! - `id`, `record`, `identity`: identifiers; the order of records; the incarnation under which this process
//!   sends
//! - `roster`: the configured members, and the steps in which they change
//! - `members`, `detector`: the known state of each member; probes, suspicion and local health
//! - `view`, `support`, `state`: the stable view; the voters' support that makes a single view act; what this
//!   process may do
//! - `packet`, `core`: the packets, and the state machine of a member
//!
//! ```
//! use yarrowhill_membership::*;
//! let member = |name: &str| MemberConfig { name: name.into(), zone: "a".into(), votes: None };
//! let roster = Roster::new(1, vec![member("n0")]).unwrap();
//! let timing = Timing::from_period(1_000_000);
//! let mut membership = Membership::new(0, roster, "n0", 1, InstanceId(7), timing, 1).unwrap();
//! let mut now = 0;
//! while membership.state(now) != MembershipState::Complete {
//!     now = membership.next_wake();
//!     membership.tick(now);
//! }
//! // It has waited until promises of an earlier process under its name must have expired.
//! assert!(now >= 3_000_000 && now < 5_000_000, "{now}");
//! // After a stop of one minute it may not hold a duty, even before it handles any input.
//! assert!(!membership.permits(now + 60_000_000).hold_duty);
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
