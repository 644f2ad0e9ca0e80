//! All decisions of a sender. The interface (settings, events, actions) is [`crate::api`].
//!
//! Reading order: `params` and `scope` (what is known of a destination, its rate and its phase), `state`,
//! then by event: `endpoint_list`, `messages`, `admission` with `selection` and `exposure`, `outcomes`,
//! `timers`.

mod admission;
mod endpoint_list;
mod exposure;
mod message_queue;
mod messages;
mod outcomes;
mod params;
mod scope;
mod selection;
mod state;
mod timers;

pub use state::Balancer;

use crate::api::{Action, Event, Micros, Settings};
use crate::numeric::{DecayingCounter, random_unit};
use params::Params;
use std::sync::Arc;

impl Balancer {
    /// Creates a balancer that knows only its settings. `seed` starts its pseudo-random number generator.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let (must_subscribe, tenants) = (settings.must_subscribe, settings.tenants.len());
        Balancer {
            params: Arc::new(Params::new(settings)),
            seed: seed | 1,
            connections_scarce_until: Micros::MIN,
            tenant_submissions: vec![DecayingCounter::default(); tenants],
            wake_at: Micros::MAX,
            subscribe_at: must_subscribe.then_some(Micros::MIN),
            ..Balancer::default()
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(message) => self.submit(now, message, actions),
            Event::AttemptEnded(ended) => self.attempt_ended(now, ended, actions),
            Event::WaitAnnounced { endpoint, wait } => {
                if let Some(dest) = self.endpoints.get(&endpoint).map(|endpoint| endpoint.dest) {
                    self.extend_wait(now, dest, endpoint, wait);
                }
            }
            Event::ResponseStarted { id } => {
                self.messages.get_mut(&id).into_iter().for_each(|message| message.response_started = true)
            }
            Event::ClientDisconnected { id } => self.remove_message(now, id),
            Event::FullList(entries) => {
                self.dests.values_mut().for_each(|dest| dest.endpoints.clear());
                for id in self.endpoints.keys() {
                    self.delisted.entry(*id).or_insert(now);
                }
                self.apply_list(now, entries);
            }
            Event::ListChanges(entries) => self.apply_list(now, entries),
            Event::SubscriptionFailed => {
                self.subscription_failures += 1;
                let delay = (self.params.target_latency as Micros / 8) << self.subscription_failures.min(4);
                self.subscribe_at =
                    Some(now + delay / 2 + (delay as f64 * random_unit(&mut self.seed)) as Micros);
            }
            Event::Quotas(quotas) => {
                let tenants = Arc::make_mut(&mut self.params).settings.tenants.iter_mut();
                tenants.zip(quotas).for_each(|(tenant, quota)| tenant.quota = quota);
            }
            #[cfg(feature = "senders")]
            Event::Senders(senders) => {
                // Limits shrink at once, before new senders take their share; they grow only when spare
                // capacity is observed.
                let factor = Arc::make_mut(&mut self.params).set_senders(senders).min(1.0);
                let scopes = self.dests.values_mut().map(|dest| &mut dest.scope);
                let scopes = scopes.chain(self.endpoints.values_mut().map(|endpoint| &mut endpoint.scope));
                scopes.for_each(|scope| scope.own_limit = scope.own_limit.map(|limit| limit * factor));
            }
            Event::Wake => self.wake_at = if now >= self.wake_at { Micros::MAX } else { self.wake_at },
            Event::TurnEnd => self.turn_end(now, actions),
            Event::TurnEndWithoutSends => {
                self.run_timers(now, actions);
                self.remove_delisted_endpoints(now);
                self.set_wake(now, Micros::MAX, actions);
            }
        }
    }
}
