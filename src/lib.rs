#![doc = include_str!("../README.md")]

pub mod api;
mod logic;
pub mod net;
mod parts;
pub mod wire;

pub use logic::Balancer;
