//! Chaos scenes: several processes of the real program form a fleet, with a simulated network between them.
//!
//! - `relay`: one direction of the network between two processes, for UDP and TCP
//! - `scene`: the faults of a scene, given as a value, as a document, or by a seed
//! - `processes`: the processes, their folders, configurations and fleet documents
//! - `play`: playing a scene and recording what each process reports in the ledger that the checker reads

mod play;
mod processes;
mod relay;
mod scene;

pub use play::{FleetOutcome, play_scene, play_scenes};
pub use relay::LinkQuality;
pub use scene::{
    FleetAct, FleetScene, SceneError, Sharing, StateFolder, directed_scenes, duty_scenes, limit_scenes,
    outage_scenes,
};
