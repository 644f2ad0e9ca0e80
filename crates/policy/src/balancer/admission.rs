//! The ordinary path: calls in flight to a destination are capped at a share of slots; less while it falters.

use super::params::SECOND;
use super::state::Balancer;
use crate::api::{Action, DestId, Effect, EndpointId, MessageId, Micros};
use std::collections::BTreeMap;

/// Quarters of the slots that a destination may hold while its calls succeed (the design's bound),
const STEADY_QUARTERS: usize = 3;
/// and while it falters; all faltering destinations together hold no more, so that the well keep the rest.
const FALTER_QUARTERS: usize = 2;
/// with so many calls overdue it is held to hang.
const HUNG_CALLS: usize = 2;
/// Where slots are short, overdue calls may keep the Nth part of them.
const STUCK_PART: usize = 4;
/// No idle connection is left where one is not kept busy, or its part of one where fewer senders share.
const KEEP_SENDERS: f64 = 16.0;

/// What a destination could be sent in this turn: value, endpoint and message, or when to look again.
struct Offer {
    falters: bool,
    found: Result<(f64, EndpointId, MessageId), Micros>,
}

impl Balancer {
    pub(super) fn cap(&self, quarters: usize) -> usize {
        (self.e.s.slots / 4 * quarters + self.e.s.slots % 4 * quarters / 4).max(1)
    }

    pub(super) fn dest_falters(&self, dest: DestId, now: Micros) -> bool {
        let Some(d) = self.dests.get(&dest) else { return false };
        let mut routes =
            d.endpoints.iter().filter(|_| d.kind.independent_endpoints).map(|t| &self.endpoints[t].scope);
        d.scope.falters(now, &self.e) || routes.any(|scope| scope.falters(now, &self.e))
    }

    /// The ordinary path: what earns most goes while slots are free and its destination is under its cap.
    pub(super) fn turn_end(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.timers(now, actions);
        let waiting: Vec<DestId> = self.waiting.iter().copied().collect();
        waiting.iter().for_each(|dest| self.watch(*dest, now));
        let sick = self.counters.iter().filter(|(dest, _)| self.dest_falters(**dest, now));
        let mut sick_calls: usize = sick.map(|(_, calls)| calls).sum();
        let mut wake = Micros::MAX;
        let mut offers: BTreeMap<DestId, Offer> =
            self.waiting.iter().map(|dest| (*dest, self.offer(*dest, now))).collect();
        while self.calls.len() < self.e.s.slots {
            let mut best: Option<(f64, DestId, EndpointId, MessageId, bool)> = None;
            wake = Micros::MAX;
            for (&dest, offer) in &offers {
                let cap = self.cap(if offer.falters { FALTER_QUARTERS } else { STEADY_QUARTERS });
                let calls = self.counters.get(&dest).copied().unwrap_or(0);
                if calls >= cap || (offer.falters && sick_calls >= self.cap(FALTER_QUARTERS)) {
                    continue;
                }
                match offer.found {
                    Ok((v, t, m)) if best.is_none_or(|b| v > b.0) => {
                        best = Some((v, dest, t, m, offer.falters))
                    }
                    Ok(_) => {}
                    Err(at) => wake = wake.min(at),
                }
            }
            let Some((_, dest, endpoint, id, falters)) = best else { break };
            sick_calls += usize::from(falters);
            self.send(now, dest, endpoint, id, actions);
            // A send changes nothing for the other destinations, and to look at all again is dear.
            offers.remove(&dest);
            offers.extend(self.waiting.contains(&dest).then(|| (dest, self.offer(dest, now))));
        }
        self.reclaim(now, actions);
        self.close_idle(now, actions);
        self.forget_endpoints(now);
        self.set_wake(now, wake, actions);
    }

    fn offer(&self, dest: DestId, now: Micros) -> Offer {
        Offer { falters: self.dest_falters(dest, now), found: self.candidate(dest, now) }
    }

    /// Tables of connections count idle ones, and many rare callers fill them: one that is not kept busy is
    /// closed. Guards all who share a receiver; could hurt where calls come in clumps, by a handshake each.
    pub(super) fn close_idle(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let e = self.e.clone();
        let few = (e.s.senders as f64 / KEEP_SENDERS).min(1.0);
        for endpoint in std::mem::take(&mut self.used) {
            let Some(t) = self.endpoints.get(&endpoint) else { continue };
            let d = &self.dests[&t.dest];
            let scope = if d.kind.independent_endpoints { &t.scope } else { &d.scope };
            let busy = scope.own_rate(now, &e) * scope.usual / SECOND;
            if now < self.crowded_until && busy < few && !t.idle.is_empty() {
                self.endpoints.get_mut(&endpoint).expect("just seen").idle.clear();
                actions.push(Action::CloseIdle { endpoint });
            }
        }
    }

    /// A hang brings no outcomes: it shows in the age of calls still out.
    pub(super) fn watch(&mut self, dest: DestId, now: Micros) {
        let (e, d) = (self.e.clone(), self.dests.get_mut(&dest).expect("waiting destinations are known"));
        for endpoint in d.endpoints.iter().copied().collect::<Vec<_>>() {
            let scope = self.scope(dest, endpoint);
            if scope.overdue(now, &e) >= HUNG_CALLS {
                scope.enter_outage(now, &e);
            }
        }
    }

    /// Slots for all: with every slot taken, calls long overdue give back all but a few, those that may be
    /// repeated first. One that must not run twice is lost by that, so its call is given half an aim more.
    pub(super) fn reclaim(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.calls.len() < self.e.s.slots || self.waiting.is_empty() || !self.e.s.may_cancel {
            return;
        }
        // By call: whether something in it must not run twice, when it was sent, how late it may be.
        let mut out: BTreeMap<u64, (bool, Micros, Micros)> = BTreeMap::new();
        for a in self.attempts.values().filter(|a| !a.cancelled) {
            let (d, t) = (&self.dests[&a.dest], &self.endpoints[&a.endpoint]);
            let scope = if d.kind.independent_endpoints { &t.scope } else { &d.scope };
            let call = out.entry(a.call).or_insert((false, a.sent, scope.patience(&self.e)));
            call.0 |= self.e.s.classes[a.class].effect == Effect::Unsafe;
        }
        let extra = |once: bool| if once { self.e.target_latency as Micros / 2 } else { 0 };
        let late = out.into_iter().filter(|(_, (once, sent, late))| now - sent > late + extra(*once));
        let mut stuck: Vec<(bool, Micros, u64)> =
            late.map(|(call, (once, sent, _))| (once, sent, call)).collect();
        stuck.sort_unstable();
        stuck.truncate(stuck.len().saturating_sub((self.e.s.slots / STUCK_PART).max(1)));
        for (&(id, attempt), a) in &mut self.attempts {
            if !a.cancelled && stuck.iter().any(|(.., call)| *call == a.call) {
                a.cancelled = true;
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }
}
