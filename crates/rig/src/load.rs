//! Many messages a second over kept connections, some of them handed in once more under their id.

use crate::play::{RunOutcome, StandIns, ms, start_stand_ins, watch_clock};
use crate::script::Dest;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use yarrowhill_checker::{Account, Breach, ClientOutcome, Effect, Rule, RuleParams, accounts, judge};
use yarrowhill_standins::{
    Class, ClientOptions, ConfigParams, Faults, Ledger, Message, Process, Resources, Rng, Session, Setup,
    configuration, free_address,
};

/// After its end a message may come again this much later (ms).
const AGAIN_AFTER: Duration = Duration::from_secs(1);
/// A message with less time left is not handed in again (ms).
const LEFT_LEAST: f64 = 200.0;
/// What is owed may take so long after the last deadline (ms).
const REST: f64 = 1500.0;
/// The half of the messages that may not be repeated, and the other.
const UNSAFE: &str = "settle-order";
const KEYED: &str = "auth-notice";

/// A load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Load {
    /// The seed of all chance in it.
    pub seed: u64,
    /// Messages a second; what the clients can't hand in in time is handed in late.
    pub rate: f64,
    /// For how long (s).
    #[serde(rename = "seconds")]
    pub duration_secs: f64,
    /// Clients, each with a connection that it keeps.
    pub clients: usize,
    /// Share of the messages that may not be repeated and were taken on which come once more, a second later, under
    /// the same id and with the time that is left.
    #[serde(rename = "again")]
    pub resubmit_share: f64,
    /// How long a message may be delivered (ms).
    pub deadline_ms: u64,
    /// SIGKILLs, evenly over the time.
    pub kills: usize,
    /// The forwarder's disk (MB).
    pub disk_mb: f64,
    /// Destinations, every second of which takes messages in batches.
    pub dests: usize,
    /// The forwarder's shards, one number for each life; the last one stays.
    pub shards: Vec<usize>,
}

impl Default for Load {
    /// A thousand a second for 4 s.
    fn default() -> Self {
        Load {
            seed: 1,
            rate: 1000.0,
            duration_secs: 4.0,
            clients: 32,
            resubmit_share: 0.1,
            deadline_ms: 6000,
            kills: 0,
            disk_mb: 3.0,
            dests: 8,
            shards: vec![1],
        }
    }
}

/// What came of a load.
#[derive(Debug)]
pub struct LoadOutcome {
    /// Rules that were broken.
    pub breaches: Vec<Breach>,
    /// What became of the messages, by class.
    pub accounts: BTreeMap<String, Account>,
    /// Messages that came a second time, and what they heard, by status (0: nothing).
    pub resubmitted: BTreeMap<u16, usize>,
    /// Messages handed in a second, those that came a second time with them.
    pub answered_per_sec: f64,
    /// How late the run's own clocks were at most (ms).
    pub lateness_ms: f64,
    /// Why the program ended although nobody told it to.
    pub crashed: Option<String>,
}

impl LoadOutcome {
    /// Messages that ran, or may have, more often than their class allows.
    pub fn duplicates(&self) -> usize {
        self.breaches.iter().filter(|b| b.rule == Rule::Twice).count()
    }

    /// The sum over all classes.
    pub fn total(&self, of: impl Fn(&Account) -> usize) -> usize {
        self.accounts.values().map(of).sum()
    }

    /// Whether all rules were kept and the program lived.
    pub fn is_clean(&self) -> bool {
        self.breaches.is_empty() && self.crashed.is_none()
    }
}

/// Plays a load against a program, in a folder of its own.
///
/// # Errors
///
/// The stand-ins or the program can't be started.
pub async fn play_load(load: &Load, program: &Path, folder: &Path) -> io::Result<LoadOutcome> {
    let ledger = Ledger::default();
    let lateness_ms = Arc::new(AtomicU64::new(0));
    let watch = tokio::spawn(watch_clock(lateness_ms.clone()));
    let dest = |n: usize| Dest {
        number: 10 + n as u64,
        batches: n.is_multiple_of(2),
        endpoints: 2,
        call_ms: 2.0,
        calls_per_sec: 1e6,
        faults: Faults::default(),
    };
    let list: Vec<Dest> = (0..load.dests).map(dest).collect();
    let mut rng = Rng::seed_from_u64(load.seed);
    let StandIns { discovery, lines, endpoints, .. } = start_stand_ins(&list, &mut rng, &ledger).await?;
    let class = |name, idempotency| Class { name, idempotency, deadline_ms: load.deadline_ms };
    let figures = ConfigParams {
        classes: vec![class(KEYED, "token"), class(UNSAFE, "side_effect")],
        key_ttl_ms: 15_000.0,
        goal_time_ms: load.deadline_ms as f64 / 4.0,
        slots: 128,
        fail_back: [2.0, 1000.0, 0.2, 2000.0],
        seed: load.seed,
        resources: Resources { sockets: 1024, disk_mb: load.disk_mb, max_open: 4000 },
    };
    let mut config = configuration(&figures, free_address()?, discovery.addr, &lines);
    let mut shards = load.shards.iter().copied();
    config["shards"] = shards.next().unwrap_or(1).into();
    let setup = Setup {
        program: program.into(),
        folder: folder.into(),
        env: Vec::new(),
        max_file_bytes: None,
        max_descriptors: None,
    };
    let mut process = Process::start(setup, &config, &ledger).await?;
    config["known"] = serde_json::json!({"rev": discovery.rev(), "all": true, "targets": lines});
    let (start, next) = (Instant::now(), Arc::new(AtomicU64::new(0)));
    let mut clients = JoinSet::new();
    for _ in 0..load.clients {
        let rng = Rng::from_rng(&mut rng);
        clients.spawn(client(load.clone(), rng, process.addr, start, next.clone(), ledger.clone()));
    }
    let mut crashed = None;
    let mut kills =
        (1..=load.kills).map(|n| load.duration_secs * n as f64 / (load.kills + 1) as f64).peekable();
    let end = start + Duration::from_secs_f64(load.duration_secs) + ms(load.deadline_ms as f64 + REST);
    while Instant::now() < end && crashed.is_none() {
        if kills.next_if(|at| start.elapsed().as_secs_f64() >= *at).is_some() {
            process.kill().await?;
            if let Some(shards) = shards.next() {
                config["shards"] = shards.into();
            }
            process.restart(&config, "").await?;
        }
        crashed = process.try_exit_status()?.map(|status| format!("the program ended: {status}"));
        let over = clients.is_empty() || clients.try_join_next().is_some_and(|_| clients.is_empty());
        if over && process_is_idle(&ledger) {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    clients.shutdown().await;
    process.kill().await?;
    watch.abort();
    drop(endpoints);
    let entries = ledger.entries();
    let lateness_ms = f64::from_bits(lateness_ms.load(Ordering::Relaxed));
    let terms = RuleParams {
        classes: [(KEYED.to_owned(), Effect::Keyed(15_000.0)), (UNSAFE.to_owned(), Effect::Unsafe)].into(),
        clock_slack_ms: 60.0 + lateness_ms,
        ..RuleParams::default()
    };
    let (resubmitted, answered) = second_answers(&entries);
    Ok(LoadOutcome {
        breaches: judge(&terms, &entries),
        accounts: accounts(&entries),
        resubmitted,
        answered_per_sec: answered as f64 / load.duration_secs,
        lateness_ms,
        crashed,
    })
}

/// Whether everything that was taken on has its end.
fn process_is_idle(ledger: &Ledger) -> bool {
    accounts(&ledger.entries()).values().all(|a| a.open == 0)
}

/// What messages heard that came a second time, and how many were heard at all.
fn second_answers(entries: &[yarrowhill_checker::Entry]) -> (BTreeMap<u16, usize>, usize) {
    let (mut again, mut all) = (BTreeMap::new(), 0);
    let mut seen: std::collections::HashSet<&str> = Default::default();
    for entry in entries {
        let yarrowhill_checker::Event::ClientDone { id, outcome: answer } = &entry.event else { continue };
        all += 1;
        if !seen.insert(id) {
            let status = if let ClientOutcome::Status(status) = answer { *status } else { 0 };
            *again.entry(status).or_default() += 1;
        }
    }
    (again, all)
}

async fn client(
    load: Load,
    mut rng: Rng,
    to: SocketAddr,
    start: Instant,
    next: Arc<AtomicU64>,
    ledger: Ledger,
) {
    let mut session = Session::new(to, &ledger);
    // When each comes once more, and until when it may be delivered (ms, the ledger's clock).
    let mut later: VecDeque<(Instant, Message, f64)> = VecDeque::new();
    let end = start + Duration::from_secs_f64(load.duration_secs);
    loop {
        let n = next.fetch_add(1, Ordering::Relaxed);
        let at = start + Duration::from_secs_f64(n as f64 / load.rate);
        if at.max(Instant::now()) >= end {
            break;
        }
        while later.front().is_some_and(|(due, ..)| *due <= at.max(Instant::now())) {
            once_more(&mut later, &mut session, &ledger).await;
        }
        sleep_until(at).await;
        let class = if rng.random_bool(0.5) { UNSAFE } else { KEYED };
        let message = Message {
            id: format!("{:x}-{n}", load.seed),
            class: class.to_owned(),
            dest: 10 + rng.random_range(0..load.dests as u64),
            owner: "acme".to_owned(),
            deadline_ms: load.deadline_ms,
            body_bytes: 200,
        };
        let up = ledger.now() + load.deadline_ms as f64;
        let (heard, _) = session.submit(&message, ClientOptions::default()).await;
        if heard == ClientOutcome::Status(202) && class == UNSAFE && rng.random_bool(load.resubmit_share) {
            later.push_back((Instant::now() + AGAIN_AFTER, message, up));
        }
    }
    while !later.is_empty() {
        once_more(&mut later, &mut session, &ledger).await;
    }
}

async fn once_more(later: &mut VecDeque<(Instant, Message, f64)>, session: &mut Session, ledger: &Ledger) {
    let Some((due, mut message, up)) = later.pop_front() else { return };
    sleep_until(due).await;
    let left = up - ledger.now();
    if left > LEFT_LEAST {
        message.deadline_ms = left as u64;
        session.submit(&message, ClientOptions::default()).await;
    }
}

impl From<LoadOutcome> for RunOutcome {
    fn from(loaded: LoadOutcome) -> Self {
        let LoadOutcome { breaches, accounts, lateness_ms, crashed, .. } = loaded;
        RunOutcome {
            breaches,
            accounts,
            fleet_breaches: Vec::new(),
            lateness_ms,
            ledger: Vec::new(),
            crashed,
        }
    }
}
