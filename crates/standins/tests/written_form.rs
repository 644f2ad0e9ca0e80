//! The written (JSON) form of ledgers, outage parameters and faults, which `rig` prints and scripts store:
//! Rust names may change, the written ones must not.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use yarrowhill_checker::{ColdStart, Entry, FleetEntry};
use yarrowhill_standins::{Faults, Malformed};

/// Reads a value from its written form and writes it again.
fn round_trip<T: Serialize + DeserializeOwned>(written: &Value) -> Value {
    let read: T = serde_json::from_value(written.clone()).expect("the written form is readable");
    serde_json::to_value(read).expect("the value is writable")
}

#[test]
fn keeps_the_written_names_of_ledger_events() {
    let events = json!([
        {"Sent": {"id": "a", "class": "safe", "dest": 7, "deadline_ms": 9.0, "order_key": "k"}},
        {"Heard": {"id": "a", "answer": {"Status": 202}}},
        {"Heard": {"id": "a", "answer": "Broken"}},
        {"Heard": {"id": "a", "answer": "Left"}},
        {"Began": {"call": 1, "uid": "s", "dest": 7}},
        {"Called": {"call": 1, "uid": "s", "dest": 7, "ids": ["a"]}},
        {"Answered": {"call": 1, "wait_ms": 5.0, "ends":
            [["a", "Delivered"], ["b", "MayHaveRun"], ["c", "NeverRan"], ["d", "Over"]]}},
        {"Broke": {"call": 1}},
        {"Listed": {"uid": "s", "standing": "InService"}},
        {"Listed": {"uid": "s", "standing": "Terminating"}},
        {"Listed": {"uid": "s", "standing": "Terminated"}},
        {"Notice": {"id": "a", "handed_back": true, "acknowledged": false}},
        {"Outage": {"dest": 7, "back": true, "capacity": 2.0}},
        {"Forwarder": "Ready"},
        {"Forwarder": "Ending"},
    ]);
    for event in events.as_array().expect("an array") {
        let entry = json!({"at": 1.0, "event": event});
        assert_eq!(round_trip::<Entry>(&entry), entry);
    }
}

#[test]
fn keeps_the_written_names_of_fleet_events() {
    let claim = json!({"who": 1, "span": [1, 2], "standing": "majority", "acts": true,
        "serves": [true, true, false], "view": "v", "voters": [0], "there": [1], "states": ["alive"], "senders": 2, "boots": [3]});
    let events = json!([
        {"Started": 0},
        {"Ended": 0},
        {"Stopped": 0},
        {"Woken": 0},
        {"Link": {"from": 0, "to": 1, "open": true}},
        {"Weather": {"rough": true}},
        {"Carried": {"from": 0, "to": 1, "packets": 3, "lost": 2, "streams": 1}},
        {"Disk": {"who": 0, "full": true}},
        {"Twin": {"who": 0, "lives": true}},
        {"Written": {"who": 0, "boot": 3}},
        {"Began": {"from": 0, "dest": 7}},
        {"Waits": {"who": 0, "dest": 7, "wait": 5.0}},
        {"Outage": {"dest": 7, "back": false}},
        {"Roster": {"version": 2}},
        {"Limit": {"calls": 10.0}},
        {"Told": claim},
        {"Holds": {"who": 0, "life": 1, "duty": "d", "token": 2, "span": [1, 2], "step": 3}},
        {"TwinTold": claim},
    ]);
    for event in events.as_array().expect("an array") {
        let entry = json!({"at": 1.0, "event": event});
        assert_eq!(round_trip::<FleetEntry>(&entry), entry);
    }
}

#[test]
fn keeps_the_written_names_of_faults() {
    let faults = json!({"error": 0.5, "spoilt": 0.5, "silent": 0.5, "late": 0.5, "reset": 0.5, "copy": 0.5,
        "copy_after": 0.5, "mixed": 0.5, "last_moment": 0.5});
    assert_eq!(round_trip::<Faults>(&faults), faults);
}

#[test]
fn keeps_the_written_names_of_malformed_answers_and_outage_parameters() {
    let kinds = ["Noise", "Head", "EndlessHead", "Length", "Huge", "Cut", "NoiseBehind", "Report", "Interim"];
    for kind in kinds {
        assert_eq!(round_trip::<Malformed>(&json!(kind)), json!(kind));
    }
    let cold = json!({"found": 1.0, "start": 0.2, "warm": 3.0, "tries": 4.0, "late": 5.0});
    assert_eq!(round_trip::<ColdStart>(&cold), cold);
}
