//! Restarts, read from a log.

use super::*;
use std::io::Write;

#[test]
fn counts_what_a_restart_sends_and_what_it_gives_up_early() {
    let mut log = tempfile::NamedTempFile::new().expect("a temporary file");
    let line = |second: u64, text: &str| format!("2026-12-01T20:00:{second:02}.000000Z DEBUG {text}\n");
    let starts = "starts settings=Settings { classes: [Class { effect: Unsafe, target_latency: 3000000, \
                  deadline: 12000000, value: 1.0 }, Class { effect: Safe, target_latency: 3000000, \
                  deadline: 12000000, value: 1.0 }] }";
    let found = |id: &str, class: usize, left: u64, run: &str| {
        let past = format!("MessageHistory {{ attempts: 1, first_possible_run: {run}, was_accepted: true }}");
        line(20, &format!("taken id={id} class={class} dest=7 left={left}000000 past={past}"))
    };
    let ran = "Some((-5, 0))";
    let text = [
        line(0, starts),
        line(1, "taken id=new class=0 dest=7 left=12000000 past=MessageHistory { was_accepted: false }"),
        line(20, starts),
        found("sent", 0, 8, "None"),
        found("shed", 0, 8, "None"),
        found("late", 1, 8, "None"),
        found("old", 0, 5, "None"),
        found("ran", 0, 8, ran),
        found("again", 1, 8, ran),
        line(21, "sent id=sent attempt=1 endpoint=1 dest=7 call=1"),
        line(21, "given up id=shed end=Refused taken_on=true"),
        line(21, "given up id=ran end=Failed taken_on=true"),
        line(21, "sent id=again attempt=1 endpoint=1 dest=7 call=1"),
        line(22, "given up id=sent end=Failed taken_on=true"),
        line(28, "given up id=late end=Refused taken_on=true"),
        line(28, "given up id=old end=Refused taken_on=true"),
    ];
    log.write_all(text.concat().as_bytes()).expect("written");
    let restarts = restarts(log.path()).expect("read");
    let all = Found { untried: 3, untried_sent: 1, untried_given_up: 1, in_flight: 2, in_flight_given_up: 1 };
    let unsafe_only = Found { untried: 2, in_flight: 1, ..all };
    assert_eq!(restarts.len(), 1);
    assert_eq!((restarts[0].all, restarts[0].unsafe_only), (all, unsafe_only));
}
