//! Tests of the judge: for each rule, ledgers that keep it and ledgers that break it.

use yarrowhill_checker::*;

fn at(at: f64, event: Event) -> Entry {
    Entry { at, event }
}

fn sent(at_ms: f64, id: &str, class: &str) -> Entry {
    at(at_ms, Event::sent(id, class, 7, 1000.0))
}

fn client_status(at_ms: f64, id: &str, status: u16) -> Entry {
    at(at_ms, Event::ClientDone { id: id.into(), outcome: ClientOutcome::Status(status) })
}

fn called(at_ms: f64, call: u64, ids: &[&str]) -> [Entry; 2] {
    let ids = ids.iter().map(|id| (*id).to_owned()).collect();
    [
        at(at_ms, Event::Began { call, uid: "s".into(), dest: 7 }),
        at(at_ms, Event::Called { call, uid: "s".into(), dest: 7, ids }),
    ]
}

fn answered(at_ms: f64, call: u64, ends: &[(&str, CallEnd)], wait_ms: Option<f64>) -> Entry {
    let ends = ends.iter().map(|(id, end)| ((*id).to_owned(), *end)).collect();
    at(at_ms, Event::Answered { call, ends, wait_ms })
}

fn notice(at_ms: f64, id: &str, handed_back: bool) -> Entry {
    at(at_ms, Event::Notice { id: id.into(), handed_back, acknowledged: true })
}

fn breached_rules(parts: &[&[Entry]]) -> Vec<Rule> {
    let mut ledger = parts.concat();
    ledger.sort_by(|a, b| a.at.total_cmp(&b.at));
    judge(&RuleParams::default(), &ledger).into_iter().map(|b| b.rule).collect()
}

#[test]
fn requires_an_end_in_time_for_accepted_messages() {
    let start = [sent(0.0, "a", "unsafe"), client_status(5.0, "a", 202)];
    let call = called(10.0, 1, &["a"]);
    let good = [answered(20.0, 1, &[("a", CallEnd::Delivered)], None)];
    assert_eq!(breached_rules(&[&start, &call, &good]), []);
    assert_eq!(breached_rules(&[&start, &call]), [Rule::Lost]);
    assert_eq!(breached_rules(&[&start, &[notice(1290.0, "a", false)]]), []);
    assert_eq!(breached_rules(&[&start, &[notice(1500.0, "a", false)]]), [Rule::Lost]);
    // Delivered after the deadline.
    let late = [answered(1001.0, 1, &[("a", CallEnd::Delivered)], None)];
    assert_eq!(breached_rules(&[&start, &call, &late]), [Rule::Lost]);
    // Nothing is owed for a refused message.
    assert_eq!(breached_rules(&[&[sent(0.0, "a", "unsafe"), client_status(5.0, "a", 503)]]), []);
}

#[test]
fn counts_a_delivery_only_until_the_earliest_deadline_in_its_call() {
    let first = [sent(0.0, "a", "unsafe"), client_status(5.0, "a", 202)];
    let second = [sent(300.0, "b", "unsafe"), client_status(305.0, "b", 202)];
    let start = [first, second].concat();
    let call = called(310.0, 1, &["a", "b"]);
    let both = [("a", CallEnd::Delivered), ("b", CallEnd::Delivered)];
    assert_eq!(breached_rules(&[&start, &call, &[answered(990.0, 1, &both, None)]]), []);
    let late = [answered(1002.0, 1, &both, None), notice(1003.0, "a", false)];
    assert_eq!(breached_rules(&[&start, &call, &late]), [Rule::Lost]);
    assert_eq!(breached_rules(&[&start, &call, &late, &[notice(1004.0, "b", false)]]), []);
}

#[test]
fn allows_more_time_for_notices_after_a_restart() {
    let start = [sent(0.0, "a", "unsafe"), client_status(5.0, "a", 202)];
    let restart = [
        at(900.0, Event::Forwarder(ForwarderState::Ending)),
        at(1500.0, Event::Forwarder(ForwarderState::Ready)),
    ];
    assert_eq!(breached_rules(&[&start, &restart, &[notice(2900.0, "a", false)]]), []);
    assert_eq!(breached_rules(&[&start, &restart, &[notice(3200.0, "a", false)]]), [Rule::Lost]);
}

#[test]
fn reports_a_broken_connection_only_after_the_message_was_called() {
    let broke = at(20.0, Event::ClientDone { id: "a".into(), outcome: ClientOutcome::Broken });
    let start = [sent(0.0, "a", "unsafe"), broke];
    assert_eq!(breached_rules(&[&start]), []);
    let call = called(10.0, 1, &["a"]);
    assert_eq!(breached_rules(&[&start, &call]), [Rule::Lost]);
}

#[test]
fn allows_a_second_call_of_an_unsafe_message_only_if_it_never_ran() {
    let start = [sent(0.0, "a", "unsafe"), client_status(5.0, "a", 202)];
    let (first, second) = (called(10.0, 1, &["a"]), called(50.0, 2, &["a"]));
    let done = [answered(60.0, 2, &[("a", CallEnd::Delivered)], None)];
    let end = |end| [answered(20.0, 1, &[("a", end)], None)];
    let again = |end: &[Entry]| breached_rules(&[&start, &first, end, &second, &done]);
    assert_eq!(again(&end(CallEnd::NeverRan)), []);
    assert_eq!(again(&end(CallEnd::MayHaveRun)), [Rule::Twice]);
    assert_eq!(again(&end(CallEnd::Delivered)), [Rule::Twice]);
    assert_eq!(again(&[at(20.0, Event::Broke { call: 1 })]), [Rule::Twice]);
    // The first call has not ended.
    assert_eq!(again(&[]), [Rule::Twice]);
    // A message that may have run is not handed back.
    let back = [notice(30.0, "a", true)];
    assert_eq!(breached_rules(&[&start, &first, &end(CallEnd::MayHaveRun), &back]), [Rule::Twice]);
    assert_eq!(breached_rules(&[&start, &first, &end(CallEnd::NeverRan), &back]), []);
}

#[test]
fn allows_a_second_call_of_a_keyed_message_while_its_key_is_known() {
    let start = [at(0.0, Event::sent("a", "keyed", 7, 30_000.0)), client_status(5.0, "a", 202)];
    let first = called(10.0, 1, &["a"]);
    let broke = [at(20.0, Event::Broke { call: 1 })];
    for (again, breach) in [(14_000.0, vec![]), (15_300.0, vec![Rule::Twice])] {
        let second = called(again, 2, &["a"]);
        let done = [answered(again + 10.0, 2, &[("a", CallEnd::Delivered)], None)];
        assert_eq!(breached_rules(&[&start, &first, &broke, &second, &done]), breach);
    }
}

#[test]
fn reports_a_call_after_an_acknowledged_notice() {
    let start = [sent(0.0, "a", "keyed"), client_status(5.0, "a", 202), notice(100.0, "a", false)];
    assert_eq!(breached_rules(&[&start, &called(500.0, 1, &["a"])]), [Rule::Twice]);
}

#[test]
fn reports_a_new_call_of_a_draining_endpoint() {
    let listed = [at(0.0, Event::Listed { uid: "s".into(), standing: Standing::Terminating })];
    assert_eq!(breached_rules(&[&listed, &called(1900.0, 1, &[])]), []);
    assert_eq!(breached_rules(&[&listed, &called(2300.0, 1, &[])]), [Rule::Drain]);
    let again = [at(1000.0, Event::Listed { uid: "s".into(), standing: Standing::InService })];
    assert_eq!(breached_rules(&[&listed, &again, &called(2300.0, 1, &[])]), []);
}

#[test]
fn reports_an_overload_of_a_returning_destination() {
    let outage = [
        at(0.0, Event::Outage { dest: 7, back: false, capacity: 10.0 }),
        at(1000.0, Event::Outage { dest: 7, back: true, capacity: 10.0 }),
    ];
    let during = called(500.0, 1000, &[]);
    let flood = |calls: u64| -> Vec<Entry> {
        (0..calls).flat_map(|n| called(1010.0 + 10.0 * n as f64, n, &[])).collect()
    };
    // Twice the 17% and a little more of 10 calls a second, for 3 s: about 15, and random variation.
    assert_eq!(breached_rules(&[&outage, &during, &flood(15)]), []);
    assert_eq!(breached_rules(&[&outage, &during, &flood(40)]), [Rule::FailBack]);
    // A forwarder that made no call during the outage cannot know of it.
    assert_eq!(breached_rules(&[&outage, &flood(40)]), []);
}

#[test]
fn requires_messages_of_one_order_key_one_at_a_time_and_in_order() {
    let sent = |at_ms, id: &str| {
        let mut event = Event::sent(id, "safe", 7, 1000.0);
        if let Event::Sent { order_key, .. } = &mut event {
            *order_key = Some("k".into());
        }
        at(at_ms, event)
    };
    let start = [sent(0.0, "a"), client_status(1.0, "a", 202), sent(2.0, "b"), client_status(3.0, "b", 202)];
    let done = |at_ms, call, id| [answered(at_ms, call, &[(id, CallEnd::Delivered)], None)];
    let go = |at_ms, call, id| [&called(at_ms, call, &[id])[..], &done(at_ms + 10.0, call, id)].concat();
    assert_eq!(breached_rules(&[&start, &go(10.0, 1, "a"), &go(30.0, 2, "b")]), []);
    assert_eq!(breached_rules(&[&start, &go(10.0, 2, "b"), &go(30.0, 1, "a")]), [Rule::Order]);
}

#[test]
fn reports_a_call_during_a_wait_of_its_destination() {
    let start = [sent(0.0, "a", "unsafe"), client_status(5.0, "a", 503)];
    let first = called(10.0, 1, &["a"]);
    let waits = [answered(20.0, 1, &[("a", CallEnd::NeverRan)], Some(800.0))];
    assert_eq!(breached_rules(&[&start, &first, &waits, &called(100.0, 2, &[])]), []);
    assert_eq!(breached_rules(&[&start, &first, &waits, &called(400.0, 2, &[])]), [Rule::Wait]);
    assert_eq!(breached_rules(&[&start, &first, &waits, &called(825.0, 2, &[])]), []);
    let restart = [
        at(300.0, Event::Forwarder(ForwarderState::Ending)),
        at(350.0, Event::Forwarder(ForwarderState::Ready)),
    ];
    assert_eq!(breached_rules(&[&start, &first, &waits, &restart, &called(400.0, 2, &[])]), []);
}

#[test]
fn counts_every_message_by_how_it_ended() {
    let ledger = [
        sent(0.0, "a", "unsafe"),
        client_status(1.0, "a", 202),
        sent(0.0, "b", "unsafe"),
        client_status(1.0, "b", 503),
        sent(0.0, "c", "unsafe"),
        client_status(1.0, "c", 202),
        notice(5.0, "c", false),
        sent(0.0, "d", "unsafe"),
        client_status(1.0, "d", 202),
    ];
    let account = accounts(&ledger)["unsafe"];
    assert_eq!((account.sent, account.refused, account.taken_on), (4, 1, 3));
    assert_eq!((account.delivered, account.given_up, account.open), (0, 1, 2));
}
