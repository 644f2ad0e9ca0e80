//! Fuzz targets for all inputs that come from sockets and files. Each target is a test of its own under
//! `tests` with its corpus next to it; `cargo bolero` runs the same targets with coverage guidance.

mod target;

pub use target::Target;

use std::io;
use std::panic::{RefUnwindSafe, UnwindSafe};
use tokio::runtime::{Builder, Runtime};

/// A fuzz target together with its Tokio runtime.
pub struct Fuzz {
    target: Target,
    runtime: Runtime,
}

// A panic ends the run, and the value is not used afterwards.
impl UnwindSafe for Fuzz {}
impl RefUnwindSafe for Fuzz {}

impl Fuzz {
    /// Starts the target with this name.
    ///
    /// # Errors
    ///
    /// Fails if there is no such target, or if it cannot be started.
    pub fn start(name: &str) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let target = runtime.block_on(Target::from_name(name))?;
        Ok(Fuzz { target, runtime })
    }

    /// Runs the target on an input.
    ///
    /// # Panics
    ///
    /// Panics if the code under test panics, violates a property or does not finish in time.
    pub fn run(&self, input: &[u8]) {
        self.runtime.block_on(self.target.run(input));
    }
}
