//! A limit that a fleet shares, cut into rights: each member has a floor, its even part, and lends what it does not need
//! to a keeper, which grants it to those that need more. Everything is lent and granted under leases in time. No I/O, no
//! clock: moments come in, and messages go out as values. `docs/design-rights.md` weighs the options.
//!
//! **Theorem.** At every instant, what all members may use together is at most the sum of their floors: in any
//! interleaving of loss, delay, copies, reordering, partition, stops, and restarts with any folder, and with any number
//! of keepers that know nothing of each other.
//!
//! **Why.** A member uses its floor less all that it has promised and that has not run out; a promise runs out for the
//! member (`wide` of [`LeaseDurations::lend`] since it answered) after it does for the keeper (`lend` since it asked, which was
//! before). A keeper counts only promises made to itself. It grants no more than it holds in promises that last longer
//! than the grant, counting each grant for `wide` of [`LeaseDurations::grant`] since it answered, and so for longer than the
//! borrower does (`grant` since it asked). So every unit that a borrower uses at an instant is one that some lender
//! does not use. A member that starts has forgotten its promises: it uses nothing of its floor for `wide` of `lend`.
//! A keeper that starts has forgotten what it granted out of promises that still last: it grants nothing for `wide` of
//! `grant`. Nothing has to be on disk.
//!
//! **Assumptions.** Clock rates right within `drift`, on clocks that count stops; one process under a name. Rights are
//! parts of a limit ([`SharedLimits`]): one that falls binds at once whoever knows of it, and the bound is the largest limit that
//! anybody goes by. Members that go by rosters of different sizes have floors whose sum may pass the
//! limit by the part by which the sizes differ.
//!
//! - `spans`: how long what lasts
//! - `holder`: a member's side; `keeper`: who gathers and grants
//! - `plan`: what is granted to whom
//! - `tokens`: from a right to single calls; `meter`: how many are asked for
//! - `sharing`: all limits of one member, in parts of each, and whether a call may begin
//!
//! ```
//! use yarrowhill_rights::*;
//! let spans = LeaseDurations::new(1_000_000, 0.01);
//! // Two members of a limit of 10 calls a second, both up for long; the first keeps.
//! let floor = 5 * CALL;
//! let (mut keeper, mut busy) = (Coordinator::new(0, spans), Holder::new(0, spans, floor));
//! let mut idle = Holder::new(0, spans, floor);
//! let mut now = 10_000_000;
//! for _ in 0..3 {
//!     now += 200_000;
//!     let ask = keeper.ask_time(now);
//!     let want = idle.request(now, 1, CALL, Some(ask));
//!     keeper.handle_request(now, 0, &want, spans);
//!     let want = busy.request(now, 1, 12 * CALL, None);
//!     let grant = keeper.handle_request(now, 1, &want, spans);
//!     busy.apply_grant(now, 1, &grant);
//! }
//! let (a, b) = (idle.right(now), busy.right(now));
//! assert!(b > 8 * CALL && a + b <= 10 * CALL, "{a} {b}");
//! // Nothing is heard any more: what was granted ends, and what was lent comes back.
//! now += 3_000_000;
//! assert_eq!((idle.right(now), busy.right(now)), (floor, floor));
//! ```

mod coordinator;
mod durations;
mod holder;
mod rate_meter;
mod shared_limits;
mod token_bucket;
mod water_fill;

pub use coordinator::Coordinator;
pub use durations::{LeaseDurations, Micros};
pub use holder::{Grant, Holder, Offer, Request};
pub use rate_meter::RateMeter;
pub use shared_limits::{
    Envelope, Limit, LimitStatus, MAX_PAYLOADS, Payload, Refusals, SharedLimits, retry_limit_id,
};
pub use token_bucket::TokenBucket;
pub use water_fill::water_fill;

/// One call a second, in the unit of all rights: whole numbers, so that sums are exact.
pub const CALL: u64 = 1_000_000;

/// The whole of a limit, where rights are parts of it.
pub const PARTS: u64 = 1_000_000_000_000;
