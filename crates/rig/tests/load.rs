//! Load tests of the real program: messages that are submitted again under the same id must not run twice.

use std::path::Path;
use yarrowhill_rig::{Load, LoadOutcome, play_load};

async fn play(name: &str, load: Load) -> LoadOutcome {
    let folder = std::env::temp_dir().join(format!("yarrowhill-load-{name}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_yarrowhill-faulty"));
    let outcome = play_load(&load, program, &folder).await.expect("the load can be played");
    let _ = std::fs::remove_dir_all(&folder);
    assert!(
        outcome.is_clean(),
        "{:?} {:?}",
        outcome.crashed,
        &outcome.breaches[..outcome.breaches.len().min(5)]
    );
    println!("{name}: {outcome:?}");
    outcome
}

/// One test, so that the loads run one after another and do not reduce each other's rate.
#[tokio::test(flavor = "multi_thread")]
async fn never_runs_resubmitted_messages_twice() {
    let outcome = play("calm", Load::default()).await;
    let resubmitted: usize = outcome.resubmitted.values().sum();
    assert!(resubmitted > 50, "{resubmitted} resubmitted");
    // Each resubmission is answered with the end of the message, or with 202 while the message is still held.
    assert!(
        outcome.resubmitted.keys().all(|status| matches!(status, 200 | 202)),
        "{:?}",
        outcome.resubmitted
    );

    let outcome = play("killed", Load { kills: 2, seed: 2, ..Load::default() }).await;
    assert!(outcome.resubmitted.values().sum::<usize>() > 50, "{:?}", outcome.resubmitted);

    // From one shard to four, to two, and back to one: open messages and remembered ends move to the new
    // shards.
    let outcome =
        play("resharded", Load { kills: 3, seed: 4, shards: vec![1, 4, 2, 1], ..Load::default() }).await;
    assert!(outcome.resubmitted.values().sum::<usize>() > 50, "{:?}", outcome.resubmitted);

    // The ends of about one second fill the disk: further messages are refused, and no end is forgotten for
    // them.
    let full = Load { disk_mb: 0.12, seed: 3, ..Load::default() };
    let outcome = play("full", full).await;
    assert!(outcome.total(|a| a.refused) > 100, "{:?}", outcome.accounts);
    assert!(outcome.total(|a| a.taken_on) > 100, "{:?}", outcome.accounts);
}
