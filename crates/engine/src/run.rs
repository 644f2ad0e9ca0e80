//! Turns of the engine on a tokio runtime, from the start to a clean end.

use crate::engine::Engine;
use crate::input::Input;
use crate::transport::Transport;
use std::time::Duration;
use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// After SIGTERM new clients go on coming for so long;
const SERVE: Duration = Duration::from_millis(400);
/// no call starts that could still be out at the end, where it would have to be taken for one that ran;
const START_CALLS: Duration = Duration::from_millis(1500);
/// and the process has ended before it is killed.
const LAST_ANSWERS: Duration = Duration::from_millis(3200);
const EXIT: Duration = Duration::from_millis(3500);
/// How often the end is looked for.
const CLOSING_STEP: Duration = Duration::from_millis(20);
/// A turn that comes so much later than it was due comes after a stop of the process.
const STOPPED: Duration = Duration::from_millis(100);
/// Longest time between two turns.
const LONGEST: Duration = Duration::from_secs(1);

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// Each answer is the last on its connection.
    Closing,
    /// Nothing new is read.
    Closed,
}

/// Takes turns until the process is to end, and `server` with it. Turns are at least a interval apart, as in the
/// simulator.
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
        let latest = Instant::now() + if closing.is_some() { CLOSING_STEP } else { LONGEST };
        let due = engine.next_turn(latest).max(last + interval);
        tokio::select! {
            Some(input) = inputs.recv() => batch.push(input),
            () = sleep_until(due) => {}
        }
        sleep_until(last + interval).await;
        if due.elapsed() > STOPPED {
            // What came meanwhile may be a drain or a wait: it is read before anything is decided.
            sleep(interval).await;
        }
        while let Ok(input) = inputs.try_recv() {
            batch.push(input);
        }
        if batch.iter().any(|input| matches!(input, Input::Shutdown)) {
            closing.get_or_insert_with(Instant::now);
        }
        last = Instant::now();
        engine.run_turn(batch, closing.is_none_or(|since| since.elapsed() < START_CALLS));
        let Some(since) = closing else { continue };
        let age = since.elapsed();
        let idle = age >= SERVE
            && engine.attempts_in_flight() == 0
            && (age >= START_CALLS || engine.open_messages() == 0);
        let now = if idle || age >= LAST_ANSWERS { Phase::Closed } else { Phase::Closing };
        phase.send_if_modified(|p| {
            *p < now && {
                *p = now;
                true
            }
        });
        if age > EXIT || (server.is_finished() && engine.is_flushed()) {
            server.abort();
            return;
        }
    }
}
