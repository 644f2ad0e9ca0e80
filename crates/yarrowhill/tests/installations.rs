//! The real program on configurations of other installations: what their settings leave out, and what they have more of.

mod support;

use serde_json::{Value, json};
use std::process::Command;
use std::time::{Duration, Instant};
use support::{Discovery, Forwarder, Stub, request, target};

/// No limits, no reports, no owners and no weights are told; a repeat is dropped for a second.
fn bare(c: &mut Value) {
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

/// Twelve owners, with names as people write them, short deadlines and few attempts.
fn many_owners(c: &mut Value) {
    let owners: Vec<Value> =
        (0..12).map(|n| json!({"name": format!("Owner {n}, Ltd"), "quotaRps": 5.0 + f64::from(n)})).collect();
    let settings = &mut c["settings"];
    settings["realms"] = json!(owners);
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

async fn hand_in(f: &Forwarder, class: &str, id: &str, owner: &str) -> u16 {
    let key = format!("key-{id}");
    let headers = [
        ("Req-Id", id),
        ("Req-Owner", owner),
        ("Req-Deadline-Ms", "3000"),
        ("Idempotency-Key", &key),
        ("Envelope", "dest=7"),
    ];
    let path = format!("/{class}");
    request(f.addr, "POST", &path, &headers, b"x").await.expect("an answer").status().as_u16()
}

/// Without a bound on calls in the settings there was room for one client alone, and without one on connections each
/// had a millisecond to come up.
#[tokio::test]
async fn settings_without_limits_serve_many_clients_at_once() {
    let (_discovery, mut stub, f) = installation(bare).await;
    let resting: Vec<_> = (0..5).map(|_| std::net::TcpStream::connect(f.addr).expect("it listens")).collect();
    for (n, class) in ["drop-notice", "hand-over", "position"].iter().cycle().take(9).enumerate() {
        assert_eq!(hand_in(&f, class, &format!("m{n}"), "anybody").await, 202, "{class}");
        stub.next().await.answer(200);
    }
    drop(resting);
}

/// A key that is remembered for a second is not used again after it, whatever became of the call.
#[tokio::test]
async fn a_window_of_a_second_is_kept() {
    let (mut discovery, mut stub, f) = installation(bare).await;
    assert_eq!(hand_in(&f, "drop-notice", "m", "").await, 202);
    let call = stub.next().await;
    let sent = Instant::now();
    tokio::time::sleep(Duration::from_millis(960)).await;
    call.hang_up();
    assert_eq!(discovery.notice().await["outcome"], "given_up");
    assert!(stub.is_quiet(Duration::from_millis(300)).await, "sent again after {:?}", sent.elapsed());
}

#[tokio::test]
async fn owners_and_classes_with_spaces_in_their_names_are_known() {
    let (_discovery, mut stub, f) = installation(many_owners).await;
    for n in 0..12 {
        let class = if n % 2 == 0 { "fare%20note" } else { "gate-order" };
        assert_eq!(hand_in(&f, class, &format!("m{n}"), &format!("Owner {n}, Ltd")).await, 202, "{n}");
        stub.next().await.answer(200);
    }
    assert_eq!(hand_in(&f, "gate-order", "x", "Owner 12, Ltd").await, 400);
}

#[tokio::test]
async fn a_short_deadline_ends_in_time() {
    let (mut discovery, mut stub, f) = installation(many_owners).await;
    assert_eq!(hand_in(&f, "gate-order", "m", "Owner 1, Ltd").await, 202);
    let taken = Instant::now();
    let _silent = stub.next().await;
    assert_eq!(discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    assert!(taken.elapsed() < Duration::from_millis(3300), "{:?}", taken.elapsed());
}

/// Where discovery has to be asked, it is: also by one of many.
#[tokio::test]
async fn a_discovery_that_answers_when_asked_is_asked() {
    let (discovery, stub, f) = installation(|c| c["settings"]["discovery"] = json!("ask")).await;
    let mut other = Stub::start().await;
    discovery.push_whole(2, vec![target("u", other.addr, 7, "plain", "in_service")]);
    let told = Instant::now();
    for n in 0.. {
        assert_eq!(hand_in(&f, "keyed", &format!("m{n}"), "acme").await, 202);
        if other.next_within(Duration::from_millis(100)).await.map(|call| call.answer(200)).is_some() {
            break;
        }
    }
    assert!(told.elapsed() < Duration::from_secs(6), "{:?}", told.elapsed());
    drop(stub);
}

/// A value that can't be read is refused at the start, with its path and what was expected there.
#[test]
fn an_unreadable_setting_is_refused_with_its_path() {
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
        *settings.pointer_mut(path).expect("it is there") = value;
        let file =
            std::env::temp_dir().join(format!("yarrowhill-fault-{}-{number}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("a temporary file");
        let output = Command::new(env!("CARGO_BIN_EXE_yarrowhill"))
            .arg("check-config")
            .arg(&file)
            .output()
            .expect("the program starts");
        let _ = std::fs::remove_file(&file);
        let told = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{path}: accepted");
        assert!(expected.iter().all(|word| told.contains(word)), "{path}: {told}");
    }
}
