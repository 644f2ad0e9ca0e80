//! The forwarder as a member of its fleet: wires the package that speaks with the others to the engine and the fronts.

use crate::config::Config;
use crate::daemon::RunError;
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

/// The control socket's name in the state folder.
pub const CONTROL_SOCKET: &str = "control";

/// Its place in the fleet.
#[derive(Clone)]
pub(crate) struct Member {
    handle: Handle,
    name: String,
    document: PathBuf,
    /// A wait that is as long as this is not one of a limit.
    shut: Duration,
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

    fn admit_call(&self, dest: DestId, further: bool, again: bool) -> Result<(), Duration> {
        self.handle.begin(dest, further, again)
    }

    fn call_ended(&self, dest: DestId, took: Duration, how: CallResult) {
        let how = match how {
            // A short wait comes from a limit that others use up, and would make all give way in step; a long one from a
            // shut door, which is one for all.
            CallResult::Wait(wait) if wait >= self.shut => return self.handle.record_wait(dest, wait),
            CallResult::Wait(_) | CallResult::Refused => CallOutcome::Refused,
            CallResult::Served => CallOutcome::Served,
            CallResult::Failed => CallOutcome::Failed,
        };
        self.handle.record_call_end(dest, took, how);
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
    /// The document can't be read, or the sockets or the folder can't be had.
    pub(crate) async fn join(config: &Config) -> Result<Option<Self>, RunError> {
        let Some((name, path)) = &config.member else { return Ok(None) };
        let document = document(path, name)?;
        let slow_start = document.share_outages.then(|| ramp(config, &document));
        let options = Options { name, document, state_folder: &config.state, seed: config.seed, slow_start };
        let node = Node::start(options).await.map_err(|e| RunError::Fleet(e.to_string()))?;
        let handle = node.handle();
        let told = handle.clone();
        let answer = move |what: String, with: Value| {
            let told = told.clone();
            async move {
                match what.as_str() {
                    "members" => serde_json::to_value(told.status()).map_err(|e| e.to_string()),
                    "limits" => serde_json::to_value(told.limits_status()).map_err(|e| e.to_string()),
                    "knowledge" => serde_json::to_value(told.knowledge_status()).map_err(|e| e.to_string()),
                    "duties" => serde_json::to_value(told.duties_status()).map_err(|e| e.to_string()),
                    "duty-yield" => wish(&told, &with, OperatorRequest::Yield),
                    "duty-pin" => match with["member"].as_str().map(|name| member(&told, name)) {
                        None => wish(&told, &with, OperatorRequest::Pin(None)),
                        Some(Some(id)) => wish(&told, &with, OperatorRequest::Pin(Some(id))),
                        Some(None) => Err(format!("{} is not a member", with["member"])),
                    },
                    other => {
                        Err(format!("{other:?} is unknown; members, limits, knowledge and duties are known"))
                    }
                }
            }
        };
        // A forwarder that nobody can ask goes on serving.
        match serve(&config.state.join(CONTROL_SOCKET), answer) {
            Ok(served) => drop(tokio::spawn(served)),
            Err(e) => tracing::error!("control: {e}"),
        }
        tokio::spawn(node.run());
        // As the module tells them apart.
        let shut = Duration::from_micros(config.settings.warm_up_duration.unsigned_abs() / 4);
        Ok(Some(Member { handle, name: name.clone(), document: path.clone(), shut }))
    }

    /// As what is looked at before a byte leaves.
    pub(crate) fn gate(of: &Option<Self>) -> Option<Arc<dyn Gate>> {
        of.clone().map(|member| Arc::new(member) as Arc<dyn Gate>)
    }

    /// Tells engines among how many what all share is divided, now and at each change.
    pub(crate) fn tell_senders(&self, engines: Vec<Sender<Input>>) {
        let mut senders = self.handle.senders();
        senders.mark_changed();
        tokio::spawn(async move {
            while senders.changed().await.is_ok() {
                let now = *senders.borrow_and_update();
                for engine in &engines {
                    // An engine is gone only when the process ends.
                    let _ = engine.send(Input::Senders(now)).await;
                }
            }
        });
    }

    /// Reads the document again: what can't be read, or does not follow, changes nothing.
    pub(crate) fn reload(&self) {
        let changed = document(&self.document, &self.name)
            .and_then(|d| self.handle.apply_document(d).map_err(|e| RunError::Fleet(e.to_string())));
        match changed {
            Ok(()) => tracing::info!("fleet: document read again"),
            Err(e) => tracing::error!("fleet: document not read again: {e}"),
        }
    }

    /// The process is to end.
    pub(crate) fn leave(&self) {
        self.handle.leave();
    }
}

/// The number of a member by its name.
fn member(handle: &Handle, name: &str) -> Option<u64> {
    handle.roster().members().find(|(_, seat)| seat.name == name).map(|(id, _)| id.0)
}

/// Passes on what an operator wants of a duty.
fn wish(handle: &Handle, with: &Value, wish: OperatorRequest) -> Result<Value, String> {
    let duty = with["duty"].as_str().ok_or("name the duty")?;
    handle.operator_request(duty, wish).map(|()| Value::from("asked")).map_err(|e| e.to_string())
}

/// How destinations come back, by the settings. One tries so often that a call and the word of it have had their time: within
/// the shortest aim, or two probe periods.
fn ramp(config: &Config, document: &Document) -> SlowStart {
    let settings = &config.settings;
    let aims =
        settings.classes.iter().map(|class| class.target_latency.unsigned_abs()).filter(|aim| *aim > 0);
    let turn = aims.min().unwrap_or(0).max(document.timing.period * 2);
    SlowStart {
        probe_interval: turn,
        warm_up: settings.warm_up_duration.unsigned_abs(),
        initial_fraction: settings.initial_capacity_share,
    }
}

fn document(path: &Path, name: &str) -> Result<Document, RunError> {
    let text =
        std::fs::read_to_string(path).map_err(|e| RunError::Fleet(format!("{}: {e}", path.display())))?;
    parse_document(&path.display().to_string(), &text, name).map_err(|faults| {
        let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
        RunError::Fleet(told.join("; "))
    })
}
