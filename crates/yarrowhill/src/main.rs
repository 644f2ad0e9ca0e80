//! The command line. Without a subcommand it runs the forwarder, as the platform starts it.

#[cfg(feature = "members")]
mod control;
#[cfg(feature = "demo")]
mod demo;
#[cfg(feature = "routes")]
mod routes;

use clap::{Parser, Subcommand};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use yarrowhill::{Config, start};

/// Forwards fuel-card messages to the partners that they are meant for.
#[derive(Parser)]
#[command(name = "yarrowhill", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the forwarder; the same as no subcommand. BALANCER_CONFIG and BALANCER_STATE name its file and folder.
    Run,
    /// Reads a configuration file as `run` would, and says what is wrong with it.
    CheckConfig {
        /// The file.
        file: PathBuf,
    },
    /// Routing documents.
    #[cfg(feature = "routes")]
    Config {
        #[command(subcommand)]
        what: Documents,
    },
    /// Shows who of the fleet is there, as a running forwarder knows it, and what follows for it.
    #[cfg(feature = "members")]
    Members(Look),
    /// What the forwarders of a fleet share, as a running one knows it.
    #[cfg(feature = "members")]
    Fleet {
        #[command(subcommand)]
        what: Shared,
    },
    /// Work that one forwarder of a fleet does at a time: who does it, under which token, and for how long.
    #[cfg(feature = "members")]
    Duties {
        #[command(subcommand)]
        wish: Option<DutyWish>,
        /// Whom to ask.
        #[command(flatten)]
        look: Look,
    },
    /// Shows the forwarder at work between stand-ins on loopback, some of them failing, and accounts for every
    /// message.
    #[cfg(feature = "demo")]
    Demo {
        /// How long clients hand in messages (s).
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=600))]
        seconds: u64,
        /// Messages a second.
        #[arg(long, default_value_t = 80, value_parser = clap::value_parser!(u64).range(1..=1000))]
        rate: u64,
        /// The seed of all chance in it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// What is shared.
#[cfg(feature = "members")]
#[derive(Subcommand)]
enum Shared {
    /// Limits: what this forwarder may send to each destination, what it lends and borrows, and who keeps.
    Limits(Look),
    /// Waits that destinations told to one of them and that all keep.
    Knowledge(Look),
    /// Why calls to a destination begin or are held here now.
    Explain {
        /// The destination's number.
        dest: u64,
        /// Whom to ask.
        #[command(flatten)]
        look: Look,
    },
}

/// What is wanted of a duty.
#[cfg(feature = "members")]
#[derive(Subcommand)]
enum DutyWish {
    /// That its holder gives it up: another one takes it.
    Yield {
        /// The duty's name.
        duty: String,
    },
    /// That a member holds it whenever it is there; without one, whoever follows from the rule.
    Pin {
        /// The duty's name.
        duty: String,
        /// The member's name.
        member: Option<String>,
    },
}

/// Whom to ask, and how to show what it says.
#[cfg(feature = "members")]
#[derive(clap::Args)]
struct Look {
    /// The forwarder's state folder; without it BALANCER_STATE.
    #[arg(long)]
    state: Option<PathBuf>,
    /// Its control socket.
    #[arg(long)]
    socket: Option<PathBuf>,
    /// Again each second.
    #[arg(long)]
    watch: bool,
    /// For programs: one JSON object a look.
    #[arg(long)]
    json: bool,
}

/// What may be done with a routing document.
#[cfg(feature = "routes")]
#[derive(Subcommand)]
enum Documents {
    /// Tells every fault of a document: a file, or a folder of fragments. Ends with 1 if there is one.
    Check {
        /// The file or folder.
        path: PathBuf,
        /// For programs: one JSON object.
        #[arg(long)]
        json: bool,
    },
}

#[cfg(feature = "members")]
fn ask(look: Look, show: impl Fn(&std::path::Path, bool, bool) -> Told) -> Told {
    let Look { state, socket, watch, json } = look;
    control::socket(socket, state).and_then(|socket| show(&socket, watch, json))
}

#[cfg(feature = "members")]
type Told = Result<(), Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    // A log that can't be written must not end the forwarder: to tell of it would panic.
    tracing_subscriber::fmt()
        .with_max_level(level())
        .with_writer(std::io::stderr)
        .log_internal_errors(false)
        .with_ansi(false)
        .with_target(false)
        .init();
    let done = match cli.command.unwrap_or(Command::Run) {
        Command::Run => start(),
        Command::CheckConfig { file } => check(&file),
        #[cfg(feature = "members")]
        Command::Members(look) => ask(look, control::members),
        #[cfg(feature = "members")]
        Command::Duties { wish: None, look } => ask(look, control::duties),
        #[cfg(feature = "members")]
        Command::Duties { wish: Some(wish), look } => ask(look, |socket, _, _| match &wish {
            DutyWish::Yield { duty } => control::wish(socket, "duty-yield", duty, None),
            DutyWish::Pin { duty, member } => control::wish(socket, "duty-pin", duty, member.as_deref()),
        }),
        #[cfg(feature = "members")]
        Command::Fleet { what: Shared::Limits(look) } => ask(look, control::limits),
        #[cfg(feature = "members")]
        Command::Fleet { what: Shared::Knowledge(look) } => ask(look, control::knowledge),
        #[cfg(feature = "members")]
        Command::Fleet { what: Shared::Explain { dest, look } } => {
            ask(look, |socket, watch, json| control::explain(socket, dest, watch, json))
        }
        #[cfg(feature = "routes")]
        Command::Config { what: Documents::Check { path, json } } => return routes::check(&path, json),
        #[cfg(feature = "demo")]
        Command::Demo { seconds, rate, seed } => demo::run(seconds, rate, seed),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yarrowhill: {e}");
            ExitCode::FAILURE
        }
    }
}

/// `YARROWHILL_LOG` names the least level that is told. With `debug` that is every attempt of every message: for a
/// look at one day, not for service.
fn level() -> tracing::Level {
    let named = std::env::var("YARROWHILL_LOG").ok();
    named.and_then(|name| name.parse().ok()).unwrap_or(tracing::Level::INFO)
}

fn check(file: &std::path::Path) -> Result<(), Box<dyn Error>> {
    Config::read(file, PathBuf::new())?;
    println!("{}: read without a fault", file.display());
    Ok(())
}
