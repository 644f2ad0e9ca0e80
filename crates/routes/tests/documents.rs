//! What is read, and what is refused as a whole with every fault at its place.

use yarrowhill_routes::{Action, Affinity, Diagnostic, Hours, Message, Router, parse};

const GOOD: &str = r#"
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

fn faults(text: &str) -> Vec<Diagnostic> {
    parse(&[("a.kdl".into(), text.into())]).expect_err("it has faults")
}

#[test]
fn a_document_is_read_and_routes() {
    let routes = parse(&[("a.kdl".into(), GOOD.into())]).unwrap_or_else(|f| panic!("{f:#?}"));
    assert_eq!(routes.rules[0].condition.hours, Some(Hours { from: 22 * 60, until: 6 * 60 }));
    assert!(matches!(routes.rules[1].action, Action::Split { affinity: Affinity::Owner, .. }));
    let router = Router::new(routes);
    let order = Message { class: "settle-order", dest: 7, minute: 5 * 60, ..Message::default() };
    let named = |m: &Message<'_>| router.route(m).map(|rule| rule.name.clone());
    assert_eq!(named(&order).as_deref(), Some("night"));
    assert_eq!(named(&Message { minute: 6 * 60, ..order }).as_deref(), Some("rest"));
    let from = "10.1.2.3".parse().ok();
    let trial = Message {
        class: "auth-notice",
        source: from,
        headers: &[("x-trial", "yes")],
        body_bytes: 10,
        ..order
    };
    assert_eq!(named(&trial).as_deref(), Some("stations"));
    assert_eq!(named(&Message { body_bytes: 9, ..trial }).as_deref(), Some("rest"));
    assert_eq!(named(&Message { dest: 8, ..order }), None);
}

#[test]
fn a_rule_may_name_what_a_later_fragment_has() {
    let (first, second) = GOOD.split_at(GOOD.find("rule \"night\"").expect("it is there"));
    let fragments = [("b.kdl".into(), second.into()), ("a.kdl".into(), first.into())];
    assert!(parse(&fragments).is_ok());
}

/// Each mistake, and what the fault must name: line, column and a word of it.
#[test]
fn every_mistake_is_named_at_its_place() {
    let mistakes = [
        ("partner \"issuer-a\" dest=7", "partner \"issuer-a\" des=7", (2, 20), "unknown key \"des\""),
        ("dest=7", "dest=-7", (2, 20), "-7"),
        ("zone=\"hall-a\"", "zone=4", (3, 17), "4 is no name"),
        ("pool \"far\"", "pool \"near\"", (4, 10), "stands at a.kdl:3:10 already"),
        ("\"10.1.0.0/16\"", "\"10.1.0.0/40\"", (6, 22), "no address"),
        ("\"10.1.0.0/16\" \"2001:db8::/32\"", "", (6, 1), "empty"),
        ("partner=\"issuer-a\" hours", "partner=\"issuer-b\" hours", (8, 32), "no partner \"issuer-b\""),
        ("22:00-06:00", "22:00-22:00", (8, 51), "no hours"),
        ("wait=\"30m\"", "wait=\"30d\"", (9, 12), "no wait"),
        ("wait=\"30m\"", "", (9, 5), "without a wait"),
        ("from=\"stations\"", "from=\"station\"", (12, 30), "no addresses \"station\""),
        ("least=10 most=2000", "least=2001 most=2000", (12, 5), "no body"),
        ("pool \"near\" weight=1", "pool \"mid\" weight=1", (14, 14), "no pool \"mid\""),
        ("weight=1\n        pool \"far\" weight=9", "weight=0", (13, 5), "sum to 0"),
        ("rule \"rest\"", "rule \"night\"", (18, 6), "already"),
        ("rule \"rest\"", "route \"rest\"", (18, 1), "unknown node \"route\""),
        ("    pool \"near\"\n}\n", "}\n", (18, 1), "0 actions"),
    ];
    for (from, to, (line, column), word) in mistakes {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let found = faults(&text);
        let fits = |f: &Diagnostic| {
            (f.location.line, f.location.column) == (line, column) && f.problem.contains(word)
        };
        assert!(found.iter().any(fits) && found.iter().all(|f| !f.remedy.is_empty()), "{to}: {found:#?}");
    }
}

#[test]
fn all_faults_are_told_at_once() {
    let text = GOOD.replacen("dest=7", "dest=x", 1).replacen("30m", "never", 1).replacen("zone", "zoen", 1);
    // What is no KDL at all hides the rest of its own fragment only.
    let read = parse(&[("a.kdl".into(), text), ("b.kdl".into(), "rule \"x\" {\n".into())]);
    let found = read.expect_err("it has faults");
    assert!(found.iter().any(|f| f.location.file == "b.kdl"), "{found:#?}");
}

#[test]
fn a_rule_that_never_matches_is_a_fault() {
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
        let read = parse(&[("a.kdl".into(), text)]);
        match read {
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
fn what_is_too_much_is_refused() {
    let long = format!("// {}\n", "x".repeat(yarrowhill_routes::MAX_FILE_BYTES));
    assert!(faults(&long)[0].problem.contains("are the most"));
}
