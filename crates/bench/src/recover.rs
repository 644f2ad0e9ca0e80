//! How long a start takes, and how much memory, with much to take up.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use yarrowhill_journal::{Accepted, Durability, End, Journal, Options, Record};

/// Records in one write while the journal is made.
const TURN: u64 = 1000;
const LIMIT: u64 = 1 << 32;

fn options() -> Options {
    Options { max_bytes: LIMIT, durability: Durability::Process }
}

fn unix_now() -> Result<u64, Box<dyn Error>> {
    Ok(SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64)
}

/// Makes a journal with so many ends that bind and open messages, and opens it in a process of its own.
pub(crate) fn measure(ends: u64, open: u64) -> Result<(), Box<dyn Error>> {
    let folder = std::env::temp_dir().join(format!("yarrowhill-bench-recover-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let now = unix_now()?;
    let deadline = now + 3_600_000;
    let (mut journal, _) = Journal::open(&folder, options(), now)?;
    for first in (0..ends).step_by(TURN as usize) {
        for n in first..ends.min(first + TURN) {
            journal.enqueue(&Record::Closed(format!("e{n:015x}"), End::Delivered, deadline), now);
        }
        journal.commit(&[], now)?;
    }
    for first in (0..open).step_by(TURN as usize) {
        let of = |n: u64| {
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
        let records: Vec<Record> = (first..open.min(first + TURN)).flat_map(of).collect();
        journal.commit(&records, now)?;
    }
    let size = journal.size();
    drop(journal);
    let done = Command::new(std::env::current_exe()?).arg("reopen").arg(&folder).output()?;
    fs::remove_dir_all(&folder)?;
    println!("{ends} ends, {open} open messages, a file of {:.1} MB:", size as f64 / 1e6);
    print!("{}{}", String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr));
    Ok(())
}

/// Opens it and tells what that took.
pub(crate) fn reopen(folder: PathBuf) -> Result<(), Box<dyn Error>> {
    let before = peak_kib()?;
    let start = Instant::now();
    let (journal, recovered) = Journal::open(&folder, options(), unix_now()?)?;
    let took = start.elapsed().as_secs_f64();
    let held = recovered.open.len();
    let found = journal.end_of("e000000000000000").is_some();
    println!("  {took:.2} s, {:.1} MB at the peak ({:.1} before)", peak_kib()? / 1e3, before / 1e3);
    println!("  {held} open messages taken up; the first end is {}", if found { "known" } else { "unknown" });
    Ok(())
}

/// The most memory that this process has had (KiB).
fn peak_kib() -> Result<f64, Box<dyn Error>> {
    let status = fs::read_to_string(Path::new("/proc/self/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).ok_or("no VmHWM")?;
    Ok(line.split_whitespace().nth(1).ok_or("no figure")?.parse()?)
}
