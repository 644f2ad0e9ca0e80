//! The interface of the decision module: settings, events and actions. No decision is made here.
//!
//! Times are integer microseconds on the host's own clock; only differences between them matter.

/// A point in time or a duration, in microseconds.
pub type Micros = i64;
/// Number of a message, assigned by the host and never reused within the lifetime of a [`crate::Balancer`].
pub type MessageId = u64;
/// Number of an endpoint in the endpoint list.
pub type EndpointId = u64;
/// Number of a destination: an external receiver that owns one or more endpoints.
pub type DestId = u64;

/// The effect of delivering a message more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeated delivery is harmless.
    Safe,
    /// The destination deduplicates by idempotency key for `life` after the first attempt that may have run.
    Keyed {
        /// How long the destination remembers the key.
        life: Micros,
        /// True if keys are remembered per zone: only endpoints of the same zone share them.
        per_zone: bool,
    },
    /// The message must never take effect twice.
    Unsafe,
}

/// A class of messages.
#[derive(Clone, Debug)]
pub struct Class {
    /// Effect of a repeated delivery.
    pub effect: Effect,
    /// A message delivered within this time earns its full value; 0 where there is no such target.
    pub target_latency: Micros,
    /// Time after submission until which a message may be delivered.
    pub deadline: Micros,
    /// Value of one message that is delivered within the target latency.
    pub value: f64,
    /// Share of the value that is left at the deadline.
    pub deadline_value_share: f64,
    /// True if messages with the same key are delivered one at a time, in the order of their submission.
    pub ordered: bool,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, Default)]
pub struct DestKind {
    /// True if each endpoint of a destination has its own limit and its own outages.
    pub independent_endpoints: bool,
    /// Maximum number of messages that one call may carry.
    pub max_batch: usize,
}

/// A customer with a quota of the service.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages per second, over all senders, that count at full value.
    pub quota: f64,
}

/// How the value of a message falls after the target latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Linearly, down to [`Class::deadline_value_share`] at the deadline.
    Linear,
    /// By half with each further target latency, but not below [`Class::deadline_value_share`].
    Exponential,
}

/// Meaning of the weights in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The weights carry no information.
    Off,
    /// Calls per second that the destination accepts from all senders together.
    Nominal,
    /// The same as [`Weights::Nominal`], but up to half too high or too low.
    Rough,
}

/// The settings of a sender, fixed at its start except where an [`Event`] changes them.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of messages; events refer to them by index.
    pub classes: Vec<Class>,
    /// Kinds of destinations; entries of the endpoint list refer to them by index.
    pub kinds: Vec<DestKind>,
    /// Tenants; events refer to them by index.
    pub tenants: Vec<Tenant>,
    /// Factor applied to the value of a message that exceeds its tenant's quota.
    pub over_quota_value_factor: f64,
    /// How the value of a message falls after the target latency.
    pub decay: Decay,
    /// Index of this sender's zone.
    pub zone: usize,
    /// Total number of senders.
    pub senders: usize,
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Maximum number of messages held, whether sent or not.
    pub max_held_messages: usize,
    /// Maximum number of attempts per message.
    pub max_attempts: usize,
    /// True if attempts may be cancelled.
    pub may_cancel: bool,
    /// True if a message may have a second attempt in flight beside the first. Decisions never ask for one; a
    /// host whose calls carry several messages must not cause one if this is false.
    pub may_overlap_attempts: bool,
    /// True if a refusal may advise the client how long to wait.
    pub may_send_retry_after: bool,
    /// Longest advised wait that clients obey.
    pub max_retry_after: Micros,
    /// True if the endpoint list is delivered only after [`Action::Subscribe`].
    pub must_subscribe: bool,
    /// Meaning of the weights in the endpoint list.
    pub weights: Weights,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// Minimum time between two turns of the host.
    pub min_turn_interval: Micros,
    /// A recovering destination becomes overloaded, and fails again, when it is sent more than this multiple
    /// of its present capacity for [`Settings::overload_duration`].
    pub overload_factor: f64,
    /// How long a load above [`Settings::overload_factor`] must last to overload a recovering destination.
    pub overload_duration: Micros,
    /// Share of its capacity that a destination has right after an outage.
    pub initial_capacity_share: f64,
    /// Time after an outage until the destination has its full capacity again.
    pub warm_up_duration: Micros,
    /// Time that the next message of an ordered key waits after an attempt that may still be running.
    pub ordered_key_gap: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message was delivered.
    Delivered,
    /// The destination returned an error; the message may have taken effect.
    Error,
    /// The destination refused the message without processing it.
    Full {
        /// Time during which nothing may be sent there, if the destination announced one.
        wait: Option<Micros>,
    },
    /// No response came in time; the message may have taken effect or may still do so.
    TimedOut,
    /// No connection was established; the message never ran.
    ConnectFailed,
    /// The destination closed a new connection without processing the message, because it has too many
    /// connections.
    TooManyConnections,
    /// The connection broke; the message may have taken effect.
    Reset,
    /// The response could not be parsed; the message may have taken effect. This says nothing about the
    /// health of the destination: it processed the call and responded, and the response was corrupted on its
    /// way.
    Malformed,
    /// The attempt was cancelled; the message may have taken effect.
    Cancelled,
    /// The host never sent the message, because it had no free slot or for another reason of its own.
    NotSent,
}

impl Outcome {
    /// Returns true if the attempt is known never to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::TooManyConnections | Outcome::NotSent
        )
    }
}

/// What a destination reports about its rate limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitReport {
    /// Calls per second that the limit allows; `None` where there is no limit.
    pub limit: Option<f64>,
    /// Share of the limit's allowance that remains (0 to 1); `None` where it is not reported or there is no
    /// limit.
    pub remaining: Option<f64>,
}

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The endpoint is in service; its health is not implied.
    Serving,
    /// The endpoint accepts no new calls.
    Draining,
    /// The endpoint no longer exists.
    Deleted,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// Number of the endpoint.
    pub endpoint: EndpointId,
    /// Destination that owns the endpoint.
    pub dest: DestId,
    /// Index of the endpoint's zone.
    pub zone: usize,
    /// Index of the destination's kind.
    pub kind: usize,
    /// State of the endpoint.
    pub listing: Listing,
    /// Weight of the endpoint; see [`Weights`].
    pub weight: f64,
}

/// A message submitted by the host.
#[derive(Clone, Debug)]
pub struct SubmittedMessage {
    /// Number of the message.
    pub id: MessageId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// Key whose messages are delivered in order, if the class is ordered.
    pub key: Option<String>,
    /// Time at which the client stops waiting.
    pub expires_at: Micros,
    /// Destination of the message.
    pub dest: DestId,
    /// What happened to the message before this process started; empty for a new message.
    pub history: MessageHistory,
}

/// What is known of a message that an earlier process of this sender had accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageHistory {
    /// Number of attempts already made; further ones are numbered from here.
    pub attempts: usize,
    /// When the first attempt that may have run was sent, and the zone of its endpoint.
    pub first_possible_run: Option<(Micros, usize)>,
    /// True if the message was accepted: it is then attempted even if its destination is not listed yet.
    pub was_accepted: bool,
}

/// The end of an attempt. Attempts of a message are numbered from 0 in the order in which they are sent.
#[derive(Clone, Debug)]
pub struct EndedAttempt {
    /// Number of the message.
    pub id: MessageId,
    /// Number of the attempt.
    pub attempt: usize,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// True if the message is finished, so that no answer is owed for it any more.
    pub finished: bool,
    /// What the destination reported about its rate limit.
    pub report: Option<LimitReport>,
    /// Time during which nothing may be sent there, where it was announced with an outcome other than
    /// [`Outcome::Full`], which carries its own.
    pub wait: Option<Micros>,
}

/// An input to the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// New quotas (messages per second at full value), one per tenant, for this sender, where several senders
    /// of one process share the quotas.
    Quotas(Vec<f64>),
    /// New number of senders that share the limits announced for all of them; replaces [`Settings::senders`].
    #[cfg(feature = "senders")]
    Senders(usize),
    /// A message was submitted; it is owed one final answer.
    Submit(SubmittedMessage),
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// A destination demanded a wait, other than with the end of an attempt.
    WaitAnnounced {
        /// Endpoint that demanded it.
        endpoint: EndpointId,
        /// Time during which nothing may be sent there.
        wait: Micros,
    },
    /// A streamed response has begun: from now on the attempt belongs to the client.
    ResponseStarted {
        /// Number of the message.
        id: MessageId,
    },
    /// The client disconnected; no answer is owed any more.
    ClientDisconnected {
        /// Number of the message.
        id: MessageId,
    },
    /// The complete endpoint list; endpoints that it does not contain are gone.
    FullList(Vec<EndpointEntry>),
    /// The changed entries of the endpoint list.
    ListChanges(Vec<EndpointEntry>),
    /// A subscription failed or broke; the known endpoint list stays in use.
    SubscriptionFailed,
    /// A time requested by [`Action::Wake`] has come.
    Wake,
    /// The host has submitted all the events that it has for now. Sends are decided here.
    TurnEnd,
    /// The same while nothing may be sent: only what is due is done.
    TurnEndWithoutSends,
}

/// An output of the decision module, to be carried out by the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. Sends of one turn to one endpoint travel in one call, up to [`DestKind::max_batch`].
    Send {
        /// Number of the message.
        id: MessageId,
        /// Endpoint to send it to.
        endpoint: EndpointId,
        /// Timeout of the attempt; 0 means until the client stops waiting.
        timeout: Micros,
        /// Latest time at which the first byte of the message may be written: a connection takes time to be
        /// established, and the destination may have forgotten the idempotency key by then. An attempt that
        /// has not begun by this time never ran.
        begin_by: Micros,
    },
    /// Final answer: the message is handed back, and the client may safely submit it again.
    Refuse {
        /// Number of the message.
        id: MessageId,
        /// How long the client should wait before it tries again; 0 if there is no advice.
        wait: Micros,
    },
    /// Final answer: the message has failed, and may or may not have taken effect.
    Fail {
        /// Number of the message.
        id: MessageId,
    },
    /// Cancel an attempt; the host still reports its end with [`Event::AttemptEnded`].
    Cancel {
        /// Number of the message.
        id: MessageId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// Endpoint whose connections are closed.
        endpoint: EndpointId,
    },
    /// Submit [`Event::Wake`] at this time or shortly after.
    Wake {
        /// Time of the event.
        at: Micros,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}

impl Default for Settings {
    /// Returns settings that allow nothing and limit nothing: the neutral value of each.
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            kinds: Vec::new(),
            tenants: Vec::new(),
            over_quota_value_factor: 1.0,
            decay: Decay::Linear,
            zone: 0,
            senders: 1,
            slots: usize::MAX,
            max_held_messages: usize::MAX,
            max_attempts: usize::MAX,
            may_cancel: false,
            may_overlap_attempts: false,
            may_send_retry_after: false,
            max_retry_after: 0,
            must_subscribe: false,
            weights: Weights::Off,
            idle_timeout: 0,
            connect_timeout: 0,
            min_turn_interval: 0,
            overload_factor: 1.0,
            overload_duration: 0,
            initial_capacity_share: 0.0,
            warm_up_duration: 0,
            ordered_key_gap: 0,
        }
    }
}
