//! Clients: each hands in one message, waits, and may leave.

use crate::ledger::Ledger;
use crate::wire::{Read, Wire};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use yarrowhill_checker::{ClientOutcome, Event};

/// A message to hand in.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its destination.
    pub dest: u64,
    /// Its owner.
    pub owner: String,
    /// How long it may be delivered (ms).
    pub deadline_ms: u64,
    /// Bytes of its body.
    pub body_bytes: usize,
}

/// How long a client waits.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// It leaves after this time (ms).
    pub timeout_ms: u64,
    /// It stops halfway through its request and leaves.
    pub abort_midway: bool,
}

impl Default for ClientOptions {
    /// 400 ms, as PROTOCOL has it.
    fn default() -> Self {
        ClientOptions { timeout_ms: 400, abort_midway: false }
    }
}

/// Hands a message in on a connection of its own. Gives what it heard, and the wait that it was told (ms).
pub async fn submit(
    to: SocketAddr,
    message: &Message,
    patience: ClientOptions,
    ledger: &Ledger,
) -> (ClientOutcome, Option<f64>) {
    Session::new(to, ledger).submit(message, patience).await
}

/// A client that keeps its connection, one request at a time.
#[derive(Debug)]
pub struct Session {
    to: SocketAddr,
    wire: Option<Wire>,
    ledger: Ledger,
}

impl Session {
    /// Connects with its first message.
    pub fn new(to: SocketAddr, ledger: &Ledger) -> Self {
        Session { to, wire: None, ledger: ledger.clone() }
    }

    /// Hands a message in. Gives what it heard, and the wait that it was told (ms).
    pub async fn submit(
        &mut self,
        message: &Message,
        patience: ClientOptions,
    ) -> (ClientOutcome, Option<f64>) {
        let request = request(message);
        let Message { id, class, dest, deadline_ms, .. } = message;
        // Its time counts from here, whether or not anybody listens.
        self.ledger.write(Event::sent(id, class, *dest, *deadline_ms as f64));
        let wait = Duration::from_millis(patience.timeout_ms);
        let answer = timeout(wait, self.exchange(&request, patience.abort_midway)).await;
        let (heard, wait) = match answer {
            Err(_) => (ClientOutcome::Left, None),
            Ok(None) if patience.abort_midway => (ClientOutcome::Left, None),
            Ok(None) => (ClientOutcome::Broken, None),
            Ok(Some(answer)) => {
                let wait = answer.header("retry-after").and_then(|w| w.parse::<f64>().ok());
                (
                    answer.status().map_or(ClientOutcome::Broken, ClientOutcome::Status),
                    wait.map(|s| s * 1000.0),
                )
            }
        };
        self.ledger.write(Event::ClientDone { id: id.clone(), outcome: heard });
        (heard, wait)
    }

    async fn exchange(&mut self, request: &[u8], half: bool) -> Option<Read> {
        // Out of the session while it is in use: one that breaks, or that is left, is not used again.
        if let Some(mut kept) = self.wire.take()
            && !half
            && kept.write(request).await.is_ok()
            && let Ok(answer) = kept.read().await
        {
            return Some(self.keep(kept, answer));
        }
        // Closed between two requests, with this one not read: it goes once more on a new connection.
        let mut wire = Wire::new(TcpStream::connect(self.to).await.ok()?);
        if half {
            wire.write(&request[..request.len() / 2]).await.ok()?;
            return None;
        }
        wire.write(request).await.ok()?;
        let answer = wire.read().await.ok()?;
        Some(self.keep(wire, answer))
    }

    fn keep(&mut self, wire: Wire, answer: Read) -> Read {
        let closes = answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        self.wire = Some(wire).filter(|_| !closes);
        answer
    }
}

fn request(message: &Message) -> Vec<u8> {
    let Message { id, class, dest, owner, deadline_ms, body_bytes: body } = message;
    let request = format!(
        "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Owner: {owner}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: key-{id}\r\nEnvelope: dest={dest}\r\n\
         Content-Length: {body}\r\n\r\n"
    );
    [request.as_bytes(), &vec![b'm'; *body]].concat()
}
