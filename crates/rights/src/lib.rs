//! A limit shared by a fleet and divided into rights, as in escrow and bounded-counter schemes. Each member
//! owns an equal part, its floor. It lends what it does not need to a coordinator, which grants it to members
//! that need more. All loans and grants are leases that expire by time. No I/O, no clock: times are passed
//! in, and messages are returned as values. `docs/design-rights.md` weighs the options.
//!
//! **Theorem.** At every instant the rights usable by all members together are at most the sum of their
//! floors: under any interleaving of loss, delay, duplication, reordering, partition, process stops and
//! restarts with any state folder, and with any number of coordinators that do not know of each other.
//!
//! **Proof sketch.** A member uses its floor less all loans that have not expired. A loan expires for the
//! lender (`loan_max` of [`LeaseDurations`] after it answered) later than for the coordinator (`loan` after
//! it asked, which was before the answer). A coordinator counts only loans made to itself. It grants no more
//! than it holds in loans that last longer than the grant, and counts each grant for `grant_max` after it
//! answered, and so for longer than the borrower does (`grant` after it asked). So each unit that a borrower
//! uses at an instant is one that some lender does not use. A member that restarts has lost its record of
//! loans: it uses nothing of its floor for `loan_max`. A coordinator that restarts has lost its record of
//! grants made from loans that still last: it grants nothing for `grant_max`. No state needs to be on disk.
//!
//! **Assumptions.** Clock rates are correct within `drift`, on clocks that also count time in which the
//! process is stopped; at most one process runs under a name. Rights are fractions of a limit
//! ([`SharedLimits`]): a limit that is lowered binds each member as soon as it learns of it, and the bound is
//! the largest limit that any member still uses. Members that use rosters of different sizes have floors
//! whose sum may exceed the limit by the part by which the sizes differ.
//!
//! - `durations`: durations of leases
//! - `holder`: a member's side of a limit
//! - `coordinator`: collects loans and makes grants
//! - `water_fill`: how a pool is divided between requests
//! - `token_bucket`: turns a right into single calls
//! - `rate_meter`: measures demand
//! - `shared_limits`: all limits of one member, and whether a call may begin
//!
//! ```
//! use yarrowhill_rights::*;
//! let durations = LeaseDurations::new(1_000_000, 0.01);
//! // Two members share a limit of 10 calls per second. Both have long been up; the first is the coordinator.
//! let floor = 5 * CALL;
//! let (mut coordinator, mut busy) = (Coordinator::new(0, durations), Holder::new(0, durations, floor));
//! let mut idle = Holder::new(0, durations, floor);
//! let mut now = 10_000_000;
//! for _ in 0..3 {
//!     now += 200_000;
//!     let asked_at = coordinator.ask_time(now);
//!     let request = idle.request(now, 1, CALL, Some(asked_at));
//!     coordinator.handle_request(now, 0, &request, durations);
//!     let request = busy.request(now, 1, 12 * CALL, None);
//!     let grant = coordinator.handle_request(now, 1, &request, durations);
//!     busy.apply_grant(now, 1, &grant);
//! }
//! let (a, b) = (idle.right(now), busy.right(now));
//! assert!(b > 8 * CALL && a + b <= 10 * CALL, "{a} {b}");
//! // No further messages arrive: the grant expires, and the loan returns to its lender.
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

/// One call per second in the unit of call rates, which are integers so that sums are exact.
pub const CALL: u64 = 1_000_000;

/// Number of parts that a full limit consists of, where rights are fractions of a limit.
pub const PARTS: u64 = 1_000_000_000_000;
