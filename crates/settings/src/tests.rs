//! Tests of reading nested settings.

use super::*;
use yarrowhill_policy::api::Effect;

#[test]
fn reads_nested_settings_like_those_of_the_wire() {
    let settings = serde_json::json!({
        "classes": [{"name": "auth-notice", "idempotency": "token", "dedupScope": "all",
                     "keyTtl": 15000.0, "goalTime": 3000.0, "deadline": 28000.0}],
        "kinds": ["card-issuer", "small-partner"],
        "familyInfo": {"batchByKind": [20, 1], "kindApart": [false, true], "slots": 15},
        "realms": [{"name": "two words", "quotaRps": 2.5}],
        "report": {"fields": ["x0", "x1"]},
        "limits": {"cancel": true, "absent": null},
        "zone": "hall-b", "zones": ["hall-a", "hall-b"]
    });
    let mut pairs = Vec::new();
    flatten("", &settings, &mut pairs);
    let (read, names) = from_pairs(&pairs).expect("the settings are well formed");
    assert_eq!(read.classes[0].effect, Effect::Keyed { life: 15_000_000, per_zone: false });
    assert_eq!((read.classes[0].target_latency, read.slots, read.zone), (3_000_000, 15, 1));
    assert_eq!(
        (read.kinds[0].max_batch, read.kinds[1].independent_endpoints, read.may_cancel),
        (20, true, true)
    );
    assert_eq!((names.classes, names.tenants), (vec!["auth-notice".into()], vec!["two_words".into()]));
}
