//! The forwarder as a member of its fleet: connects the fleet package to the engines, the calls and the
//! intake.

use crate::config::Config;
use crate::run_error::RunError;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use yarrowhill_engine::{CallResult, Gate, Input};
use yarrowhill_fleet::{
    CallOutcome, Document, Handle, Node, OperatorRequest, Options, SlowStart, parse_document, serve,
};
use yarrowhill_policy::api::DestId;

/// File name of the control socket in the state folder.
pub const CONTROL_SOCKET: &str = "control";

/// Membership of this forwarder in its fleet.
#[derive(Clone)]
pub(crate) struct Member {
    handle: Handle,
    name: String,
    document_path: PathBuf,
    /// Minimum wait that counts as an outage of the destination, and is shared with the other members.
    min_shared_wait: Duration,
}

impl std::fmt::Debug for Member {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Member").field("name", &self.name).finish_non_exhaustive()
    }
}

impl Gate for Member {
    fn may_send(&self) -> bool {
        self.handle.permits().send_calls
    }

    fn admit_call(&self, dest: DestId, is_retry: bool, was_delayed: bool) -> Result<(), Duration> {
        self.handle.begin(dest, is_retry, was_delayed)
    }

    fn call_ended(&self, dest: DestId, elapsed: Duration, result: CallResult) {
        let outcome = match result {
            // A short wait comes from a rate limit that other senders use up: shared, it would make all
            // members pause in step. A long wait comes from an outage, which affects all members.
            CallResult::Wait(wait) if wait >= self.min_shared_wait => {
                return self.handle.record_wait(dest, wait);
            }
            CallResult::Wait(_) | CallResult::Refused => CallOutcome::Refused,
            CallResult::Served => CallOutcome::Served,
            CallResult::Failed => CallOutcome::Failed,
        };
        self.handle.record_call_end(dest, elapsed, outcome);
    }

    fn may_accept(&self) -> bool {
        self.handle.permits().accept_messages
    }

    fn is_ready(&self) -> bool {
        self.handle.permits().ready
    }
}

impl Member {
    /// Joins the fleet that the configuration names, if it names one.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet document cannot be read or parsed, or the member cannot be started.
    pub(crate) async fn join(config: &Config) -> Result<Option<Self>, RunError> {
        let Some((name, path)) = &config.member else { return Ok(None) };
        let document = read_document(path, name)?;
        let slow_start = document.share_outages.then(|| slow_start(config, &document));
        let options = Options { name, document, state_folder: &config.state, seed: config.seed, slow_start };
        let node = Node::start(options).await.map_err(|e| RunError::Fleet(e.to_string()))?;
        let handle = node.handle();
        let control_handle = handle.clone();
        let answer = move |question: String, args: Value| {
            let handle = control_handle.clone();
            async move {
                match question.as_str() {
                    "members" => serde_json::to_value(handle.status()).map_err(|e| e.to_string()),
                    "limits" => serde_json::to_value(handle.limits_status()).map_err(|e| e.to_string()),
                    "knowledge" => serde_json::to_value(handle.knowledge_status()).map_err(|e| e.to_string()),
                    "duties" => serde_json::to_value(handle.duties_status()).map_err(|e| e.to_string()),
                    "duty-yield" => request_duty(&handle, &args, OperatorRequest::Yield),
                    "duty-pin" => match args["member"].as_str().map(|name| member_id(&handle, name)) {
                        None => request_duty(&handle, &args, OperatorRequest::Pin(None)),
                        Some(Some(id)) => request_duty(&handle, &args, OperatorRequest::Pin(Some(id))),
                        Some(None) => Err(format!("{} is not a member", args["member"])),
                    },
                    other => Err(format!(
                        "unknown question {other:?}: expected members, limits, knowledge, duties, \
                         duty-yield or duty-pin"
                    )),
                }
            }
        };
        // Without its control socket the forwarder still serves messages.
        match serve(&config.state.join(CONTROL_SOCKET), answer) {
            Ok(server) => drop(tokio::spawn(server)),
            Err(e) => tracing::error!("control: cannot serve operator commands: {e}"),
        }
        tokio::spawn(node.run());
        // The decision module separates short from long waits by the same threshold.
        let min_shared_wait = Duration::from_micros(config.settings.warm_up_duration.unsigned_abs() / 4);
        Ok(Some(Member { handle, name: name.clone(), document_path: path.clone(), min_shared_wait }))
    }

    /// Returns the gate that calls and clients have to pass.
    pub(crate) fn gate(member: &Option<Self>) -> Option<Arc<dyn Gate>> {
        member.clone().map(|member| Arc::new(member) as Arc<dyn Gate>)
    }

    /// Reports to the engines, now and at each change, among how many senders the shared limits are divided.
    pub(crate) fn forward_sender_count(&self, engines: Vec<Sender<Input>>) {
        let mut senders = self.handle.senders();
        senders.mark_changed();
        tokio::spawn(async move {
            while senders.changed().await.is_ok() {
                let count = *senders.borrow_and_update();
                for engine in &engines {
                    // The channel is closed only when the process ends.
                    let _ = engine.send(Input::Senders(count)).await;
                }
            }
        });
    }

    /// Reloads the fleet document. A document that cannot be read or parsed, or whose roster is not a valid
    /// successor, changes nothing.
    pub(crate) fn reload(&self) {
        let result = read_document(&self.document_path, &self.name).and_then(|document| {
            self.handle.apply_document(document).map_err(|e| RunError::Fleet(e.to_string()))
        });
        match result {
            Ok(()) => tracing::info!("fleet: document reloaded"),
            Err(e) => tracing::error!("fleet: document not reloaded, the old one stays in force: {e}"),
        }
    }

    /// Announces to the fleet that the process is shutting down.
    pub(crate) fn leave(&self) {
        self.handle.leave();
    }
}

/// Returns the id of the member with this name.
fn member_id(handle: &Handle, name: &str) -> Option<u64> {
    handle.roster().members().find(|(_, seat)| seat.name == name).map(|(id, _)| id.0)
}

/// Passes an operator request on a duty to the fleet.
fn request_duty(handle: &Handle, args: &Value, request: OperatorRequest) -> Result<Value, String> {
    let duty = args["duty"].as_str().ok_or("the name of the duty is missing")?;
    handle.operator_request(duty, request).map(|()| Value::from("asked")).map_err(|e| e.to_string())
}

/// Returns the slow start of recovered destinations according to the settings. The probe interval leaves time
/// for a call and the report of its outcome: the shortest target latency, but at least two probe periods of
/// the membership.
fn slow_start(config: &Config, document: &Document) -> SlowStart {
    let settings = &config.settings;
    let latencies = settings.classes.iter().map(|class| class.target_latency.unsigned_abs());
    let min_latency = latencies.filter(|latency| *latency > 0).min().unwrap_or(0);
    let probe_interval = min_latency.max(document.timing.period * 2);
    SlowStart {
        probe_interval,
        warm_up: settings.warm_up_duration.unsigned_abs(),
        initial_fraction: settings.initial_capacity_share,
    }
}

fn read_document(path: &Path, name: &str) -> Result<Document, RunError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| RunError::Fleet(format!("cannot read {}: {e}", path.display())))?;
    parse_document(&path.display().to_string(), &text, name).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        RunError::Fleet(faults.join("; "))
    })
}
