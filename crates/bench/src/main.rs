//! Measures one thing beside another, in the same run: absolute times are noise.
//!
//! - `daemon`: messages a second and CPU time for each, the daemon against a bare hyper pass-through, one core each
//! - `recover`: how long a start takes with much to take up, and how much memory
//! - `scale`: what a message costs the engine, by how many are open and how many ends bind
//! - `routes`: a message's rule by the index against the plain list, an address by the trie against a scan
//! - `journal`: appends against plain `write(2)` of the same bytes

mod daemon;
mod journal;
mod passthrough;
mod recover;
mod routes;
mod scale;

use clap::{Parser, Subcommand};
use std::error::Error;

/// Ratios, not times.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The daemon against a bare pass-through.
    Daemon {
        /// Messages in each round.
        #[arg(long, default_value_t = 30_000, value_parser = clap::value_parser!(u64).range(1..=2_000_000))]
        messages: u64,
        /// Clients, each with one connection and one request at a time.
        #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u64).range(1..=512))]
        clients: u64,
        /// Rounds of each, in turn.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=20))]
        rounds: u64,
    },
    /// Appends to the journal against plain writes.
    Journal {
        /// Turns in each round.
        #[arg(long, default_value_t = 50_000, value_parser = clap::value_parser!(u64).range(1..=2_000_000))]
        turns: u64,
    },
    /// Opens a journal with many ends and many open messages, in a process of its own.
    Recover {
        /// Ends that bind.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(0..=10_000_000))]
        ends: u64,
        /// Open messages.
        #[arg(long, default_value_t = 100_000, value_parser = clap::value_parser!(u64).range(0..=1_000_000))]
        open: u64,
    },
    /// Routing lookups against plain lists.
    Routes,
    /// What a message costs, by how many others are open and how many ends bind.
    Scale {
        /// Where the picture goes.
        #[arg(long, default_value = "scale.svg")]
        plot: std::path::PathBuf,
    },
    /// The start that `recover` measures.
    #[command(hide = true)]
    Reopen {
        /// The journal's folder.
        folder: std::path::PathBuf,
    },
    /// Forwards every request on a kept connection: what `daemon` compares with.
    #[command(hide = true)]
    Passthrough {
        /// Where it listens.
        listen: std::net::SocketAddr,
        /// Where it sends.
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
        Command::Scale { plot } => scale::measure(&plot),
        Command::Passthrough { listen, to } => passthrough::run(listen, to),
    }
}
