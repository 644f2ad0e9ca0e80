//! The events that stand-ins record.

use serde::{Deserialize, Serialize};

/// One line of the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the start of the run, on one monotonic clock.
    pub at: f64,
    /// What happened.
    pub event: Event,
}

/// What a stand-in observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client began to send a message. Its deadline counts from here.
    Sent {
        /// Id of the message: new for each submission, but the same when a request is sent again.
        id: String,
        /// Class of the message.
        class: String,
        /// Destination of the message.
        dest: u64,
        /// Time within which the message may be delivered (ms).
        deadline_ms: f64,
        /// Order key of the message, where its class keeps an order.
        order_key: Option<String>,
    },
    /// A client's request ended.
    #[serde(rename = "Heard")]
    ClientDone {
        /// Id of the message.
        id: String,
        /// The answer, or how the request ended without one.
        #[serde(rename = "answer")]
        outcome: ClientOutcome,
    },
    /// The first byte of a call reached an endpoint.
    Began {
        /// Number of the call, counted over all endpoints.
        call: u64,
        /// Uid of the endpoint.
        uid: String,
        /// Destination of the endpoint.
        dest: u64,
    },
    /// The last byte of a call reached an endpoint.
    Called {
        /// Number of the call.
        call: u64,
        /// Uid of the endpoint.
        uid: String,
        /// Destination of the endpoint.
        dest: u64,
        /// Ids of the messages in the call.
        ids: Vec<String>,
    },
    /// The complete answer to a call was written, on a connection that was open.
    Answered {
        /// Number of the call.
        call: u64,
        /// What the answer says of each message.
        ends: Vec<(String, CallEnd)>,
        /// The wait that the answer asks for (ms).
        wait_ms: Option<f64>,
    },
    /// The connection of a call ended without an answer, closed by either side.
    Broke {
        /// Number of the call.
        call: u64,
    },
    /// Discovery wrote the state of an endpoint to the forwarder.
    Listed {
        /// Uid of the endpoint.
        uid: String,
        /// State of the endpoint in the list.
        standing: Standing,
    },
    /// A notice arrived.
    Notice {
        /// Id of the message.
        id: String,
        /// Whether the message was handed back, which says that another attempt is harmless.
        handed_back: bool,
        /// Whether the notice was acknowledged.
        acknowledged: bool,
    },
    /// A destination went down, or came back with reduced capacity.
    Outage {
        /// The destination.
        dest: u64,
        /// Whether the outage is over.
        back: bool,
        /// Capacity of the destination once warmed up (calls a second).
        capacity: f64,
    },
    /// The forwarder's process became ready or began to end.
    Forwarder(ForwarderState),
}

impl Event {
    /// Returns the event of a client sending a message without an order key.
    pub fn sent(id: &str, class: &str, dest: u64, deadline_ms: f64) -> Self {
        Event::Sent { id: id.into(), class: class.into(), dest, deadline_ms, order_key: None }
    }
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientOutcome {
    /// The client received an answer with this status.
    Status(u16),
    /// The connection ended without an answer.
    Broken,
    /// The client received no answer before its time-out and left.
    Left,
}

/// What an answer says of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// The message was delivered.
    Delivered,
    /// The message may have run.
    MayHaveRun,
    /// The message never ran.
    NeverRan,
    /// The message never ran, and nothing more is owed for it.
    Over,
}

/// State of an endpoint in the discovery list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// The endpoint may be called.
    InService,
    /// The endpoint drains: it takes no new calls.
    Terminating,
    /// The endpoint is gone.
    Terminated,
}

/// State of the forwarder's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwarderState {
    /// The forwarder answers that it is ready.
    Ready,
    /// The forwarder was asked to end, was killed, or has exited.
    Ending,
}
