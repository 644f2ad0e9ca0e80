//! The engine: owns the decision module, its clock, the messages and the journal, and carries out what the
//! module decides. It knows neither HTTP nor any other protocol: servers submit [`Submission`]s, a
//! [`Transport`] makes [`Call`]s, and the watcher of the endpoint list submits [`EndpointList`]s.
//!
//! One task owns the [`Engine`]; everything reaches it as an [`Input`] over one bounded channel. In each turn
//! the engine collects the inputs that have arrived, lets the module decide, and then acts in this order: it
//! answers clients whose messages are refused, writes the turn to the journal, answers clients whose messages
//! are accepted, starts calls and sends notices. No message is answered as accepted, and no attempt is sent,
//! before its record is in the journal.
//!
//! - `message`, `call`, `list`: data that goes in and out
//! - `input`, `transport`: interfaces to the rest of the process; `gate`: permissions checked right before
//!   an action
//! - `shards`, `capacity`, `quota_shares`: several engines in one process, and the limits that they share
//! - `clock`, `endpoints`: parts of the engine
//! - `engine`: the turn
//! - `run`: turns on a tokio runtime, from start to graceful shutdown

mod call;
mod capacity;
mod clock;
mod endpoints;
mod engine;
mod gate;
mod input;
mod list;
mod list_confirmation;
mod message;
mod quota_shares;
mod run;
mod shards;
mod transport;

pub use call::{AttemptEnd, Call, CallCommand, CallUpdate, Item};
pub use capacity::CapacityPool;
pub use clock::unix_now_ms;
pub use engine::{CLIENT_TIMEOUT, Engine, Options, Shard};
pub use gate::{CallResult, Gate};
pub use input::Input;
pub use list::{EndpointInfo, EndpointList, EndpointState};
pub use message::{Answer, Notice, Submission};
pub use quota_shares::QuotaShares;
pub use run::{Phase, run};
pub use shards::{EngineSenders, distribute_lists, shard_list, shard_of, shard_settings};
pub use transport::Transport;
pub use yarrowhill_journal::{Durability, JournalError, NoticeEnd};
