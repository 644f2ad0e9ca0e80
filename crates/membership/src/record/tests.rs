//! Tests of `record`.

use super::*;
use proptest::prelude::*;

fn record() -> impl Strategy<Value = Record> {
    let health = prop_oneof![
        Just(Health::Unknown),
        Just(Health::Alive),
        Just(Health::Suspect),
        Just(Health::Dead),
        Just(Health::Left)
    ];
    // Few values, so that equal ones occur.
    (0..4u64, 0..3u64, health, 0..3u64).prop_map(|(boot, refutations, health, instance)| Record {
        incarnation: Incarnation { boot, refutations },
        health,
        instance: InstanceId(instance),
    })
}

proptest! {
    /// Records may arrive in any order, in any grouping and any number of times; none lowers the
    /// incarnation in force.
    #[test]
    fn merge_is_a_semilattice(a in record(), b in record(), c in record()) {
        prop_assert_eq!(a.merge(b), b.merge(a));
        prop_assert_eq!(a.merge(b).merge(c), a.merge(b.merge(c)));
        prop_assert_eq!(a.merge(a), a);
        prop_assert!(a.merge(b).incarnation >= a.incarnation.max(b.incarnation));
    }
}
