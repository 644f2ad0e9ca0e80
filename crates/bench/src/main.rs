//! Benchmarks that compare two implementations or two sizes in the same run, since absolute times depend on
//! the machine.
//!
//! - `daemon`: throughput and CPU time per message, the daemon against a bare hyper pass-through, one core each
//! - `recover`: time and memory of a start with a large journal
//! - `scale`: engine time per message, by the number of open messages and of recorded ends
//! - `routes`: rule lookup by the index against a list scan, address match by the trie against a scan
//! - `shed`: time of a submission near the cap on held messages, by the number of recovered ones
//! - `journal`: journal appends against plain `write(2)` of the same number of bytes

mod daemon;
mod journal;
mod passthrough;
mod recover;
mod routes;
mod scale;
mod shed;

use clap::{Parser, Subcommand};
use std::error::Error;

/// Benchmarks of the forwarder. Compare the printed ratios; absolute times depend on the machine.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Compares the daemon with a bare pass-through.
    Daemon {
        /// Number of messages in each round.
        #[arg(long, default_value_t = 30_000, value_parser = clap::value_parser!(u64).range(1..=2_000_000))]
        messages: u64,
        /// Number of clients, each with one connection and one request at a time.
        #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u64).range(1..=512))]
        clients: u64,
        /// Number of rounds of each program, run alternately.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=20))]
        rounds: u64,
    },
    /// Compares journal appends with plain writes.
    Journal {
        /// Number of turns, with one commit each.
        #[arg(long, default_value_t = 50_000, value_parser = clap::value_parser!(u64).range(1..=2_000_000))]
        turns: u64,
    },
    /// Measures the opening of a journal with many recorded ends and open messages, in a process of its own.
    Recover {
        /// Number of recorded ends that are still kept for deduplication.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(0..=10_000_000))]
        ends: u64,
        /// Number of open messages.
        #[arg(long, default_value_t = 100_000, value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
        open: u64,
    },
    /// Compares routing lookups with list scans.
    Routes,
    /// Measures engine time per message, by the number of open messages and of recorded ends.
    Scale {
        /// Path of the SVG plot to write.
        #[arg(long, default_value = "scale.svg")]
        plot: std::path::PathBuf,
    },
    /// Measures the time of a submission near the cap on held messages.
    Shed,
    /// Opens a journal and reports the cost; run by `recover`.
    #[command(hide = true)]
    Reopen {
        /// Journal folder.
        folder: std::path::PathBuf,
    },
    /// Forwards every request over persistent connections; the baseline of `daemon`.
    #[command(hide = true)]
    Passthrough {
        /// Address to listen on.
        listen: std::net::SocketAddr,
        /// Address of the endpoint.
        to: std::net::SocketAddr,
    },
}

fn main() -> Result<(), Box<dyn Error>> {
    match Cli::parse().command {
        Command::Daemon { messages, clients, rounds } => daemon::compare(messages, clients, rounds),
        Command::Journal { turns } => journal::compare(turns),
        Command::Recover { ends, open } => recover::measure(ends, open),
        Command::Reopen { folder } => recover::reopen(folder),
        Command::Routes => routes::compare(),
        Command::Shed => shed::measure(),
        Command::Scale { plot } => scale::measure(&plot),
        Command::Passthrough { listen, to } => passthrough::run(listen, to),
    }
}
