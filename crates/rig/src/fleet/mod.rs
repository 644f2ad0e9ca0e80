//! Several processes of the real program that know each other, with a network of ours between them.
//!
//! - `relay`: one direction between two processes, by UDP and TCP
//! - `scene`: what happens to them: as a value, as a document, or by a seed
//! - `processes`: the processes, their folders and what they are told
//! - `play`: a scene played; what everybody said goes into the ledger that the checker reads

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
