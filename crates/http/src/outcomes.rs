//! What the response to a call, or the lack of one, says about each of its messages.

use crate::response::{CallError, CallResponse};
use hyper::StatusCode;
use yarrowhill_engine::{AttemptEnd, Item};
use yarrowhill_policy::api::Outcome;

/// Returns the end of an attempt that nothing else is known of.
pub(crate) fn end(item: &Item, outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        id: item.id,
        attempt: item.attempt,
        outcome,
        finished: false,
        is_provisional: false,
        report: None,
        wait: None,
    }
}

/// Returns the end of an attempt that delivered its message.
pub(crate) fn delivered(item: &Item) -> AttemptEnd {
    AttemptEnd { finished: true, ..end(item, Outcome::Delivered) }
}

/// Returns the end of each attempt that still waits, by the result of the call.
pub(crate) fn outcomes(
    waiting: &[Item],
    result: &Result<CallResponse, CallError>,
    is_new_connection: bool,
) -> Vec<AttemptEnd> {
    let response = match result {
        Ok(response) if is_new_connection && response.refuses_connection() => {
            let refused =
                |i: &Item| AttemptEnd { report: response.report, ..end(i, Outcome::TooManyConnections) };
            return waiting.iter().map(refused).collect();
        }
        Ok(response) => response,
        Err(CallError::NotWritten | CallError::NeverRan) => {
            return waiting.iter().map(|i| end(i, Outcome::ConnectFailed)).collect();
        }
        Err(CallError::MayHaveRun) => return waiting.iter().map(|i| end(i, Outcome::Reset)).collect(),
        Err(CallError::Malformed) => return waiting.iter().map(|i| end(i, Outcome::Malformed)).collect(),
    };
    let ended = waiting.iter().map(|item| {
        let mut states = response.states.iter().flatten();
        let state = states.find(|s| s.id == item.message_id).map(|s| s.state.as_str());
        let (outcome, finished) = outcome(response, state);
        // A wait applies with every outcome: it may come with messages that were all accepted.
        let is_provisional = response.is_provisional;
        AttemptEnd {
            finished,
            is_provisional,
            report: response.report,
            wait: response.wait,
            ..end(item, outcome)
        }
    });
    let mut ended: Vec<AttemptEnd> = ended.collect();
    // The decision module judges a call by the last end that is reported of it: a few accepted messages must
    // not hide that the others were refused or failed.
    ended.sort_by_key(|e| match e.outcome {
        Outcome::Delivered => 0,
        Outcome::NotSent => 1,
        Outcome::Full { .. } => 2,
        _ => 3,
    });
    ended
}

/// Returns the outcome of an attempt, and whether its message is finished.
fn outcome(response: &CallResponse, state: Option<&str>) -> (Outcome, bool) {
    let full = Outcome::Full { wait: response.wait };
    match response.status {
        _ if response.is_malformed => (Outcome::Malformed, false),
        StatusCode::OK if response.states.is_some() => match state {
            Some("accepted") => (Outcome::Delivered, true),
            Some("deferred") => (full, false),
            Some("expired") => (Outcome::NotSent, true),
            Some("no_more") => (Outcome::NotSent, false),
            // The item failed, or its state is missing or unknown: the message may have run.
            _ => (Outcome::Error, false),
        },
        StatusCode::OK => (Outcome::Delivered, true),
        StatusCode::SERVICE_UNAVAILABLE if response.no_slot => (Outcome::NotSent, false),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => (full, false),
        StatusCode::GONE => (Outcome::NotSent, true),
        StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
            (Outcome::NotSent, false)
        }
        _ => (Outcome::Error, false),
    }
}
