//! Decides which response on a connection answers a call.
//!
//! HTTP/1.1 matches responses to requests by their order alone. An endpoint that writes a response a second
//! time shifts that order: the copy is read as the response to the next call, and the response to that call as
//! the one to the call after it. A copy can come at any time, so that the order is known in two cases only:
//! the response names the messages of the call (a batch), or it is the first on its connection. In all others
//! the response counts as provisional until nothing has followed it for a while: if the connection was shifted,
//! one more response arrives that no request asked for. A connection rests for that time after each call.

use crate::connection::{Connection, Further};
use crate::response::{CallError, CallResponse, read};
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;
use yarrowhill_engine::Input;
use yarrowhill_policy::api::{EndpointId, Micros};

/// Minimum time after a response during which its connection carries no other call.
const MIN_REST: Duration = Duration::from_millis(500);
/// Longest time for which the response to a batch is awaited behind one of another call. The deadlines of its
/// messages end the wait sooner.
const MAX_BATCH_WAIT: Duration = Duration::from_secs(60);
/// Maximum number of responses that are read behind that of a call.
const MAX_FURTHER: usize = 8;

/// Reports the wait of a response that is held back: it binds from the time at which it was written.
pub(crate) struct WaitReports {
    pub(crate) endpoint: EndpointId,
    pub(crate) results: Sender<Input>,
}

impl WaitReports {
    async fn report(&self, wait: Micros) {
        // The channel is closed only when the process ends.
        let _ = self.results.send(Input::WaitAnnounced { endpoint: self.endpoint, wait }).await;
    }
}

/// Returns the response to a call, given the first response that came after its request. `ids` are those of the
/// messages of a batch, and empty for a single message.
///
/// The 200 to a single message on a connection that has carried others is returned as provisional: nothing
/// depends on it at once, and [`settle`] tells the final one. A refusal or an error that may be a copy is
/// held back: its message would be sent again at once.
pub(crate) async fn own_response(
    connection: &mut Connection,
    mut response: CallResponse,
    ids: &[String],
    waits: &WaitReports,
) -> Result<CallResponse, CallError> {
    if connection.history.is_empty() {
        return Ok(response);
    }
    while is_of_another_call(connection, &response, ids) {
        tracing::debug!(connection = connection.id, status = %response.status, "response of another call");
        response = match connection.further_response(MAX_BATCH_WAIT).await {
            Further::Nothing | Further::End => return Err(CallError::MayHaveRun),
            Further::Response(Err(_)) => return Err(CallError::Malformed),
            Further::Response(Ok(further)) => read(connection, further, true).await,
        };
    }
    if response.is_ok() && ids.is_empty() {
        // The part of a copy may precede the response to the call.
        response.is_malformed |= connection.is_head_mixed() || !response.is_complete && connection.is_mixed();
        response.is_provisional = response.is_complete && !response.is_malformed;
    } else if !response.is_ok() && connection.history.contains(response.fingerprint) {
        if let Some(wait) = response.wait {
            waits.report(wait).await;
        }
        let (within, since) = (connection.history.provisional_for(), Instant::now());
        let mut response = settle(connection, response, !ids.is_empty(), within, waits).await?;
        // What is left of a wait that was reported when it came.
        let elapsed = since.elapsed().as_micros() as Micros;
        response.wait = response.wait.map(|wait| (wait - elapsed).max(1));
        return Ok(response);
    }
    Ok(response)
}

/// Returns whether the response to a batch names none of its messages, and is not just malformed.
fn is_of_another_call(connection: &Connection, response: &CallResponse, ids: &[String]) -> bool {
    if ids.is_empty() || !response.is_ok() || !response.is_complete {
        return false;
    }
    match &response.states {
        Some(states) => !states.iter().any(|state| ids.contains(&state.id)),
        None => connection.history.contains(response.fingerprint),
    }
}

/// Waits until nothing has followed a response for the time `within`, and returns the response that answers the call. An
/// error means that this is unknown.
pub(crate) async fn settle(
    connection: &mut Connection,
    response: CallResponse,
    is_batch: bool,
    within: Duration,
    waits: &WaitReports,
) -> Result<CallResponse, CallError> {
    for _ in 0..MAX_FURTHER {
        let further = match connection.further_response(within).await {
            Further::Nothing => return Ok(response),
            Further::End if response.closes => return Ok(response),
            Further::End => return Err(CallError::MayHaveRun),
            Further::Response(Err(_)) => return Err(CallError::Malformed),
            Further::Response(Ok(further)) => read(connection, further, is_batch).await,
        };
        tracing::debug!(
            connection = connection.id,
            status = %response.status,
            further = %further.status,
            malformed = further.is_malformed,
            "further response"
        );
        if let Some(wait) = further.wait {
            waits.report(wait).await;
        }
        let is_equivalent =
            further.fingerprint == response.fingerprint || further.is_ok() && response.is_ok();
        if further.is_malformed || !further.is_complete {
            return Err(CallError::Malformed);
        }
        if is_equivalent {
            continue;
        }
        // Either response may be a copy of an earlier one.
        if connection.history.contains(further.fingerprint) {
            return Err(CallError::Malformed);
        }
        return Ok(further);
    }
    Err(CallError::Malformed)
}

/// Lets a connection rest that has rested for `rested` since its last response. It closes if anything comes.
pub(crate) async fn rest(connection: &mut Connection, rested: Duration) {
    if connection.is_open() {
        connection.further_response(MIN_REST.saturating_sub(rested)).await;
    }
}
