//! The interface of the decision module: settings, events and actions. No decision is made here.
//!
//! Time is integer microseconds on the host's own clock; only differences matter.

/// A moment or a span, in microseconds.
pub type Micros = i64;
/// A message, numbered by the host; never used twice in the life of a [`crate::Balancer`].
pub type MessageId = u64;
/// An endpoint, as the endpoint list numbers it.
pub type EndpointId = u64;
/// An outside receiver that owns one or more endpoints.
pub type DestId = u64;

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// The destination drops repeats for `life` from the first attempt that may have run.
    Keyed {
        /// How long the destination remembers the key.
        life: Micros,
        /// Only endpoints of the same zone share the memory of keys.
        per_zone: bool,
    },
    /// It must never take effect twice.
    Unsafe,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// What a repeat does.
    pub effect: Effect,
    /// Delivered within this time it earns its full worth; 0 where there is no aim.
    pub target_latency: Micros,
    /// How long it may be delivered after it was first handed in.
    pub deadline: Micros,
    /// Worth of one message.
    pub value: f64,
    /// Share of the worth left at the deadline.
    pub deadline_value_share: f64,
    /// Messages with the same key go one at a time, in the order taken.
    pub ordered: bool,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, Default)]
pub struct DestKind {
    /// The endpoints of a destination are separate routes with limits and outages of their own.
    pub independent_endpoints: bool,
    /// Messages that may travel as one call.
    pub max_batch: usize,
}

/// A customer with a share of the service.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages a second, over all senders, that count in full.
    pub quota: f64,
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Evenly, down to the late share at the deadline.
    Linear,
    /// By half with each further aim, but not under the late share.
    Exponential,
}

/// What the weights of the endpoint list hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    Off,
    /// Calls a second that the destination takes from all senders together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// All that a sender is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of message; events name them by index.
    pub classes: Vec<Class>,
    /// Kinds of destination; list entries name them by index.
    pub kinds: Vec<DestKind>,
    /// Customers; events name them by index.
    pub tenants: Vec<Tenant>,
    /// Worth of a message beyond its tenant's share, as a part of the usual.
    pub over_quota_value_factor: f64,
    /// How worth falls after the aim.
    pub decay: Decay,
    /// The zone of this sender.
    pub zone: usize,
    /// Senders in all.
    pub senders: usize,
    /// Calls that may be out at once.
    pub slots: usize,
    /// Messages that may be held, sent or not.
    pub max_held_messages: usize,
    /// Attempts that a message may have.
    pub max_attempts: usize,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// A message may have a second attempt out beside the first. Decisions never ask for that; hosts whose calls carry
    /// several messages must not bring it about.
    pub may_overlap_attempts: bool,
    /// Clients are told how long to wait after a refusal.
    pub may_send_retry_after: bool,
    /// The longest wait a client heeds.
    pub max_retry_after: Micros,
    /// The endpoint list answers only when asked.
    pub must_subscribe: bool,
    /// What the list's weights hold.
    pub weights: Weights,
    /// An idle connection closes after this time.
    pub idle_timeout: Micros,
    /// A connection that is not ready by this time has failed.
    pub connect_timeout: Micros,
    /// Least time between two turns of the host.
    pub min_turn_interval: Micros,
    /// A returning destination falls over when sent more than this many times its present capacity.
    pub overload_factor: f64,
    /// And for this long.
    pub overload_duration: Micros,
    /// Share of its capacity that a destination has right after an outage.
    pub initial_capacity_share: f64,
    /// After this time it has all of it again.
    pub warm_up_duration: Micros,
    /// Rest of an ordered key after an attempt that may still run.
    pub ordered_key_gap: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// Answered with an error; it may have taken effect.
    Error,
    /// Turned away unseen, with the wait that was told, if any.
    Full {
        /// How long nothing may be sent there.
        wait: Option<Micros>,
    },
    /// No answer in time; it may have taken effect or still do so.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have taken effect.
    Reset,
    /// Answered with what can't be read; it may have taken effect. Says nothing of the destination's health:
    /// it has worked and answered, and something on the way spoilt that.
    Malformed,
    /// Called off; it may have taken effect.
    Cancelled,
    /// Never sent by the host, for want of a slot or for another reason of its own.
    NotSent,
}

impl Outcome {
    /// True if the attempt is known never to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full { .. } | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What a destination tells of its limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitReport {
    /// Calls a second that the limit allows; `None` where there is no limit.
    pub limit: Option<f64>,
    /// Share of the limit's allowance that is left (0 to 1); `None` where that is not told or there is no limit.
    pub remaining: Option<f64>,
}

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Listed; nothing is said of its health.
    Serving,
    /// Nothing new may go there.
    Draining,
    /// Gone.
    Deleted,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub dest: DestId,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its kind.
    pub kind: usize,
    /// Listed, draining or gone.
    pub listing: Listing,
    /// See [`Weights`].
    pub weight: f64,
}

/// A message handed in.
#[derive(Clone, Debug)]
pub struct SubmittedMessage {
    /// Its number.
    pub id: MessageId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// What it is about, where the class keeps an order.
    pub key: Option<String>,
    /// The client stops waiting then.
    pub expires_at: Micros,
    /// The destination.
    pub dest: DestId,
    /// What became of it before this start; nothing for a message that is new.
    pub history: MessageHistory,
}

/// What is known of a message that an earlier process of this sender had taken on.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageHistory {
    /// Attempts that were made; further ones are numbered from here.
    pub attempts: usize,
    /// When the first attempt that may have run was sent, and the zone of its endpoint.
    pub first_possible_run: Option<(Micros, usize)>,
    /// It was taken on: it is tried, whatever the list says so far.
    pub was_accepted: bool,
}

/// The end of an attempt. Attempts of a message are numbered from 0 in the order of their sends.
#[derive(Clone, Debug)]
pub struct EndedAttempt {
    /// The message.
    pub id: MessageId,
    /// Which attempt.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The message is over; nothing more is owed for it.
    pub finished: bool,
    /// What the destination told of its limit.
    pub report: Option<LimitReport>,
    /// How long nothing may be sent there, where that was told beside another outcome than
    /// [`Outcome::Full`], which carries its own.
    pub wait: Option<Micros>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// What each tenant may have from now on of what counts in full (messages a second), where several senders of
    /// one process share it.
    Quotas(Vec<f64>),
    /// So many senders share from now on what is told for all: [`Settings::senders`] as it is now.
    #[cfg(feature = "senders")]
    Senders(usize),
    /// A message was handed in; it is owed one final answer.
    Submit(SubmittedMessage),
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// A streamed answer has begun: the attempt belongs to the client now.
    ResponseStarted {
        /// The message.
        id: MessageId,
    },
    /// The client is gone; nothing more is owed.
    ClientDisconnected {
        /// The message.
        id: MessageId,
    },
    /// The whole endpoint list; what is missing is gone.
    FullList(Vec<EndpointEntry>),
    /// The changed lines of the endpoint list.
    ListChanges(Vec<EndpointEntry>),
    /// A subscription failed or broke; the old list stays.
    SubscriptionFailed,
    /// A moment asked for with [`Action::Wake`] has come.
    Wake,
    /// The host has handed in all it has for now. Sends are decided here.
    TurnEnd,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. Sends of one turn to one endpoint travel together, up to [`DestKind::max_batch`].
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time-out; 0: until the client stops waiting.
        timeout: Micros,
        /// Nothing of it may be written later than then: connections take their time to come up, and the destination
        /// may have forgotten the key by then. Not begun by then, the attempt never ran.
        begin_by: Micros,
    },
    /// Final answer: handed back; another try does no harm.
    Refuse {
        /// The message.
        id: MessageId,
        /// How long the client should wait; 0: not told.
        wait: Micros,
    },
    /// Final answer: given up, with no promise about its effect.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Stop waiting for an attempt; it still gets its [`EndedAttempt`].
    Cancel {
        /// The message.
        id: MessageId,
        /// Which attempt.
        attempt: usize,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Hand in [`Event::Wake`] at this time or soon after.
    Wake {
        /// When.
        at: Micros,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
}

impl Default for Settings {
    /// Nothing allowed, nothing limited: the neutral value of every setting.
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
