//! Measures the time and memory of a start with a large journal.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use yarrowhill_journal::{Accepted, Durability, End, Journal, Options, Record};

/// Number of messages or ends per commit while the journal is created.
const BATCH: u64 = 1000;
/// Limit of the journal's size, large enough not to affect the measurement.
const MAX_JOURNAL_BYTES: u64 = 1 << 32;

fn options() -> Options {
    Options { max_bytes: MAX_JOURNAL_BYTES, durability: Durability::Process }
}

fn unix_now() -> Result<u64, Box<dyn Error>> {
    Ok(SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64)
}

/// Creates a journal with `ends` recorded ends and `open` open messages, and opens it in a process of its
/// own.
pub(crate) fn measure(ends: u64, open: u64) -> Result<(), Box<dyn Error>> {
    let folder = std::env::temp_dir().join(format!("yarrowhill-bench-recover-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let now = unix_now()?;
    let deadline = now + 3_600_000;
    let (mut journal, _) = Journal::open(&folder, options(), now)?;
    for first in (0..ends).step_by(BATCH as usize) {
        for n in first..ends.min(first + BATCH) {
            journal.enqueue(&Record::Closed(format!("e{n:015x}"), End::Delivered, deadline), now);
        }
        journal.commit(&[], now)?;
    }
    for first in (0..open).step_by(BATCH as usize) {
        let records_of = |n: u64| {
            let id = format!("m{n:015x}");
            let accepted = Accepted {
                id: id.clone(),
                class: "settle-order".into(),
                tenant: Some("acme".into()),
                dest: n % 1000,
                key: Some(format!("{n:032x}")),
                deadline,
                body: vec![b'm'; 200].into(),
            };
            [Record::Accepted(accepted), Record::Sent(id, 0, now, "hall-a".into())]
        };
        let records: Vec<Record> = (first..open.min(first + BATCH)).flat_map(records_of).collect();
        journal.commit(&records, now)?;
    }
    let size = journal.size();
    drop(journal);
    let done = Command::new(std::env::current_exe()?).arg("reopen").arg(&folder).output()?;
    fs::remove_dir_all(&folder)?;
    println!("{ends} ends, {open} open messages, file size {:.1} MB:", size as f64 / 1e6);
    print!("{}{}", String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr));
    Ok(())
}

/// Opens the journal in `folder` and prints the time and memory that this takes.
pub(crate) fn reopen(folder: PathBuf) -> Result<(), Box<dyn Error>> {
    let before = peak_kib()?;
    let start = Instant::now();
    let (journal, recovered) = Journal::open(&folder, options(), unix_now()?)?;
    let elapsed = start.elapsed().as_secs_f64();
    let open = recovered.open.len();
    let found = journal.end_of("e000000000000000").is_some();
    println!("  {elapsed:.2} s, peak memory {:.1} MB ({:.1} before)", peak_kib()? / 1e3, before / 1e3);
    println!(
        "  {open} open messages recovered; the first end is {}",
        if found { "known" } else { "unknown" }
    );
    Ok(())
}

/// Returns the peak memory of this process (KiB).
fn peak_kib() -> Result<f64, Box<dyn Error>> {
    let status = fs::read_to_string(Path::new("/proc/self/status"))?;
    let line =
        status.lines().find(|line| line.starts_with("VmHWM:")).ok_or("no VmHWM line in /proc/self/status")?;
    Ok(line.split_whitespace().nth(1).ok_or("no value in the VmHWM line")?.parse()?)
}
