//! Tests of `fleet`.

use super::*;
use crate::limit::judge_limit;

fn claim(
    process: usize,
    valid_us: [u64; 2],
    may_act: bool,
    view: &str,
    members: &[usize],
    states: &[&str],
) -> Claim {
    let membership_state = if may_act { "majority" } else { "minority" }.to_owned();
    let states = states.iter().map(|s| (*s).to_owned()).collect();
    let (view, members, serves) = (view.to_owned(), members.to_vec(), [true; 3]);
    let voters = (0..3).collect();
    Claim {
        process,
        valid_us,
        membership_state,
        may_act,
        serves,
        view,
        voters,
        members,
        states,
        senders: 1,
        boots: Vec::new(),
    }
}

fn claimed(at: f64, claim: Claim) -> FleetEntry {
    FleetEntry { at, event: FleetEvent::Claimed(claim) }
}

fn all_up(size: usize) -> Vec<FleetEntry> {
    (0..size).map(|n| FleetEntry { at: 0.0, event: FleetEvent::Started(n) }).collect()
}

#[test]
fn reports_two_views_that_act_at_once_and_accepts_successive_ones() {
    let states = ["alive"; 3];
    let a = |from, to| claim(0, [from, to], true, "a", &[0, 1], &states);
    let b = |from, to| claim(2, [from, to], true, "b", &[1, 2], &states);
    let mut ledger = all_up(3);
    ledger.extend([claimed(1.0, a(100, 300)), claimed(2.0, a(200, 400)), claimed(3.0, b(150, 350))]);
    let found = judge_fleet(&TERMS, 3, &ledger);
    assert!(found.iter().any(|b| b.text.contains("acts under")), "{found:?}");
    let mut ledger = all_up(3);
    ledger.extend([claimed(1.0, a(100, 140)), claimed(2.0, b(150, 350)), claimed(3.0, a(400, 500))]);
    assert_eq!(judge_fleet(&TERMS, 3, &ledger), vec![]);
}

#[test]
fn reports_unknown_deaths_and_connected_processes_believed_dead() {
    let mut ledger = all_up(3);
    ledger.push(FleetEntry { at: 10.0, event: FleetEvent::Exited(2) });
    let late = claim(0, [0, 0], false, "a", &[0, 1], &["alive", "alive", "alive"]);
    ledger.push(claimed(50.0, late.clone()));
    assert_eq!(judge_fleet(&TERMS, 3, &ledger), vec![], "within the detection time");
    ledger.push(claimed(150.0, late));
    assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("is gone"));

    // 0 and 1 are connected only through 2.
    let mut ledger = all_up(3);
    ledger.push(FleetEntry { at: 10.0, event: FleetEvent::Link { from: 0, to: 1, open: false } });
    ledger.push(claimed(150.0, claim(0, [0, 0], false, "a", &[0, 2], &["alive", "dead", "alive"])));
    assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("is connected"));
}

#[test]
fn reports_disagreement_of_connected_processes_and_permits_against_the_table() {
    let mut ledger = all_up(3);
    let states = ["alive"; 3];
    ledger.push(claimed(250.0, claim(0, [0, 0], false, "a", &[0, 1], &states)));
    ledger.push(claimed(260.0, claim(1, [0, 0], false, "b", &[0, 1, 2], &states)));
    assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("holds view"));
    let lone = claim(0, [0, 0], true, "a", &[0], &states);
    let ledger: Vec<_> = all_up(3).into_iter().chain([claimed(10.0, lone)]).collect();
    assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("acts with"));
    let mut odd = claim(0, [0, 0], false, "a", &[0, 1], &states);
    odd.serves = [true, false, true];
    let ledger: Vec<_> = all_up(3).into_iter().chain([claimed(10.0, odd)]).collect();
    assert_eq!(judge_fleet(&TERMS, 3, &ledger).len(), 1);
}

#[test]
fn reports_flapping_views_and_accepts_single_changes() {
    let view = |at: u64, view: &str| {
        claimed(at as f64, claim(0, [at * 1000, at * 1000 + 1], false, view, &[0, 1], &["alive"; 3]))
    };
    let mut ledger = all_up(3);
    ledger.extend([view(1, "a"), view(2, "b"), view(60, "c"), view(120, "a")]);
    assert_eq!(judge_fleet(&TERMS, 3, &ledger), vec![]);
    ledger.push(view(150, "b"));
    assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("changes its view"));
}

#[test]
fn reports_boot_numbers_received_before_they_are_on_disk() {
    let mut claim = claim(0, [0, 0], false, "a", &[0, 1], &["alive"; 3]);
    claim.boots = vec![9, 2, 0];
    let written = |boot| FleetEntry { at: 1.0, event: FleetEvent::BootStored { process: 1, boot } };
    let ledger = |boot| [all_up(3), vec![written(boot), claimed(2.0, claim.clone())]].concat();
    assert_eq!(judge_fleet(&TERMS, 3, &ledger(2)), vec![]);
    assert!(judge_fleet(&TERMS, 3, &ledger(1))[0].text.contains("on no disk"));
}

#[test]
fn requires_one_inactive_process_of_two_under_one_name_until_one_ends() {
    let claimed = |at, duplicate: bool, doubled: bool| {
        let mut claim = claim(1, [0, 0], false, "a", &[0, 1, 2], &["alive"; 3]);
        if doubled {
            (claim.membership_state, claim.serves) = ("doubled".to_owned(), [false; 3]);
        }
        let event = if duplicate { FleetEvent::DuplicateClaimed(claim) } else { FleetEvent::Claimed(claim) };
        FleetEntry { at, event }
    };
    let duplicate = |at, running| FleetEntry { at, event: FleetEvent::Duplicate { process: 1, running } };
    let found = |more: &[FleetEntry]| {
        let ledger = [all_up(3), vec![duplicate(10.0, true)], more.to_vec()].concat();
        judge_fleet(&TERMS, 3, &ledger).first().map(|b| b.text.clone()).unwrap_or_default()
    };
    assert_eq!(found(&[claimed(100.0, false, false), claimed(100.0, true, false)]), "");
    assert_eq!(found(&[claimed(300.0, false, true), claimed(300.0, true, false)]), "");
    assert!(
        found(&[claimed(300.0, false, false), claimed(300.0, true, false)])
            .contains("both processes are active")
    );
    assert!(
        found(&[claimed(300.0, false, true), claimed(300.0, true, true)])
            .contains("neither process is active")
    );
    assert_eq!(found(&[duplicate(400.0, false), claimed(800.0, false, true)]), "");
    assert!(
        found(&[duplicate(400.0, false), claimed(950.0, false, true)])
            .contains("is still in the state doubled")
    );
}

#[test]
fn holds_all_processes_together_to_the_limit_over_every_period() {
    let mut ledger = vec![FleetEntry { at: 0.0, event: FleetEvent::Limit { calls_per_sec: 10.0 } }];
    let began = |at, from| FleetEntry { at, event: FleetEvent::Began { from, dest: 7 } };
    // Ten calls a second from two processes for five seconds: exactly what is allowed.
    ledger.extend((0..50).map(|n| began(f64::from(n) * 100.0, n as usize % 2)));
    let limit_use = judge_limit(&TERMS, &ledger);
    assert!(limit_use.excess.is_some_and(|(_, excess)| (0.9..1.1).contains(&excess)), "{limit_use:?}");
    assert!((0.95..1.1).contains(&limit_use.used), "{limit_use:?}");
    assert_eq!(judge_fleet(&TERMS, 2, &ledger), vec![]);
    // Ten more calls within 50 ms at the end.
    ledger.extend((0..10).map(|n| began(5000.0 + f64::from(n) * 5.0, 0)));
    assert!(judge_fleet(&TERMS, 2, &ledger)[0].text.contains("beyond the limit"));
    // A limit lowered to a tenth: the rate that was allowed before is too high after.
    let mut ledger = ledger[..51].to_vec();
    ledger.push(FleetEntry { at: 5000.0, event: FleetEvent::Limit { calls_per_sec: 1.0 } });
    ledger.extend((0..20).map(|n| began(5000.0 + f64::from(n) * 100.0, 1)));
    assert!(judge_fleet(&TERMS, 2, &ledger)[0].text.contains("beyond the limit"));
}

#[test]
fn holds_other_processes_to_a_long_wait_once_it_has_spread() {
    let waits = |wait| FleetEntry {
        at: 100.0,
        event: FleetEvent::WaitReturned { process: 0, dest: 7, wait_ms: wait },
    };
    let began = |at, from| FleetEntry { at, event: FleetEvent::Began { from, dest: 7 } };
    let found = |wait, at, from| judge_fleet(&TERMS, 2, &[waits(wait), began(at, from)]).len();
    assert_eq!([found(800.0, 140.0, 1), found(800.0, 950.0, 1), found(300.0, 200.0, 1)], [0; 3]);
    // The process that received the wait is judged by its own ledger.
    assert_eq!([found(800.0, 200.0, 0), found(800.0, 200.0, 1)], [0, 1]);
}
