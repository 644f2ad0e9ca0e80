//! Measures engine time per message, by the number of open messages and of recorded ends. It should not grow
//! with either.

use indicatif::ProgressBar;
use plotters::prelude::{
    BLUE, ChartBuilder, Circle, IntoDrawingArea, IntoFont, IntoLogRange, LineSeries, RED, SVGBackend, WHITE,
};
use serde_json::json;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::oneshot;
use tokio::time::Instant;
use yarrowhill_engine::{
    Answer, AttemptEnd, Call, CallUpdate, EndpointList, Engine, Input, Notice, Options, Submission,
    Transport, unix_now_ms,
};
use yarrowhill_journal::{Durability, End, Journal, Record};
use yarrowhill_policy::api::{EndpointId, Micros, Outcome};

/// Number of messages in a turn.
const BATCH: usize = 20;
/// Number of turns in a round.
const TURNS_PER_ROUND: usize = 200;
/// Number of rounds. The fastest counts, since disturbances only add time.
const ROUNDS: usize = 5;
/// Number of destinations at which the open messages wait.
const WAITING_DESTINATIONS: u64 = 100;
const HOUR: Duration = Duration::from_secs(3600);
/// Limit of the journal's size, large enough not to affect the measurement.
const MAX_JOURNAL_BYTES: u64 = 1 << 32;

/// Transport that collects the calls instead of making them.
#[derive(Clone, Default)]
struct Calls(Arc<Mutex<Vec<Call>>>);

impl Calls {
    fn take(&self) -> Vec<Call> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Transport for Calls {
    fn start_call(&mut self, call: Call, _: Sender<Input>) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(call);
    }

    fn set_endpoint_address(&mut self, _: EndpointId, _: Option<SocketAddr>) {}

    fn close_idle(&mut self, _: EndpointId) {}

    fn prune_idle(&mut self) {}
}

struct Benchmark {
    engine: Engine<Calls>,
    calls: Calls,
    _notices: Receiver<Vec<Notice>>,
    _inputs: Receiver<Input>,
    last_id: u64,
    /// Answer channels of the clients.
    clients: Vec<oneshot::Receiver<Answer>>,
    delivered: usize,
}

impl Benchmark {
    fn new(folder: &Path, open: usize) -> Result<Self, Box<dyn Error>> {
        let class = json!({"name": "settle-order", "idempotency": "side_effect", "goalTime": 4000.0,
                           "deadline": 7_200_000.0, "worth": 1.0, "lateShare": 0.5});
        let settings = json!({
            "classes": [class], "kinds": ["several"], "zones": ["a"], "zone": "a", "peersTotal": 1, "round": 1.0,
            "familyInfo": {"batchByKind": [BATCH], "kindApart": [false], "slots": 64},
            "limits": {"maxAttempts": 6, "openCap": open + open / 8 + 1000},
            "guarantees": {"fallMultiple": 2.0, "warmAfter": 1000.0, "startCapacity": 0.5}
        });
        let (settings, names) = yarrowhill_settings::from_json(&settings)?;
        let line = |n: u64| {
            json!({"uid": format!("s{n}"), "endpoint": "127.0.0.1:1", "az": "a", "model": "several",
                   "pod_group": n, "state": "in_service"})
        };
        let lines: Vec<_> = (0..=WAITING_DESTINATIONS).map(line).collect();
        let known: EndpointList = serde_json::from_value(json!({"rev": 1, "all": true, "targets": lines}))?;
        let calls = Calls::default();
        let (notices, notices_receiver) = channel(1);
        let (inputs, inputs_receiver) = channel(1);
        let options = Options {
            settings,
            names,
            seed: 1,
            state_dir: folder.into(),
            max_journal_bytes: MAX_JOURNAL_BYTES,
            durability: Durability::Process,
            initial_list: known,
            shard: None,
        };
        let mut engine = Engine::start(options, calls.clone(), notices, inputs)?;
        // An empty update from discovery: before the first one the engine sends nothing.
        engine.run_turn(
            vec![Input::List(EndpointList { version: 1, is_full: false, endpoints: Vec::new() })],
            true,
        );
        Ok(Benchmark {
            engine,
            calls,
            _notices: notices_receiver,
            _inputs: inputs_receiver,
            last_id: 0,
            clients: Vec::new(),
            delivered: 0,
        })
    }

    fn message(&mut self, dest: u64) -> Input {
        self.last_id += 1;
        let (answer, client) = oneshot::channel();
        self.clients.push(client);
        Input::Submission(Submission {
            id: format!("{:016x}", self.last_id),
            class: 0,
            tenant: None,
            dest,
            key: None,
            body: vec![b'm'; 200].into(),
            deadline: Instant::now() + HOUR,
            answer,
        })
    }

    /// Ends all calls in flight with this outcome, and returns the inputs that report it.
    fn end(&mut self, outcome: Outcome) -> Vec<Input> {
        let is_delivered = outcome == Outcome::Delivered;
        let delivered = &mut self.delivered;
        let mut end = |call: Call| {
            *delivered += call.items.len() * usize::from(is_delivered);
            let ended = call.items.iter().map(|item| AttemptEnd {
                is_provisional: false,
                id: item.id,
                attempt: item.attempt,
                outcome,
                finished: is_delivered,
                report: None,
                wait: None,
            });
            Input::CallUpdate(CallUpdate { endpoint: call.endpoint, ended: ended.collect() })
        };
        self.calls.take().into_iter().map(&mut end).collect()
    }

    /// Adds open messages that wait at destinations which refused a call as full.
    fn fill_waiting(&mut self, open: usize) {
        let wait: Micros = 2 * HOUR.as_micros() as Micros;
        let mut waiting = 0;
        while waiting < open {
            let part = (open - waiting).min(1000);
            let batch = (0..part).map(|n| self.message(1 + (waiting + n) as u64 % WAITING_DESTINATIONS));
            let batch: Vec<_> = batch.collect();
            self.engine.run_turn(batch, true);
            let ended = self.end(Outcome::Full { wait: Some(wait) });
            self.engine.run_turn(ended, true);
            self.clients.clear();
            waiting += part;
        }
        while self.engine.attempts_in_flight() > 0 {
            let ended = self.end(Outcome::Full { wait: Some(wait) });
            self.engine.run_turn(ended, true);
        }
    }

    /// Runs a round and returns the time per message (microseconds), from its submission to its end.
    fn run_round(&mut self) -> f64 {
        let start = std::time::Instant::now();
        for _ in 0..TURNS_PER_ROUND {
            let batch: Vec<Input> = (0..BATCH).map(|_| self.message(0)).collect();
            self.engine.run_turn(batch, true);
            self.clients.clear();
            while self.engine.attempts_in_flight() > 0 {
                let ended = self.end(Outcome::Delivered);
                self.engine.run_turn(ended, true);
            }
        }
        start.elapsed().as_secs_f64() * 1e6 / (TURNS_PER_ROUND * BATCH) as f64
    }
}

/// Returns the engine time per message (microseconds) with this number of recorded ends and of open messages.
fn measure_cost(ends: usize, open: usize) -> Result<f64, Box<dyn Error>> {
    let folder = std::env::temp_dir().join(format!("yarrowhill-bench-scale-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let now = unix_now_ms();
    let options =
        yarrowhill_journal::Options { max_bytes: MAX_JOURNAL_BYTES, durability: Durability::Process };
    let (mut journal, _) = Journal::open(&folder, options, now)?;
    for n in 0..ends {
        journal.enqueue(&Record::Closed(format!("e{n:x}"), End::Delivered, now + 7_200_000), now);
        if n % 1000 == 999 {
            journal.commit(&[], now)?;
        }
    }
    journal.commit(&[], now)?;
    drop(journal);
    let mut bench = Benchmark::new(&folder, open)?;
    bench.fill_waiting(open);
    let fastest = (0..ROUNDS).map(|_| bench.run_round()).fold(f64::INFINITY, f64::min);
    let (delivered, expected) = (bench.delivered, ROUNDS * TURNS_PER_ROUND * BATCH);
    if delivered != expected || bench.engine.open_messages() != open {
        let waiting = bench.engine.open_messages();
        return Err(format!(
            "invalid run: {delivered} of {expected} messages delivered, {waiting} of {open} open"
        )
        .into());
    }
    fs::remove_dir_all(&folder)?;
    Ok(fastest)
}

/// Returns the exponent of the growth of the cost: the slope of the regression line through the points on
/// logarithmic axes.
fn exponent(points: &[(f64, f64)]) -> f64 {
    let log_points: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let n = log_points.len() as f64;
    let (mean_x, mean_y) =
        (log_points.iter().map(|p| p.0).sum::<f64>() / n, log_points.iter().map(|p| p.1).sum::<f64>() / n);
    let covariance: f64 = log_points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    covariance / log_points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>()
}

/// Measures both series, prints them with their exponents and plots them.
pub(crate) fn measure(plot: &PathBuf) -> Result<(), Box<dyn Error>> {
    let open: [usize; 4] = [100, 1_000, 10_000, 100_000];
    let ends: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
    let bar = ProgressBar::new((open.len() + ends.len()) as u64);
    let series = |sizes: &[usize], measure_cost: &dyn Fn(usize) -> Result<f64, Box<dyn Error>>| {
        let mut points = Vec::new();
        for n in sizes {
            points.push((*n as f64, measure_cost(*n)?));
            bar.inc(1);
        }
        Ok::<_, Box<dyn Error>>(points)
    };
    let by_open = series(&open, &|n| measure_cost(1000, n))?;
    let by_ends = series(&ends, &|n| measure_cost(n, 100))?;
    bar.finish_and_clear();
    for (variable, points) in [("open messages", &by_open), ("recorded ends", &by_ends)] {
        println!("by {variable} (exponent {:.3}):", exponent(points));
        points.iter().for_each(|(n, micros)| println!("  {n:>9.0}  {micros:.2} us per message"));
    }
    draw(plot, &by_open, &by_ends)?;
    println!("plot written to {}", plot.display());
    Ok(())
}

fn draw(plot: &PathBuf, open: &[(f64, f64)], ends: &[(f64, f64)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(plot, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let max_y = open.iter().chain(ends).map(|p| p.1).fold(0.0, f64::max) * 1.3;
    let mut chart = ChartBuilder::on(&area)
        .caption("Engine time per message", ("sans-serif", 20).into_font())
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((50.0..2e6).log_scale(), 0.0..max_y)?;
    chart.configure_mesh().x_desc("open messages, recorded ends").y_desc("us").draw()?;
    for (points, colour, name) in [(open, BLUE, "open messages"), (ends, RED, "recorded ends")] {
        let line = LineSeries::new(points.iter().copied(), colour);
        chart.draw_series(line)?.label(name).legend(move |(x, y)| Circle::new((x + 8, y), 4, colour));
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, colour)))?;
    }
    chart.configure_series_labels().draw()?;
    area.present()?;
    Ok(())
}
