//! Tests of the adapter with scripted frames.

use yarrowhill_adapter::{ServeError, serve};

const BOOT: &str = "BOOT forwarder=3 nonce64=51 classes.count=2 classes.0.name=note classes.0.idempotency=pure \
    classes.0.goalTime=3000.0 classes.0.deadline=16000.0 classes.0.worth=1.0 classes.0.lateShare=0.5 \
    classes.1.name=order classes.1.idempotency=side_effect classes.1.goalTime=3000.0 classes.1.deadline=16000.0 \
    discovery=ask familyInfo.batchByKind=1 familyInfo.kindApart=false familyInfo.slots=4 kinds=shop \
    limits.maxAttempts=6 limits.openCap=20 peersTotal=2 report.fields=x0,x1 round=5.0 zone=a zones=a,b some.new=thing";
const LIST: &str = "CATALOG sheet=0 entries=1\n\
    ROW target=515 site=a flavor=shop belongsTo=57 availability=SERVING scale=1\n\
    ENDPOINTS forwarder=3 serial=41 mode=stale_copy sheet=0";

fn run(frames: &[String]) -> (String, Result<(), ServeError>) {
    let mut out = Vec::new();
    let result = serve(frames.concat().as_bytes(), &mut out);
    (String::from_utf8(out).unwrap(), result)
}

fn frame(ms: f64, lines: &str) -> String {
    let gap = if lines.is_empty() { "" } else { "\n" };
    format!("FRAME time={ms}\n{lines}{gap}OVER_TO_YOU\n")
}

fn boot() -> String {
    frame(1000.0, &format!("{BOOT}\n{LIST}"))
}

fn submit(id: &str, class: &str) -> String {
    format!("SUBMIT forwarder=3 ref={id} priority={class} giveUpAt=17000.0 calledNode=57 newThing=1")
}

#[test]
fn answers_an_empty_frame_with_an_empty_reply() {
    let (out, result) = run(&[frame(8.25, "")]);
    result.unwrap();
    assert_eq!(out, "OK\n");
}

#[test]
fn sends_an_unsafe_message_once_and_fails_it_after_it_may_have_run() {
    let end =
        "RETURNED forwarder=3 ref=r1 go=0 target=515 how=255 elapsed=10.0 finished=0 healthInfo=0.4,1.25";
    let (out, result) =
        run(&[boot(), frame(1001.5, &submit("r1", "order")), frame(1012.0, end), frame(1013.0, end)]);
    result.unwrap();
    let lines: Vec<&str> = out.lines().filter(|l| !l.starts_with("SET_ALARM")).collect();
    assert_eq!(
        lines,
        [
            "SUBSCRIBE forwarder=3 want=1",
            "OK",
            "PASS_ON forwarder=3 ref=r1 target=515 allowFor=15998.5",
            "OK",
            "GIVE_UP forwarder=3 ref=r1",
            "OK",
            "OK",
        ]
    );
}

#[test]
fn ignores_unknown_events_ids_and_keys() {
    let unknown = "NEWS forwarder=3 what=ever\nCLIENT_LEFT forwarder=3 ref=nobody\nRING forwarder=3 handle=9";
    let (out, result) = run(&[boot(), frame(1001.0, unknown)]);
    result.unwrap();
    assert_eq!(out.lines().filter(|l| *l == "OK").count(), 2);
}

#[test]
fn keeps_nothing_of_an_instance_after_exit_and_boot() {
    let restart = format!("EXIT forwarder=3\n{BOOT}\nENDPOINTS forwarder=3 serial=1 mode=whole sheet=0");
    let end = "RETURNED forwarder=3 ref=r1 go=0 target=515 how=253 elapsed=10.0 finished=0";
    let (out, result) =
        run(&[boot(), frame(1001.0, &submit("r1", "order")), frame(1005.0, &restart), frame(1010.0, end)]);
    result.unwrap();
    assert!(!out.contains("GIVE_UP"), "{out}");
}

#[test]
fn two_instances_decide_like_a_single_one() {
    let for_both = |text: &str| format!("{text}\n{}", text.replace("forwarder=3", "forwarder=4"));
    let frames = [
        frame(
            1000.0,
            &format!(
                "{BOOT}\n{}\n{LIST}\n{}",
                BOOT.replace("=3", "=4"),
                LIST.replace("forwarder=3", "forwarder=4")
            ),
        ),
        frame(1001.0, &for_both(&submit("r1", "note"))),
    ];
    let (out, result) = run(&frames);
    result.unwrap();
    let actions_of = |n: u32| -> Vec<String> {
        let tag = format!("forwarder={n} ");
        out.lines().filter(|l| l.contains(&tag)).map(|l| l.replace(&tag, "")).collect()
    };
    assert!(actions_of(3).iter().any(|l| l.starts_with("PASS_ON")), "{out}");
    assert_eq!(actions_of(3).len(), actions_of(4).len());
}

#[test]
fn reports_line_and_field_of_malformed_lines() {
    let cases = [
        (submit("r1", "note").replace("17000.0", "soon"), "line 6: field giveUpAt"),
        (submit("r1", "note").replace("giveUpAt=17000.0 ", ""), "line 6: field giveUpAt: missing"),
        (submit("r1", "gossip"), "line 6: field priority"),
        ("RING forwarder=9 handle=1".into(), "line 6: field forwarder"),
        ("SUBMIT nonsense".into(), "line 6: field nonsense"),
        ("ENDPOINTS forwarder=3 serial=2 mode=whole sheet=5".into(), "line 6: field sheet"),
        (BOOT.replace("16000.0", "NaN"), "line 6: field classes.0.deadline"),
        (BOOT.replace("pure", "holy"), "line 6: field classes.0.idempotency"),
    ];
    for (line, expected) in cases {
        let frames = [boot(), frame(1001.0, &line)].concat();
        let lines_before = boot().lines().count() + 1;
        let (_, result) = run(&[frames]);
        let text = result.expect_err(&line).to_string();
        let expected = expected.replace("line 6", &format!("line {}", lines_before + 1));
        assert!(text.starts_with(&expected), "{text:?} for {line:?}, expected {expected:?}");
    }
}

#[test]
fn exits_with_failure_on_a_malformed_line() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let mut child = Command::new(env!("CARGO_BIN_EXE_yarrowhill-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(b"FRAME time=x\n").unwrap();
    let output = child.wait_with_output().unwrap();
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("line 1: field time"));
}
