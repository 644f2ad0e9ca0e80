//! Plays a script: starts stand-ins and the program, generates traffic, injects the faults, and judges the
//! ledger.

use crate::script::{Act, Dest, Script};
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use yarrowhill_checker::{Account, Breach, ClientOutcome, Entry, FleetBreach, Rule, accounts, judge};
use yarrowhill_standins::{
    ClientOptions, Destination, Discovery, Endpoint, EndpointLine, Ledger, Message, Process, Rng, Setup,
    free_address, submit,
};

/// Maximum lateness of the rig's own clocks (ms). A run that was later than this gives no valid result.
pub(crate) const MAX_LATENESS_MS: f64 = 250.0;
/// Pause before a process that has exited is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time between SIGTERM and SIGKILL, as on the platform.
const TERM_TIMEOUT: Duration = Duration::from_millis(3700);

/// Result of one run.
#[derive(Debug)]
pub struct RunOutcome {
    /// Breaches of the six rules.
    pub breaches: Vec<Breach>,
    /// Message totals by class.
    pub accounts: BTreeMap<String, Account>,
    /// Maximum lateness of the rig's own clocks (ms).
    pub lateness_ms: f64,
    /// Entries that the stand-ins wrote.
    pub ledger: Vec<Entry>,
    /// Breaches of the fleet rules, in runs with several processes.
    pub fleet_breaches: Vec<FleetBreach>,
    /// Exit status of the program, if it exited without a signal or fault point.
    pub crashed: Option<String>,
}

impl RunOutcome {
    /// Returns whether all rules were kept and the program did not crash.
    pub fn is_clean(&self) -> bool {
        self.breaches.is_empty() && self.fleet_breaches.is_empty() && self.crashed.is_none()
    }
}

/// State of one run: the stand-ins, the program and the pending actions.
struct ScriptRun {
    ledger: Ledger,
    dests: Vec<Destination>,
    endpoints: Vec<Vec<Option<Endpoint>>>,
    discovery: Discovery,
    process: Process,
    config: Value,
    damage: Option<f64>,
    /// Journal file that is damaged, relative to the folder of the process.
    journal: std::path::PathBuf,
    /// Follow-up actions with their times, so that an act that lasts does not delay the next one.
    pending: Vec<(Instant, FollowUp)>,
}

/// Action that ends or completes an act at a later time.
enum FollowUp {
    RecoverDestination(usize),
    ReplaceEndpoint { dest: usize, endpoint: usize },
    ResumeDiscovery,
}

/// The running stand-ins of a run.
pub(crate) struct StandIns {
    pub(crate) dests: Vec<Destination>,
    pub(crate) endpoints: Vec<Vec<Option<Endpoint>>>,
    pub(crate) discovery: Discovery,
    pub(crate) lines: Vec<EndpointLine>,
}

/// Starts destinations with their endpoints, and a discovery that lists them.
pub(crate) async fn start_stand_ins(list: &[Dest], rng: &mut Rng, ledger: &Ledger) -> io::Result<StandIns> {
    let (mut dests, mut endpoints, mut lines) = (Vec::new(), Vec::new(), Vec::new());
    for d in list {
        let dest_rng = Rng::from_rng(rng);
        let dest = Destination::new(
            d.number,
            d.call_ms,
            d.calls_per_sec,
            d.faults.clone(),
            dest_rng,
            ledger.clone(),
        );
        let mut dest_endpoints = Vec::new();
        for n in 0..d.endpoints {
            let uid = format!("s-{}-{n}", d.number);
            let endpoint = Endpoint::start(&uid, loopback(), &dest).await?;
            let kind = if d.batches { "several" } else { "plain" };
            lines.push(EndpointLine::new(&uid, endpoint.addr, d.number, kind, d.calls_per_sec));
            dest_endpoints.push(Some(endpoint));
        }
        dests.push(dest);
        endpoints.push(dest_endpoints);
    }
    let discovery = Discovery::start(lines.clone(), ledger.clone()).await?;
    Ok(StandIns { dests, endpoints, discovery, lines })
}

/// Plays a script against `program`, with `folder` as its working folder.
///
/// # Errors
///
/// The stand-ins or the program cannot be started.
pub async fn play_script(script: &Script, program: &Path, folder: &Path) -> io::Result<RunOutcome> {
    let ledger = Ledger::default();
    let lateness_ms = Arc::new(AtomicU64::new(0));
    let watch = tokio::spawn(watch_clock(lateness_ms.clone()));
    let mut rng = Rng::seed_from_u64(script.seed);
    let StandIns { dests, endpoints, discovery, lines } =
        start_stand_ins(&script.dests, &mut rng, &ledger).await?;
    let config = script.config(free_address()?, discovery.addr, &lines);
    let mut env = Vec::new();
    env.extend(
        script.exit_at.as_ref().map(|(point, n)| ("YARROWHILL_DIE".to_owned(), format!("{point}:{n}"))),
    );
    let setup = Setup {
        program: program.into(),
        folder: folder.into(),
        env,
        max_file_bytes: script.max_file_bytes,
        max_descriptors: None,
    };
    let process = Process::start(setup, &config, &ledger).await?;
    let start = Instant::now();
    let clients = tokio::spawn(traffic(script.clone(), rng, process.addr, dests.clone(), ledger.clone()));
    let damage = script.damage;
    let journal = match script.shards {
        1 => "state/journal".into(),
        shards => format!("state/layout-1-{shards}/shard-0/journal").into(),
    };
    let mut run = ScriptRun {
        ledger,
        dests,
        endpoints,
        discovery,
        process,
        config,
        damage,
        journal,
        pending: Vec::new(),
    };
    let end = start + ms(script.traffic_ms());
    let crashed = run.inject_faults(script, start, end + ms(script.settle_ms())).await?;
    let _ = clients.await;
    let ScriptRun { ledger, mut process, .. } = run;
    let entries = ledger.entries();
    process.kill().await?;
    watch.abort();
    let lateness_ms = f64::from_bits(lateness_ms.load(Ordering::Relaxed));
    let mut breaches = judge(&script.rule_params(lateness_ms), &entries);
    if script.damage.is_some() {
        // Records in damaged bytes may be lost. No message may run twice even then.
        breaches.retain(|breach| breach.rule != Rule::Lost);
    }
    Ok(RunOutcome {
        accounts: accounts(&entries),
        breaches,
        fleet_breaches: Vec::new(),
        lateness_ms,
        ledger: entries,
        crashed,
    })
}

impl ScriptRun {
    async fn inject_faults(
        &mut self,
        script: &Script,
        start: Instant,
        end: Instant,
    ) -> io::Result<Option<String>> {
        let mut acts = script.acts.iter().peekable();
        let mut faults_cleared = false;
        while Instant::now() < end {
            if let Some((_, act)) = acts.next_if(|(at, _)| Instant::now() >= start + ms(*at)) {
                self.begin(act).await?;
            }
            let now = Instant::now();
            if let Some(n) = self.pending.iter().position(|(at, _)| *at <= now) {
                let (_, follow_up) = self.pending.remove(n);
                self.finish(follow_up).await?;
            }
            if !faults_cleared && now >= start + ms(script.traffic_ms()) {
                faults_cleared = true;
                self.dests.iter().for_each(Destination::clear_faults);
                self.discovery.drop_notices(0);
            }
            if let Some(status) = self.process.try_exit_status()? {
                if script.exit_at.is_none() {
                    return Ok(Some(format!("the program exited unexpectedly: {status}")));
                }
                sleep(RESTART_DELAY).await;
                self.restart("YARROWHILL_DIE").await?;
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(None)
    }

    async fn begin(&mut self, act: &Act) -> io::Result<()> {
        match act {
            Act::Kill(pause) => {
                self.process.kill().await?;
                if let Some(part) = self.damage.take() {
                    damage(&self.process.folder().join(&self.journal), part)?;
                }
                sleep(ms(*pause)).await;
                self.restart("").await?;
            }
            Act::Terminate => {
                self.process.signal("TERM").await?;
                if self.process.wait_exit(TERM_TIMEOUT).await.is_err() {
                    self.process.kill().await?;
                }
                sleep(RESTART_DELAY).await;
                self.restart("").await?;
            }
            Act::Reload => {
                let replica = self.discovery.start_replica().await?;
                self.config["discovery"] = replica.addr.to_string().into();
                self.process.reload(&self.config).await?;
                let old = std::mem::replace(&mut self.discovery, replica);
                // The old discovery closes its connections only after 1.5 s, as the platform's closes them
                // late.
                tokio::spawn(async move {
                    sleep(Duration::from_millis(1500)).await;
                    drop(old);
                });
            }
            Act::Down { dest, shut, duration_ms } => {
                self.dests[*dest].go_down(*shut, *duration_ms);
                self.pending.push((Instant::now() + ms(*duration_ms), FollowUp::RecoverDestination(*dest)));
            }
            Act::Replace { dest, endpoint, drain_ms } => {
                if let Some(old) = &self.endpoints[*dest][*endpoint] {
                    self.discovery.set_state(&old.uid, "terminating");
                    let replace = FollowUp::ReplaceEndpoint { dest: *dest, endpoint: *endpoint };
                    self.pending.push((Instant::now() + ms(*drain_ms), replace));
                }
            }
            Act::Stale(duration_ms) => {
                self.discovery.set_silent(true);
                self.pending.push((Instant::now() + ms(*duration_ms), FollowUp::ResumeDiscovery));
            }
            Act::DropNotices(nth) => self.discovery.drop_notices(*nth),
        }
        Ok(())
    }

    /// Restarts the process without the environment variable `without`. As on the platform, its configuration
    /// contains the endpoint list that the previous process had last.
    async fn restart(&mut self, without: &str) -> io::Result<()> {
        let (rev, lines) = (self.discovery.rev(), self.discovery.lines());
        let known: Vec<EndpointLine> = lines.into_iter().filter(|l| l.state != "terminated").collect();
        self.config["known"] = serde_json::json!({"rev": rev, "all": true, "targets": known});
        self.process.restart(&self.config, without).await
    }

    async fn finish(&mut self, follow_up: FollowUp) -> io::Result<()> {
        match follow_up {
            FollowUp::RecoverDestination(dest) => self.dests[dest].recover(2000.0),
            FollowUp::ResumeDiscovery => self.discovery.set_silent(false),
            FollowUp::ReplaceEndpoint { dest, endpoint } => {
                let Some(old) = self.endpoints[dest][endpoint].take() else { return Ok(()) };
                let (uid, addr) = (old.uid.clone(), old.addr);
                self.discovery.set_state(&uid, "terminated");
                drop(old);
                // The old endpoint's connections are closed first; then a new endpoint starts at its address.
                sleep(Duration::from_millis(20)).await;
                let line = self.discovery.lines().into_iter().find(|l| l.uid == uid);
                let new = Endpoint::start(&format!("{uid}x"), addr, &self.dests[dest]).await;
                // Another process may have taken the port meanwhile: then no endpoint replaces the old one.
                if let (Some(line), Ok(new)) = (line, new) {
                    let state = "in_service".to_owned();
                    self.discovery.set_line(EndpointLine { uid: new.uid.clone(), state, ..line });
                    self.endpoints[dest][endpoint] = Some(new);
                }
            }
        }
        Ok(())
    }
}

/// Generates the traffic of a script. Each client runs in its own task.
async fn traffic(script: Script, mut rng: Rng, to: SocketAddr, dests: Vec<Destination>, ledger: Ledger) {
    let start = Instant::now();
    let mut clients = JoinSet::new();
    let mut at = 0.0;
    for n in 0u64.. {
        // A Poisson process; 30 % of the messages arrive together with the previous one.
        at += if rng.random_bool(0.3) {
            0.0
        } else {
            -rng.random::<f64>().max(1e-9).ln() / 0.7 * 1000.0 / script.rate
        };
        if at > script.traffic_ms() {
            break;
        }
        sleep_until(start + ms(at)).await;
        let (class, deadline_ms) = Script::draw_class(&mut rng);
        // The first destination gets the largest share.
        let place = if rng.random_bool(0.4) { 0 } else { rng.random_range(0..dests.len()) };
        let message = Message {
            id: format!("{:x}-{n}", script.seed),
            class: class.to_owned(),
            dest: script.dests[place].number,
            owner: "acme".to_owned(),
            deadline_ms,
            body_bytes: rng.random_range(0..600),
        };
        let [early_timeout, abort_midway, duplicate] = script.client_faults;
        let options = ClientOptions {
            timeout_ms: if rng.random_bool(early_timeout) { rng.random_range(1..=10) } else { 400 },
            abort_midway: rng.random_bool(abort_midway),
        };
        let duplicate = rng.random_bool(duplicate);
        let (dest, ledger) = (dests[place].clone(), ledger.clone());
        clients.spawn(async move { client(to, message, options, duplicate, &dest, &ledger).await });
    }
    while clients.join_next().await.is_some() {}
}

async fn client(
    to: SocketAddr,
    mut message: Message,
    options: ClientOptions,
    duplicate: bool,
    dest: &Destination,
    ledger: &Ledger,
) {
    let first = ledger.now();
    let deadline = first + message.deadline_ms as f64;
    dest.set_deadline(&message.id, deadline);
    let (outcome, wait) = if duplicate {
        let complete = ClientOptions { abort_midway: false, ..options };
        let (first_answer, _) =
            tokio::join!(submit(to, &message, complete, ledger), submit(to, &message, complete, ledger));
        // Submits the same message a third time, later.
        sleep(Duration::from_millis(150)).await;
        submit(to, &message, complete, ledger).await;
        first_answer
    } else {
        submit(to, &message, options, ledger).await
    };
    let pause = match outcome {
        ClientOutcome::Status(429 | 503) => wait.unwrap_or(200.0),
        ClientOutcome::Left => 50.0,
        ClientOutcome::Broken => 300.0,
        ClientOutcome::Status(_) => return,
    };
    sleep(ms(pause)).await;
    let left = deadline - ledger.now();
    if left > 100.0 {
        message.id.push_str("-again");
        message.deadline_ms = left as u64;
        dest.set_deadline(&message.id, deadline);
        submit(to, &message, ClientOptions::default(), ledger).await;
    }
}

/// Corrupts up to 40 bytes of a file from `part` of its length on.
fn damage(path: &Path, part: f64) -> io::Result<()> {
    let mut text = std::fs::read(path)?;
    let at = (part * text.len() as f64) as usize;
    text.iter_mut().skip(at).take(40).for_each(|byte| *byte ^= 0xa5);
    std::fs::write(path, text)
}

/// Measures by how much timers of this process fire late, and stores the maximum (ms, as the bits of an
/// `f64`).
pub(crate) async fn watch_clock(max_lateness: Arc<AtomicU64>) {
    let step = Duration::from_millis(10);
    let mut worst: f64 = 0.0;
    loop {
        let before = Instant::now();
        sleep(step).await;
        let late = before.elapsed().saturating_sub(step).as_secs_f64() * 1000.0;
        worst = worst.max(late);
        max_lateness.store(worst.to_bits(), Ordering::Relaxed);
    }
}

/// Converts milliseconds to a duration; negative values give zero.
pub(crate) fn ms(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1000.0)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the path of a folder for a run, unique within this process.
pub(crate) fn run_folder(name: &str) -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("yarrowhill-rig-{}-{number}-{name}", std::process::id()))
}
