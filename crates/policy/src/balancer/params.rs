//! The settings and what follows from them alone.

use crate::api::{DestKind, Micros, Settings};

/// An outcome's weight falls by e in this part of `warmAfter`: health is a matter of a few seconds.
const HEALTH_SPAN: f64 = 0.4;
/// Senders are uneven: one may count on this multiple of its even part of what all share.
pub(super) const UNEVEN: f64 = 2.0;
pub(super) const SECOND: f64 = 1e6;

/// The settings and what follows from them alone (spans in microseconds).
#[derive(Clone, Default)]
pub(super) struct Env {
    pub(super) s: Settings,
    pub(super) target_latency: f64,
    pub(super) warm: f64,
    pub(super) health: f64,
    /// Part of what all senders share that one may count on.
    pub(super) part: f64,
    /// How much of what is shared belongs to others (0 to 1): two and less learn at once from what they see.
    pub(super) others: f64,
    /// The slowest pace of use (calls a second): one call an aim; where many share, two an aim in all.
    pub(super) least: f64,
    pub(super) tick: Micros,
}

impl Env {
    /// Derives everything from the settings.
    pub(super) fn new(settings: Settings) -> Self {
        let aims =
            settings.classes.iter().map(|c| c.target_latency).filter(|target_latency| *target_latency > 0);
        let target_latency = aims.min().unwrap_or(SECOND as Micros).max(1000) as f64;
        let warm = (settings.warm_up_duration.max(settings.overload_duration) as f64).max(target_latency);
        let health = warm * HEALTH_SPAN;
        let (senders, tick) = (settings.senders, settings.min_turn_interval.max(1000));
        let mut e = Env { s: settings, target_latency, warm, health, tick, ..Env::default() };
        e.share_among(senders);
        e
    }

    /// So many senders share what is told for all. By what factor a part of it has grown with that.
    pub(super) fn share_among(&mut self, senders: usize) -> f64 {
        self.s.senders = senders;
        let before = std::mem::replace(&mut self.part, UNEVEN / (senders as f64).max(UNEVEN));
        self.others = 1.0 - self.part;
        self.least = SECOND / self.target_latency * self.part;
        self.part / before
    }

    /// Part of a told limit that one starts with; calls that gather messages can be few.
    pub(super) fn first_of(&self, kind: DestKind) -> f64 {
        if kind.max_batch > 1 { 1.0 / self.s.senders.max(1) as f64 } else { self.part.powf(self.others) }
    }
}
