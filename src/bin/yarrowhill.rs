//! Starts the forwarder.

use plankwalk::net::{Config, run};
use std::error::Error;
use std::process::ExitCode;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yarrowhill: {e}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn Error>> {
    let config = Config::from_env()?;
    // There is one core: a second thread would only cost.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(config))?;
    Ok(())
}
