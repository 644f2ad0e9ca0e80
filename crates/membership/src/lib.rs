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
//! let seat = |name: &str| Seat { name: name.into(), zone: "a".into(), votes: None };
//! let roster = Roster::new(1, vec![seat("n0")]).unwrap();
//! let mut only = Membership::new(0, roster, "n0", 1, Life(7), Timing::of(1_000_000), 1).unwrap();
//! let mut now = 0;
//! while only.standing(now) != Standing::Whole {
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
mod standing;
mod support;
mod view;

pub use core::{Event, Membership, Output, Refused, Timing};
pub use detector::{HELPERS, LocalHealth, Suspicion};
pub use id::{Incarnation, Life, MemberId, Micros, ViewId};
pub use identity::{Identity, OwnNews};
pub use members::{Entry, Learnt, Members};
pub use packet::{Body, Header, Packet, UPDATES_MOST, Update, Whole};
pub use record::{Health, Record};
pub use roster::{MEMBERS_MOST, Roster, RosterError, RosterRef, Seat, VOTERS};
pub use standing::{Evidence, Permits, Share, Standing, permits, standing};
pub use support::{Lease, Support, Voter};
pub use view::{Present, Settler, View};
