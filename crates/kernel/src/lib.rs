//! Whole fleets in virtual time, and small worlds searched through: what the packages without I/O, clocks and chance
//! are attacked with. The same seed plays the same run.
//!
//! - `links`: what the network does to a packet
//! - `fleet`: members with clocks of their own, that stall, die and start again
//! - `search`: every way that a small world can go, breadth first

mod fleet;
mod links;
mod search;

pub use fleet::{Clock, Fleet, Member, Micros, ProcessFault};
pub use links::{Link, Links};
pub use search::{SearchResult, World, search};
