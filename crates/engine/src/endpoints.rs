//! The endpoints that the list has named, and the numbers that the module knows them by.

use crate::list::{EndpointInfo, EndpointList, EndpointState};
use crate::transport::Transport;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use yarrowhill_policy::api::{DestId, EndpointEntry, EndpointId, Event, Listing, Micros, Settings};
use yarrowhill_settings::{Names, index_of};

/// A list is no further behind another than this (microseconds): a lower version after that is another numbering.
const BEHIND_MOST: Micros = 30_000_000;
/// An endpoint that the list has lost keeps its number for so long (microseconds): listed again, it is the same.
const GONE_KEPT: Micros = 30_000_000;

#[derive(Debug)]
pub(crate) struct Endpoint {
    uid: String,
    pub(crate) dest: DestId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    /// Messages that may travel in one call.
    pub(crate) batch: usize,
    /// Calls that are out.
    pub(crate) in_flight: usize,
    /// Listed as in service.
    pub(crate) serves: bool,
    /// When it last started, as the list has it.
    started: u64,
    /// It was last told to drain or to be gone by this version of the list, then.
    left: Option<(u64, Micros)>,
}

#[derive(Debug, Default)]
pub(crate) struct Endpoints {
    known: BTreeMap<EndpointId, Endpoint>,
    uids: HashMap<String, EndpointId>,
    /// Never used twice, so that an endpoint that comes later inherits nothing of one that is forgotten.
    next: EndpointId,
    /// Those that the list no longer holds, and since when.
    gone: BTreeMap<EndpointId, Micros>,
    /// How many of a destination are in service.
    serving: HashMap<DestId, usize>,
}

impl Endpoints {
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.known.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.known.get_mut(&id)
    }

    /// How many of a destination are in service.
    pub(crate) fn serving(&self, dest: DestId) -> usize {
        self.serving.get(&dest).copied().unwrap_or(0)
    }

    /// Takes in a list, and gives the event that the module hears of.
    pub(crate) fn apply(
        &mut self,
        now: Micros,
        list: &EndpointList,
        settings: &Settings,
        names: &Names,
        transport: &mut impl Transport,
    ) -> Event {
        if list.is_full {
            for (id, endpoint) in &mut self.known {
                if std::mem::take(&mut endpoint.serves) {
                    endpoint.left = Some((list.version, now));
                }
                self.gone.entry(*id).or_insert(now);
            }
        }
        let entries =
            list.endpoints.iter().map(|line| self.line(now, list.version, line, settings, names, transport));
        let entries: Vec<EndpointEntry> = entries.collect();
        self.gone.keys().for_each(|id| transport.set_endpoint_address(*id, None));
        self.forget(now);
        self.serving.clear();
        for endpoint in self.known.values().filter(|endpoint| endpoint.serves) {
            *self.serving.entry(endpoint.dest).or_default() += 1;
        }
        if list.is_full { Event::FullList(entries) } else { Event::ListChanges(entries) }
    }

    fn line(
        &mut self,
        now: Micros,
        rev: u64,
        line: &EndpointInfo,
        settings: &Settings,
        names: &Names,
        transport: &mut impl Transport,
    ) -> EndpointEntry {
        let next = self.next;
        let endpoint = *self.uids.entry(line.uid.clone()).or_insert(next);
        self.next += EndpointId::from(endpoint == next);
        let kind = index_of(&names.kinds, &line.kind).unwrap_or(usize::MAX);
        let batch = settings.kinds.get(kind).map_or(1, |k| k.max_batch.max(1));
        let new = || Endpoint {
            uid: line.uid.clone(),
            dest: line.dest,
            address: line.address,
            zone: line.zone.clone(),
            batch,
            in_flight: 0,
            serves: false,
            started: line.started_ms,
            left: None,
        };
        let known = self.known.entry(endpoint).or_insert_with(new);
        (known.dest, known.address, known.batch) = (line.dest, line.address, batch);
        // Guards the rule on drains: where discovery has moved, or one of several answers, the new one may have fallen
        // behind. What has drained is not in service again by an older word, unless it has started anew.
        let older = known.left.is_some_and(|(left, at)| rev < left && now < at + BEHIND_MOST);
        let state = match line.state {
            EndpointState::InService if older && line.started_ms <= known.started => {
                EndpointState::Terminating
            }
            state => state,
        };
        known.started = known.started.max(line.started_ms);
        known.serves = state == EndpointState::InService;
        if known.serves {
            known.left = None;
        } else if !older {
            known.left = Some((rev, now));
        }
        // One that is to end wants no connections either.
        transport.set_endpoint_address(endpoint, known.serves.then_some(line.address));
        if state == EndpointState::Terminated {
            self.gone.entry(endpoint).or_insert(now);
        } else {
            self.gone.remove(&endpoint);
        }
        EndpointEntry {
            endpoint,
            dest: line.dest,
            zone: index_of(&names.zones, &line.zone).unwrap_or(usize::MAX),
            kind,
            listing: match state {
                EndpointState::InService => Listing::Serving,
                EndpointState::Terminating => Listing::Draining,
                EndpointState::Terminated => Listing::Deleted,
            },
            weight: line.weight,
        }
    }

    /// Forgets endpoints that are gone, once nothing is out on them and they are not listed again soon. Guards
    /// the memory: over a long day endpoints are replaced again and again, each under a new id.
    fn forget(&mut self, now: Micros) {
        let (known, uids) = (&mut self.known, &mut self.uids);
        self.gone.retain(|id, since| {
            let kept = known.get(id).is_some_and(|t| t.in_flight > 0) || now < *since + GONE_KEPT;
            if !kept && let Some(endpoint) = known.remove(id) {
                uids.remove(&endpoint.uid);
            }
            kept
        });
    }
}
