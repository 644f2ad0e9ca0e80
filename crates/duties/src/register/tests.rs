//! Tests of `register`.

use super::*;

const LEASE: Lease = Lease { holder_duration: 10, voter_duration: 12 };

fn ballot(number: u64, member: u64) -> Ballot {
    Ballot { number, proposer: ProcessId { member, instance: 1 } }
}

fn value(member: u64) -> RegisterValue {
    RegisterValue { holder: Some(ProcessId { member, instance: 1 }), ..RegisterValue::default() }
}

fn is_promise(reply: &VoterReply) -> bool {
    matches!(reply.response, Response::Promise { .. })
}

#[test]
fn refuses_other_proposers_during_a_lease_and_numbers_not_above_the_promised_one() {
    let mut leased = LeasedRegister::default();
    assert!(is_promise(&leased.prepare(0, ballot(1, 1))));
    assert!(leased.accept(0, LEASE, ballot(1, 1), 1, value(1)).changed);
    assert!(!is_promise(&leased.prepare(11, ballot(2, 2))), "the lease is running");
    assert!(!leased.accept(5, LEASE, ballot(1, 1), 2, value(1)).changed, "a renewal needs no disk write");
    assert!(!is_promise(&leased.prepare(16, ballot(2, 2))));
    assert!(is_promise(&leased.prepare(17, ballot(2, 2))));
    assert!(is_promise(&leased.prepare(17, ballot(2, 2))), "repeated request");
    assert!(!is_promise(&leased.prepare(17, ballot(2, 3))), "same number of another proposer");
    let late = leased.accept(18, LEASE, ballot(1, 1), 3, value(1));
    assert!(matches!(late.response, Response::Refused { .. }));
    // After a restart the lease is counted in full.
    let mut restarted = LeasedRegister::restored(leased.register.clone(), 100, LEASE);
    assert!(
        !is_promise(&restarted.prepare(111, ballot(3, 2)))
            && is_promise(&restarted.prepare(112, ballot(3, 2)))
    );
}

#[test]
fn ignores_late_and_repeated_writes_and_refuses_progress_that_is_too_long() {
    let mut leased = LeasedRegister::default();
    leased.accept(0, LEASE, ballot(4, 1), 2, value(1));
    let before = leased.register.clone();
    assert!(matches!(leased.accept(1, LEASE, ballot(4, 1), 1, value(1)).response, Response::Refused { .. }));
    assert!(matches!(leased.accept(1, LEASE, ballot(4, 1), 2, value(1)).response, Response::Accepted { .. }));
    let long = RegisterValue { progress: vec![0; MAX_PROGRESS_BYTES + 1], ..value(1) };
    assert!(matches!(leased.accept(1, LEASE, ballot(4, 1), 3, long).response, Response::Refused { .. }));
    assert_eq!(leased.register, before);
    let mut other = LeasedRegister::default();
    other.merge(&before);
    assert_eq!(other.register, before);
    other.merge(&Register::default());
    assert_eq!(other.register, before);
}
