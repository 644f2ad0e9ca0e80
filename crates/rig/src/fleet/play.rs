//! Plays a scene: injects its faults, polls what every process reports over its control socket, and judges
//! the ledger.

use super::processes::{FAIL_BACK, FIRST_DEST, Fleet, Member, draw_class, rule_params};
use super::relay::LinkQuality;
use super::scene::{DUPLICATE_EXPIRY_PERIODS, FleetAct, FleetScene};
use crate::play::{RunOutcome, ms, watch_clock};
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket, UnixStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use yarrowhill_checker::{
    Breach, Claim, ColdStart, DutyClaim, Event, FleetBreach, FleetEntry, FleetEvent, FleetParams, LimitUse,
    OutageReport, Rule, accounts, judge, judge_fleet, judge_limit, judge_outages,
};
use yarrowhill_standins::{ClientOptions, Destination, Ledger, Message, Rng, submit};

/// Pause between two queries of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time (ms) until a process detects an outage by its own calls, which takes three failures in a row.
/// Messages expire after 2 s, and calls that get no answer end with them.
const MAX_DETECTION_MS: f64 = 4000.0;
/// Interval of the calls to a destination that is down, in periods. One call is made in each turn; a turn is
/// the shortest goal time or two periods, and other members observe the call one period later.
const PROBE_PERIODS: f64 = 2.0;
/// Timeout of a query over the control socket; only a paused process takes longer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of a scene.
#[derive(Debug)]
pub struct FleetOutcome {
    /// Breaches of the fleet rules.
    pub breaches: Vec<FleetBreach>,
    /// Breaches of the six rules, with the number of the process whose messages they concern.
    pub rule_breaches: Vec<(usize, Breach)>,
    /// Number of messages taken on, over all processes.
    pub taken_on: usize,
    /// Processes that exited unexpectedly, with their exit status.
    pub crashed: Vec<String>,
    /// Maximum lateness of the rig's own clocks (ms).
    pub lateness_ms: f64,
    /// Calls of all processes against the shared limit, in scenes with one.
    pub limit_use: LimitUse,
    /// Calls to destinations during and after their outages.
    pub outages: Vec<OutageReport>,
    /// Injected faults and reports of the processes.
    pub ledger: Vec<FleetEntry>,
}

impl FleetOutcome {
    /// Returns whether all rules were kept and no process crashed.
    pub fn is_clean(&self) -> bool {
        self.breaches.is_empty() && self.rule_breaches.is_empty() && self.crashed.is_empty()
    }
}

impl From<FleetOutcome> for RunOutcome {
    fn from(fleet: FleetOutcome) -> Self {
        let FleetOutcome { breaches, rule_breaches, crashed, lateness_ms, .. } = fleet;
        RunOutcome {
            breaches: rule_breaches.into_iter().map(|(_, breach)| breach).collect(),
            accounts: std::collections::BTreeMap::new(),
            lateness_ms,
            ledger: Vec::new(),
            fleet_breaches: breaches,
            crashed: crashed.into_iter().next(),
        }
    }
}

/// The ledger that all tasks of a scene share.
#[derive(Clone)]
struct FleetLedger {
    start: Instant,
    entries: Arc<Mutex<Vec<FleetEntry>>>,
}

impl FleetLedger {
    fn write(&self, event: FleetEvent) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is taken under the lock, so that entries are ordered by time.
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        entries.push(FleetEntry { at, event });
    }
}

/// Plays a scene with the real program, with `folder` as its working folder. Several programs are assigned to
/// the processes in turn, which tests that builds of two versions work together.
///
/// # Errors
///
/// The processes or the network cannot be started.
pub async fn play_scene(scene: &FleetScene, programs: &[&Path], folder: &Path) -> io::Result<FleetOutcome> {
    let lateness_ms = Arc::new(AtomicU64::new(0));
    let watch = tokio::spawn(watch_clock(lateness_ms.clone()));
    let mut fleet = Fleet::start(scene, programs, folder).await?;
    let ledger = FleetLedger { start: Instant::now(), entries: Arc::default() };
    (0..scene.size).for_each(|n| ledger.write(FleetEvent::Started(n)));
    scene.limit.into_iter().for_each(|(calls, _)| ledger.write(FleetEvent::Limit { calls_per_sec: calls }));
    let identities: Arc<[(usize, PathBuf)]> = fleet.identities().into();
    let busy = Arc::new(AtomicUsize::new(0));
    let mut observers = JoinSet::new();
    let mut clients = JoinSet::new();
    for (n, member) in fleet.members.iter().enumerate() {
        observers.spawn(observe(
            n,
            scene.size,
            member.control_path(),
            identities.clone(),
            ledger.clone(),
            FleetEvent::Claimed,
            scene.duties > 0,
        ));
        let (to, dests, member_ledger) =
            (member.process.addr, member.stand_ins.dests.clone(), member.ledger.clone());
        // Traffic stops before the end of the scene, so that every message can end.
        let until = ledger.start + ms((scene.end_ms - 3500.0).max(500.0));
        let seed = scene.seed << 8 | n as u64;
        let (scene, busy) = (scene.clone(), busy.clone());
        let rate = move || scene.rate_of(n, busy.load(Ordering::Relaxed));
        clients.spawn(traffic(seed, rate, to, dests, member_ledger, until));
    }
    let mut run = SceneRun {
        scene,
        programs,
        busy,
        fleet: &mut fleet,
        ledger: ledger.clone(),
        pending: Vec::new(),
        down: BTreeSet::new(),
        duplicates: BTreeMap::new(),
        identities,
    };
    let mut acts = scene.acts.iter().peekable();
    let mut crashed = Vec::new();
    let end = ledger.start + ms(scene.end_ms);
    while Instant::now() < end {
        while let Some((_, act)) = acts.next_if(|(at, _)| Instant::now() >= ledger.start + ms(*at)) {
            run.begin(act).await?;
        }
        run.run_due().await?;
        for n in 0..scene.size {
            if !run.down.contains(&n)
                && let Some(status) = run.fleet.members[n].process.try_exit_status()?
            {
                run.down.insert(n);
                crashed.push(format!("process {n} exited unexpectedly: {status}"));
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
    let paused: BTreeSet<usize> = scene.acts.iter().filter_map(|(_, act)| act.paused_process()).collect();
    while clients.join_next().await.is_some() {}
    observers.shutdown().await;
    for (from, to, relay) in fleet.links() {
        let counts = &relay.counts;
        let [packets, lost, connections] =
            [&counts.forwarded, &counts.lost, &counts.connections].map(|c| c.load(Ordering::Relaxed));
        ledger.write(FleetEvent::Traffic { from, to, packets, lost, connections });
    }
    watch.abort();
    let lateness_ms = f64::from_bits(lateness_ms.load(Ordering::Relaxed));
    let (mut rule_breaches, mut taken_on) = (Vec::new(), 0);
    for (n, member) in fleet.members.iter_mut().enumerate() {
        let entries = member.ledger.entries();
        member.process.kill().await?;
        debug_assert!(member.endpoints().count() > 0);
        taken_on += accounts(&entries).values().map(|a| a.taken_on).sum::<usize>();
        let breaches = judge(&rule_params(lateness_ms), &entries);
        // A paused process cannot end its messages in time. It must not repeat any even then.
        let valid = breaches.into_iter().filter(|b| b.rule != Rule::Lost || !paused.contains(&n));
        rule_breaches.extend(valid.map(|b| (n, b)));
    }
    let mut entries = ledger.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let waits = scene.acts.iter().any(|(_, act)| matches!(act, FleetAct::Shut(..) | FleetAct::Down(..)));
    if scene.limit.is_some() || waits {
        for (from, member) in fleet.members.iter().enumerate() {
            // The clock of the member's ledger started with its stand-ins.
            let offset = ledger.start.elapsed().as_secs_f64() * 1000.0 - member.ledger.now();
            let mut dests = BTreeMap::new();
            let calls = member.ledger.entries().into_iter().filter_map(|entry| {
                let event = match entry.event {
                    Event::Began { call, dest, .. } => {
                        dests.insert(call, dest);
                        FleetEvent::Began { from, dest }
                    }
                    Event::Answered { call, wait_ms: Some(wait), .. } => {
                        FleetEvent::WaitReturned { process: from, dest: *dests.get(&call)?, wait_ms: wait }
                    }
                    _ => return None,
                };
                Some(FleetEntry { at: entry.at + offset, event })
            });
            entries.extend(calls);
        }
        entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    }
    let params = fleet_params(scene, lateness_ms);
    let (breaches, limit_use) = (judge_fleet(&params, scene.size, &entries), judge_limit(&params, &entries));
    let outages = judge_outages(&params, scene.size, &entries);
    Ok(FleetOutcome {
        breaches,
        rule_breaches,
        taken_on,
        crashed,
        lateness_ms,
        limit_use,
        outages,
        ledger: entries,
    })
}

/// Plays scenes concurrently, up to `jobs` at once, and calls `report` for each as it ends.
///
/// # Errors
///
/// A scene could not be played.
pub async fn play_scenes(
    scenes: Vec<FleetScene>,
    programs: &[&Path],
    jobs: usize,
    report: &mut impl FnMut(&FleetScene, &FleetOutcome),
) -> io::Result<()> {
    let permits = Arc::new(tokio::sync::Semaphore::new(jobs.max(1)));
    let mut runs = JoinSet::new();
    for scene in scenes {
        let (permits, programs) =
            (permits.clone(), programs.iter().map(|p| p.to_path_buf()).collect::<Vec<_>>());
        runs.spawn(async move {
            let _permit = permits.acquire_owned().await.map_err(io::Error::other)?;
            // A short name, as the path of a Unix socket has 107 bytes at most.
            let mut folder = tempfile::Builder::new().prefix("yw-").tempdir()?;
            folder.disable_cleanup(std::env::var_os("YARROWHILL_RIG_KEEP").is_some());
            let programs: Vec<&Path> = programs.iter().map(PathBuf::as_path).collect();
            let outcome = play_scene(&scene, &programs, folder.path()).await;
            let with_name = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", scene.name));
            Ok::<_, io::Error>((scene.clone(), outcome.map_err(with_name)?))
        });
    }
    while let Some(run) = runs.join_next().await {
        let (scene, outcome) = run.map_err(io::Error::other)??;
        report(&scene, &outcome);
    }
    Ok(())
}

/// Returns the bounds that the protocol guarantees, derived from the period. Detection takes one round of
/// probes, the longest suspicion (four times the shortest, which is three periods times a logarithm of the
/// size) and two lost probes. Agreement takes the settling time and the hold-down of members that flapped.
fn fleet_params(scene: &FleetScene, lateness_ms: f64) -> FleetParams {
    let period = scene.period_ms as f64;
    let known = (scene.size as f64 + 18.0) * period;
    // Two periods, less the polling error at both ends and the lateness of the rig's clocks.
    let settled = (2.0 * period - 2.0 * POLL_INTERVAL.as_secs_f64() * 1000.0 - lateness_ms).max(0.0);
    // Poor local health extends a probe to four periods at most.
    let known_few = (4.0 * scene.size as f64 + 18.0) * period;
    let (agreed, forgotten) = (12.0 * period, DUPLICATE_EXPIRY_PERIODS * period);
    // A wait of at least a quarter of the warm-up time is that of a closed destination. It is reported to
    // three members in each quarter of a period, and a packet may be lost.
    let (long_wait, spread) = (FAIL_BACK[3] / 4.0, 4.0 * period);
    let cold = ColdStart {
        // Three of a member's own calls in a row time out, and then its finding spreads.
        detect_ms: MAX_DETECTION_MS + spread,
        start_capacity: FAIL_BACK[2],
        warm_up_ms: FAIL_BACK[3],
        probe_interval_ms: PROBE_PERIODS * period,
        clock_slack_ms: lateness_ms,
    };
    let slack = 200.0 + 4.0 * lateness_ms;
    // In the last tenth of the scene each duty must be held.
    let duties = (scene.duties, scene.end_ms * 0.9);
    FleetParams {
        detect_ms: known,
        detect_minority_ms: known_few,
        agree_ms: agreed,
        settle_ms: settled,
        duplicate_expiry_ms: forgotten,
        long_wait_ms: long_wait,
        wait_spread_ms: spread,
        duties,
        recovery: cold,
        clock_slack_ms: slack,
    }
}

/// State of a scene that is being played.
struct SceneRun<'a> {
    scene: &'a FleetScene,
    programs: &'a [&'a Path],
    /// Process that receives most of the traffic.
    busy: Arc<AtomicUsize>,
    fleet: &'a mut Fleet,
    ledger: FleetLedger,
    /// Follow-up actions with their times.
    pending: Vec<(Instant, FollowUp)>,
    /// Processes that are stopped.
    down: BTreeSet<usize>,
    /// Running duplicates with the tasks that poll them, by the number of the process whose name they use.
    duplicates: BTreeMap<usize, (Member, JoinSet<()>)>,
    /// Identity files with the numbers of their processes, including those of duplicates.
    identities: Arc<[(usize, PathBuf)]>,
}

/// Action that ends or continues an act at a later time.
enum FollowUp {
    /// Resumes a paused process.
    Resume(usize),
    /// Ends the duplicate of a process.
    EndDuplicate(usize),
    /// A destination of these processes, given by its index, recovers cold.
    RecoverDestination(Vec<usize>, usize),
    /// Cuts or restores all links of a flapping process, every `interval_ms` until `until`.
    ToggleLinks { process: usize, cut: bool, interval_ms: f64, until: Instant },
}

impl SceneRun<'_> {
    async fn begin(&mut self, act: &FleetAct) -> io::Result<()> {
        match act {
            FleetAct::Cut(from, to) => self.cut(*from, *to, true),
            FleetAct::Part(a, b) => {
                self.cut(*a, *b, true);
                self.cut(*b, *a, true);
            }
            FleetAct::Islands(of) => {
                let size = of.len();
                (0..size * size).for_each(|n| self.cut(n / size, n % size, of[n / size] != of[n % size]));
            }
            FleetAct::Weather(quality) => {
                for (_, _, relay) in self.fleet.links() {
                    relay.set_quality(LinkQuality { cut: relay.quality().cut, ..*quality });
                }
                self.ledger.write(FleetEvent::LinkQuality { degraded: *quality != LinkQuality::default() });
            }
            FleetAct::Link(from, to, quality) => {
                if let Some(relay) = &self.fleet.relays[*from][*to] {
                    relay.set_quality(*quality);
                }
                // The failure detector must tolerate one degraded link, so only a cut is recorded.
                self.ledger.write(FleetEvent::Link { from: *from, to: *to, open: !quality.cut });
            }
            FleetAct::Heal => {
                self.fleet.links().for_each(|(_, _, relay)| relay.set_quality(LinkQuality::default()));
                let links: Vec<_> = self.fleet.links().map(|(from, to, _)| (from, to)).collect();
                for (from, to) in links {
                    self.ledger.write(FleetEvent::Link { from, to, open: true });
                }
                self.ledger.write(FleetEvent::LinkQuality { degraded: false });
            }
            FleetAct::Stall(n, duration) if !self.down.contains(n) => {
                self.fleet.members[*n].process.signal("STOP").await?;
                self.ledger.write(FleetEvent::Paused(*n));
                self.pending.push((Instant::now() + ms(*duration), FollowUp::Resume(*n)));
            }
            FleetAct::Kill(n) if self.down.insert(*n) => {
                self.fleet.members[*n].process.kill().await?;
                self.ledger.write(FleetEvent::Exited(*n));
            }
            FleetAct::Terminate(n) if self.down.insert(*n) => {
                let process = &mut self.fleet.members[*n].process;
                // A paused process would not handle SIGTERM.
                process.signal("CONT").await?;
                process.signal("TERM").await?;
                self.ledger.write(FleetEvent::Exited(*n));
                if process.wait_exit(Duration::from_millis(3700)).await.is_err() {
                    process.kill().await?;
                }
            }
            FleetAct::Start(n, folder) if self.down.remove(n) => {
                let stored = std::fs::read(&self.identities[*n].1).ok().and_then(|text| parse_boot(&text));
                stored
                    .into_iter()
                    .for_each(|boot| self.ledger.write(FleetEvent::BootStored { process: *n, boot }));
                self.fleet.members[*n].restart(*folder)?;
                self.ledger.write(FleetEvent::Started(*n));
            }
            FleetAct::Flap(n, interval, duration) => {
                let until = Instant::now() + ms(*duration);
                let toggle = FollowUp::ToggleLinks { process: *n, cut: true, interval_ms: *interval, until };
                self.pending.push((Instant::now(), toggle));
            }
            FleetAct::Flood(n, packets) => {
                let to: Option<SocketAddr> =
                    self.fleet.relays.iter().flat_map(|row| row.get(*n)).flatten().map(|r| r.addr).next();
                let own = self.listen_addr(*n)?;
                let packets = *packets;
                tokio::spawn(async move { flood(own.or(to), packets).await });
            }
            FleetAct::Crowd(n, connections, duration) => {
                let (to, count, duration) =
                    (self.fleet.members[*n].process.addr, *connections, ms(*duration));
                tokio::spawn(async move { hold_connections(to, count, duration).await });
            }
            FleetAct::Shut(n, dest, duration) => {
                let dests = &self.fleet.members[*n].stand_ins.dests;
                dests.get(*dest).into_iter().for_each(|dest| dest.go_down(true, *duration));
                let recover = FollowUp::RecoverDestination(vec![*n], *dest);
                self.pending.push((Instant::now() + ms(*duration), recover));
            }
            FleetAct::Down(dest, duration) => {
                for member in &self.fleet.members {
                    member
                        .stand_ins
                        .dests
                        .get(*dest)
                        .into_iter()
                        .for_each(|dest| dest.go_down(false, *duration));
                }
                self.ledger.write(FleetEvent::Outage { dest: FIRST_DEST + *dest as u64, back: false });
                let all = (0..self.scene.size).collect();
                let recover = FollowUp::RecoverDestination(all, *dest);
                self.pending.push((Instant::now() + ms(*duration), recover));
            }
            FleetAct::Yield(n) | FleetAct::Pin(n, _) => {
                let control = self.fleet.members[*n].control_path();
                let member = if let FleetAct::Pin(_, to) = act { Some(format!("n{to}")) } else { None };
                let what = if member.is_some() { "duty-pin" } else { "duty-yield" };
                for duty in 0..if member.is_some() { 1 } else { self.scene.duties } {
                    let with = serde_json::json!({"duty": format!("work-{duty}"), "member": member});
                    let question = serde_json::json!({"ask": what, "with": with}).to_string() + "\n";
                    let control = control.clone();
                    // The process may be stopped or know no holder; then the request has no effect.
                    tokio::spawn(async move { timeout(QUERY_TIMEOUT, query(&control, &question)).await });
                }
            }
            FleetAct::Busy(n) => self.busy.store(*n, Ordering::Relaxed),
            FleetAct::Disk(n, full) => {
                self.fleet.members[*n].set_disk_full(*full)?;
                self.ledger.write(FleetEvent::Disk { process: *n, full: *full });
            }
            FleetAct::Twin(n, duration) => {
                let program = self.programs[n % self.programs.len().max(1)];
                self.ledger.write(FleetEvent::Duplicate { process: *n, running: true });
                let member = self.fleet.start_duplicate(self.scene, *n, program).await?;
                let mut observers = JoinSet::new();
                let (control, ledger, identities) =
                    (member.control_path(), self.ledger.clone(), self.identities.clone());
                observers.spawn(observe(
                    *n,
                    self.scene.size,
                    control,
                    identities,
                    ledger,
                    FleetEvent::DuplicateClaimed,
                    false,
                ));
                self.duplicates.insert(*n, (member, observers));
                self.pending.push((Instant::now() + ms(*duration), FollowUp::EndDuplicate(*n)));
            }
            FleetAct::Joint(_) | FleetAct::Settle | FleetAct::Limit(_) | FleetAct::Move(_) => {
                match act {
                    FleetAct::Move(n) => self.fleet.change_address(self.scene, *n).await?,
                    FleetAct::Joint(next) => self.fleet.advance_roster(self.scene, Some(next))?,
                    FleetAct::Limit(calls) => self.fleet.set_limit(self.scene, *calls)?,
                    _ => self.fleet.advance_roster(self.scene, None)?,
                }
                self.ledger.write(match act {
                    FleetAct::Limit(calls) => FleetEvent::Limit { calls_per_sec: *calls },
                    _ => FleetEvent::Roster { version: self.fleet.version() },
                });
                for n in (0..self.scene.size).filter(|n| !self.down.contains(n)) {
                    self.fleet.members[n].process.signal("HUP").await?;
                }
            }
            FleetAct::Stall(..) | FleetAct::Kill(_) | FleetAct::Terminate(_) | FleetAct::Start(..) => {}
        }
        Ok(())
    }

    /// Returns the address at which a process listens for the others, from its own document.
    fn listen_addr(&self, n: usize) -> io::Result<Option<SocketAddr>> {
        let text = std::fs::read_to_string(self.fleet.members[n].process.folder().join("fleet.kdl"))?;
        let line = text.lines().find(|line| line.contains(&format!("\"n{n}\"")));
        Ok(line.and_then(|line| line.split('"').nth(3)).and_then(|at| at.parse().ok()))
    }

    fn cut(&self, from: usize, to: usize, cut: bool) {
        let Some(relay) = &self.fleet.relays[from][to] else { return };
        let quality = relay.quality();
        if quality.cut != cut {
            relay.set_quality(LinkQuality { cut, ..quality });
            self.ledger.write(FleetEvent::Link { from, to, open: !cut });
        }
    }

    /// Runs the follow-up actions that are due.
    async fn run_due(&mut self) -> io::Result<()> {
        let now = Instant::now();
        while let Some(n) = self.pending.iter().position(|(at, _)| *at <= now) {
            let (at, follow_up) = self.pending.remove(n);
            match follow_up {
                FollowUp::Resume(n) => {
                    if !self.down.contains(&n) {
                        // Recorded before the process runs, as its reports must be valid from then on.
                        self.ledger.write(FleetEvent::Resumed(n));
                        self.fleet.members[n].process.signal("CONT").await?;
                    }
                }
                FollowUp::RecoverDestination(members, dest) => {
                    for member in &members {
                        let dests = &self.fleet.members[*member].stand_ins.dests;
                        dests.get(dest).into_iter().for_each(|dest| dest.recover(FAIL_BACK[3]));
                    }
                    if members.len() == self.scene.size {
                        self.ledger.write(FleetEvent::Outage { dest: FIRST_DEST + dest as u64, back: true });
                    }
                }
                FollowUp::EndDuplicate(n) => {
                    if let Some((mut member, mut observers)) = self.duplicates.remove(&n) {
                        observers.shutdown().await;
                        member.process.kill().await?;
                        self.ledger.write(FleetEvent::Duplicate { process: n, running: false });
                    }
                }
                FollowUp::ToggleLinks { process, cut, interval_ms, until } => {
                    let cut = cut && at < until;
                    for other in (0..self.fleet.members.len()).filter(|other| *other != process) {
                        self.cut(process, other, cut);
                        self.cut(other, process, cut);
                    }
                    if at < until {
                        let next = FollowUp::ToggleLinks { process, cut: !cut, interval_ms, until };
                        self.pending.push((at + ms(interval_ms), next));
                    }
                }
            }
        }
        Ok(())
    }
}

impl FleetAct {
    /// Returns the process that the act pauses, if it pauses one.
    fn paused_process(&self) -> Option<usize> {
        match self {
            FleetAct::Stall(n, _) => Some(*n),
            _ => None,
        }
    }
}

/// Sends invalid packets from an address that is not in the roster.
async fn flood(to: Option<SocketAddr>, packets: usize) {
    let Some(to) = to else { return };
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { return };
    for n in 0..packets {
        let _ = socket.send_to(&[b'y'; 900], to).await;
        if n % 64 == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Holds idle connections open.
async fn hold_connections(to: SocketAddr, count: usize, duration: Duration) {
    let until = Instant::now() + duration;
    let mut connections = Vec::new();
    while Instant::now() < until {
        if connections.len() < count {
            connections.extend(
                timeout(Duration::from_millis(50), TcpStream::connect(to)).await.ok().and_then(Result::ok),
            );
        } else {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Polls the claims of a process, and reads the boot numbers in all identity files after each answer.
async fn observe(
    process: usize,
    size: usize,
    control: PathBuf,
    identities: Arc<[(usize, PathBuf)]>,
    ledger: FleetLedger,
    to_event: fn(Claim) -> FleetEvent,
    duties: bool,
) {
    let mut stored: Vec<u64> = vec![0; identities.len()];
    loop {
        if let Ok(Some(claim)) = timeout(QUERY_TIMEOUT, query_claim(process, size, &control)).await {
            for (n, (owner, path)) in identities.iter().enumerate() {
                let boot = std::fs::read(path).ok().and_then(|text| parse_boot(&text));
                if let Some(boot) = boot.filter(|boot| *boot > stored[n]) {
                    stored[n] = boot;
                    ledger.write(FleetEvent::BootStored { process: *owner, boot });
                }
            }
            let boot = usize::try_from(claim.boots.get(process).copied().unwrap_or(0)).unwrap_or(0);
            ledger.write(to_event(claim));
            if duties
                && let Ok(Some(claims)) = timeout(QUERY_TIMEOUT, query_duties(process, boot, &control)).await
            {
                claims.into_iter().for_each(|claim| ledger.write(FleetEvent::DutyClaimed(claim)));
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Queries the duties that a process claims to hold.
async fn query_duties(process: usize, boot: usize, control: &Path) -> Option<Vec<DutyClaim>> {
    let answer = query(control, "{\"ask\":\"duties\"}\n").await?;
    let at = answer["at"].as_u64()?;
    let duty_claim = |duty: &Value| {
        Some(DutyClaim {
            process,
            boot,
            duty: duty["name"].as_str()?.to_owned(),
            token: duty["token"].as_u64()?,
            valid_us: [at, duty["held_until"].as_u64()?],
            step: duty["step"].as_u64()?,
        })
    };
    Some(answer["duties"].as_array()?.iter().filter_map(duty_claim).collect())
}

/// Sends a question to a process over its control socket and returns the answer, unless it is an error.
async fn query(control: &Path, question: &str) -> Option<Value> {
    let mut stream = UnixStream::connect(control).await.ok()?;
    stream.write_all(question.as_bytes()).await.ok()?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.ok()?;
    let mut answer: Value = serde_json::from_slice(&text).ok()?;
    answer.get_mut("ok").map(Value::take)
}

/// Parses the boot number in an identity file.
fn parse_boot(text: &[u8]) -> Option<u64> {
    serde_json::from_slice::<Value>(text).ok()?["boot"].as_u64()
}

/// Queries what a process claims about itself and the fleet. This parses the answer independently of the
/// program's own client, so that a fault of that client cannot hide one of the program.
async fn query_claim(process: usize, size: usize, control: &Path) -> Option<Claim> {
    let answer = query(control, "{\"ask\":\"members\"}\n").await?;
    let permits = &answer["permits"];
    let may = |what: &str| permits[what].as_bool().unwrap_or(false);
    let members = answer["members"].as_array()?;
    let member = |n: usize| {
        let name = format!("n{n}");
        members.iter().find(|m| m["name"] == name.as_str())
    };
    let state = |n| member(n).and_then(|m| m["state"].as_str()).map(str::to_lowercase).unwrap_or_default();
    let boot = |n| {
        let boot = member(n).and_then(|m| m["incarnation"].as_str()).and_then(|i| i.split('.').next());
        boot.and_then(|boot| boot.parse().ok()).unwrap_or(0)
    };
    let marked = |key: &str| (0..size).filter(|n| member(*n).is_some_and(|m| m[key] == true)).collect();
    Some(Claim {
        process,
        valid_us: [answer["at"].as_u64()?, answer["until"].as_u64()?],
        membership_state: answer["standing"].as_str()?.to_owned(),
        may_act: may("hold_duty") || may("configure"),
        serves: [may("take_on"), may("send_on"), may("ready")],
        view: answer["view"].as_str()?.to_owned(),
        voters: marked("votes"),
        members: marked("in_view"),
        states: (0..size).map(state).collect(),
        senders: usize::try_from(answer["senders"].as_u64()?).ok()?,
        boots: (0..size).map(boot).collect(),
    })
}

/// Generates the traffic of one process: submits messages as a Poisson process until `until`.
async fn traffic(
    seed: u64,
    rate: impl Fn() -> f64 + Send + 'static,
    to: SocketAddr,
    dests: Vec<Destination>,
    ledger: Ledger,
    until: Instant,
) {
    let mut rng = Rng::seed_from_u64(seed);
    let mut clients = JoinSet::new();
    let mut at = Instant::now();
    for n in 0u64.. {
        at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / rate().max(0.1));
        if at > until {
            break;
        }
        sleep_until(at).await;
        let (class, deadline_ms) = draw_class(&mut rng);
        let place = rng.random_range(0..dests.len());
        let dest = dests[place].clone();
        let message = Message {
            id: format!("{seed:x}-{n}"),
            class: class.to_owned(),
            dest: FIRST_DEST + place as u64,
            owner: "acme".to_owned(),
            deadline_ms,
            body_bytes: rng.random_range(0..300),
        };
        let ledger = ledger.clone();
        dest.set_deadline(&message.id, ledger.now() + deadline_ms as f64);
        clients.spawn(async move {
            submit(to, &message, ClientOptions::default(), &ledger).await;
        });
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
}
