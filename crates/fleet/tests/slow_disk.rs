//! A member of a fleet whose disk does not complete a write.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};
use yarrowhill_fleet::{Node, Options, parse_document};

/// The file that a voter writes its registers to before it replaces the old ones.
const TEMPORARY_FILE: &str = "duties.duties-new";
const TIMEOUT: Duration = Duration::from_secs(20);
/// Number of times that another task must run, each 10 ms: the member begins to write sooner.
const RUNS: u64 = 300;

/// Runs a member, the only one of its fleet, on a thread of its own. `runs` counts how often another task of the
/// same thread has run.
fn run_member(folder: &Path, runs: Arc<AtomicU64>) {
    let text = "fleet version=1 loopback=#true period-ms=100 { member \"n0\" address=\"127.0.0.1:7\"\nduty \"work\"\n}";
    let mut document = parse_document("f", text, "n0").expect("valid");
    document.listen.set_port(0);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let options = Options { name: "n0", document, state_folder: folder, seed: 1, slow_start: None };
        let node = Node::start(options).await.expect("the member starts");
        let count_runs = async {
            loop {
                runs.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::join!(node.run(), count_runs);
    });
}

/// Guards against members that are taken for dead because their disk is slow: while a write of registers was under
/// way, the process sent and answered nothing.
#[test]
fn a_member_goes_on_while_its_disk_does_not_complete_a_write() {
    let folder = std::env::temp_dir().join(format!("yarrowhill-slow-disk-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    let temporary = folder.join(TEMPORARY_FILE);
    // Opening a FIFO for writing does not return before somebody reads it.
    let made = Command::new("mkfifo").arg(&temporary).status().expect("mkfifo runs");
    assert!(made.success());
    let (runs, state_folder) = (Arc::new(AtomicU64::new(0)), folder.clone());
    let counter = runs.clone();
    thread::spawn(move || run_member(&state_folder, counter));
    let begin = Instant::now();
    while runs.load(Ordering::Relaxed) < RUNS {
        let runs = runs.load(Ordering::Relaxed);
        assert!(begin.elapsed() < TIMEOUT, "after {TIMEOUT:?} other tasks have run {runs} times");
        thread::sleep(Duration::from_millis(20));
    }
    assert!(has_writer(temporary), "no write has begun");
    let _ = fs::remove_dir_all(folder);
}

/// Returns whether somebody waits to write to a FIFO, and lets them.
fn has_writer(fifo: PathBuf) -> bool {
    let (opened, is_open) = mpsc::channel();
    thread::spawn(move || opened.send(fs::File::open(fifo).is_ok()));
    is_open.recv_timeout(Duration::from_secs(1)).unwrap_or(false)
}
