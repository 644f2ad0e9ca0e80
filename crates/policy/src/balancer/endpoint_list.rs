//! The endpoint list: which endpoints may be sent to, and what is kept of those that are gone.

use super::scope::{Scope, ScopeId};
use super::state::{Balancer, Dest, Endpoint};
use crate::api::{EndpointEntry, Listing, Micros, Weights};

impl Balancer {
    /// Applies entries of the endpoint list. From then on only endpoints listed as serving get new calls.
    pub(super) fn apply_list(&mut self, now: Micros, entries: Vec<EndpointEntry>) {
        self.subscription_failures = 0;
        for entry in entries {
            let id = ScopeId { dest: entry.dest, endpoint: None };
            let new = || Dest { scope: Scope::new(id, now, &mut self.seed), ..Dest::default() };
            let dest = self.dests.entry(entry.dest).or_insert_with(new);
            dest.kind = self.params.settings.kinds.get(entry.kind).copied().unwrap_or_default();
            let id = ScopeId { dest: entry.dest, endpoint: Some(entry.endpoint) };
            let new = || Endpoint {
                avoid_until: now,
                no_connect_until: now,
                scope: Scope::new(id, now, &mut self.seed),
                ..Endpoint::default()
            };
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(new);
            (endpoint.dest, endpoint.zone) = (entry.dest, entry.zone);
            let (id, is_serving) = (entry.endpoint, entry.listing == Listing::Serving);
            let _ = if is_serving { dest.endpoints.insert(id) } else { dest.endpoints.remove(&id) };
            let since = self.delisted.remove(&id).unwrap_or(now);
            self.delisted.extend((entry.listing == Listing::Deleted).then_some((id, since)));
            let scope = if dest.kind.independent_endpoints { &mut endpoint.scope } else { &mut dest.scope };
            if self.params.settings.weights != Weights::Off && entry.weight > 0.0 {
                scope.listed_limit = entry.weight;
            }
            if scope.listed_limit > 0.0 && scope.own_limit.is_none() {
                scope.own_limit = Some(scope.listed_limit * self.params.initial_limit_share(dest.kind));
            }
        }
    }

    /// Removes endpoints that are gone, once no call to them is in flight, their wait is over and the warm-up
    /// time has passed: an endpoint that is listed again before is still subject to its wait or outage. What
    /// was learned about its destination is kept.
    pub(super) fn remove_delisted_endpoints(&mut self, now: Micros) {
        let (endpoints, warm_up) = (&mut self.endpoints, self.params.warm_up as Micros);
        self.delisted.retain(|id, since| {
            let is_needed = |endpoint: &Endpoint| {
                endpoint.calls_in_flight > 0 || now < endpoint.scope.wait_until.max(*since + warm_up)
            };
            let kept = endpoints.get(id).is_some_and(is_needed);
            let _ = (!kept).then(|| endpoints.remove(id));
            kept
        });
    }
}
