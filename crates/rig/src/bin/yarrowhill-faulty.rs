//! The `yarrowhill` forwarder built with fault points, for use by the rig only.

use std::process::ExitCode;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).log_internal_errors(false).with_ansi(false).init();
    match yarrowhill::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yarrowhill-faulty: {e}");
            ExitCode::FAILURE
        }
    }
}
