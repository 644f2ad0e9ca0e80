//! Tests of `term`.

use super::*;
use crate::ballot::ProcessId;

const LEASE: Lease = Lease { holder_duration: 30, voter_duration: 40 };

fn acquired_term() -> (Term, VoterSet) {
    let voters = VoterSet::new([1, 2, 3]);
    let ballot = Ballot { number: 7, proposer: ProcessId { member: 1, instance: 5 } };
    let (mut term, first) =
        Term::begin(100, LEASE, ballot, RegisterValue { step: 4, ..RegisterValue::default() });
    assert_eq!((first.seq, first.value.token, term.is_held(100)), (1, 7, false));
    assert_eq!(term.handle_accepted(105, LEASE, &voters, 1, 1), vec![]);
    assert_eq!(term.handle_accepted(106, LEASE, &voters, 1, 1), vec![], "a voter counts once");
    assert_eq!(term.handle_accepted(106, LEASE, &voters, 9, 1), vec![], "not a voter");
    assert_eq!(term.handle_accepted(110, LEASE, &voters, 2, 1), vec![Decision::Acquired]);
    (term, voters)
}

#[test]
fn counts_the_lease_from_when_a_write_was_sent_and_never_revives_an_expired_term() {
    let (mut term, voters) = acquired_term();
    assert!(term.is_held(129) && !term.is_held(130));
    let renewal = term.tick(115, LEASE).expect("due");
    term.handle_accepted(125, LEASE, &voters, 1, renewal.seq);
    term.handle_accepted(127, LEASE, &voters, 3, renewal.seq);
    assert!(term.is_held(144) && !term.is_held(145));
    let late = term.tick(130, LEASE).expect("due");
    term.handle_accepted(150, LEASE, &voters, 1, late.seq);
    term.handle_accepted(150, LEASE, &voters, 2, late.seq);
    assert!(term.is_expired(150) && term.tick(151, LEASE).is_none(), "it was suspended past its lease");
}

#[test]
fn decides_steps_one_at_a_time_and_stops_acting_at_once_on_release() {
    let (mut term, voters) = acquired_term();
    assert_eq!(term.record_step(111, LEASE, 6, vec![]).err(), Some(StepError::NotHeld(6)));
    let (step, write) = term.record_step(111, LEASE, 7, vec![1]).expect("held");
    assert_eq!((step, write.value.progress.clone()), (5, vec![1]));
    assert_eq!(term.record_step(112, LEASE, 7, vec![2]).err(), Some(StepError::PreviousPending));
    term.handle_accepted(113, LEASE, &voters, 1, write.seq);
    // A renewal carries the step, and decides it too.
    let renewal = term.tick(121, LEASE).expect("due");
    assert_eq!(renewal.value.step, 5);
    term.handle_accepted(122, LEASE, &voters, 2, renewal.seq);
    assert_eq!(term.handle_accepted(122, LEASE, &voters, 3, renewal.seq), vec![Decision::Step(5)]);
    assert_eq!(term.decided().map(|p| p.step), Some(5));
    let release = term.release(125, LEASE, Reason::Asked).expect("held");
    assert!(!term.is_held(125) && release.value.holder.is_none() && release.value.step == 5);
    term.handle_accepted(126, LEASE, &voters, 1, release.seq);
    let decisions = term.handle_accepted(127, LEASE, &voters, 2, release.seq);
    assert_eq!((decisions, term.is_expired(127)), (vec![Decision::Released(Reason::Asked)], true));
}
