//! Membership of an address in a set of prefixes, in steps by bit: what it costs does not grow with the set.

use ipnet::IpNet;
use std::net::IpAddr;

#[derive(Clone, Copy, Debug, Default)]
struct Node {
    /// 0: none; the roots are nobody's children.
    children: [u32; 2],
    /// A prefix ends here: all below is in the set.
    ends: bool,
}

/// A set of prefixes of both families.
///
/// ```
/// let set: yarrowhill_routes::PrefixSet = ["10.0.0.0/8".parse().unwrap()].into_iter().collect();
/// assert!(set.contains("10.1.2.3".parse().unwrap()) && !set.contains("::1".parse().unwrap()));
/// ```
#[derive(Clone, Debug)]
pub struct PrefixSet(Vec<Node>);

/// Bits from the highest, and which root they start from.
fn bits(address: IpAddr) -> (usize, u128) {
    match address.to_canonical() {
        IpAddr::V4(v4) => (0, u128::from(u32::from(v4)) << 96),
        IpAddr::V6(v6) => (1, u128::from(v6)),
    }
}

impl PrefixSet {
    /// Whether a prefix of the set holds the address. One of the fourth version that is written in the sixth is the same.
    pub fn contains(&self, address: IpAddr) -> bool {
        let (mut node, mut bits) = bits(address);
        loop {
            let here = self.0[node];
            let next = here.children[(bits >> 127) as usize] as usize;
            if here.ends || next == 0 {
                return here.ends;
            }
            (node, bits) = (next, bits << 1);
        }
    }

    fn insert(&mut self, net: IpNet) {
        let (mut node, mut bits) = bits(net.network());
        for _ in 0..net.prefix_len() {
            if self.0[node].ends {
                return;
            }
            let side = (bits >> 127) as usize;
            if self.0[node].children[side] == 0 {
                self.0[node].children[side] = u32::try_from(self.0.len()).unwrap_or(0);
                self.0.push(Node::default());
            }
            (node, bits) = (self.0[node].children[side] as usize, bits << 1);
        }
        self.0[node] = Node { children: [0, 0], ends: true };
    }
}

impl FromIterator<IpNet> for PrefixSet {
    fn from_iter<I: IntoIterator<Item = IpNet>>(nets: I) -> Self {
        let mut set = PrefixSet(vec![Node::default(); 2]);
        nets.into_iter().for_each(|net| set.insert(net));
        set
    }
}
