//! Simulated network links: loss, duplication, delay and partitions.

use crate::time::Micros;
use rand::{Rng, RngExt};
use std::collections::HashMap;

/// Properties of one direction between two members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Fraction of packets that are lost (0 to 1).
    pub loss: f64,
    /// Fraction of packets that are delivered twice (0 to 1).
    pub duplication: f64,
    /// Minimum delay (microseconds).
    pub delay: Micros,
    /// Mean of the random additional delay (microseconds). It is distributed exponentially, so that packets
    /// are reordered.
    pub jitter: Micros,
    /// Whether all packets are dropped.
    pub cut: bool,
}

impl Default for Link {
    /// Returns a link within a data centre: half a millisecond on average, no loss.
    fn default() -> Self {
        Link { loss: 0.0, duplication: 0.0, delay: 300, jitter: 200, cut: false }
    }
}

impl Link {
    /// Returns the delivery times of a packet that is sent now: none if it is lost, two if it is duplicated.
    pub fn delivery_times(&self, now: Micros, rng: &mut impl Rng) -> Vec<Micros> {
        if self.cut || rng.random_bool(self.loss.clamp(0.0, 1.0)) {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.random_bool(self.duplication.clamp(0.0, 1.0)));
        let mut delivery_time = || {
            let exponential = -rng.random::<f64>().max(1e-12).ln();
            now + self.delay + (self.jitter as f64 * exponential) as Micros
        };
        (0..copies).map(|_| delivery_time()).collect()
    }
}

/// All links of a network: a default, and the links that differ from it.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Link in all directions without an override.
    pub default: Link,
    overrides: HashMap<(usize, usize), Link>,
}

impl Links {
    /// Creates a network with the same link in all directions.
    pub fn uniform(link: Link) -> Self {
        Links { default: link, overrides: HashMap::new() }
    }

    /// Returns the link from one member to another.
    pub fn get(&self, from: usize, to: usize) -> Link {
        self.overrides.get(&(from, to)).copied().unwrap_or(self.default)
    }

    /// Overrides the link in one direction.
    pub fn set(&mut self, from: usize, to: usize, link: Link) {
        self.overrides.insert((from, to), link);
    }

    /// Cuts or restores one direction.
    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        let link = Link { cut, ..self.get(from, to) };
        self.set(from, to, link);
    }

    /// Partitions the network: cuts all links between members with different partition numbers, restores the
    /// others.
    pub fn partition(&mut self, partition_of: &[usize]) {
        for from in 0..partition_of.len() {
            for to in 0..partition_of.len() {
                self.set_cut(from, to, partition_of[from] != partition_of[to]);
            }
        }
    }

    /// Removes all overrides.
    pub fn heal(&mut self) {
        self.overrides.clear();
    }
}
