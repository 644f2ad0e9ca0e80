//! The fault-injection rig. A seed determines a [`Script`]; the script is played on loopback against the real
//! program, and the checker judges the ledger of all stand-ins by the six rules.
//!
//! - `script`, `play`, `sweep`: drawing a script from a seed, playing one script, and playing many in
//!   parallel
//! - `load`: load generation over persistent connections
//! - `count`, `restarts`, with `log_line`: statistics over the debug logs of several forwarders
//! - `fleet`: chaos scenes over several processes that form a fleet
//! - `bugs`, `scratch`: planted bugs as patches (mutation testing), and builds of the program with one
//!   applied
//!
//! ```
//! use yarrowhill_rig::Script;
//! assert_eq!(Script::draw(7), Script::draw(7));
//! ```

mod bugs;
mod count;
mod fleet;
mod load;
mod log_line;
mod play;
mod restarts;
mod scratch;
mod script;
mod sweep;

pub use bugs::{Bug, Scene};
pub use count::{Cell, CellKey, Counts, SuspectedBreach, count};
pub use fleet::{
    FleetAct, FleetOutcome, FleetScene, LinkQuality, SceneError, Sharing, StateFolder, directed_scenes,
    duty_scenes, limit_scenes, outage_scenes, play_scene, play_scenes,
};
pub use load::{Load, LoadOutcome, play_load};
pub use play::{RunOutcome, play_script};
pub use restarts::{Found, Restart, restarts};
pub use scratch::{ScratchBuild, ScratchBuildError, patched_files};
pub use script::{Act, Dest, Script};
pub use sweep::{Sweep, sweep};
