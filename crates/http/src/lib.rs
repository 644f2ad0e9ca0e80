//! HTTP/1.1 round the engine, as PROTOCOL describes it: clients' requests in, calls to endpoints out, the list of
//! endpoints, and notices.
//!
//! - `intake`, `head_scanner`: clients' requests
//! - `clients`: their connections, which of them give way where descriptors run short, and how each ends
//! - `observed`: a stream whose bytes are looked at before the parser has them
//! - `connection`: one connection that this program opened, and that never resends
//! - `calls`, `pool`: calls and their outcomes; the engine's transport
//! - `discovery`, `notices`: the platform; `schedule`: when to ask it for the list
//!
//! What anybody may send is bounded: heads, bodies, answers, lists, and the time that each may take.

mod calls;
mod clients;
mod connection;
pub mod discovery;
mod head_scanner;
mod intake;
pub mod notices;
mod observed;
mod pool;
mod schedule;

pub use clients::serve;
pub use intake::Intake;
pub use pool::Pool;
