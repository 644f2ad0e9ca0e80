//! Tests of `document`.

use super::*;

fn diagnostics(text: &str) -> Vec<String> {
    let diagnostics = parse_document("f", text, "n0").err().unwrap_or_default();
    diagnostics.iter().map(ToString::to_string).collect()
}

#[test]
fn reports_every_fault_with_its_position() {
    let reported = diagnostics(
        "fleet version=0 wrong=1 loopback=#true {\n  member \"n0\" address=\"10.0.0.1:7\"\n  \
         member \"n1\" address=\"nowhere\"\n  member\n  seat \"n2\"\n}",
    );
    for part in
        ["version is 0", "unknown property \"wrong\"", "not on loopback", "nowhere", "without a name", "seat"]
    {
        assert!(reported.iter().any(|f| f.contains(part)), "{part}: {reported:#?}");
    }
    assert!(reported.iter().any(|f| f.starts_with("f:3:3:")), "{reported:#?}");
}

#[test]
fn accepts_each_duty_once() {
    let text =
        |duties: &str| format!("fleet version=1 {{ member \"n0\" address=\"127.0.0.1:7\"\n{duties}\n}}");
    let document = parse_document("f", &text("duty \"a\" zone=\"z\"\nduty \"b\""), "n0").expect("valid");
    assert_eq!(document.duties, [Duty { name: "a".into(), zone: Some("z".into()) }, Duty::new("b")]);
    let reported = diagnostics(&text("duty \"a\"\nduty \"a\" room=1\nduty"));
    for part in ["a second duty", "unknown property \"room\"", "without a name"] {
        assert!(reported.iter().any(|f| f.contains(part)), "{part}: {reported:?}");
    }
}

#[test]
fn keeps_limits_on_calls_and_on_retries_apart() {
    let text =
        |limits: &str| format!("fleet version=1 {{ member \"n0\" address=\"127.0.0.1:7\"\n{limits}\n}}");
    let document =
        parse_document("f", &text("limit 7 calls=10 further=1.5\nlimit 8 further=2"), "n0").expect("valid");
    let calls: Vec<(u64, u64)> = document.limits.iter().map(|(n, l)| (*n, l.calls)).collect();
    let retries = [7, 8].map(retry_limit_id);
    assert_eq!(calls, [(7, 10 * CALL), (retries[0], 3 * CALL / 2), (retries[1], 2 * CALL)]);
    for (limit, expected) in [
        ("limit 7", "without `calls` or `further`"),
        ("limit calls=3", "without a destination"),
        ("limit 9223372036854775815 calls=1", "without a destination"),
        ("limit 7 further=#true", "further is #true"),
        ("limit 7 calls=1\nlimit 7 calls=2", "a second limit"),
    ] {
        assert!(
            diagnostics(&text(limit)).iter().any(|f| f.contains(expected)),
            "{limit}: {:?}",
            diagnostics(&text(limit))
        );
    }
}

#[test]
fn rejects_a_roster_without_the_local_member_or_with_duplicates() {
    let other = "fleet version=1 { member \"n1\" address=\"127.0.0.1:7\"; }";
    assert!(diagnostics(other)[0].contains("not a member"));
    let same_name = "fleet version=1 { member \"n0\" address=\"127.0.0.1:7\"; \
         member \"n0\" address=\"127.0.0.1:8\"; }";
    assert!(diagnostics(same_name)[0].contains("twice"), "{:?}", diagnostics(same_name));
    let same_address = "fleet version=1 { member \"n0\" address=\"127.0.0.1:7\"; \
         member \"n1\" address=\"127.0.0.1:7\"; }";
    assert!(diagnostics(same_address)[0].contains("another member's address"));
    assert!(!diagnostics("fleet {").is_empty());
    assert!(!diagnostics("").is_empty());
}
