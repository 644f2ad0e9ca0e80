//! Many messages a second at the real program, some of them handed in once more: none takes effect twice.

use std::path::Path;
use yarrowhill_rig::{Load, LoadOutcome, play_load};

async fn play(name: &str, load: Load) -> LoadOutcome {
    let folder = std::env::temp_dir().join(format!("yarrowhill-load-{name}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_yarrowhill-faulty"));
    let loaded = play_load(&load, program, &folder).await.expect("it can be played");
    let _ = std::fs::remove_dir_all(&folder);
    assert!(loaded.is_clean(), "{:?} {:?}", loaded.crashed, &loaded.breaches[..loaded.breaches.len().min(5)]);
    println!("{name}: {loaded:?}");
    loaded
}

/// One test, so that the loads do not crowd each other.
#[tokio::test(flavor = "multi_thread")]
async fn what_comes_again_never_runs_twice() {
    let loaded = play("calm", Load::default()).await;
    let again: usize = loaded.resubmitted.values().sum();
    assert!(again > 50, "{again} came again");
    // Each is answered by its end, or by its being held still.
    assert!(loaded.resubmitted.keys().all(|status| matches!(status, 200 | 202)), "{:?}", loaded.resubmitted);

    let loaded = play("killed", Load { kills: 2, seed: 2, ..Load::default() }).await;
    assert!(loaded.resubmitted.values().sum::<usize>() > 50, "{:?}", loaded.resubmitted);

    // From one shard to four, to two, and back to one: what is open and what is over goes with its messages.
    let loaded =
        play("resharded", Load { kills: 3, seed: 4, shards: vec![1, 4, 2, 1], ..Load::default() }).await;
    assert!(loaded.resubmitted.values().sum::<usize>() > 50, "{:?}", loaded.resubmitted);

    // The ends of a second fill it: what has no room is refused, and nothing is forgotten to make some.
    let full = Load { disk_mb: 0.12, seed: 3, ..Load::default() };
    let loaded = play("full", full).await;
    assert!(loaded.total(|a| a.refused) > 100, "{:?}", loaded.accounts);
    assert!(loaded.total(|a| a.taken_on) > 100, "{:?}", loaded.accounts);
}
