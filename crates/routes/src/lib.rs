//! Routing documents decide which endpoints of a partner a message may be sent to, or refuse it for a while.
//!
//! A document is written in KDL, in one file or several fragments. It is accepted only if all of it is valid;
//! otherwise every fault is reported as a [`Diagnostic`] with its location and a remedy.
//! A parsed document is checked (a rule that can never match is a fault) and compiled to an index; the first
//! matching rule decides. This package does no I/O and reads no clock: texts and the time of day are passed
//! in. The policy module still chooses the endpoint among those that a rule allows.
//!
//! ```
//! use yarrowhill_routes::{Message, Router, parse};
//! let text = r#"
//! partner "issuer-a" dest=7 {
//!     pool "near" zone="hall-a"
//! }
//! rule "night" {
//!     match class="settle-order" partner="issuer-a" hours="22:00-06:00"
//!     refuse wait="30m"
//! }
//! "#;
//! let routes = parse(&[("routes.kdl".into(), text.into())]).expect("the document is valid");
//! let router = Router::new(routes);
//! let message = Message { class: "settle-order", dest: 7, minute: 23 * 60, ..Message::default() };
//! assert_eq!(router.route(&message).map(|rule| &*rule.name), Some("night"));
//! ```

mod check;
mod diagnostic;
mod model;
mod parse;
mod prefixes;
mod router;

pub use diagnostic::{Diagnostic, Location};
pub use model::{
    Action, AddressSet, Affinity, Condition, Hours, Message, Partner, Pool, Routes, Rule, WeightedPool,
};
pub use parse::{MAX_FILE_BYTES, MAX_RULES, parse};
pub use prefixes::PrefixSet;
pub use router::Router;
