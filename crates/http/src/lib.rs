//! HTTP/1.1 front and back ends of the engine, as specified in PROTOCOL: requests from clients, calls to
//! endpoints, the endpoint list, and notices.
//!
//! - `intake`: reads client requests and submits them to the engine
//! - `clients`: accepts client connections, evicts idle ones when room runs short, and closes each;
//!   `client_state`: what is known of one
//! - `body`, `body_memory`: reads bodies, within a bound on their memory
//! - `head_scanner`: detects request heads with ambiguous body framing
//! - `observed`: a TCP stream whose bytes an observer sees before the HTTP parser does
//! - `connection`: one outgoing connection that never resends a request; `status_line`: the part of a response
//!   that counts by itself
//! - `calls`, `pool`: calls; the engine's transport; `request`, `response`, `outcomes`: what a call sends, what
//!   comes back, and what that says about its messages; `own_response`, `response_history`: which response
//!   answers a call
//! - `discovery`, `notices`: requests to the platform; `schedule`: when to request the endpoint list; `listed`:
//!   the addresses in it, known to calls before the engine applies it
//! - `attempts`: several attempts at one exchange that are open at the same time
//!
//! All input is bounded: the sizes of heads, bodies, responses and lists, and the time that each may take.

mod attempts;
mod body;
mod body_memory;
mod calls;
mod client_state;
mod clients;
mod connection;
pub mod discovery;
mod gate_handle;
mod head_scanner;
mod idle;
mod intake;
mod listed;
mod log_limit;
pub mod notices;
mod observed;
mod outcomes;
mod own_response;
mod pool;
mod request;
mod response;
mod response_history;
mod schedule;
mod status_line;

pub use clients::serve;
pub use intake::Intake;
pub use listed::ListedAddresses;
pub use pool::Pool;
