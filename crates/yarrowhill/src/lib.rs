//! The forwarder as a daemon: reads the configuration and wires the packages together.

mod config;
mod daemon;
mod fleet;
#[cfg(feature = "members")]
mod member;
mod run_error;
mod setup;
#[cfg(feature = "shards")]
mod sharded;

pub use config::{Config, ConfigError};
pub use daemon::run;
#[cfg(feature = "members")]
pub use member::CONTROL_SOCKET;
pub use run_error::RunError;

use std::error::Error;

/// Runs the forwarder that the environment variables configure, until SIGTERM.
///
/// # Errors
///
/// Returns an error if the configuration cannot be read or the forwarder cannot be started.
pub fn start() -> Result<(), Box<dyn Error>> {
    let config = Config::from_env()?;
    #[cfg(feature = "shards")]
    if config.shards > 1 {
        // Clients are served on as many threads as there are shards; the shards have threads of their own.
        let threads = config.shards;
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
        return Ok(runtime.block_on(run(config))?);
    }
    // The platform gives one core: a second thread would only add overhead.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(config))?;
    Ok(())
}
