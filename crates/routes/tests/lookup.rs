//! The index against the plain list, the trie against the plain scan, and splits by weight.

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

fn rule() -> impl Strategy<Value = Condition> {
    let hours = proptest::option::weighted(0.3, (0..1440u16, 1..1440u16));
    let body = proptest::option::weighted(0.3, (0..50u64, 0..50u64));
    let some = |most| proptest::sample::subsequence((0..most).collect::<Vec<usize>>(), 0..=2);
    (names(&["a", "b", "c"]), names(&["o", "p"]), some(4), some(2), hours, body).prop_map(
        |(classes, owners, partners, from, hours, body)| Condition {
            classes,
            owners,
            partners,
            sources: from,
            hours: hours.map(|(from, len)| Hours { from, until: (from + len) % Hours::MINUTES_PER_DAY }),
            body_bytes: body.map(|(least, more)| (least, least + more)),
            headers: Vec::new(),
        },
    )
}

fn routes(rules: Vec<Condition>) -> Routes {
    let partner = |dest| Partner { name: format!("p{dest}"), dest, pools: Vec::new() };
    let set = |net: &str| AddressSet { name: net.into(), networks: vec![net.parse().expect("a prefix")] };
    let rule = |(n, when)| Rule {
        name: format!("r{n}"),
        condition: when,
        action: Action::Refuse(Duration::from_secs(1)),
        location: Location::default(),
    };
    Routes {
        partners: (0..4).map(partner).collect(),
        address_sets: vec![set("10.0.0.0/8"), set("10.0.0.0/31")],
        rules: rules.into_iter().enumerate().map(rule).collect(),
    }
}

proptest! {
    #[test]
    fn the_index_finds_what_the_list_finds(
        rules in proptest::collection::vec(rule(), 0..30),
        asked in proptest::collection::vec((0..4usize, 0..3usize, 0..5u64, 0..100u64, 0..3u8, 0..1440u16), 20)
    ) {
        let router = Router::new(routes(rules));
        for (class, owner, dest, body, last, minute) in asked {
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
    fn the_trie_holds_what_the_prefixes_hold(
        four in proptest::collection::vec((any::<u32>(), 0..=32u8), 0..20),
        six in proptest::collection::vec((any::<u128>(), 0..=128u8), 0..20),
        asked in proptest::collection::vec((any::<u128>(), any::<prop::sample::Index>(), 0..8u32), 50)
    ) {
        let four = four.into_iter().map(|(a, len)| IpNet::new(Ipv4Addr::from(a).into(), len).expect("a prefix"));
        let six = six.into_iter().map(|(a, len)| IpNet::new(Ipv6Addr::from(a).into(), len).expect("a prefix"));
        let nets: Vec<IpNet> = four.chain(six).map(|net| net.trunc()).collect();
        let set: PrefixSet = nets.iter().copied().collect();
        for (chance, near, flip) in asked {
            // Near a prefix, where it matters, or anywhere.
            let address = match nets.get(near.index(nets.len() + 1)).map(IpNet::addr) {
                Some(IpAddr::V4(a)) => IpAddr::from(Ipv4Addr::from(u32::from(a) ^ (chance as u32 >> (4 * flip)))),
                Some(IpAddr::V6(a)) => IpAddr::from(Ipv6Addr::from(u128::from(a) ^ (chance >> (16 * flip)))),
                None => IpAddr::from(Ipv6Addr::from(chance)),
            };
            let address = address.to_canonical();
            prop_assert_eq!(set.contains(address), nets.iter().any(|net| net.contains(&address)), "{}", address);
        }
    }
}

#[test]
fn a_split_keeps_to_its_weights_and_a_new_weight_moves_only_what_it_must() {
    let split = |weights: [u32; 3]| Action::Split {
        affinity: Affinity::Key,
        parts: weights.iter().enumerate().map(|(pool, w)| WeightedPool { pool, weight: *w }).collect(),
    };
    let (before, after) = (split([1, 9, 0]), split([2, 9, 0]));
    let (mut first, mut moved) = (0, 0);
    for n in 0..10_000 {
        let key = format!("key-{n}");
        let (was, is) = (before.select_pool(&key), after.select_pool(&key));
        assert_ne!(is, Some(2), "it has no weight");
        first += usize::from(was == Some(0));
        moved += usize::from(was != is);
        assert!(was == is || is == Some(0), "only to the pool that has more weight now");
    }
    assert!((900..1100).contains(&first), "{first}");
    // From a tenth to two elevenths.
    assert!((700..950).contains(&moved), "{moved}");
}
