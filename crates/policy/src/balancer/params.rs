//! The settings and the values derived from them alone.

use crate::api::{DestKind, Micros, Settings};

/// Time constant in which the weight of an outcome decays, as a share of `warmAfter`: health changes within a
/// few seconds.
const HEALTH_WINDOW_SHARE: f64 = 0.4;
/// Multiple of its even share of a common limit that one sender may use, since senders are loaded unevenly.
pub(super) const UNEVEN_LOAD_FACTOR: f64 = 2.0;
/// Microseconds in a second.
pub(super) const SECOND_US: f64 = 1e6;

/// The settings and the values derived from them alone; durations are in microseconds.
#[derive(Clone, Default)]
pub(super) struct Params {
    /// Settings of this sender.
    pub(super) settings: Settings,
    /// Shortest target latency of all classes.
    pub(super) target_latency: f64,
    /// Time in which a destination warms up after an outage.
    pub(super) warm_up: f64,
    /// Time constant in which outcomes lose their weight.
    pub(super) health_window: f64,
    /// Share of a limit common to all senders that this sender may use.
    pub(super) sender_share: f64,
    /// Share of a common limit that belongs to other senders (0 to 1). With two senders or fewer it is 0, and
    /// what a sender observes takes full effect at once.
    pub(super) others_share: f64,
    /// Lowest rate of calls per second: one call per target latency, or, where many senders share a
    /// destination, two per target latency over all of them.
    pub(super) min_rate: f64,
    /// Time between two turns of the host.
    pub(super) tick: Micros,
}

impl Params {
    /// Derives all values from the settings.
    pub(super) fn new(settings: Settings) -> Self {
        let target_latencies = settings.classes.iter().map(|c| c.target_latency).filter(|target| *target > 0);
        let target_latency = target_latencies.min().unwrap_or(SECOND_US as Micros).max(1000) as f64;
        let warm_up = (settings.warm_up_duration.max(settings.overload_duration) as f64).max(target_latency);
        let health_window = warm_up * HEALTH_WINDOW_SHARE;
        let (senders, tick) = (settings.senders, settings.min_turn_interval.max(1000));
        let mut params =
            Params { settings, target_latency, warm_up, health_window, tick, ..Params::default() };
        params.set_senders(senders);
        params
    }

    /// Sets the number of senders that share common limits, and returns the factor by which this sender's
    /// share of them has grown.
    pub(super) fn set_senders(&mut self, senders: usize) -> f64 {
        self.settings.senders = senders;
        let previous = std::mem::replace(
            &mut self.sender_share,
            UNEVEN_LOAD_FACTOR / (senders as f64).max(UNEVEN_LOAD_FACTOR),
        );
        self.others_share = 1.0 - self.sender_share;
        self.min_rate = SECOND_US / self.target_latency * self.sender_share;
        self.sender_share / previous
    }

    /// Returns the share of an announced limit that a sender starts with. Where calls carry batches it is the
    /// even share, since a batching sender needs few calls.
    pub(super) fn initial_limit_share(&self, kind: DestKind) -> f64 {
        if kind.max_batch > 1 {
            1.0 / self.settings.senders.max(1) as f64
        } else {
            self.sender_share.powf(self.others_share)
        }
    }
}
