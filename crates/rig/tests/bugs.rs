//! Mutation tests: planted bugs, built in a scratch copy, must be caught. `rig bugs` plays all of them.

use yarrowhill_rig::{Bug, ScratchBuild, Sweep, patched_files, sweep};

/// Bugs that are built and played here: one each of journal, replay, answers and high load.
const PLAYED: [Bug; 4] = [Bug::SendBeforeJournal, Bug::ForgetAttempt, Bug::DeferredDelivered, Bug::DropEnd];
/// Maximum number of runs for each bug.
const SEEDS: u64 = 8;

#[test]
fn every_patch_applies_outside_the_rig() {
    for bug in Bug::ALL {
        let files = patched_files(*bug).unwrap_or_else(|e| panic!("{e}"));
        assert!(!files.is_empty(), "{} changes nothing", bug.name());
        assert!(files.keys().all(|f| !f.starts_with("crates/rig")), "{} changes the rig", bug.name());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn catches_planted_bugs() {
    let scratch = ScratchBuild::open().expect("the scratch folder can be opened");
    for bug in PLAYED {
        let program = scratch.build(bug).unwrap_or_else(|e| panic!("{e}"));
        let seeds = (0..SEEDS).collect();
        let plan = Sweep {
            program: &program,
            seeds,
            jobs: 4,
            bug: Some(bug),
            shards: 1,
            copied_answers: false,
            stop_at_first: true,
        };
        let caught = sweep(plan, |_, _| {}).await.expect("the runs can be played");
        let (seed, outcome) = caught.first().unwrap_or_else(|| panic!("{} is not caught", bug.name()));
        println!("{}: seed {seed}: {:?} {:?}", bug.name(), outcome.breaches.first(), outcome.crashed);
    }
}
