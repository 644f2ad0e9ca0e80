//! Tests of `voter`.

use super::*;
use crate::ballot::Ballot;

const LEASE: Lease = Lease { holder_duration: 10, voter_duration: 12 };
const LOCAL: ProcessId = ProcessId { member: 1, instance: 70 };
const VOTING: VoterFlags = VoterFlags { voting: true, fresh: false };

fn voters() -> VoterSet {
    VoterSet::new([1, 2, 3])
}

fn stored(number: u64) -> StoredVoter {
    let promised = Ballot { number, proposer: ProcessId { member: 2, instance: 9 } };
    StoredVoter { write_count: 10, registers: BTreeMap::from([(5, Register { promised, accepted: None })]) }
}

#[test]
fn votes_with_an_intact_folder_once_a_majority_knows_of_no_later_state() {
    let mut voter = Voter::new(100, LOCAL, 4, LEASE, Some(stored(3)));
    let (nonce, started) = voter.tick(100, LEASE, &voters());
    assert!(!started && voter.register_mut(5).is_none());
    let nonce = nonce.expect("a recovery request");
    assert!(
        !voter.handle_recovery_response(101, LEASE, &voters(), 2, nonce + 1, VOTING, (None, 0), None, (0, 1)),
        "response to another request"
    );
    let remembers = (Some((4, 70)), 10);
    assert!(
        !voter.handle_recovery_response(101, LEASE, &voters(), 2, nonce, VOTING, remembers, None, (0, 1)),
        "the third voter may know of a later process"
    );
    assert_eq!(voter.tick(110, LEASE, &voters()), (None, true), "the wait for all voters is over");
    assert_eq!(voter.register_mut(5).map(|k| k.register.promised.number), Some(3));
}

#[test]
fn stays_silent_with_an_old_or_empty_folder_and_then_recovers_from_a_majority_of_the_others() {
    for folder in [Some(stored(3)), None] {
        let empty = folder.is_none();
        let mut voter = Voter::new(100, LOCAL, 4, LEASE, folder);
        let nonce = voter.tick(100, LEASE, &voters()).0;
        if !empty {
            // Same boot number with another instance: this process was started from a copy.
            voter.handle_recovery_response(
                101,
                LEASE,
                &voters(),
                2,
                nonce.expect("a recovery request"),
                VOTING,
                (Some((4, 69)), 0),
                None,
                (0, 1),
            );
        }
        assert_eq!(voter.status(), VoteStatus::Silent);
        assert_eq!(voter.tick(123, LEASE, &voters()), (None, false), "still in the silent period");
        let (nonce, _) = voter.tick(126, LEASE, &voters());
        let nonce = nonce.expect("a recovery request");
        let newer = stored(9).registers[&5].clone();
        // The last part arrives before the first.
        voter.handle_recovery_response(127, LEASE, &voters(), 3, nonce, VOTING, (None, 0), None, (1, 2));
        voter.handle_recovery_response(
            127,
            LEASE,
            &voters(),
            2,
            nonce,
            VOTING,
            (None, 30),
            Some((5, &newer)),
            (0, 1),
        );
        assert!(!voter.is_voting(), "one complete and one incomplete answer of two");
        assert!(voter.handle_recovery_response(
            128,
            LEASE,
            &voters(),
            3,
            nonce,
            VOTING,
            (None, 0),
            None,
            (0, 2)
        ));
        assert_eq!(voter.register_mut(5).map(|k| k.register.promised.number), Some(9));
        assert_eq!(voter.begin_write().write_count, 31, "above every count that others remember");
    }
}

/// A copy of the folder from an hour ago that was started several times before it reached another voter
/// may have a higher boot number than the others remember. Its write count shows that it is outdated.
#[test]
fn detects_an_outdated_copy_by_its_write_count_however_often_it_was_started() {
    let mut voter = Voter::new(100, LOCAL, 9, LEASE, Some(stored(3)));
    let nonce = voter.tick(100, LEASE, &voters()).0.expect("a recovery request");
    assert!(!voter.handle_recovery_response(
        101,
        LEASE,
        &voters(),
        2,
        nonce,
        VOTING,
        (Some((4, 69)), 11),
        None,
        (0, 1)
    ));
    assert_eq!((voter.status(), voter.registers().len()), (VoteStatus::Silent, 0));
}

#[test]
fn starts_voting_with_no_registers_only_if_all_voters_have_none() {
    let mut voter = Voter::new(0, LOCAL, 1, LEASE, None);
    let nonce = voter.tick(24, LEASE, &voters()).0.expect("a recovery request");
    let fresh = VoterFlags { voting: false, fresh: true };
    assert!(!voter.handle_recovery_response(25, LEASE, &voters(), 2, nonce, fresh, (None, 0), None, (0, 1)));
    assert!(voter.handle_recovery_response(25, LEASE, &voters(), 3, nonce, fresh, (None, 0), None, (0, 1)));
    assert!(voter.flags().voting && voter.flags().fresh);
    // A single voter.
    let mut alone = Voter::new(0, LOCAL, 1, LEASE, None);
    assert_eq!(alone.tick(24, LEASE, &VoterSet::new([1])), (None, true));
}

/// Returns a voter of a new fleet that votes and has nothing to remember yet.
fn new_voter(member: u64) -> Voter {
    let mut voter = Voter::new(0, ProcessId { member, instance: 70 + member }, 1, LEASE, None);
    let nonce = voter.tick(24, LEASE, &voters()).0.expect("a recovery request");
    let fresh = VoterFlags { voting: false, fresh: true };
    for other in (1..=3).filter(|other| *other != member) {
        voter.handle_recovery_response(25, LEASE, &voters(), other, nonce, fresh, (None, 0), None, (0, 1));
    }
    assert!(voter.is_voting());
    voter
}

/// Starts the member with an empty folder and lets it recover from the others, of whose two-part answers only
/// the part without a register arrives.
fn recover_from_first_parts(member: u64, others: [&Voter; 2]) -> Voter {
    let mut voter = Voter::new(100, ProcessId { member, instance: 80 + member }, 2, LEASE, None);
    let nonce = voter.tick(126, LEASE, &voters()).0.expect("a recovery request");
    for other in others {
        let (by, flags) = (other.local.member, other.flags());
        voter.handle_recovery_response(127, LEASE, &voters(), by, nonce, flags, (None, 0), None, (0, 2));
    }
    voter
}

/// Voters that had started with empty folders were taken for ones that know of no decision, however much they
/// had decided since. Two voters that lost their folders one after the other then voted without the register
/// of a duty that a member held: they were a majority that would have given it to another.
#[test]
fn voters_that_lose_their_folders_one_after_the_other_wait_for_all_parts_of_their_recovery() {
    let (mut first, mut second) = (new_voter(1), new_voter(2));
    let held = Ballot { number: 4, proposer: ProcessId { member: 2, instance: 72 } };
    for voter in [&mut first, &mut second] {
        assert!(voter.flags().fresh);
        voter.register_mut(5).expect("the voter votes").prepare(30, held);
        assert!(!voter.flags().fresh, "it has promised a ballot");
    }
    let third = recover_from_first_parts(3, [&first, &second]);
    assert!(!third.is_voting(), "the part with the register is missing");
    let lost = recover_from_first_parts(1, [&second, &third]);
    assert!(!lost.is_voting(), "the part with the register is missing");
}

/// A query creates an empty register, which says nothing.
#[test]
fn a_voter_that_was_only_queried_has_decided_nothing() {
    let mut voter = new_voter(1);
    assert!(voter.register_mut(5).is_some());
    assert!(voter.flags().fresh);
}

/// Guards against promises that are revealed before they are on disk: a write that fails behind one that succeeds
/// must be repeated before the next response.
#[test]
fn a_completed_write_does_not_count_for_a_later_one() {
    let mut voter = new_voter(0);
    let first = voter.begin_write().write_count;
    let second = voter.begin_write().write_count;
    voter.persisted(first);
    assert!(voter.has_unpersisted_write());
    voter.persisted(second);
    assert!(!voter.has_unpersisted_write());
}
