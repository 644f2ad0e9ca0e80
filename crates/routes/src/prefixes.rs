//! Binary trie of IP prefixes. A lookup takes at most one step per address bit, regardless of the size of the
//! set.

use ipnet::IpNet;
use std::net::IpAddr;

#[derive(Clone, Copy, Debug, Default)]
struct Node {
    /// Indices of the child nodes; 0 for none, since the roots are no node's children.
    children: [u32; 2],
    /// Whether a prefix ends here, so that all addresses below are in the set.
    is_prefix: bool,
}

/// A set of IPv4 and IPv6 prefixes.
///
/// ```
/// let set: yarrowhill_routes::PrefixSet = ["10.0.0.0/8".parse().unwrap()].into_iter().collect();
/// assert!(set.contains("10.1.2.3".parse().unwrap()) && !set.contains("::1".parse().unwrap()));
/// ```
#[derive(Clone, Debug)]
pub struct PrefixSet(Vec<Node>);

/// Returns the index of the root for the address family, and the address bits, highest first.
fn root_and_bits(address: IpAddr) -> (usize, u128) {
    match address.to_canonical() {
        IpAddr::V4(v4) => (0, u128::from(u32::from(v4)) << 96),
        IpAddr::V6(v6) => (1, u128::from(v6)),
    }
}

impl PrefixSet {
    /// Returns whether a prefix of the set contains the address. An IPv4-mapped IPv6 address counts as its
    /// IPv4 address.
    pub fn contains(&self, address: IpAddr) -> bool {
        let (mut node, mut bits) = root_and_bits(address);
        loop {
            let current = self.0[node];
            let next = current.children[(bits >> 127) as usize] as usize;
            if current.is_prefix || next == 0 {
                return current.is_prefix;
            }
            (node, bits) = (next, bits << 1);
        }
    }

    fn insert(&mut self, network: IpNet) {
        let (mut node, mut bits) = root_and_bits(network.network());
        for _ in 0..network.prefix_len() {
            if self.0[node].is_prefix {
                return;
            }
            let side = (bits >> 127) as usize;
            if self.0[node].children[side] == 0 {
                self.0[node].children[side] = u32::try_from(self.0.len()).unwrap_or(0);
                self.0.push(Node::default());
            }
            (node, bits) = (self.0[node].children[side] as usize, bits << 1);
        }
        self.0[node] = Node { children: [0, 0], is_prefix: true };
    }
}

impl FromIterator<IpNet> for PrefixSet {
    fn from_iter<I: IntoIterator<Item = IpNet>>(networks: I) -> Self {
        let mut set = PrefixSet(vec![Node::default(); 2]);
        networks.into_iter().for_each(|network| set.insert(network));
        set
    }
}
