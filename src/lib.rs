#![doc = include_str!("../README.md")]

pub mod api;
mod logic;
mod parts;
pub mod wire;

pub use logic::Balancer;
