//! Turns of the engine on a tokio runtime, from start to graceful shutdown.

use crate::engine::Engine;
use crate::input::Input;
use crate::transport::Transport;
use std::time::Duration;
use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after SIGTERM during which new clients still arrive. The server is not closed earlier.
const MIN_CLOSING: Duration = Duration::from_millis(400);
/// Time after SIGTERM from which no call starts: it could still be in flight at the exit, and would then
/// count as one that may have run.
const STOP_CALLS_AFTER: Duration = Duration::from_millis(1500);
/// Time after SIGTERM from which the server is closed even if calls are in flight.
const CLOSE_AFTER: Duration = Duration::from_millis(3200);
/// Time after SIGTERM by which the process exits in any case, before the platform kills it.
const EXIT_AFTER: Duration = Duration::from_millis(3500);
/// Longest time between two turns during shutdown.
const MAX_CLOSING_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of a turn from which the process is taken to have been stopped.
const STOP_THRESHOLD: Duration = Duration::from_millis(100);
/// Longest time between two turns.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// The phase of the process on its way to its exit, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Clients are served.
    Serving,
    /// The process shuts down: each answer is the last one on its connection.
    Closing,
    /// No new request is read.
    Closed,
}

/// Runs turns until the process has shut down, and aborts `server` then. Turns are at least the engine's
/// minimum interval apart, as in the simulator.
pub async fn run<T: Transport>(
    mut engine: Engine<T>,
    mut inputs: Receiver<Input>,
    phase: watch::Sender<Phase>,
    server: JoinHandle<()>,
) {
    let interval = engine.min_turn_interval();
    let mut last = Instant::now();
    let mut closing: Option<Instant> = None;
    loop {
        let mut batch = Vec::new();
        let latest = Instant::now() + if closing.is_some() { MAX_CLOSING_INTERVAL } else { MAX_INTERVAL };
        let due = engine.next_turn(latest).max(last + interval);
        tokio::select! {
            Some(input) = inputs.recv() => batch.push(input),
            () = sleep_until(due) => {}
        }
        sleep_until(last + interval).await;
        if due.elapsed() > STOP_THRESHOLD {
            // The process was stopped. Inputs that arrived meanwhile may include a drain or a wait, so they
            // are read before anything is decided.
            sleep(interval).await;
        }
        while let Ok(input) = inputs.try_recv() {
            batch.push(input);
        }
        if batch.iter().any(|input| matches!(input, Input::Shutdown)) {
            closing.get_or_insert_with(Instant::now);
        }
        last = Instant::now();
        engine.run_turn(batch, closing.is_none_or(|since| since.elapsed() < STOP_CALLS_AFTER));
        let Some(since) = closing else { continue };
        let age = since.elapsed();
        let idle = age >= MIN_CLOSING
            && engine.attempts_in_flight() == 0
            && (age >= STOP_CALLS_AFTER || engine.open_messages() == 0);
        let next = if idle || age >= CLOSE_AFTER { Phase::Closed } else { Phase::Closing };
        phase.send_if_modified(|current| {
            *current < next && {
                *current = next;
                true
            }
        });
        if age > EXIT_AFTER || (server.is_finished() && engine.is_flushed()) {
            server.abort();
            return;
        }
    }
}
