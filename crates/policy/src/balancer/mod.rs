//! Every decision of a sender. The interface (settings, events, actions) is [`crate::api`].
//!
//! Reading order: `env` and `scope` (what is known of a destination), `state`, then by event: `list`, `hold`,
//! `admission` with `choice`, `outcomes`, `timers`.

mod admission;
mod endpoint_list;
mod messages;
mod outcomes;
mod params;
mod scope;
mod selection;
mod state;
mod timers;

pub use state::Balancer;

use crate::api::{Action, Event, Micros, Settings};
use crate::numeric::{Fading, chance};
use params::Env;
use std::sync::Arc;

impl Balancer {
    /// A sender that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (ask, tenants) = (settings.must_subscribe, settings.tenants.len());
        Balancer {
            e: Arc::new(Env::new(settings)),
            seed: seed | 1,
            crowded_until: Micros::MIN,
            tenants: vec![Fading::default(); tenants],
            wake_at: Micros::MAX,
            subscribe_at: ask.then_some(Micros::MIN),
            ..Balancer::default()
        }
    }

    /// Takes one event; what is to be done is added to `actions`.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(m) => self.submit(now, m, actions),
            Event::AttemptEnded(ended) => self.ended(now, ended, actions),
            Event::ResponseStarted { id } => {
                self.messages.get_mut(&id).into_iter().for_each(|m| m.started = true)
            }
            Event::ClientDisconnected { id } => self.forget(now, id),
            Event::FullList(entries) => {
                self.dests.values_mut().for_each(|d| d.endpoints.clear());
                for id in self.endpoints.keys() {
                    self.gone.entry(*id).or_insert(now);
                }
                self.list(now, entries);
            }
            Event::ListChanges(entries) => self.list(now, entries),
            Event::SubscriptionFailed => {
                self.broken += 1;
                let gap = (self.e.target_latency as Micros / 8) << self.broken.min(4);
                self.subscribe_at = Some(now + gap / 2 + (gap as f64 * chance(&mut self.seed)) as Micros);
            }
            Event::Quotas(quotas) => {
                let tenants = Arc::make_mut(&mut self.e).s.tenants.iter_mut();
                tenants.zip(quotas).for_each(|(tenant, quota)| tenant.quota = quota);
            }
            #[cfg(feature = "senders")]
            Event::Senders(senders) => {
                // Paces shrink at once, before those who come take their part; they grow as room is seen.
                let less = Arc::make_mut(&mut self.e).share_among(senders).min(1.0);
                let scopes = self.dests.values_mut().map(|d| &mut d.scope);
                let scopes = scopes.chain(self.endpoints.values_mut().map(|t| &mut t.scope));
                scopes.for_each(|s| s.limit = s.limit.map(|l| l * less));
            }
            Event::Wake => self.wake_at = if now >= self.wake_at { Micros::MAX } else { self.wake_at },
            Event::TurnEnd => self.turn_end(now, actions),
        }
    }
}
