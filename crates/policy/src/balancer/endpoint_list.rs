//! The endpoint list: who may be sent to, and what is kept of those that are gone.

use super::scope::Scope;
use super::state::{Balancer, Dest, Endpoint};
use crate::api::{EndpointEntry, Listing, Micros, Weights};

impl Balancer {
    /// Only what is listed as serving gets anything new, from the moment it is heard.
    pub(super) fn list(&mut self, now: Micros, entries: Vec<EndpointEntry>) {
        self.broken = 0;
        for entry in entries {
            let new = || Dest { scope: Scope::new(now, &mut self.seed), ..Dest::default() };
            let dest = self.dests.entry(entry.dest).or_insert_with(new);
            dest.kind = self.e.s.kinds.get(entry.kind).copied().unwrap_or_default();
            let new = || Endpoint {
                avoid_until: now,
                closed_until: now,
                scope: Scope::new(now, &mut self.seed),
                ..Endpoint::default()
            };
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(new);
            (endpoint.dest, endpoint.zone) = (entry.dest, entry.zone);
            let (id, serves) = (entry.endpoint, entry.listing == Listing::Serving);
            let _ = if serves { dest.endpoints.insert(id) } else { dest.endpoints.remove(&id) };
            let since = self.gone.remove(&id).unwrap_or(now);
            self.gone.extend((entry.listing == Listing::Deleted).then_some((id, since)));
            let scope = if dest.kind.independent_endpoints { &mut endpoint.scope } else { &mut dest.scope };
            if self.e.s.weights != Weights::Off && entry.weight > 0.0 {
                scope.listed = entry.weight;
            }
            if scope.listed > 0.0 && scope.limit.is_none() {
                scope.limit = Some(scope.listed * self.e.first_of(dest.kind));
            }
        }
    }

    /// Forgets endpoints that are gone, once no call is out there. What holds for one (a wait, an outage)
    /// holds on if it is listed again soon; what its destination has taught stays.
    pub(super) fn forget_endpoints(&mut self, now: Micros) {
        let (endpoints, warm) = (&mut self.endpoints, self.e.warm as Micros);
        self.gone.retain(|id, since| {
            let keeps = |t: &Endpoint| t.out > 0 || now < t.scope.wait_until.max(*since + warm);
            let kept = endpoints.get(id).is_some_and(keeps);
            let _ = (!kept).then(|| endpoints.remove(id));
            kept
        });
    }
}
