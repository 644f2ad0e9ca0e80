//! The endpoints known from the endpoint list, and the numbers under which the decision module knows them.

use crate::list::{EndpointInfo, EndpointList, EndpointState};
use crate::transport::Transport;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use yarrowhill_policy::api::{DestId, EndpointEntry, EndpointId, Event, Listing, Micros, Settings};
use yarrowhill_settings::{Names, index_of};

/// Longest time by which one list lags behind another (microseconds). A lower version after that time belongs
/// to a new numbering.
const MAX_LIST_LAG_US: Micros = 30_000_000;
/// Time for which an endpoint that is no longer listed keeps its number (microseconds). Listed again within
/// this time, it is the same endpoint.
const REMOVED_RETENTION_US: Micros = 30_000_000;

#[derive(Debug)]
pub(crate) struct Endpoint {
    uid: String,
    pub(crate) dest: DestId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    /// Maximum number of messages in one call.
    pub(crate) max_batch: usize,
    pub(crate) calls_in_flight: usize,
    /// Whether the endpoint is listed as in service.
    pub(crate) in_service: bool,
    /// Time of the last start according to the list (Unix ms).
    started_ms: u64,
    /// Version of the list that last took the endpoint out of service, and when that list was applied.
    left_service: Option<(u64, Micros)>,
}

#[derive(Debug, Default)]
pub(crate) struct Endpoints {
    by_id: BTreeMap<EndpointId, Endpoint>,
    ids: HashMap<String, EndpointId>,
    /// Next free number. Numbers are never reused, so that a new endpoint inherits nothing from an evicted
    /// one.
    next_id: EndpointId,
    /// Endpoints that are no longer listed, with the time of their removal.
    removed: BTreeMap<EndpointId, Micros>,
    /// Number of endpoints in service, by destination.
    in_service: HashMap<DestId, usize>,
}

impl Endpoints {
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    /// Returns the number of a destination's endpoints that are in service.
    pub(crate) fn in_service(&self, dest: DestId) -> usize {
        self.in_service.get(&dest).copied().unwrap_or(0)
    }

    /// Applies a list, and returns the event for the decision module.
    pub(crate) fn apply(
        &mut self,
        now: Micros,
        list: &EndpointList,
        settings: &Settings,
        names: &Names,
        transport: &mut impl Transport,
    ) -> Event {
        if list.is_full {
            for (id, endpoint) in &mut self.by_id {
                if std::mem::take(&mut endpoint.in_service) {
                    endpoint.left_service = Some((list.version, now));
                }
                self.removed.entry(*id).or_insert(now);
            }
        }
        let entries = list
            .endpoints
            .iter()
            .map(|info| self.apply_info(now, list.version, info, settings, names, transport));
        let entries: Vec<EndpointEntry> = entries.collect();
        self.removed.keys().for_each(|id| transport.set_endpoint_address(*id, None));
        self.evict_removed(now);
        self.in_service.clear();
        for endpoint in self.by_id.values().filter(|endpoint| endpoint.in_service) {
            *self.in_service.entry(endpoint.dest).or_default() += 1;
        }
        if list.is_full { Event::FullList(entries) } else { Event::ListChanges(entries) }
    }

    fn apply_info(
        &mut self,
        now: Micros,
        version: u64,
        info: &EndpointInfo,
        settings: &Settings,
        names: &Names,
        transport: &mut impl Transport,
    ) -> EndpointEntry {
        let next = self.next_id;
        let id = *self.ids.entry(info.uid.clone()).or_insert(next);
        self.next_id += EndpointId::from(id == next);
        let kind = index_of(&names.kinds, &info.kind).unwrap_or(usize::MAX);
        let max_batch = settings.kinds.get(kind).map_or(1, |k| k.max_batch.max(1));
        let new = || Endpoint {
            uid: info.uid.clone(),
            dest: info.dest,
            address: info.address,
            zone: info.zone.clone(),
            max_batch,
            calls_in_flight: 0,
            in_service: false,
            started_ms: info.started_ms,
            left_service: None,
        };
        let known = self.by_id.entry(id).or_insert_with(new);
        (known.dest, known.address, known.max_batch) = (info.dest, info.address, max_batch);
        // Guards the rule on drains: after discovery has moved, or when one of several instances answers, the
        // list may be older than the last one. An endpoint that has drained does not return to service by an
        // older list, unless it has restarted.
        let is_older =
            known.left_service.is_some_and(|(left, at)| version < left && now < at + MAX_LIST_LAG_US);
        let state = match info.state {
            EndpointState::InService if is_older && info.started_ms <= known.started_ms => {
                EndpointState::Terminating
            }
            state => state,
        };
        known.started_ms = known.started_ms.max(info.started_ms);
        known.in_service = state == EndpointState::InService;
        if known.in_service {
            known.left_service = None;
        } else if !is_older {
            known.left_service = Some((version, now));
        }
        // A draining endpoint must not be connected to either.
        transport.set_endpoint_address(id, known.in_service.then_some(info.address));
        if state == EndpointState::Terminated {
            self.removed.entry(id).or_insert(now);
        } else {
            self.removed.remove(&id);
        }
        EndpointEntry {
            endpoint: id,
            dest: info.dest,
            zone: index_of(&names.zones, &info.zone).unwrap_or(usize::MAX),
            kind,
            listing: match state {
                EndpointState::InService => Listing::Serving,
                EndpointState::Terminating => Listing::Draining,
                EndpointState::Terminated => Listing::Deleted,
            },
            weight: info.weight,
        }
    }

    /// Evicts removed endpoints after the retention time, once no call to them is in flight. Bounds the
    /// memory: in the course of a day endpoints are replaced many times, each under a new uid.
    fn evict_removed(&mut self, now: Micros) {
        let (by_id, ids) = (&mut self.by_id, &mut self.ids);
        self.removed.retain(|id, since| {
            let is_kept = by_id.get(id).is_some_and(|endpoint| endpoint.calls_in_flight > 0)
                || now < *since + REMOVED_RETENTION_US;
            if !is_kept && let Some(endpoint) = by_id.remove(id) {
                ids.remove(&endpoint.uid);
            }
            is_kept
        });
    }
}
