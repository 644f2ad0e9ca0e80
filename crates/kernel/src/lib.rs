//! Deterministic simulation of whole fleets in virtual time, and exhaustive search of small models. They test
//! the packages that do no I/O and read no clock or random source. The same seed reproduces the same run.
//!
//! - `links`: loss, duplication, delay and partitions of the network
//! - `fleet`: members with clocks of their own, which stall, die and start again
//! - `search`: breadth-first search of all states of a small model

mod fleet;
mod links;
mod search;
mod time;

pub use fleet::{Clock, Fleet, Member, ProcessFault};
pub use links::{Link, Links};
pub use search::{SearchResult, World, search};
pub use time::Micros;
