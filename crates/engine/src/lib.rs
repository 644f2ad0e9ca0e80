//! The engine: owns the decision module, its clock, the messages and the journal, and carries out what the
//! module decides. It knows neither HTTP nor any other protocol: fronts hand in [`Submission`]s, a [`Transport`]
//! makes [`Call`]s, and whoever watches the list of endpoints hands in [`EndpointList`]s.
//!
//! One task owns the [`Engine`]; everything reaches it as an [`Input`] over one bounded channel. It gathers what
//! has come in, lets the module decide, and then does things in this order: answers what was refused at once,
//! writes the turn to the journal, answers what was taken on, starts calls, passes on notices. So nothing is
//! answered or sent that the journal does not hold.
//!
//! - `message`, `call`, `list`: what goes in and out
//! - `input`, `transport`: the two seams; `gate`: what the process may do, asked at the last step
//! - `shards`, `room`, `shares`: several engines side by side, and what they lease from each other
//! - `clock`, `endpoints`: parts of the engine
//! - `engine`: the turn
//! - `run`: turns on a tokio runtime, from the start to a clean end

mod call;
mod capacity;
mod clock;
mod endpoints;
mod engine;
mod gate;
mod input;
mod list;
mod message;
mod quota_shares;
mod run;
mod shards;
mod transport;

pub use call::{AttemptEnd, Call, CallCommand, CallUpdate, Item};
pub use capacity::CapacityPool;
pub use clock::unix_now_ms;
pub use engine::{Engine, Options, Shard};
pub use gate::{CallResult, Gate};
pub use input::Input;
pub use list::{EndpointInfo, EndpointList, EndpointState};
pub use message::{Answer, Notice, Submission};
pub use quota_shares::QuotaShares;
pub use run::{Phase, run};
pub use shards::{EngineSenders, distribute_lists, shard_list, shard_of, shard_settings};
pub use transport::Transport;
pub use yarrowhill_journal::{Durability, JournalError, NoticeEnd};
