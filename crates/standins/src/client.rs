//! Clients that submit messages, wait for the answer, and may leave.

use crate::ledger::Ledger;
use crate::wire::{Connection, HttpMessage};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use yarrowhill_checker::{ClientOutcome, Event};

/// A message to submit.
#[derive(Clone, Debug)]
pub struct Message {
    /// Id of the message.
    pub id: String,
    /// Class of the message.
    pub class: String,
    /// Destination of the message.
    pub dest: u64,
    /// Owner of the message.
    pub owner: String,
    /// Time within which the message may be delivered (ms).
    pub deadline_ms: u64,
    /// Length of the body (bytes).
    pub body_bytes: usize,
}

/// How a client behaves while it waits.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Time after which the client leaves (ms).
    pub timeout_ms: u64,
    /// Whether the client leaves after sending half of its request.
    pub abort_midway: bool,
}

impl Default for ClientOptions {
    /// Returns the platform's time-out of 400 ms, without leaving midway.
    fn default() -> Self {
        ClientOptions { timeout_ms: 400, abort_midway: false }
    }
}

/// Submits a message on a connection of its own. Returns the outcome, and the wait that the answer asked for
/// (ms).
pub async fn submit(
    to: SocketAddr,
    message: &Message,
    options: ClientOptions,
    ledger: &Ledger,
) -> (ClientOutcome, Option<f64>) {
    Session::new(to, ledger).submit(message, options).await
}

/// A client that keeps its connection open and sends one request at a time.
#[derive(Debug)]
pub struct Session {
    to: SocketAddr,
    /// The open connection, unless a request uses it.
    connection: Option<Connection>,
    ledger: Ledger,
}

impl Session {
    /// Returns a session that connects when it submits its first message.
    pub fn new(to: SocketAddr, ledger: &Ledger) -> Self {
        Session { to, connection: None, ledger: ledger.clone() }
    }

    /// Submits a message. Returns the outcome, and the wait that the answer asked for (ms).
    pub async fn submit(
        &mut self,
        message: &Message,
        options: ClientOptions,
    ) -> (ClientOutcome, Option<f64>) {
        let request = request(message);
        let Message { id, class, dest, deadline_ms, .. } = message;
        // The deadline counts from here, even if the forwarder does not accept the connection yet.
        self.ledger.write(Event::sent(id, class, *dest, *deadline_ms as f64));
        let time_limit = Duration::from_millis(options.timeout_ms);
        let answer = timeout(time_limit, self.exchange(&request, options.abort_midway)).await;
        let (outcome, wait) = match answer {
            Err(_) => (ClientOutcome::Left, None),
            Ok(None) if options.abort_midway => (ClientOutcome::Left, None),
            Ok(None) => (ClientOutcome::Broken, None),
            Ok(Some(answer)) => {
                let wait = answer.header("retry-after").and_then(|w| w.parse::<f64>().ok());
                (
                    answer.status().map_or(ClientOutcome::Broken, ClientOutcome::Status),
                    wait.map(|s| s * 1000.0),
                )
            }
        };
        self.ledger.write(Event::ClientDone { id: id.clone(), outcome });
        (outcome, wait)
    }

    async fn exchange(&mut self, request: &[u8], abort_midway: bool) -> Option<HttpMessage> {
        // Taken out of the session while in use: a connection that breaks or is abandoned is not used again.
        if let Some(mut kept) = self.connection.take()
            && !abort_midway
            && kept.write(request).await.is_ok()
            && let Ok(answer) = kept.read().await
        {
            return Some(self.keep(kept, answer));
        }
        // The connection was closed between two requests, before this one was read: sends it again on a new
        // connection.
        let mut connection = Connection::new(TcpStream::connect(self.to).await.ok()?);
        if abort_midway {
            connection.write(&request[..request.len() / 2]).await.ok()?;
            return None;
        }
        connection.write(request).await.ok()?;
        let answer = connection.read().await.ok()?;
        Some(self.keep(connection, answer))
    }

    fn keep(&mut self, connection: Connection, answer: HttpMessage) -> HttpMessage {
        let closes = answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        self.connection = Some(connection).filter(|_| !closes);
        answer
    }
}

fn request(message: &Message) -> Vec<u8> {
    let Message { id, class, dest, owner, deadline_ms, body_bytes } = message;
    let request = format!(
        "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Owner: {owner}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: key-{id}\r\nEnvelope: dest={dest}\r\n\
         Content-Length: {body_bytes}\r\n\r\n"
    );
    [request.as_bytes(), &vec![b'm'; *body_bytes]].concat()
}
