//! Known bugs, planted by patches in a scratch copy. `rig bugs` plays all of them.

use yarrowhill_rig::{Bug, ScratchBuild, Sweep, patched_files, sweep};

/// Those that are built and played here: one each of journal, replay, answers and many messages.
const PLAYED: [Bug; 4] = [Bug::SendBeforeJournal, Bug::ForgetAttempt, Bug::DeferredDelivered, Bug::DropEnd];
/// Runs of what is made for each.
const SEEDS: u64 = 8;

#[test]
fn every_patch_fits() {
    for bug in Bug::ALL {
        let files = patched_files(*bug).unwrap_or_else(|e| panic!("{e}"));
        assert!(!files.is_empty(), "{} changes nothing", bug.name());
        assert!(files.keys().all(|f| !f.starts_with("crates/rig")), "{} bends the rig", bug.name());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planted_bug_is_caught() {
    let scratch = ScratchBuild::open().expect("a folder");
    for bug in PLAYED {
        let program = scratch.build(bug).unwrap_or_else(|e| panic!("{e}"));
        let seeds = (0..SEEDS).collect();
        let plan =
            Sweep { program: &program, seeds, jobs: 4, bug: Some(bug), shards: 1, stop_at_first: true };
        let caught = sweep(plan, |_, _| {}).await.expect("the runs can be played");
        let (seed, played) = caught.first().unwrap_or_else(|| panic!("{} is not caught", bug.name()));
        println!("{}: seed {seed}: {:?} {:?}", bug.name(), played.breaches.first(), played.crashed);
    }
}
