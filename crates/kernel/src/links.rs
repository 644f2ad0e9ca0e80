//! What the network does to a packet.

use crate::fleet::Micros;
use rand::{Rng, RngExt};
use std::collections::HashMap;

/// One direction between two members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// The share of packets that are lost (0 to 1).
    pub loss: f64,
    /// The share that comes twice.
    pub duplication: f64,
    /// The least time on the way (microseconds),
    pub delay: Micros,
    /// and what chance adds in the mean: exponential, so that packets overtake each other.
    pub jitter: Micros,
    /// Nothing comes through.
    pub cut: bool,
}

impl Default for Link {
    /// One machine room: half a millisecond.
    fn default() -> Self {
        Link { loss: 0.0, duplication: 0.0, delay: 300, jitter: 200, cut: false }
    }
}

impl Link {
    /// When a packet that is sent now comes, once or more often, or not at all.
    pub fn delivery_times(&self, now: Micros, rng: &mut impl Rng) -> Vec<Micros> {
        if self.cut || rng.random_bool(self.loss.clamp(0.0, 1.0)) {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.random_bool(self.duplication.clamp(0.0, 1.0)));
        let mut way = || {
            let chance = -rng.random::<f64>().max(1e-12).ln();
            now + self.delay + (self.jitter as f64 * chance) as Micros
        };
        (0..copies).map(|_| way()).collect()
    }
}

/// All directions: one law, and those that differ from it.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// What holds where nothing else is said.
    pub default: Link,
    own: HashMap<(usize, usize), Link>,
}

impl Links {
    /// One law everywhere.
    pub fn uniform(link: Link) -> Self {
        Links { default: link, own: HashMap::new() }
    }

    /// The link from one member to another.
    pub fn get(&self, from: usize, to: usize) -> Link {
        self.own.get(&(from, to)).copied().unwrap_or(self.default)
    }

    /// Another law for one direction.
    pub fn set(&mut self, from: usize, to: usize, link: Link) {
        self.own.insert((from, to), link);
    }

    /// Cuts one direction, or mends it.
    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        let link = Link { cut, ..self.get(from, to) };
        self.set(from, to, link);
    }

    /// Cuts members into islands: nothing passes between two members of different numbers.
    pub fn partition(&mut self, island_of: &[usize]) {
        for from in 0..island_of.len() {
            for to in 0..island_of.len() {
                self.set_cut(from, to, island_of[from] != island_of[to]);
            }
        }
    }

    /// Everything by the one law again.
    pub fn heal(&mut self) {
        self.own.clear();
    }
}
