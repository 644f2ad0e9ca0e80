//! Alarms of messages, parked ones, and when to look again.

use super::state::{Balancer, Place};
use crate::api::{Action, Micros};

impl Balancer {
    pub(super) fn timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.subscribe_at.is_some_and(|at| at <= now) {
            self.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
        while let Some(&(at, id)) = self.alarms.first().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, id));
            let m = self.messages.get_mut(&id).expect("alarms go with their message");
            let latest = m.m.expires_at - 2 * self.e.tick;
            if m.place == Place::Out && latest > now {
                m.alarm = latest;
                self.alarms.insert((latest, id));
            } else if !m.started {
                self.give_back(now, id, actions);
            }
        }
        while let Some(&(at, id)) = self.parked.first().filter(|(at, _)| *at <= now) {
            self.parked.remove(&(at, id));
            self.enqueue(now, id);
        }
    }

    pub(super) fn set_wake(&mut self, now: Micros, at: Micros, actions: &mut Vec<Action>) {
        let firsts = [self.alarms.first(), self.parked.first()].into_iter().flatten().map(|(at, _)| *at);
        let at = firsts.chain(self.subscribe_at).fold(at, Micros::min).max(now + 1);
        if at < self.wake_at && at < Micros::MAX {
            self.wake_at = at;
            actions.push(Action::Wake { at });
        }
    }
}
