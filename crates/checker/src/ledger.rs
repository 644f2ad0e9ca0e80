//! What stand-ins write down.

use serde::{Deserialize, Serialize};

/// One line of the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the start of the run, on one monotonic clock.
    pub at: f64,
    /// What happened.
    pub event: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client began to send a message. Its time counts from here.
    Sent {
        /// Its id, new each time that a message is handed in, but for a request sent once more.
        id: String,
        /// Its class.
        class: String,
        /// Its destination.
        dest: u64,
        /// How long it may be delivered (ms).
        deadline_ms: f64,
        /// What it is about, where its class keeps an order.
        order_key: Option<String>,
    },
    /// What became of that request.
    #[serde(rename = "Heard")]
    ClientDone {
        /// The message.
        id: String,
        /// The answer, or none.
        #[serde(rename = "answer")]
        outcome: ClientOutcome,
    },
    /// The first byte of a call reached an endpoint.
    Began {
        /// The call, numbered over all endpoints.
        call: u64,
        /// The endpoint.
        uid: String,
        /// Its destination.
        dest: u64,
    },
    /// The last byte of a call reached an endpoint.
    Called {
        /// The call.
        call: u64,
        /// The endpoint.
        uid: String,
        /// Its destination.
        dest: u64,
        /// The messages in it.
        ids: Vec<String>,
    },
    /// The whole answer to a call was written, on a connection that was open.
    Answered {
        /// The call.
        call: u64,
        /// What it says of each message.
        ends: Vec<(String, CallEnd)>,
        /// A wait that it told (ms).
        wait_ms: Option<f64>,
    },
    /// The connection of a call ended with no answer, from whichever side.
    Broke {
        /// The call.
        call: u64,
    },
    /// Discovery wrote to the forwarder how an endpoint stands.
    Listed {
        /// The endpoint.
        uid: String,
        /// How it stands.
        standing: Standing,
    },
    /// A notice came.
    Notice {
        /// The message.
        id: String,
        /// It was handed back: another try does no harm.
        handed_back: bool,
        /// It was acknowledged.
        acknowledged: bool,
    },
    /// A destination went down or came back, cold.
    Outage {
        /// The destination.
        dest: u64,
        /// Whether it is back.
        back: bool,
        /// What it can do warm (calls a second).
        capacity: f64,
    },
    /// The forwarder's own life.
    Forwarder(ForwarderState),
}

impl Event {
    /// A message that a client sends.
    pub fn sent(id: &str, class: &str, dest: u64, deadline_ms: f64) -> Self {
        Event::Sent { id: id.into(), class: class.into(), dest, deadline_ms, order_key: None }
    }
}

/// What a client heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientOutcome {
    /// An answer with this status.
    Status(u16),
    /// The connection ended with no answer.
    Broken,
    /// Nothing in its time: the client left.
    Left,
}

/// What an answer says of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// Delivered.
    Delivered,
    /// It may have run.
    MayHaveRun,
    /// It never ran.
    NeverRan,
    /// It never ran, and nothing more is owed.
    Over,
}

/// How an endpoint stands in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// May be called.
    InService,
    /// Wants nothing new.
    Terminating,
    /// Gone.
    Terminated,
}

/// The forwarder's own life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwarderState {
    /// It answers that it is ready.
    Ready,
    /// It is told to end, or killed.
    Ending,
}
