//! Parsing of valid documents, and diagnostics with their locations for faulty ones.

use yarrowhill_routes::{Action, Affinity, Diagnostic, Hours, Message, Router, parse};

const VALID: &str = r#"
partner "issuer-a" dest=7 {
    pool "near" zone="hall-a" priority=1
    pool "far" zone="hall-b" priority=2 weight=3
}
addresses "stations" "10.1.0.0/16" "2001:db8::/32"
rule "night" {
    match class="settle-order" partner="issuer-a" hours="22:00-06:00"
    refuse wait="30m"
}
rule "stations" {
    match partner="issuer-a" from="stations" header="X-Trial: yes" least=10 most=2000
    split by="owner" {
        pool "near" weight=1
        pool "far" weight=9
    }
}
rule "rest" {
    match partner="issuer-a"
    pool "near"
}
"#;

fn diagnostics(text: &str) -> Vec<Diagnostic> {
    parse(&[("a.kdl".into(), text.into())]).expect_err("the document is faulty")
}

#[test]
fn parses_a_document_and_routes_messages() {
    let routes = parse(&[("a.kdl".into(), VALID.into())]).unwrap_or_else(|f| panic!("{f:#?}"));
    assert_eq!(routes.rules[0].condition.hours, Some(Hours { from: 22 * 60, until: 6 * 60 }));
    assert!(matches!(routes.rules[1].action, Action::Split { affinity: Affinity::Owner, .. }));
    let router = Router::new(routes);
    let order = Message { class: "settle-order", dest: 7, minute: 5 * 60, ..Message::default() };
    let rule_name = |m: &Message<'_>| router.route(m).map(|rule| rule.name.clone());
    assert_eq!(rule_name(&order).as_deref(), Some("night"));
    assert_eq!(rule_name(&Message { minute: 6 * 60, ..order }).as_deref(), Some("rest"));
    let from = "10.1.2.3".parse().ok();
    let trial = Message {
        class: "auth-notice",
        source: from,
        headers: &[("x-trial", "yes")],
        body_bytes: 10,
        ..order
    };
    assert_eq!(rule_name(&trial).as_deref(), Some("stations"));
    assert_eq!(rule_name(&Message { body_bytes: 9, ..trial }).as_deref(), Some("rest"));
    assert_eq!(rule_name(&Message { dest: 8, ..order }), None);
}

#[test]
fn resolves_names_defined_in_a_later_fragment() {
    let (first, second) = VALID.split_at(VALID.find("rule \"night\"").expect("the document has this rule"));
    let fragments = [("b.kdl".into(), second.into()), ("a.kdl".into(), first.into())];
    assert!(parse(&fragments).is_ok());
}

/// Each replacement makes the document faulty; the diagnostic must have the given line, column and part of
/// its text.
#[test]
fn reports_each_fault_with_its_location() {
    let cases = [
        ("partner \"issuer-a\" dest=7", "partner \"issuer-a\" des=7", (2, 20), "unknown key \"des\""),
        ("dest=7", "dest=-7", (2, 20), "-7"),
        ("zone=\"hall-a\"", "zone=4", (3, 17), "expected a non-empty string, found 4"),
        ("pool \"far\"", "pool \"near\"", (4, 10), "already defined at a.kdl:3:10"),
        ("\"10.1.0.0/16\"", "\"10.1.0.0/40\"", (6, 22), "not an IP address or network"),
        ("\"10.1.0.0/16\" \"2001:db8::/32\"", "", (6, 1), "are empty"),
        ("partner=\"issuer-a\" hours", "partner=\"issuer-b\" hours", (8, 32), "no partner \"issuer-b\""),
        ("22:00-06:00", "22:00-22:00", (8, 51), "not valid hours"),
        ("wait=\"30m\"", "wait=\"30d\"", (9, 12), "no wait duration"),
        ("wait=\"30m\"", "", (9, 5), "without a wait"),
        ("from=\"stations\"", "from=\"station\"", (12, 30), "no addresses \"station\""),
        ("least=10 most=2000", "least=2001 most=2000", (12, 5), "no body length can match"),
        ("pool \"near\" weight=1", "pool \"mid\" weight=1", (14, 14), "no pool \"mid\""),
        ("weight=1\n        pool \"far\" weight=9", "weight=0", (13, 5), "sum to 0"),
        ("rule \"rest\"", "rule \"night\"", (18, 6), "already defined at a.kdl:7:6"),
        ("rule \"rest\"", "route \"rest\"", (18, 1), "unknown node \"route\""),
        ("    pool \"near\"\n}\n", "}\n", (18, 1), "0 actions"),
    ];
    for (from, to, (line, column), part) in cases {
        let text = VALID.replacen(from, to, 1);
        assert_ne!(text, VALID, "{from}");
        let found = diagnostics(&text);
        let matches = |f: &Diagnostic| {
            (f.location.line, f.location.column) == (line, column) && f.problem.contains(part)
        };
        assert!(found.iter().any(matches) && found.iter().all(|f| !f.remedy.is_empty()), "{to}: {found:#?}");
    }
}

#[test]
fn reports_all_faults_at_once() {
    let text = VALID.replacen("dest=7", "dest=x", 1).replacen("30m", "never", 1).replacen("zone", "zoen", 1);
    // A syntax error hides the other faults of its own fragment only.
    let result = parse(&[("a.kdl".into(), text), ("b.kdl".into(), "rule \"x\" {\n".into())]);
    let found = result.expect_err("the document is faulty");
    assert!(found.iter().any(|f| f.location.file == "b.kdl"), "{found:#?}");
}

#[test]
fn reports_a_rule_that_never_matches() {
    let rule = |name: &str, when: &str| {
        format!("rule \"{name}\" {{\n    match {when}\n    refuse wait=\"1s\"\n}}\n")
    };
    let sets = "addresses \"wide\" \"10.0.0.0/8\"\naddresses \"narrow\" \"10.1.0.0/16\"\n";
    for (wide, narrow, shadowed) in [
        ("class=\"a\"", "class=\"a\" owner=\"o\"", true),
        ("class=\"a\" owner=\"o\"", "class=\"a\"", false),
        ("class=\"a\" class=\"b\"", "class=\"b\"", true),
        ("class=\"a\"", "class=\"a\" class=\"b\"", false),
        ("hours=\"20:00-08:00\"", "hours=\"22:00-06:00\"", true),
        ("hours=\"22:00-06:00\"", "hours=\"20:00-08:00\"", false),
        ("hours=\"20:00-08:00\"", "hours=\"07:00-09:00\"", false),
        ("from=\"wide\"", "from=\"narrow\"", true),
        ("from=\"narrow\"", "from=\"wide\"", false),
        ("least=5", "least=6 most=9", true),
        ("most=8", "least=6 most=9", false),
        ("header=\"a: b\"", "header=\"A: b\" header=\"c: d\"", true),
    ] {
        let text = format!("{sets}{}{}", rule("first", wide), rule("second", narrow));
        match parse(&[("a.kdl".into(), text)]) {
            Ok(_) => assert!(!shadowed, "{wide} before {narrow}"),
            Err(found) => {
                assert!(shadowed, "{wide} before {narrow}: {found:#?}");
                assert!(
                    found[0].problem.contains("never matches") && found[0].location.line == 7,
                    "{found:#?}"
                );
            }
        }
    }
}

#[test]
fn refuses_a_file_that_is_too_large() {
    let long = format!("// {}\n", "x".repeat(yarrowhill_routes::MAX_FILE_BYTES));
    assert!(diagnostics(&long)[0].problem.contains("file too large"));
}
