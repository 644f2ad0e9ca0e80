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
    /// Runs the forwarder, as without a subcommand. BALANCER_CONFIG is the path of its configuration file,
    /// BALANCER_STATE that of its state folder.
    Run,
    /// Checks a configuration file as `run` reads it, and reports the first error.
    CheckConfig {
        /// Path of the configuration file.
        file: PathBuf,
    },
    /// Works with routing documents.
    #[cfg(feature = "routes")]
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Shows the membership of the fleet as a running forwarder sees it, and what it may do accordingly.
    #[cfg(feature = "members")]
    Members(QueryArgs),
    /// Shows what the forwarders of a fleet share, as a running forwarder sees it.
    #[cfg(feature = "members")]
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Shows the duties, which one forwarder of the fleet performs at a time: holder, fencing token and
    /// remaining lease.
    #[cfg(feature = "members")]
    Duties {
        #[command(subcommand)]
        request: Option<DutyRequest>,
        #[command(flatten)]
        query: QueryArgs,
    },
    /// Runs the forwarder between stand-ins on loopback, some of them failing, shows its progress and
    /// accounts for every message.
    #[cfg(feature = "demo")]
    Demo {
        /// Time during which clients submit messages (s).
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=600))]
        seconds: u64,
        /// Messages per second.
        #[arg(long, default_value_t = 80, value_parser = clap::value_parser!(u64).range(1..=1000))]
        rate: u64,
        /// Seed of the random choices of clients and stand-ins.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Subcommands of `fleet`.
#[cfg(feature = "members")]
#[derive(Subcommand)]
enum FleetCommand {
    /// Shows the shared limits: what this forwarder may send to each destination, lends and borrows, and the
    /// coordinator.
    Limits(QueryArgs),
    /// Shows the waits that destinations returned to any member, which all members keep, and the outages.
    Knowledge(QueryArgs),
    /// Explains why calls to a destination are sent or delayed by this forwarder now.
    Explain {
        /// Number of the destination.
        dest: u64,
        #[command(flatten)]
        query: QueryArgs,
    },
}

/// Subcommands of `duties`.
#[cfg(feature = "members")]
#[derive(Subcommand)]
enum DutyRequest {
    /// Asks the holder of a duty to give it up, so that another member takes it.
    Yield {
        /// Name of the duty.
        duty: String,
    },
    /// Pins a duty to a member, which holds it whenever it is live; without a member, removes the pin.
    Pin {
        /// Name of the duty.
        duty: String,
        /// Name of the member.
        member: Option<String>,
    },
}

/// Options that select the forwarder to query and the form of the output.
#[cfg(feature = "members")]
#[derive(clap::Args)]
struct QueryArgs {
    /// State folder of the forwarder; defaults to BALANCER_STATE.
    #[arg(long)]
    state: Option<PathBuf>,
    /// Control socket of the forwarder; takes precedence over --state.
    #[arg(long)]
    socket: Option<PathBuf>,
    /// Repeats the query each second.
    #[arg(long)]
    watch: bool,
    /// Prints one JSON object per query, for programs.
    #[arg(long)]
    json: bool,
}

/// Subcommands of `config`.
#[cfg(feature = "routes")]
#[derive(Subcommand)]
enum ConfigCommand {
    /// Reports every fault of a routing document, which is a file or a folder of fragments. The exit status
    /// is 1 if there is any.
    Check {
        /// Path of the file or folder.
        path: PathBuf,
        /// Prints one JSON object, for programs.
        #[arg(long)]
        json: bool,
    },
}

/// Calls `show` with the control socket that the options select, and with `watch` and `json`.
#[cfg(feature = "members")]
fn query(args: QueryArgs, show: impl Fn(&std::path::Path, bool, bool) -> CommandResult) -> CommandResult {
    let QueryArgs { state, socket, watch, json } = args;
    control::socket(socket, state).and_then(|socket| show(&socket, watch, json))
}

#[cfg(feature = "members")]
type CommandResult = Result<(), Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    // A failed write to the log must not end the forwarder: reporting it on standard error could panic.
    tracing_subscriber::fmt()
        .with_max_level(log_level())
        .with_writer(std::io::stderr)
        .log_internal_errors(false)
        .with_ansi(false)
        .with_target(false)
        .init();
    let result = match cli.command.unwrap_or(Command::Run) {
        Command::Run => start(),
        Command::CheckConfig { file } => check_config(&file),
        #[cfg(feature = "members")]
        Command::Members(args) => query(args, control::members),
        #[cfg(feature = "members")]
        Command::Duties { request: None, query: args } => query(args, control::duties),
        #[cfg(feature = "members")]
        Command::Duties { request: Some(request), query: args } => {
            query(args, |socket, _, _| match &request {
                DutyRequest::Yield { duty } => control::request_duty(socket, "duty-yield", duty, None),
                DutyRequest::Pin { duty, member } => {
                    control::request_duty(socket, "duty-pin", duty, member.as_deref())
                }
            })
        }
        #[cfg(feature = "members")]
        Command::Fleet { command: FleetCommand::Limits(args) } => query(args, control::limits),
        #[cfg(feature = "members")]
        Command::Fleet { command: FleetCommand::Knowledge(args) } => query(args, control::knowledge),
        #[cfg(feature = "members")]
        Command::Fleet { command: FleetCommand::Explain { dest, query: args } } => {
            query(args, |socket, watch, json| control::explain(socket, dest, watch, json))
        }
        #[cfg(feature = "routes")]
        Command::Config { command: ConfigCommand::Check { path, json } } => {
            return routes::check(&path, json);
        }
        #[cfg(feature = "demo")]
        Command::Demo { seconds, rate, seed } => demo::run(seconds, rate, seed),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yarrowhill: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the log level that `YARROWHILL_LOG` sets, `info` by default. `debug` logs every attempt of every
/// message: it is meant for analysing a limited period, not for permanent use in production.
fn log_level() -> tracing::Level {
    let level = std::env::var("YARROWHILL_LOG").ok();
    level.and_then(|name| name.parse().ok()).unwrap_or(tracing::Level::INFO)
}

fn check_config(file: &std::path::Path) -> Result<(), Box<dyn Error>> {
    Config::read(file, PathBuf::new())?;
    println!("{}: no errors", file.display());
    Ok(())
}
