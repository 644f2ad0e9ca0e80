//! The decision module: which endpoint a message goes to, whether it is retried, and what is refused.
//!
//! A [`Balancer`] makes the decisions of one sender. It does no I/O and reads no clock: a host submits
//! [`api::Event`]s with the current time (microseconds on any clock of its own) and carries out the
//! [`api::Action`]s that come back.
//!
//! ```
//! use yarrowhill_policy::Balancer;
//! use yarrowhill_policy::api::*;
//!
//! let class = Class {
//!     effect: Effect::Unsafe,
//!     target_latency: 3_000_000,
//!     deadline: 16_000_000,
//!     value: 1.0,
//!     deadline_value_share: 0.3,
//!     ordered: false,
//! };
//! let kinds = vec![DestKind { independent_endpoints: false, max_batch: 1 }];
//! let settings = Settings { classes: vec![class], kinds, ..Settings::default() };
//! let mut sender = Balancer::new(settings, 7);
//! let mut actions = Vec::new();
//! let entry = EndpointEntry {
//!     endpoint: 4,
//!     dest: 1,
//!     zone: 0,
//!     kind: 0,
//!     listing: Listing::Serving,
//!     weight: 0.0,
//! };
//! sender.on_event(0, Event::FullList(vec![entry]), &mut actions);
//! let message = SubmittedMessage {
//!     id: 0,
//!     class: 0,
//!     tenant: None,
//!     key: None,
//!     expires_at: 16_000_000,
//!     dest: 1,
//!     history: MessageHistory::default(),
//! };
//! sender.on_event(0, Event::Submit(message), &mut actions);
//! sender.on_event(0, Event::TurnEnd, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 0, endpoint: 4, .. })));
//! ```

pub mod api;
mod balancer;
mod numeric;

pub use balancer::Balancer;
