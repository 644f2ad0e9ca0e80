//! Compares journal appends with plain writes of the same number of bytes.

use std::error::Error;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::time::Instant;
use yarrowhill_journal::{Accepted, Durability, End, Journal, Options, Record};

/// Time stamp of all records (ms of Unix time).
const NOW: u64 = 1_800_000_000_000;

pub(crate) fn compare(turns: u64) -> Result<(), Box<dyn Error>> {
    let folder = std::env::temp_dir().join(format!("yarrowhill-bench-journal-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let options = Options { max_bytes: 1 << 32, durability: Durability::Process };
    let (mut journal, _) = Journal::open(&folder, options, NOW)?;
    let mut sizes = Vec::with_capacity(turns as usize);
    let start = Instant::now();
    for n in 0..turns {
        let before = journal.size();
        let id = format!("{n:016x}");
        let accepted = Accepted {
            id: id.clone(),
            class: "auth-notice".into(),
            tenant: Some("acme".into()),
            dest: 7,
            key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211".into()),
            deadline: NOW + 12_000,
            body: vec![b'm'; 200].into(),
        };
        // The life cycle of one message: accepted and sent in one commit, its end with the next.
        let sent = Record::Sent(id.clone(), 0, NOW, "hall-a".into());
        journal.commit(&[Record::Accepted(accepted), sent], NOW)?;
        sizes.push(journal.size().saturating_sub(before));
        journal.enqueue(&Record::Closed(id, End::Delivered, 0), NOW);
    }
    let appends = start.elapsed().as_secs_f64();
    drop(journal);
    let mut file = OpenOptions::new().append(true).create(true).open(folder.join("plain"))?;
    let buffer = vec![b'x'; sizes.iter().max().copied().unwrap_or(0) as usize];
    let start = Instant::now();
    for size in &sizes {
        file.write_all(&buffer[..*size as usize])?;
    }
    let writes = start.elapsed().as_secs_f64();
    fs::remove_dir_all(&folder)?;
    let micros = |s: f64| s * 1e6 / turns as f64;
    println!(
        "{turns} turns: journal {:.2} us per turn, plain write(2) {:.2} us",
        micros(appends),
        micros(writes)
    );
    println!("journal / plain: {:.2}", appends / writes);
    Ok(())
}
