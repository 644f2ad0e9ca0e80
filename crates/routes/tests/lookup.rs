//! The rule index against a scan of all rules, the prefix trie against a scan of all prefixes, and weighted
//! splits.

use ipnet::IpNet;
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Duration;
use yarrowhill_routes::{
    Action, AddressSet, Affinity, Condition, Hours, Location, Message, Partner, PrefixSet, Router, Routes,
    Rule, WeightedPool,
};

fn names(of: &'static [&'static str]) -> impl Strategy<Value = Vec<String>> {
    proptest::sample::subsequence(of, 0..=2).prop_map(|names| names.into_iter().map(str::to_owned).collect())
}

fn condition() -> impl Strategy<Value = Condition> {
    let hours = proptest::option::weighted(0.3, (0..1440u16, 1..1440u16));
    let body = proptest::option::weighted(0.3, (0..50u64, 0..50u64));
    let indices = |count| proptest::sample::subsequence((0..count).collect::<Vec<usize>>(), 0..=2);
    (names(&["a", "b", "c"]), names(&["o", "p"]), indices(4), indices(2), hours, body).prop_map(
        |(classes, owners, partners, from, hours, body)| Condition {
            classes,
            owners,
            partners,
            sources: from,
            hours: hours.map(|(from, len)| Hours { from, until: (from + len) % Hours::MINUTES_PER_DAY }),
            body_bytes: body.map(|(min, extra)| (min, min + extra)),
            headers: Vec::new(),
        },
    )
}

fn routes(conditions: Vec<Condition>) -> Routes {
    let partner = |dest| Partner { name: format!("p{dest}"), dest, pools: Vec::new() };
    let set = |network: &str| AddressSet {
        name: network.into(),
        networks: vec![network.parse().expect("a prefix")],
    };
    let rule = |(n, condition)| Rule {
        name: format!("r{n}"),
        condition,
        action: Action::Refuse(Duration::from_secs(1)),
        location: Location::default(),
    };
    Routes {
        partners: (0..4).map(partner).collect(),
        address_sets: vec![set("10.0.0.0/8"), set("10.0.0.0/31")],
        rules: conditions.into_iter().enumerate().map(rule).collect(),
    }
}

proptest! {
    #[test]
    fn the_index_finds_the_same_rule_as_a_scan(
        rules in proptest::collection::vec(condition(), 0..30),
        queries in proptest::collection::vec((0..4usize, 0..3usize, 0..5u64, 0..100u64, 0..3u8, 0..1440u16), 20)
    ) {
        let router = Router::new(routes(rules));
        for (class, owner, dest, body, last, minute) in queries {
            let from = (last < 2).then(|| IpAddr::from([10, 0, 0, last * 2]));
            let message = Message {
                class: ["a", "b", "c", "d"][class],
                owner: [None, Some("o"), Some("q")][owner],
                dest, body_bytes: body, source: from, minute,
                headers: &[],
            };
            let name = |rule: Option<&Rule>| rule.map(|r| r.name.clone());
            prop_assert_eq!(name(router.route(&message)), name(router.route_by_scan(&message)));
        }
    }

    #[test]
    fn the_trie_contains_the_same_addresses_as_its_prefixes(
        four in proptest::collection::vec((any::<u32>(), 0..=32u8), 0..20),
        six in proptest::collection::vec((any::<u128>(), 0..=128u8), 0..20),
        queries in proptest::collection::vec((any::<u128>(), any::<prop::sample::Index>(), 0..8u32), 50)
    ) {
        let four = four.into_iter().map(|(a, len)| IpNet::new(Ipv4Addr::from(a).into(), len).expect("a prefix"));
        let six = six.into_iter().map(|(a, len)| IpNet::new(Ipv6Addr::from(a).into(), len).expect("a prefix"));
        let networks: Vec<IpNet> = four.chain(six).map(|network| network.trunc()).collect();
        let set: PrefixSet = networks.iter().copied().collect();
        for (random, nearby, shift) in queries {
            // Addresses near a prefix, where the outcome depends on single bits, or anywhere.
            let address = match networks.get(nearby.index(networks.len() + 1)).map(IpNet::addr) {
                Some(IpAddr::V4(a)) => IpAddr::from(Ipv4Addr::from(u32::from(a) ^ (random as u32 >> (4 * shift)))),
                Some(IpAddr::V6(a)) => IpAddr::from(Ipv6Addr::from(u128::from(a) ^ (random >> (16 * shift)))),
                None => IpAddr::from(Ipv6Addr::from(random)),
            };
            let address = address.to_canonical();
            let expected = networks.iter().any(|network| network.contains(&address));
            prop_assert_eq!(set.contains(address), expected, "{}", address);
        }
    }
}

#[test]
fn a_split_follows_its_weights_and_a_changed_weight_moves_only_the_keys_it_has_to() {
    let split = |weights: [u32; 3]| Action::Split {
        affinity: Affinity::Key,
        parts: weights.iter().enumerate().map(|(pool, w)| WeightedPool { pool, weight: *w }).collect(),
    };
    let (before, after) = (split([1, 9, 0]), split([2, 9, 0]));
    let (mut first, mut moved) = (0, 0);
    for n in 0..10_000 {
        let key = format!("key-{n}");
        let (old, new) = (before.select_pool(&key), after.select_pool(&key));
        assert_ne!(new, Some(2), "a pool of weight 0 was chosen");
        first += usize::from(old == Some(0));
        moved += usize::from(old != new);
        assert!(old == new || new == Some(0), "a key moved to a pool whose weight did not grow");
    }
    assert!((900..1100).contains(&first), "{first}");
    // The share of pool 0 grows from 1/10 to 2/11.
    assert!((700..950).contains(&moved), "{moved}");
}
