//! The state of one sender: destinations, endpoints, messages and attempts.

use super::message_queue::MessageQueue;
use super::params::Params;
use super::scope::Scope;
use crate::api::{DestId, DestKind, EndpointId, MessageId, Micros, SubmittedMessage};
use crate::numeric::DecayingCounter;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A destination.
#[derive(Default)]
pub(super) struct Dest {
    /// Kind of the destination.
    pub(super) kind: DestKind,
    /// Endpoints in service.
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// Messages ready to be sent, by class and by whether their tenant exceeds its quota.
    pub(super) queues: BTreeMap<(usize, bool), MessageQueue>,
    /// Latency, health and limit of the destination. Where its endpoints are independent, each has a scope of
    /// its own as well.
    pub(super) scope: Scope,
    /// Number of attempts in flight of unsafe messages.
    pub(super) unsafe_in_flight: usize,
}

/// An endpoint.
#[derive(Default)]
pub(super) struct Endpoint {
    /// Destination that owns the endpoint.
    pub(super) dest: DestId,
    /// Index of the endpoint's zone.
    pub(super) zone: usize,
    /// Number of calls in flight.
    pub(super) calls_in_flight: usize,
    /// Moving average of the latency of deliveries; 0 while unknown.
    pub(super) recent_latency: f64,
    /// When each idle connection was last used.
    pub(super) idle_connections: VecDeque<Micros>,
    /// Since when a connection has been open, in use or idle.
    pub(super) connected_since: Micros,
    /// Time until which other endpoints of the destination are preferred.
    pub(super) avoid_until: Micros,
    /// Number of consecutive calls that failed.
    pub(super) consecutive_failures: u32,
    /// Time of the last delivery.
    pub(super) last_delivery: Option<Micros>,
    /// Time of the last response.
    pub(super) last_response: Option<Micros>,
    /// When the first call after the last response was sent, while a call is in flight.
    pub(super) unanswered_since: Option<Micros>,
    /// Number of consecutive waves of refused connections.
    pub(super) connect_refusals: u32,
    /// Time until which no new connection is attempted.
    pub(super) no_connect_until: Micros,
    /// Latency, health and limit of the endpoint, where the endpoints of its destination are independent.
    pub(super) scope: Scope,
}

impl Endpoint {
    /// Returns true if a connection to the endpoint is idle.
    pub(super) fn is_connected(&self, now: Micros, params: &Params) -> bool {
        self.idle_connections.back().is_some_and(|at| now - at < params.settings.idle_timeout)
    }
}

/// Where a held message is.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Placement {
    /// In a queue of its destination, ready to be sent.
    Queued,
    /// Deferred until this time.
    Deferred(Micros),
    /// Sent, and its attempt is in flight.
    InFlight,
    /// Between two of the other placements, or behind another message of its ordered key.
    Pending,
}

/// A held message.
pub(super) struct Message {
    /// The message as it was submitted.
    pub(super) submitted: SubmittedMessage,
    /// True if the tenant exceeded its quota when the message was submitted.
    pub(super) over_quota: bool,
    /// Time until which the message keeps its full value.
    pub(super) due: Micros,
    /// Time of its entry in [`Balancer::alarms`].
    pub(super) alarm: Micros,
    /// Number of attempts made.
    pub(super) attempts: usize,
    /// Where the message is.
    pub(super) placement: Placement,
    /// When the first attempt that may have run was sent, and the zone of its endpoint.
    pub(super) first_possible_run: Option<(Micros, usize)>,
    /// True if a streamed response has begun.
    pub(super) response_started: bool,
}

/// An attempt in flight. Attempts that travel in one call have the same call number.
pub(super) struct Attempt {
    /// Number of the call that carries the attempt.
    pub(super) call: u64,
    /// Endpoint that it was sent to.
    pub(super) endpoint: EndpointId,
    /// Destination that it was sent to.
    pub(super) dest: DestId,
    /// Index of the message's class.
    pub(super) class: usize,
    /// Time at which it was sent.
    pub(super) sent_at: Micros,
    /// True once its cancellation has been requested.
    pub(super) cancelled: bool,
    /// Key of the message, if its class is ordered.
    pub(super) key: Option<String>,
}

/// The messages of one ordered key.
#[derive(Default)]
pub(super) struct KeyQueue {
    /// Messages in the order of their submission.
    pub(super) messages: VecDeque<MessageId>,
    /// Number of attempts in flight.
    pub(super) in_flight: usize,
    /// Time before which no message of the key is sent, since an earlier attempt may still be running.
    pub(super) blocked_until: Micros,
}

/// Makes the decisions of one sender.
#[derive(Default)]
pub struct Balancer {
    /// The settings and the values derived from them.
    pub(super) params: Arc<Params>,
    /// State of the pseudo-random number generator.
    pub(super) seed: u64,
    /// Known destinations.
    pub(super) dests: BTreeMap<DestId, Dest>,
    /// Known endpoints.
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that are no longer in the endpoint list, and since when.
    pub(super) delisted: BTreeMap<EndpointId, Micros>,
    /// Number of calls in flight to each destination; a destination without any has no entry.
    pub(super) calls_by_dest: BTreeMap<DestId, usize>,
    /// Held messages.
    pub(super) messages: BTreeMap<MessageId, Message>,
    /// Attempts in flight, by message and number of the attempt.
    pub(super) attempts: BTreeMap<(MessageId, usize), Attempt>,
    /// Number of attempts in flight of each call; a call takes one slot.
    pub(super) calls: BTreeMap<u64, usize>,
    /// Number of the next call.
    pub(super) next_call: u64,
    /// Deferred messages, by the time at which they are queued.
    pub(super) deferred: BTreeSet<(Micros, MessageId)>,
    /// Times after which messages can no longer be sent, or must be answered.
    pub(super) alarms: BTreeSet<(Micros, MessageId)>,
    /// Messages of ordered classes, by key.
    pub(super) key_queues: BTreeMap<String, KeyQueue>,
    /// Messages that each tenant has submitted lately.
    pub(super) tenant_submissions: Vec<DecayingCounter>,
    /// Destinations with a queued message.
    pub(super) dests_with_queue: BTreeSet<DestId>,
    /// Endpoints at which a call ended in this turn.
    pub(super) used_endpoints: BTreeSet<EndpointId>,
    /// End of the period in which idle connections are closed, since a connection was refused lately.
    pub(super) connections_scarce_until: Micros,
    /// Earliest wake-up that the host was asked for.
    pub(super) wake_at: Micros,
    /// Time at which to subscribe to the endpoint list.
    pub(super) subscribe_at: Option<Micros>,
    /// Number of consecutive failed subscriptions.
    pub(super) subscription_failures: u32,
}

impl Balancer {
    /// Returns the scope of an endpoint: waits, limits, health and the warm-up after an outage apply to all
    /// endpoints of its destination, or to the endpoint alone where endpoints are independent.
    pub(super) fn scope(&mut self, dest: DestId, endpoint: EndpointId) -> &mut Scope {
        let dest = self.dests.get_mut(&dest).expect("only known destinations are sent to");
        if !dest.kind.independent_endpoints {
            return &mut dest.scope;
        }
        &mut self.endpoints.get_mut(&endpoint).expect("only known endpoints are sent to").scope
    }
}
