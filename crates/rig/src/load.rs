//! Load generation: many messages per second over persistent connections, some of them submitted again under
//! the same id.

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

/// Time after a message was taken on at which it may be submitted again.
const RESUBMIT_DELAY: Duration = Duration::from_secs(1);
/// Minimum time until its deadline with which a message is submitted again (ms).
const MIN_TIME_LEFT_MS: f64 = 200.0;
/// Time after the last deadline within which owed notices are expected (ms).
const SETTLE_MS: f64 = 1500.0;
/// Class of the messages that must not be repeated: one half of the load.
const UNSAFE: &str = "settle-order";
/// Class of the messages that carry an idempotency key: the other half.
const KEYED: &str = "auth-notice";

/// Parameters of a load run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Load {
    /// Seed of all random draws.
    pub seed: u64,
    /// Messages per second; messages that the clients cannot submit in time are submitted late.
    pub rate: f64,
    /// Duration of the load (s).
    #[serde(rename = "seconds")]
    pub duration_secs: f64,
    /// Number of clients, each with a persistent connection.
    pub clients: usize,
    /// Share of the messages of the class that must not be repeated which are submitted again one second
    /// after they were taken on, under the same id and with the remaining time.
    #[serde(rename = "again")]
    pub resubmit_share: f64,
    /// Time from submission to the deadline of a message (ms).
    pub deadline_ms: u64,
    /// Number of SIGKILLs, evenly distributed over the duration.
    pub kills: usize,
    /// Disk limit of the forwarder (MB).
    pub disk_mb: f64,
    /// Number of destinations; every second one takes messages in batches.
    pub dests: usize,
    /// Number of shards of the forwarder after each of its starts; the last number applies to further starts.
    pub shards: Vec<usize>,
}

impl Default for Load {
    /// Returns a load of 1,000 messages per second for 4 s.
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

/// Result of a load run.
#[derive(Debug)]
pub struct LoadOutcome {
    /// Breaches of the six rules.
    pub breaches: Vec<Breach>,
    /// Message totals by class.
    pub accounts: BTreeMap<String, Account>,
    /// Number of resubmitted messages by status of the answer; 0 stands for no answer.
    pub resubmitted: BTreeMap<u16, usize>,
    /// Number of submissions that ended per second, including resubmissions.
    pub answered_per_sec: f64,
    /// Maximum lateness of the rig's own clocks (ms).
    pub lateness_ms: f64,
    /// Exit status of the program, if it exited without a signal from the rig.
    pub crashed: Option<String>,
}

impl LoadOutcome {
    /// Returns the number of messages that ran, or may have run, more often than their class allows.
    pub fn duplicates(&self) -> usize {
        self.breaches.iter().filter(|b| b.rule == Rule::Twice).count()
    }

    /// Returns the sum of a field over all classes.
    pub fn total(&self, of: impl Fn(&Account) -> usize) -> usize {
        self.accounts.values().map(of).sum()
    }

    /// Returns whether all rules were kept and the program did not crash.
    pub fn is_clean(&self) -> bool {
        self.breaches.is_empty() && self.crashed.is_none()
    }
}

/// Plays a load against `program`, with `folder` as its working folder.
///
/// # Errors
///
/// The stand-ins or the program cannot be started.
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
    let params = ConfigParams {
        classes: vec![class(KEYED, "token"), class(UNSAFE, "side_effect")],
        key_ttl_ms: 15_000.0,
        goal_time_ms: load.deadline_ms as f64 / 4.0,
        slots: 128,
        fail_back: [2.0, 1000.0, 0.2, 2000.0],
        seed: load.seed,
        resources: Resources { sockets: 1024, disk_mb: load.disk_mb, max_open: 4000 },
    };
    let mut config = configuration(&params, free_address()?, discovery.addr, &lines);
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
    let end = start + Duration::from_secs_f64(load.duration_secs) + ms(load.deadline_ms as f64 + SETTLE_MS);
    while Instant::now() < end && crashed.is_none() {
        if kills.next_if(|at| start.elapsed().as_secs_f64() >= *at).is_some() {
            process.kill().await?;
            if let Some(shards) = shards.next() {
                config["shards"] = shards.into();
            }
            process.restart(&config, "").await?;
        }
        crashed =
            process.try_exit_status()?.map(|status| format!("the program exited unexpectedly: {status}"));
        let clients_done = clients.is_empty() || clients.try_join_next().is_some_and(|_| clients.is_empty());
        if clients_done && has_no_open_messages(&ledger) {
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
    let rule_params = RuleParams {
        classes: [(KEYED.to_owned(), Effect::Keyed(15_000.0)), (UNSAFE.to_owned(), Effect::Unsafe)].into(),
        clock_slack_ms: 60.0 + lateness_ms,
        ..RuleParams::default()
    };
    let (resubmitted, answered) = count_answers(&entries);
    Ok(LoadOutcome {
        breaches: judge(&rule_params, &entries),
        accounts: accounts(&entries),
        resubmitted,
        answered_per_sec: answered as f64 / load.duration_secs,
        lateness_ms,
        crashed,
    })
}

/// Returns whether every message that was taken on has ended.
fn has_no_open_messages(ledger: &Ledger) -> bool {
    accounts(&ledger.entries()).values().all(|a| a.open == 0)
}

/// Returns the number of resubmissions by status, and the number of all submissions that ended.
fn count_answers(entries: &[yarrowhill_checker::Entry]) -> (BTreeMap<u16, usize>, usize) {
    let (mut resubmitted, mut all) = (BTreeMap::new(), 0);
    let mut seen: std::collections::HashSet<&str> = Default::default();
    for entry in entries {
        let yarrowhill_checker::Event::ClientDone { id, outcome: answer } = &entry.event else { continue };
        all += 1;
        if !seen.insert(id) {
            let status = if let ClientOutcome::Status(status) = answer { *status } else { 0 };
            *resubmitted.entry(status).or_default() += 1;
        }
    }
    (resubmitted, all)
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
    // Messages to resubmit: when, and their deadlines (ms on the ledger's clock).
    let mut resubmissions: VecDeque<(Instant, Message, f64)> = VecDeque::new();
    let end = start + Duration::from_secs_f64(load.duration_secs);
    loop {
        let n = next.fetch_add(1, Ordering::Relaxed);
        let at = start + Duration::from_secs_f64(n as f64 / load.rate);
        if at.max(Instant::now()) >= end {
            break;
        }
        while resubmissions.front().is_some_and(|(due, ..)| *due <= at.max(Instant::now())) {
            resubmit_next(&mut resubmissions, &mut session, &ledger).await;
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
        let deadline = ledger.now() + load.deadline_ms as f64;
        let (outcome, _) = session.submit(&message, ClientOptions::default()).await;
        if outcome == ClientOutcome::Status(202) && class == UNSAFE && rng.random_bool(load.resubmit_share) {
            resubmissions.push_back((Instant::now() + RESUBMIT_DELAY, message, deadline));
        }
    }
    while !resubmissions.is_empty() {
        resubmit_next(&mut resubmissions, &mut session, &ledger).await;
    }
}

async fn resubmit_next(
    resubmissions: &mut VecDeque<(Instant, Message, f64)>,
    session: &mut Session,
    ledger: &Ledger,
) {
    let Some((due, mut message, deadline)) = resubmissions.pop_front() else { return };
    sleep_until(due).await;
    let left = deadline - ledger.now();
    if left > MIN_TIME_LEFT_MS {
        message.deadline_ms = left as u64;
        session.submit(&message, ClientOptions::default()).await;
    }
}

impl From<LoadOutcome> for RunOutcome {
    fn from(outcome: LoadOutcome) -> Self {
        let LoadOutcome { breaches, accounts, lateness_ms, crashed, .. } = outcome;
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
