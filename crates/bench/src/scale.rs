//! What a message costs the engine, by how many others are open and how many ends bind: flat is the aim.

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

/// Messages of a turn, and turns of a round.
const BATCH: usize = 20;
const TURNS: usize = 200;
/// Rounds; the fastest counts, since whatever disturbs it only adds.
const ROUNDS: usize = 5;
/// Destinations at which the open messages wait.
const WAITING: u64 = 100;
const HOUR: Duration = Duration::from_secs(3600);
const LIMIT: u64 = 1 << 32;

/// Calls as they come.
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

struct World {
    engine: Engine<Calls>,
    calls: Calls,
    _notices: Receiver<Vec<Notice>>,
    _inputs: Receiver<Input>,
    named: u64,
    /// Clients that wait for their answer.
    clients: Vec<oneshot::Receiver<Answer>>,
    delivered: usize,
}

impl World {
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
        let lines: Vec<_> = (0..=WAITING).map(line).collect();
        let known: EndpointList = serde_json::from_value(json!({"rev": 1, "all": true, "targets": lines}))?;
        let calls = Calls::default();
        let (notices, owed) = channel(1);
        let (inputs, ends) = channel(1);
        let options = Options {
            settings,
            names,
            seed: 1,
            state_dir: folder.into(),
            max_journal_bytes: LIMIT,
            durability: Durability::Process,
            initial_list: known,
            shard: None,
        };
        let mut engine = Engine::start(options, calls.clone(), notices, inputs)?;
        // Discovery's agent has nothing new to say: without its word nothing is sent at first.
        engine.run_turn(
            vec![Input::List(EndpointList { version: 1, is_full: false, endpoints: Vec::new() })],
            true,
        );
        Ok(World {
            engine,
            calls,
            _notices: owed,
            _inputs: ends,
            named: 0,
            clients: Vec::new(),
            delivered: 0,
        })
    }

    fn message(&mut self, dest: u64) -> Input {
        self.named += 1;
        let (answer, client) = oneshot::channel();
        self.clients.push(client);
        Input::Submission(Submission {
            id: format!("{:016x}", self.named),
            class: 0,
            tenant: None,
            dest,
            key: None,
            body: vec![b'm'; 200].into(),
            deadline: Instant::now() + HOUR,
            answer,
        })
    }

    /// Ends every call that is out in this way.
    fn end(&mut self, outcome: Outcome) -> Vec<Input> {
        let done = outcome == Outcome::Delivered;
        let delivered = &mut self.delivered;
        let mut end = |call: Call| {
            *delivered += call.items.len() * usize::from(done);
            let ended = call.items.iter().map(|item| AttemptEnd {
                id: item.id,
                attempt: item.attempt,
                outcome,
                finished: done,
                report: None,
                wait: None,
            });
            Input::CallUpdate(CallUpdate { endpoint: call.endpoint, ended: ended.collect() })
        };
        self.calls.take().into_iter().map(&mut end).collect()
    }

    /// Messages that wait at shut destinations.
    fn hold(&mut self, open: usize) {
        let wait: Micros = 2 * HOUR.as_micros() as Micros;
        let mut held = 0;
        while held < open {
            let part = (open - held).min(1000);
            let batch = (0..part).map(|n| self.message(1 + (held + n) as u64 % WAITING));
            let kept: Vec<_> = batch.collect();
            self.engine.run_turn(kept, true);
            let ended = self.end(Outcome::Full { wait: Some(wait) });
            self.engine.run_turn(ended, true);
            self.clients.clear();
            held += part;
        }
        while self.engine.attempts_in_flight() > 0 {
            let ended = self.end(Outcome::Full { wait: Some(wait) });
            self.engine.run_turn(ended, true);
        }
    }

    /// Microseconds a message, from its being handed in to its end.
    fn round(&mut self) -> f64 {
        let start = std::time::Instant::now();
        for _ in 0..TURNS {
            let batch: Vec<Input> = (0..BATCH).map(|_| self.message(0)).collect();
            self.engine.run_turn(batch, true);
            self.clients.clear();
            while self.engine.attempts_in_flight() > 0 {
                let ended = self.end(Outcome::Delivered);
                self.engine.run_turn(ended, true);
            }
        }
        start.elapsed().as_secs_f64() * 1e6 / (TURNS * BATCH) as f64
    }
}

fn cost(ends: usize, open: usize) -> Result<f64, Box<dyn Error>> {
    let folder = std::env::temp_dir().join(format!("yarrowhill-bench-scale-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let now = unix_now_ms();
    let options = yarrowhill_journal::Options { max_bytes: LIMIT, durability: Durability::Process };
    let (mut journal, _) = Journal::open(&folder, options, now)?;
    for n in 0..ends {
        journal.enqueue(&Record::Closed(format!("e{n:x}"), End::Delivered, now + 7_200_000), now);
        if n % 1000 == 999 {
            journal.commit(&[], now)?;
        }
    }
    journal.commit(&[], now)?;
    drop(journal);
    let mut world = World::new(&folder, open)?;
    world.hold(open);
    let best = (0..ROUNDS).map(|_| world.round()).fold(f64::INFINITY, f64::min);
    let (delivered, wanted) = (world.delivered, ROUNDS * TURNS * BATCH);
    if delivered != wanted || world.engine.open_messages() != open {
        let held = world.engine.open_messages();
        return Err(format!("{delivered} of {wanted} delivered, {held} of {open} open: no figure").into());
    }
    fs::remove_dir_all(&folder)?;
    Ok(best)
}

/// The exponent by which a cost grows: the slope of a line through the points, both axes by their logarithms.
fn exponent(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let n = logs.len() as f64;
    let (mx, my) = (logs.iter().map(|p| p.0).sum::<f64>() / n, logs.iter().map(|p| p.1).sum::<f64>() / n);
    let top: f64 = logs.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    top / logs.iter().map(|(x, _)| (x - mx).powi(2)).sum::<f64>()
}

/// Measures both rows, prints them with their exponents and draws them.
pub(crate) fn measure(plot: &PathBuf) -> Result<(), Box<dyn Error>> {
    let open: [usize; 4] = [100, 1_000, 10_000, 100_000];
    let ends: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
    let bar = ProgressBar::new((open.len() + ends.len()) as u64);
    let row = |list: &[usize], cost: &dyn Fn(usize) -> Result<f64, Box<dyn Error>>| {
        let mut points = Vec::new();
        for n in list {
            points.push((*n as f64, cost(*n)?));
            bar.inc(1);
        }
        Ok::<_, Box<dyn Error>>(points)
    };
    let by_open = row(&open, &|n| cost(1000, n))?;
    let by_ends = row(&ends, &|n| cost(n, 100))?;
    bar.finish_and_clear();
    for (what, points) in [("open messages", &by_open), ("ends that bind", &by_ends)] {
        println!("by {what} (exponent {:.3}):", exponent(points));
        points.iter().for_each(|(n, cost)| println!("  {n:>9.0}  {cost:.2} us a message"));
    }
    draw(plot, &by_open, &by_ends)?;
    println!("drawn in {}", plot.display());
    Ok(())
}

fn draw(plot: &PathBuf, open: &[(f64, f64)], ends: &[(f64, f64)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(plot, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let top = open.iter().chain(ends).map(|p| p.1).fold(0.0, f64::max) * 1.3;
    let mut chart = ChartBuilder::on(&area)
        .caption("Engine time a message", ("sans-serif", 20).into_font())
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((50.0..2e6).log_scale(), 0.0..top)?;
    chart.configure_mesh().x_desc("open messages, ends that bind").y_desc("us").draw()?;
    for (points, colour, name) in [(open, BLUE, "open messages"), (ends, RED, "ends that bind")] {
        let line = LineSeries::new(points.iter().copied(), colour);
        chart.draw_series(line)?.label(name).legend(move |(x, y)| Circle::new((x + 8, y), 4, colour));
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, colour)))?;
    }
    chart.configure_series_labels().draw()?;
    area.present()?;
    Ok(())
}
