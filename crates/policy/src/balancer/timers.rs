//! Timers: alarms of messages, deferred messages, and the next wake-up.

use super::state::{Balancer, Placement};
use crate::api::{Action, Micros};

impl Balancer {
    /// Does what has fallen due: subscribes to the endpoint list, ends messages that can no longer be sent or
    /// must be answered, and queues deferred messages.
    pub(super) fn run_timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.subscribe_at.is_some_and(|at| at <= now) {
            self.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
        while let Some(&(at, id)) = self.alarms.first().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, id));
            let message = self.messages.get_mut(&id).expect("alarms are removed with their message");
            let latest = message.submitted.expires_at - 2 * self.params.tick;
            if message.placement == Placement::InFlight && latest > now {
                message.alarm = latest;
                self.alarms.insert((latest, id));
            } else if !message.response_started {
                self.refuse_or_fail(now, id, actions);
            }
        }
        while let Some(&(at, id)) = self.deferred.first().filter(|(at, _)| *at <= now) {
            self.deferred.remove(&(at, id));
            self.enqueue(now, id);
        }
    }

    /// Asks the host for a wake-up at `at` or at the next timer, whichever is earlier.
    pub(super) fn set_wake(&mut self, now: Micros, at: Micros, actions: &mut Vec<Action>) {
        let timers = [self.alarms.first(), self.deferred.first()].into_iter().flatten().map(|(at, _)| *at);
        let at = timers.chain(self.subscribe_at).fold(at, Micros::min).max(now + 1);
        if at < self.wake_at && at < Micros::MAX {
            self.wake_at = at;
            actions.push(Action::Wake { at });
        }
    }
}
