//! Targets that take any bytes of what sockets and files bring. Each is a test of its own under `tests`, with its
//! corpus beside it; `cargo bolero` runs the same with coverage as guide.

mod target;

pub use target::Target;

use std::io;
use std::panic::{RefUnwindSafe, UnwindSafe};
use tokio::runtime::{Builder, Runtime};

/// A target with the runtime that it needs.
pub struct Fuzz {
    target: Target,
    runtime: Runtime,
}

// A panic is the end of it: nothing looks at it afterwards.
impl UnwindSafe for Fuzz {}
impl RefUnwindSafe for Fuzz {}

impl Fuzz {
    /// The target of that name.
    ///
    /// # Errors
    ///
    /// There is none, or it can't be started.
    pub fn start(name: &str) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let target = runtime.block_on(Target::named(name))?;
        Ok(Fuzz { target, runtime })
    }

    /// Takes an input.
    ///
    /// # Panics
    ///
    /// The program did, or did not come to an end.
    pub fn take(&self, input: &[u8]) {
        self.runtime.block_on(self.target.take(input));
    }
}
