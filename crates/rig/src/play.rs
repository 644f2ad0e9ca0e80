//! Plays a script.

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

/// A run whose own clocks were later than this (ms) judges nobody.
pub(crate) const LATE_MOST: f64 = 250.0;
/// A process that ended by itself starts again after this time.
const AGAIN: Duration = Duration::from_millis(300);
/// After SIGTERM the program has so long.
const TERM_MOST: Duration = Duration::from_millis(3700);

/// What came of a run.
#[derive(Debug)]
pub struct RunOutcome {
    /// Rules that were broken.
    pub breaches: Vec<Breach>,
    /// What became of the messages, by class.
    pub accounts: BTreeMap<String, Account>,
    /// How late the run's own clocks were at most (ms).
    pub lateness_ms: f64,
    /// All that stand-ins saw.
    pub ledger: Vec<Entry>,
    /// What several processes should not have believed or done, where there were several.
    pub fleet_breaches: Vec<FleetBreach>,
    /// Why the program ended although nobody told it to.
    pub crashed: Option<String>,
}

impl RunOutcome {
    /// Whether all rules were kept and the program lived.
    pub fn is_clean(&self) -> bool {
        self.breaches.is_empty() && self.fleet_breaches.is_empty() && self.crashed.is_none()
    }
}

/// The world of one run.
struct World {
    ledger: Ledger,
    dests: Vec<Destination>,
    endpoints: Vec<Vec<Option<Endpoint>>>,
    discovery: Discovery,
    process: Process,
    config: Value,
    damage: Option<f64>,
    /// The journal that is damaged.
    journal: std::path::PathBuf,
    /// Started beside each other, so that one that takes time holds nothing up.
    later: Vec<(Instant, Later)>,
}

/// What an act has set off for later.
enum Later {
    Back(usize),
    Gone { dest: usize, endpoint: usize },
    Talk,
}

/// The stand-ins of a run, started.
pub(crate) struct Stage {
    pub(crate) dests: Vec<Destination>,
    pub(crate) endpoints: Vec<Vec<Option<Endpoint>>>,
    pub(crate) discovery: Discovery,
    pub(crate) lines: Vec<EndpointLine>,
}

/// Starts destinations with their endpoints, and a discovery that lists them.
pub(crate) async fn stage(list: &[Dest], rng: &mut Rng, ledger: &Ledger) -> io::Result<Stage> {
    let (mut dests, mut endpoints, mut lines) = (Vec::new(), Vec::new(), Vec::new());
    for d in list {
        let chance = Rng::from_rng(rng);
        let dest =
            Destination::new(d.number, d.call_ms, d.calls_per_sec, d.faults.clone(), chance, ledger.clone());
        let mut own = Vec::new();
        for n in 0..d.endpoints {
            let uid = format!("s-{}-{n}", d.number);
            let endpoint = Endpoint::start(&uid, loopback(), &dest).await?;
            let kind = if d.batches { "several" } else { "plain" };
            lines.push(EndpointLine::new(&uid, endpoint.addr, d.number, kind, d.calls_per_sec));
            own.push(Some(endpoint));
        }
        dests.push(dest);
        endpoints.push(own);
    }
    let discovery = Discovery::start(lines.clone(), ledger.clone()).await?;
    Ok(Stage { dests, endpoints, discovery, lines })
}

/// Plays a script against a program, in a folder of its own.
///
/// # Errors
///
/// The stand-ins or the program can't be started.
pub async fn play_script(script: &Script, program: &Path, folder: &Path) -> io::Result<RunOutcome> {
    let ledger = Ledger::default();
    let lateness_ms = Arc::new(AtomicU64::new(0));
    let watch = tokio::spawn(watch_clock(lateness_ms.clone()));
    let mut rng = Rng::seed_from_u64(script.seed);
    let Stage { dests, endpoints, discovery, lines } = stage(&script.dests, &mut rng, &ledger).await?;
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
    let mut world =
        World { ledger, dests, endpoints, discovery, process, config, damage, journal, later: Vec::new() };
    let end = start + ms(script.traffic_ms());
    let crashed = world.act(script, start, end + ms(script.settle_ms())).await?;
    let _ = clients.await;
    let World { ledger, mut process, .. } = world;
    let entries = ledger.entries();
    process.kill().await?;
    watch.abort();
    let lateness_ms = f64::from_bits(lateness_ms.load(Ordering::Relaxed));
    let mut breaches = judge(&script.rule_params(lateness_ms), &entries);
    if script.damage.is_some() {
        // What stood in damaged bytes may be lost; that nothing runs twice holds all the same.
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

impl World {
    async fn act(&mut self, script: &Script, start: Instant, end: Instant) -> io::Result<Option<String>> {
        let mut acts = script.acts.iter().peekable();
        let mut healed = false;
        while Instant::now() < end {
            if let Some((_, act)) = acts.next_if(|(at, _)| Instant::now() >= start + ms(*at)) {
                self.begin(act).await?;
            }
            let now = Instant::now();
            if let Some(n) = self.later.iter().position(|(at, _)| *at <= now) {
                let (_, later) = self.later.remove(n);
                self.finish(later).await?;
            }
            if !healed && now >= start + ms(script.traffic_ms()) {
                healed = true;
                self.dests.iter().for_each(Destination::clear_faults);
                self.discovery.drop_notices(0);
            }
            if let Some(status) = self.process.try_exit_status()? {
                if script.exit_at.is_none() {
                    return Ok(Some(format!("the program ended: {status}")));
                }
                sleep(AGAIN).await;
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
                if self.process.wait_exit(TERM_MOST).await.is_err() {
                    self.process.kill().await?;
                }
                sleep(AGAIN).await;
                self.restart("").await?;
            }
            Act::Reload => {
                let twin = self.discovery.start_replica().await?;
                self.config["discovery"] = twin.addr.to_string().into();
                self.process.reload(&self.config).await?;
                let old = std::mem::replace(&mut self.discovery, twin);
                // The old one closes what is open only after a while, as the platform's does.
                tokio::spawn(async move {
                    sleep(Duration::from_millis(1500)).await;
                    drop(old);
                });
            }
            Act::Down { dest, shut, duration_ms } => {
                self.dests[*dest].go_down(*shut, *duration_ms);
                self.later.push((Instant::now() + ms(*duration_ms), Later::Back(*dest)));
            }
            Act::Replace { dest, endpoint, drain_ms } => {
                if let Some(old) = &self.endpoints[*dest][*endpoint] {
                    self.discovery.set_state(&old.uid, "terminating");
                    let gone = Later::Gone { dest: *dest, endpoint: *endpoint };
                    self.later.push((Instant::now() + ms(*drain_ms), gone));
                }
            }
            Act::Stale(duration_ms) => {
                self.discovery.set_silent(true);
                self.later.push((Instant::now() + ms(*duration_ms), Later::Talk));
            }
            Act::DropNotices(nth) => self.discovery.drop_notices(*nth),
        }
        Ok(())
    }

    /// The platform tells a new process the list as this forwarder last had it.
    async fn restart(&mut self, without: &str) -> io::Result<()> {
        let (rev, lines) = (self.discovery.rev(), self.discovery.lines());
        let known: Vec<EndpointLine> = lines.into_iter().filter(|l| l.state != "terminated").collect();
        self.config["known"] = serde_json::json!({"rev": rev, "all": true, "targets": known});
        self.process.restart(&self.config, without).await
    }

    async fn finish(&mut self, later: Later) -> io::Result<()> {
        match later {
            Later::Back(dest) => self.dests[dest].recover(2000.0),
            Later::Talk => self.discovery.set_silent(false),
            Later::Gone { dest, endpoint } => {
                let Some(old) = self.endpoints[dest][endpoint].take() else { return Ok(()) };
                let (uid, addr) = (old.uid.clone(), old.addr);
                self.discovery.set_state(&uid, "terminated");
                drop(old);
                // Its connections end with it; then another stands at its address.
                sleep(Duration::from_millis(20)).await;
                let line = self.discovery.lines().into_iter().find(|l| l.uid == uid);
                let new = Endpoint::start(&format!("{uid}x"), addr, &self.dests[dest]).await;
                // The port may have gone to somebody else meanwhile: then nobody stands there.
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

/// Clients, each a task of its own.
async fn traffic(script: Script, mut rng: Rng, to: SocketAddr, dests: Vec<Destination>, ledger: Ledger) {
    let start = Instant::now();
    let mut clients = JoinSet::new();
    let mut at = 0.0;
    for n in 0u64.. {
        // At random, now and then in a clump.
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
        // The first destination gets the most.
        let place = if rng.random_bool(0.4) { 0 } else { rng.random_range(0..dests.len()) };
        let message = Message {
            id: format!("{:x}-{n}", script.seed),
            class: class.to_owned(),
            dest: script.dests[place].number,
            owner: "acme".to_owned(),
            deadline_ms,
            body_bytes: rng.random_range(0..600),
        };
        let [leaves, half, twice] = script.client_faults;
        let patience = ClientOptions {
            timeout_ms: if rng.random_bool(leaves) { rng.random_range(1..=10) } else { 400 },
            abort_midway: rng.random_bool(half),
        };
        let twice = rng.random_bool(twice);
        let (dest, ledger) = (dests[place].clone(), ledger.clone());
        clients.spawn(async move { client(to, message, patience, twice, &dest, &ledger).await });
    }
    while clients.join_next().await.is_some() {}
}

async fn client(
    to: SocketAddr,
    mut message: Message,
    patience: ClientOptions,
    twice: bool,
    dest: &Destination,
    ledger: &Ledger,
) {
    let first = ledger.now();
    let up = first + message.deadline_ms as f64;
    dest.set_deadline(&message.id, up);
    let (heard, wait) = if twice {
        let whole = ClientOptions { abort_midway: false, ..patience };
        let (a, _) = tokio::join!(submit(to, &message, whole, ledger), submit(to, &message, whole, ledger));
        // The same message, handed in once more later.
        sleep(Duration::from_millis(150)).await;
        submit(to, &message, whole, ledger).await;
        a
    } else {
        submit(to, &message, patience, ledger).await
    };
    let pause = match heard {
        ClientOutcome::Status(429 | 503) => wait.unwrap_or(200.0),
        ClientOutcome::Left => 50.0,
        ClientOutcome::Broken => 300.0,
        ClientOutcome::Status(_) => return,
    };
    sleep(ms(pause)).await;
    let left = up - ledger.now();
    if left > 100.0 {
        message.id.push_str("-again");
        message.deadline_ms = left as u64;
        dest.set_deadline(&message.id, up);
        submit(to, &message, ClientOptions::default(), ledger).await;
    }
}

/// Flips some bytes of a file.
fn damage(path: &Path, part: f64) -> io::Result<()> {
    let mut text = std::fs::read(path)?;
    let at = (part * text.len() as f64) as usize;
    text.iter_mut().skip(at).take(40).for_each(|byte| *byte ^= 0xa5);
    std::fs::write(path, text)
}

/// Notes how much later than it asked for a task is woken.
pub(crate) async fn watch_clock(most: Arc<AtomicU64>) {
    let step = Duration::from_millis(10);
    let mut worst: f64 = 0.0;
    loop {
        let before = Instant::now();
        sleep(step).await;
        let late = before.elapsed().saturating_sub(step).as_secs_f64() * 1000.0;
        worst = worst.max(late);
        most.store(worst.to_bits(), Ordering::Relaxed);
    }
}

pub(crate) fn ms(span: f64) -> Duration {
    Duration::from_secs_f64(span.max(0.0) / 1000.0)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A folder for a run.
pub(crate) fn folder(name: &str) -> PathBuf {
    static MADE: AtomicU64 = AtomicU64::new(0);
    let made = MADE.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("yarrowhill-rig-{}-{made}-{name}", std::process::id()))
}
