//! What one sender holds: destinations, endpoints, messages and attempts.

use super::params::Env;
use super::scope::Scope;
use crate::api::{DestId, DestKind, EndpointId, MessageId, Micros, SubmittedMessage};
use crate::numeric::Fading;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

#[derive(Default)]
pub(super) struct Dest {
    pub(super) kind: DestKind,
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// Messages ready to go, by class and by whether their tenant is over its share; earliest aim first.
    pub(super) lanes: BTreeMap<(usize, bool), BTreeSet<(Micros, MessageId)>>,
    pub(super) scope: Scope,
}

#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) dest: DestId,
    pub(super) zone: usize,
    pub(super) out: usize,
    pub(super) pace: f64,
    /// When each idle connection was last used.
    pub(super) idle: VecDeque<Micros>,
    pub(super) avoid_until: Micros,
    /// Calls in a row that were not delivered.
    pub(super) fails: u32,
    pub(super) served_at: Option<Micros>,
    /// Connections turned away in a row, and until when none is tried.
    pub(super) crowded: u32,
    pub(super) closed_until: Micros,
    pub(super) scope: Scope,
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Place {
    /// Ready in a lane of its destination.
    Lane,
    Parked(Micros),
    Out,
    /// Between two of these, or behind another message of its key.
    Turn,
}

pub(super) struct Message {
    pub(super) m: SubmittedMessage,
    pub(super) over: bool,
    pub(super) due: Micros,
    pub(super) alarm: Micros,
    pub(super) attempts: usize,
    pub(super) place: Place,
    /// When the first attempt that may have run was sent, and its zone.
    pub(super) first_possible_run: Option<(Micros, usize)>,
    pub(super) started: bool,
}

/// An attempt that is out. Those that travel as one call share its number.
pub(super) struct Attempt {
    pub(super) call: u64,
    pub(super) endpoint: EndpointId,
    pub(super) dest: DestId,
    pub(super) class: usize,
    pub(super) sent: Micros,
    pub(super) cancelled: bool,
    pub(super) key: Option<String>,
}

/// Messages of one ordered key.
#[derive(Default)]
pub(super) struct Turns {
    pub(super) queue: VecDeque<MessageId>,
    pub(super) out: usize,
    pub(super) rest_until: Micros,
}

/// One sender's decisions.
#[derive(Default)]
pub struct Balancer {
    pub(super) e: Arc<Env>,
    pub(super) seed: u64,
    pub(super) dests: BTreeMap<DestId, Dest>,
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that the list no longer holds, and since when.
    pub(super) gone: BTreeMap<EndpointId, Micros>,
    /// The design's counter: calls of this sender to one destination; dropped when idle.
    pub(super) counters: BTreeMap<DestId, usize>,
    pub(super) messages: BTreeMap<MessageId, Message>,
    pub(super) attempts: BTreeMap<(MessageId, usize), Attempt>,
    /// Attempts still out of each call; a call takes one slot.
    pub(super) calls: BTreeMap<u64, usize>,
    pub(super) next_call: u64,
    pub(super) parked: BTreeSet<(Micros, MessageId)>,
    pub(super) alarms: BTreeSet<(Micros, MessageId)>,
    pub(super) turns: BTreeMap<String, Turns>,
    pub(super) tenants: Vec<Fading>,
    /// Destinations with a message in a lane.
    pub(super) waiting: BTreeSet<DestId>,
    /// Endpoints where a call ended in this turn.
    pub(super) used: BTreeSet<EndpointId>,
    /// A connection failed not long before this.
    pub(super) crowded_until: Micros,
    pub(super) wake_at: Micros,
    pub(super) subscribe_at: Option<Micros>,
    pub(super) broken: u32,
}

impl Balancer {
    /// Waits, limits, health and slow start hold for a destination, or route by route.
    pub(super) fn scope(&mut self, dest: DestId, endpoint: EndpointId) -> &mut Scope {
        let d = self.dests.get_mut(&dest).expect("only known destinations are sent to");
        if !d.kind.independent_endpoints {
            return &mut d.scope;
        }
        &mut self.endpoints.get_mut(&endpoint).expect("only known endpoints are sent to").scope
    }
}
