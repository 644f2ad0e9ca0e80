//! Stand-ins for everything round a forwarder: endpoints, discovery and clients, on loopback, each writing down
//! in one [`Ledger`] what reached it and what it answered. They are written from PROTOCOL, and share no code with
//! the forwarder.
//!
//! - `rng`, `ledger`, `wire`: chance by a seed, the common ledger, HTTP/1.1 as bytes
//! - `endpoint`: a destination's endpoint, with whatever faults it is told to have
//! - `discovery`: the platform's agent: list, watches, notices
//! - `client`: clients that wait, leave and come again
//! - `process`: the program under test, as a process of its own

mod client;
mod config;
mod discovery;
mod endpoint;
mod ledger;
mod process;
mod rng;
mod wire;

pub use client::{ClientOptions, Message, Session, submit};
pub use config::{Class, ConfigParams, Resources, configuration, free_address};
pub use discovery::{Discovery, EndpointLine};
pub use endpoint::{Destination, Endpoint, Faults, Malformed};
pub use ledger::Ledger;
pub use process::{Process, Setup, is_ready};
pub use rng::Rng;
