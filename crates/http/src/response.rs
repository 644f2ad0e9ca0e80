//! The response to a call, as it is read from its connection.

use crate::connection::{self, Connection};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh64::Xxh64;
use yarrowhill_policy::api::{LimitReport, Micros};
use yarrowhill_settings::parse_limit_report;

/// Longest response body that is read.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Upper bound of a wait (ms), far above any that is meant: a wait corrupted in transit must not block a
/// destination for good.
const MAX_WAIT_MS: f64 = 60_000.0;

/// The endpoint's response to a call.
pub(crate) struct CallResponse {
    pub(crate) status: StatusCode,
    pub(crate) wait: Option<Micros>,
    /// Whether the endpoint refused the call because all its slots are taken.
    pub(crate) no_slot: bool,
    /// Whether the endpoint closes the connection after this response.
    pub(crate) closes: bool,
    pub(crate) report: Option<LimitReport>,
    /// Results of the messages of a batch.
    pub(crate) states: Option<Vec<ItemState>>,
    /// Whether the body was read to its end, so that the connection can be used again.
    pub(crate) is_complete: bool,
    /// Whether the result of the call cannot be read. A wait or a report in the head is valid all the same.
    pub(crate) is_malformed: bool,
    /// Whether the response may turn out to belong to another call.
    pub(crate) is_provisional: bool,
    /// Hash of the status, the headers and the body: the same for a copy.
    pub(crate) fingerprint: u64,
}

impl CallResponse {
    /// Creates a response of which only the status line is usable.
    pub(crate) fn status_only(status: StatusCode) -> Self {
        CallResponse {
            status,
            wait: None,
            no_slot: false,
            closes: false,
            report: None,
            states: None,
            is_complete: false,
            is_malformed: false,
            is_provisional: false,
            fingerprint: 0,
        }
    }

    /// Returns whether the call, or each message of it that the body does not exclude, was delivered.
    pub(crate) fn is_ok(&self) -> bool {
        self.status == StatusCode::OK
    }

    /// Returns whether the endpoint has too many connections, if this is the response to the first request of
    /// one: it refuses the call without a wait and closes the connection.
    pub(crate) fn refuses_connection(&self) -> bool {
        let is_refused = self.status == StatusCode::SERVICE_UNAVAILABLE && !self.no_slot;
        is_refused && self.closes && self.wait.is_none() && !self.is_malformed
    }
}

/// Why a call has no readable response, and so whether it may have run.
#[derive(Clone, Copy)]
pub(crate) enum CallError {
    /// Nothing was written.
    NotWritten,
    /// No connection could be opened.
    NeverRan,
    /// The connection broke after the request was written.
    MayHaveRun,
    /// The endpoint sent a malformed response, or it is unknown which response answers the call; the call may
    /// have run.
    Malformed,
}

/// Reads a response to its end. A truncated response is malformed: the call may have run, regardless of
/// its status. Only a 200 for a single message is valid as soon as its status line has arrived.
pub(crate) async fn read(
    connection: &Connection,
    response: Response<Incoming>,
    is_batch: bool,
) -> CallResponse {
    let headers = response.headers();
    let mut result = CallResponse {
        wait: header_text(headers, "wait-ms").and_then(parse_wait),
        no_slot: header_text(headers, "slots-taken") == Some("1"),
        closes: header_text(headers, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
        report: header_text(headers, "srv-load").and_then(parse_report),
        ..CallResponse::status_only(response.status())
    };
    let mut head = Xxh64::new(0);
    result.status.hash(&mut head);
    headers.iter().for_each(|header| header.hash(&mut head));
    let has_states = is_batch && result.status == StatusCode::OK;
    let mut whole = head.clone();
    let body = read_body(connection, response.into_body(), has_states, &mut whole).await;
    result.is_complete = body.is_some();
    result.fingerprint = if result.is_complete { whole.finish() } else { head.finish() };
    if has_states {
        result.states = body.as_deref().and_then(parse_states);
        result.is_malformed = result.states.is_none();
    } else {
        result.is_malformed = !result.is_complete && result.status != StatusCode::OK;
    }
    result
}

/// Reads a body to its end and adds it to the hash. Only a body with the results of a batch is kept; of others an
/// empty one is returned. Returns `None` if the body is too long, breaks off or takes too long.
async fn read_body(
    connection: &Connection,
    body: Incoming,
    is_kept: bool,
    hasher: &mut Xxh64,
) -> Option<Bytes> {
    // The bytes of a body that cannot be read to its end matter only where it may contain another response.
    let is_too_long = body.size_hint().lower() > MAX_RESPONSE_BYTES as u64;
    if is_too_long && connection.history.is_empty() {
        return None;
    }
    if is_kept {
        let body = connection.collect_body(body, MAX_RESPONSE_BYTES).await.ok()?;
        hasher.update(&body.bytes);
        return Some(body.bytes);
    }
    let discarded = connection::discard_body(body, MAX_RESPONSE_BYTES, |piece| hasher.update(piece)).await;
    discarded.ok().map(|()| Bytes::new())
}

/// Parses the results of a batch item by item, so that a malformed item does not hide the others.
fn parse_states(body: &[u8]) -> Option<Vec<ItemState>> {
    let items: Vec<serde_json::Value> = serde_json::from_slice(body).ok()?;
    Some(items.into_iter().filter_map(|item| serde_json::from_value(item).ok()).collect())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

fn parse_wait(ms: &str) -> Option<Micros> {
    ms.parse::<f64>().ok().filter(|ms| *ms > 0.0).map(|ms| (ms.min(MAX_WAIT_MS) * 1000.0) as Micros)
}

/// Parses a limit report. A malformed value does not hide the others.
fn parse_report(values: &str) -> Option<LimitReport> {
    let pairs = values.split(',').filter_map(|pair| pair.trim().split_once('='));
    parse_limit_report(pairs.filter(|(_, value)| value.parse().is_ok_and(f64::is_finite)))
}

#[derive(Deserialize)]
pub(crate) struct ItemState {
    pub(crate) id: String,
    pub(crate) state: String,
}
