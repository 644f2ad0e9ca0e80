//! Tests of `identity`.

use super::*;

fn record(boot: u64, refutations: u64, health: Health, instance: u64) -> Record {
    Record { incarnation: Incarnation { boot, refutations }, health, instance: InstanceId(instance) }
}

#[test]
fn outbids_every_remembered_incarnation_after_folder_loss() {
    let mut identity = Identity::new(1, InstanceId(9));
    assert_eq!(identity.observe(0, &record(7, 3, Health::Dead, 5)), SelfUpdate::Persist(8));
    assert!(identity.is_muted(), "no packet may be sent before the boot number is on disk");
    identity.boot_persisted(8);
    assert_eq!(identity.incarnation(), Incarnation { boot: 8, refutations: 0 });
    assert_eq!(identity.observe(0, &record(7, 3, Health::Dead, 5)), SelfUpdate::Unchanged);
}

#[test]
fn distinguishes_a_live_duplicate_from_old_records() {
    let (mut a, mut b) = (Identity::new(3, InstanceId(1)), Identity::new(3, InstanceId(2)));
    let outbid = |identity: &mut Identity, other: &Identity| {
        if let SelfUpdate::Persist(boot) = identity.observe(10, &other.record()) {
            identity.boot_persisted(boot);
        }
    };
    let mut rounds = 0;
    while !a.has_duplicate(10, 100) && !b.has_duplicate(10, 100) {
        rounds += 1;
        assert!(rounds < 10, "the duplicate was not detected");
        outbid(&mut a, &b);
        outbid(&mut b, &a);
    }
    // One of them is silent, and stays silent while it receives records of the other.
    assert!(a.has_duplicate(10, 100) && !b.has_duplicate(10, 100));
    assert_eq!(a.observe(90, &b.record()), SelfUpdate::Unchanged);
    assert!(a.has_duplicate(150, 100) && !a.has_duplicate(200, 100), "ends when the other one is silent");
    // It also ends when the other one is reported dead.
    let dead = Record { health: Health::Dead, ..b.record() };
    assert!(matches!(a.observe(100, &dead), SelfUpdate::Persist(_)));
    assert!(!a.has_duplicate(101, 100));
    // Repeated old records in any order do not count as a live process.
    let mut c = Identity::new(1, InstanceId(3));
    for n in [4, 6, 5, 4, 6, 6] {
        if let SelfUpdate::Persist(boot) = c.observe(10, &record(n, 0, Health::Alive, 8)) {
            c.boot_persisted(boot);
        }
    }
    assert!(!c.has_duplicate(10, 100));
}

#[test]
fn ignores_records_with_an_implausible_incarnation() {
    let mut identity = Identity::new(1, InstanceId(9));
    assert_eq!(identity.observe(0, &record(u64::MAX, 0, Health::Dead, 5)), SelfUpdate::Unchanged);
    assert_eq!(identity.incarnation().boot, 1);
}
