//! Stand-ins for everything around a forwarder: endpoints, discovery and clients, on loopback, all of which
//! record in one [`Ledger`] what reached them and what they answered. They are written from the platform's
//! protocol and share no code with the forwarder.
//!
//! - `rng`, `ledger`, `wire`: seeded random numbers, the shared ledger, HTTP/1.1 as bytes
//! - `endpoint`: endpoints of a destination, with the faults they are configured to have
//! - `discovery`: the platform's agent: list, watches, notices
//! - `client`: clients that wait, leave and return
//! - `config`: configurations of the forwarder
//! - `process`: the program under test, as a child process

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
