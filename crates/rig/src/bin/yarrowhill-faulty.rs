//! The `yarrowhill` forwarder built with fault points, for use by the rig only. `YARROWHILL_LOG` sets
//! its log level, as for the forwarder itself.

use std::process::ExitCode;

fn main() -> ExitCode {
    let level = std::env::var("YARROWHILL_LOG").ok().and_then(|name| name.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing_subscriber::filter::LevelFilter::INFO))
        .with_writer(std::io::stderr)
        .log_internal_errors(false)
        .with_ansi(false)
        .init();
    match yarrowhill::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yarrowhill-faulty: {e}");
            ExitCode::FAILURE
        }
    }
}
