//! Tests of `count`.

use super::*;

fn log(name: &str, lines: &[&str]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("yarrowhill-count-{name}-{}.log", std::process::id()));
    std::fs::write(&path, lines.join("\n")).expect("written");
    path
}

const STARTS: &str = "2026-12-01T20:00:00.000000Z DEBUG starts settings=Settings { classes: [Class { effect: \
                      Unsafe, aim: 1 }, Class { effect: Keyed { life: 2000000, per_zone: false }, aim: 1 }] }";

#[test]
fn counts_each_step_and_names_suspected_breaches() {
    let a = log(
        "a",
        &[
            STARTS,
            "2026-12-01T20:00:01.000000Z DEBUG taken id=m1 class=0 dest=7 left=5 past=MessageHistory { attempts: 0 }",
            "2026-12-01T20:00:01.100000Z DEBUG sent id=m1 attempt=0 endpoint=3 dest=7 call=1",
            "2026-12-01T20:00:01.200000Z DEBUG written endpoint=3 first=\"m1\" kept=false",
            "2026-12-01T20:00:02.000000Z DEBUG ended id=\"m1\" attempt=0 outcome=Reset took=9 report=None",
            "2026-12-01T20:00:02.100000Z DEBUG sent id=m1 attempt=1 endpoint=3 dest=7 call=2",
            "2026-12-01T20:00:02.200000Z DEBUG ended id=\"m1\" attempt=1 outcome=Full { wait: Some(3000000) } took=9",
            "2026-12-01T20:00:03.000000Z DEBUG sent id=m1 attempt=2 endpoint=3 dest=7 call=3",
            "2026-12-01T20:00:03.500000Z DEBUG given up id=m1 end=Failed taken_on=true",
            "",
        ],
    );
    let b = log(
        "b",
        &[
            STARTS,
            "1.000 2026-12-01T20:00:01.000000Z DEBUG taken id=m2 class=1 dest=7 left=5 past=MessageHistory { attempts: 0 }",
            "2026-12-01T20:00:01.100000Z DEBUG sent id=m2 attempt=0 endpoint=3 dest=7 call=1",
            "2026-12-01T20:00:02.000000Z DEBUG ended id=\"m2\" attempt=0 outcome=TimedOut took=9",
            "2026-12-01T20:00:03.000000Z DEBUG sent id=m2 attempt=1 endpoint=3 dest=7 call=2",
            "2026-12-01T20:00:03.200000Z DEBUG sent id=m2 attempt=2 endpoint=3 dest=7 call=2",
            "2026-12-01T20:00:03.300000Z DEBUG ended id=\"m2\" attempt=2 outcome=Delivered took=9",
            "",
        ],
    );
    let counts = count(&[a, b]);
    assert!(counts.log_errors.is_empty(), "{:?}", counts.log_errors);
    let mut sum = Cell::default();
    counts.cells.values().for_each(|cell| sum.add(cell));
    let expected = Cell {
        taken: 2,
        sent: 6,
        written: 1,
        delivered: 1,
        full: 1,
        never_ran: 0,
        may_have_run: 2,
        refused: 0,
        failed: 1,
    };
    assert_eq!(sum, expected);
    assert_eq!((counts.messages, counts.delivered), (2, 1));
    let suspected: Vec<_> = counts.suspected_breaches.iter().map(|s| (s.id.as_str(), s.rule)).collect();
    assert_eq!(
        suspected,
        [
            ("m1", "unsafe, sent after an attempt that may have run"),
            ("m1", "unsafe, sent after an attempt that may have run"),
            ("m1", "sent within a wait"),
            ("m2", "keyed, sent after its key expired"),
        ]
    );
}

#[test]
fn reports_missing_empty_truncated_and_unrecognized_logs_and_counts_the_rest() {
    let cut = log(
        "cut",
        &[
            "2026-12-01T20:00:01.000000Z DEBUG taken id=m1 class=0 dest=7 left=5",
            "2026-12-01T20:00:01.100000Z DEBUG se",
        ],
    );
    let empty = log("empty", &[]);
    let unrecognized = log("unrecognized", &["what is this", "and this", ""]);
    let counts = count(&[cut, empty, unrecognized, PathBuf::from("/nowhere.log")]);
    let errors: Vec<_> = counts.log_errors.iter().map(|(_, what)| what.as_str()).collect();
    assert_eq!(errors.len(), 4, "{errors:?}");
    assert!(errors[0].contains("cut off") && errors[1].contains("empty") && errors[2].contains("no line"));
    assert_eq!(counts.cells.values().map(|c| c.taken).sum::<u64>(), 1);
}
