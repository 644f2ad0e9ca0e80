//! Tests of the real program with configurations of other installations, which leave out some settings and
//! have more of others.

mod support;

use serde_json::{Value, json};
use std::process::Command;
use std::time::{Duration, Instant};
use support::{Discovery, Forwarder, Stub, request, target};

/// Settings without limits, reports, tenants and weights; idempotency keys are kept for one second.
fn minimal_settings(c: &mut Value) {
    c["settings"] = json!({
        "classes": [
            {"name": "drop-notice", "idempotency": "token", "dedupScope": "zone", "keyTtl": 1000.0,
             "goalTime": 2500.0, "deadline": 15000.0, "worth": 1.0, "lateShare": 0.3},
            {"name": "hand-over", "idempotency": "side_effect", "goalTime": 1500.0, "deadline": 10000.0},
            {"name": "position", "idempotency": "pure", "goalTime": 500.0, "deadline": 2000.0}
        ],
        "kinds": ["plain"], "zones": ["a"], "zone": "a"
    });
}

/// Twelve tenants whose names have spaces and punctuation, short deadlines and few attempts.
fn many_tenants(c: &mut Value) {
    let tenants: Vec<Value> =
        (0..12).map(|n| json!({"name": format!("Owner {n}, Ltd"), "quotaRps": 5.0 + f64::from(n)})).collect();
    let settings = &mut c["settings"];
    settings["realms"] = json!(tenants);
    settings["limits"]["maxAttempts"] = json!(3);
    settings["guarantees"]["stopSendingWithin"] = json!(250.0);
    settings["classes"] = json!([
        {"name": "fare note", "idempotency": "token", "dedupScope": "all", "keyTtl": 2500.0,
         "goalTime": 900.0, "deadline": 4000.0, "worth": 1.0, "lateShare": 0.3},
        {"name": "gate-order", "idempotency": "side_effect", "goalTime": 800.0, "deadline": 3000.0}
    ]);
}

async fn installation(change: impl FnOnce(&mut Value)) -> (Discovery, Stub, Forwarder) {
    let (discovery, stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, change).await;
    (discovery, stub, forwarder)
}

async fn submit(forwarder: &Forwarder, class: &str, id: &str, tenant: &str) -> u16 {
    let key = format!("key-{id}");
    let headers = [
        ("Req-Id", id),
        ("Req-Owner", tenant),
        ("Req-Deadline-Ms", "3000"),
        ("Idempotency-Key", &key),
        ("Envelope", "dest=7"),
    ];
    let path = format!("/{class}");
    request(forwarder.addr, "POST", &path, &headers, b"x").await.expect("an answer").status().as_u16()
}

/// Guards against two faults: without a limit on calls in the settings only one client was served, and
/// without a connect timeout each connection had one millisecond to be established.
#[tokio::test]
async fn settings_without_limits_serve_many_clients_at_once() {
    let (_discovery, mut stub, forwarder) = installation(minimal_settings).await;
    let idle: Vec<_> = (0..5)
        .map(|_| std::net::TcpStream::connect(forwarder.addr).expect("the forwarder listens"))
        .collect();
    for (n, class) in ["drop-notice", "hand-over", "position"].iter().cycle().take(9).enumerate() {
        assert_eq!(submit(&forwarder, class, &format!("m{n}"), "anybody").await, 202, "{class}");
        stub.next().await.answer(200);
    }
    drop(idle);
}

/// A key that the destination keeps for one second is not used again after it, regardless of the outcome
/// of the call.
#[tokio::test]
async fn does_not_reuse_a_key_after_its_ttl_of_a_second() {
    let (mut discovery, mut stub, forwarder) = installation(minimal_settings).await;
    assert_eq!(submit(&forwarder, "drop-notice", "m", "").await, 202);
    let call = stub.next().await;
    let sent_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(960)).await;
    call.close_connection();
    assert_eq!(discovery.notice().await["outcome"], "given_up");
    assert!(stub.stays_quiet(Duration::from_millis(300)).await, "sent again after {:?}", sent_at.elapsed());
}

#[tokio::test]
async fn accepts_tenants_and_classes_whose_names_have_spaces() {
    let (_discovery, mut stub, forwarder) = installation(many_tenants).await;
    for n in 0..12 {
        let class = if n % 2 == 0 { "fare%20note" } else { "gate-order" };
        assert_eq!(submit(&forwarder, class, &format!("m{n}"), &format!("Owner {n}, Ltd")).await, 202, "{n}");
        stub.next().await.answer(200);
    }
    assert_eq!(submit(&forwarder, "gate-order", "x", "Owner 12, Ltd").await, 400);
}

#[tokio::test]
async fn a_message_with_a_short_deadline_ends_in_time() {
    let (mut discovery, mut stub, forwarder) = installation(many_tenants).await;
    assert_eq!(submit(&forwarder, "gate-order", "m", "Owner 1, Ltd").await, 202);
    let accepted_at = Instant::now();
    let _unanswered = stub.next().await;
    assert_eq!(discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    assert!(accepted_at.elapsed() < Duration::from_millis(3300), "{:?}", accepted_at.elapsed());
}

/// A discovery that does not push is polled, also by a forwarder that is one of several.
#[tokio::test]
async fn polls_a_discovery_that_does_not_push() {
    let (discovery, stub, forwarder) = installation(|c| c["settings"]["discovery"] = json!("ask")).await;
    let mut other = Stub::start().await;
    discovery.push_full_list(2, vec![target("u", other.addr, 7, "plain", "in_service")]);
    let pushed_at = Instant::now();
    for n in 0.. {
        assert_eq!(submit(&forwarder, "keyed", &format!("m{n}"), "acme").await, 202);
        if other.next_within(Duration::from_millis(100)).await.map(|call| call.answer(200)).is_some() {
            break;
        }
    }
    assert!(pushed_at.elapsed() < Duration::from_secs(6), "{:?}", pushed_at.elapsed());
    drop(stub);
}

/// An invalid value is refused at the start, with its path and the expected values.
#[test]
fn refuses_an_invalid_setting_with_its_path() {
    let faults = [
        ("/classes/0/deadline", json!("soon"), ["classes.0.deadline", "a number"]),
        ("/classes/1/idempotency", json!("maybe"), ["classes.1.idempotency", "side_effect"]),
        ("/classes/0/dedupScope", json!("galaxy"), ["classes.0.dedupScope", "zone"]),
        ("/limits/cancel", json!("perhaps"), ["limits.cancel", "true or false"]),
        ("/limits/maxAttempts", json!(-3), ["limits.maxAttempts", "a count"]),
        ("/weights", json!("heavy"), ["weights", "rough"]),
        ("/discovery", json!("guess"), ["discovery", "push or ask"]),
        ("/familyInfo/batchByKind", json!(["x", 1]), ["familyInfo.batchByKind", "numbers"]),
    ];
    for (number, (path, value, expected)) in faults.into_iter().enumerate() {
        let mut config = support::example();
        let settings = &mut config["settings"];
        for key in ["weights", "discovery"] {
            settings[key] = json!(if key == "weights" { "rough" } else { "push" });
        }
        *settings.pointer_mut(path).expect("the setting exists") = value;
        let file =
            std::env::temp_dir().join(format!("yarrowhill-fault-{}-{number}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("a temporary file");
        let output = Command::new(env!("CARGO_BIN_EXE_yarrowhill"))
            .arg("check-config")
            .arg(&file)
            .output()
            .expect("the program starts");
        let _ = std::fs::remove_file(&file);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{path}: accepted");
        assert!(expected.iter().all(|part| error.contains(part)), "{path}: {error}");
    }
}
