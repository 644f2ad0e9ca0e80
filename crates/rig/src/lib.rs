//! The fault rig: a seed becomes a [`Script`], the script is played on loopback against the real program, and the
//! ledger of all stand-ins is judged by the six rules.
//!
//! - `script`, `play`, `sweep`: what a seed draws, one run of it, many beside each other
//! - `load`: many messages a second
//! - `count`: what many forwarders' logs tell together
//! - `fleet`: several processes that know each other, with faults between them
//! - `bugs`, `scratch`: known bugs as patches, and the program built with one of them
//!
//! ```
//! use yarrowhill_rig::Script;
//! assert_eq!(Script::draw(7), Script::draw(7));
//! ```

mod bugs;
mod count;
mod fleet;
mod load;
mod play;
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
pub use scratch::{ScratchBuild, ScratchBuildError, patched_files};
pub use script::{Act, Dest, Script};
pub use sweep::{Sweep, sweep};
