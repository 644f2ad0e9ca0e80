//! The processes of a scene: their folders, configurations and fleet documents, the stand-ins of each, and
//! the simulated network between them.

use super::relay::{Relay, ReverseRelay};
use super::scene::{FleetAct, FleetScene, Sharing, StateFolder};
use crate::play::{StandIns, start_stand_ins};
use crate::script::Dest;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::task::JoinSet;
use yarrowhill_checker::{Effect, Event, ForwarderState, RuleParams};
use yarrowhill_standins::{
    Class, ConfigParams, Endpoint, Faults, Ledger, Process, Resources, Rng, Setup, configuration,
    free_address, is_ready,
};

/// Message classes.
const CLASSES: [Class; 2] = [
    Class { name: "auth-notice", idempotency: "token", deadline_ms: 2000 },
    Class { name: "settle-order", idempotency: "side_effect", deadline_ms: 2000 },
];
/// Time for which destinations remember an idempotency key.
const KEY_TTL_MS: f64 = 1200.0;
/// Number of the first of the two destinations.
pub(super) const FIRST_DEST: u64 = 10;
/// Limits on calls to a recovered destination: overload multiple and its duration (ms), initial capacity,
/// warm-up (ms).
pub(super) const FAIL_BACK: [f64; 4] = [2.0, 600.0, 0.17, 2000.0];

/// A process of the fleet with its own destinations, discovery, and ledger of its messages.
pub(super) struct Member {
    pub(super) process: Process,
    pub(super) ledger: Ledger,
    pub(super) stand_ins: StandIns,
    config: Value,
    /// Contents of the identity file at each start.
    identities: Vec<Vec<u8>>,
    /// Contents of the file with the duty registers at each start, where it exists.
    registers: Vec<Option<Vec<u8>>>,
}

/// All processes and the relays between them.
pub(super) struct Fleet {
    pub(super) members: Vec<Member>,
    /// Address at which each process listens for the others.
    listen_addrs: Vec<SocketAddr>,
    /// Address at which a duplicate of each process listens, in scenes that have one.
    duplicate_addrs: Vec<Option<SocketAddr>>,
    roster: Roster,
    /// Relays by sender and receiver; none from a process to itself.
    pub(super) relays: Vec<Vec<Option<Relay>>>,
    /// The same relays, as the reverse directions of others.
    reverse_relays: Vec<Vec<Option<ReverseRelay>>>,
    network: JoinSet<()>,
}

/// Contents of the fleet documents.
#[derive(Clone)]
struct Roster {
    version: u64,
    /// Numbers of the present members.
    members: Vec<usize>,
    /// Numbers of the previous members, during a joint step; otherwise empty.
    previous: Vec<usize>,
    limit: Option<(f64, Sharing)>,
    duties: usize,
}

/// Returns the parameters of the six rules for the messages of one process.
pub(super) fn rule_params(lateness_ms: f64) -> RuleParams {
    let defaults = RuleParams::default();
    let classes = [(CLASSES[0].name, Effect::Keyed(KEY_TTL_MS)), (CLASSES[1].name, Effect::Unsafe)];
    let [fall_multiple, fall_for, start_capacity, warm_after] = FAIL_BACK;
    RuleParams {
        classes: classes.into_iter().map(|(name, effect)| (name.to_owned(), effect)).collect(),
        // An answer passes a process and a stand-in, and each may have been as late as the rig's own clocks
        // were.
        clock_slack_ms: defaults.clock_slack_ms + 2.0 * lateness_ms,
        overload_multiple: fall_multiple,
        overload_for_ms: fall_for,
        start_capacity,
        warm_up_ms: warm_after,
        ..defaults
    }
}

/// Draws the class of a message, by name, with its deadline (ms).
pub(super) fn draw_class(rng: &mut Rng) -> (&'static str, u64) {
    let class = &CLASSES[rng.random_range(0..CLASSES.len())];
    (class.name, class.deadline_ms)
}

impl Fleet {
    /// Starts all processes of a scene concurrently in `folder`, and waits until they are ready.
    pub(super) async fn start(scene: &FleetScene, programs: &[&Path], folder: &Path) -> io::Result<Self> {
        let size = scene.size;
        let listen_addrs: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect::<Result<_, _>>()?;
        let has_duplicate =
            |n| scene.acts.iter().any(|(_, act)| matches!(act, FleetAct::Twin(process, _) if *process == n));
        let duplicate_addr = |n| has_duplicate(n).then(free_address).transpose();
        let duplicate_addrs: Vec<Option<SocketAddr>> =
            (0..size).map(duplicate_addr).collect::<Result<_, _>>()?;
        let (members, previous) = ((0..size).collect(), Vec::new());
        let roster = Roster { version: 1, members, previous, limit: scene.limit, duties: scene.duties };
        let mut relays: Vec<Vec<Option<Relay>>> = Vec::new();
        let mut listeners = Vec::new();
        for from in 0..size {
            let mut row = Vec::new();
            for to in 0..size {
                row.push(None);
                if from != to {
                    let SocketAddr::V4(at) = free_address()? else { return Err(io::ErrorKind::Other.into()) };
                    let seed = scene.seed << 16 | (from << 8 | to) as u64;
                    let (relay, tcp) = Relay::bind(at.ip().octets(), seed).await?;
                    row[to] = Some(relay);
                    listeners.push((from, to, tcp));
                }
            }
            relays.push(row);
        }
        let mut network = JoinSet::new();
        let shared = |relay: &Option<Relay>| relay.clone().map(|relay| Arc::new(Mutex::new(relay)));
        let reverse_relays: Vec<Vec<Option<ReverseRelay>>> =
            relays.iter().map(|row| row.iter().map(shared).collect()).collect();
        for (from, to, tcp) in listeners {
            if let (Some(relay), Some(reverse)) = (relays[from][to].clone(), reverse_relays[to][from].clone())
            {
                let to = [listen_addrs[to]].into_iter().chain(duplicate_addrs[to]).collect();
                network.spawn(relay.run(tcp, to, reverse));
            }
        }
        let mut starts = JoinSet::new();
        for n in 0..size {
            let folder = folder.join(n.to_string());
            fs::create_dir_all(&folder)?;
            fs::write(
                folder.join("fleet.kdl"),
                document(scene.period_ms, &roster, listen_addrs[n], &relays[n]),
            )?;
            let program = programs.get(n % programs.len().max(1)).ok_or(io::ErrorKind::InvalidInput)?;
            let (program, seed) = (program.to_path_buf(), scene.seed << 8 | n as u64);
            let max_descriptors = scene.max_descriptors;
            starts.spawn(async move {
                (n, Member::start(n, size, &program, &folder, seed, max_descriptors, true).await)
            });
        }
        let mut members: Vec<Option<Member>> = (0..size).map(|_| None).collect();
        while let Some(started) = starts.join_next().await {
            let (n, member) = started.map_err(io::Error::other)?;
            members[n] = Some(member?);
        }
        let members = members.into_iter().flatten().collect();
        Ok(Fleet { members, listen_addrs, duplicate_addrs, roster, relays, reverse_relays, network })
    }

    /// Returns the identity files with the numbers of their processes: first those of all processes in order,
    /// then those of the duplicates.
    pub(super) fn identities(&self) -> Vec<(usize, PathBuf)> {
        let own = self.members.iter().map(Member::identity_path).enumerate();
        let duplicates = (0..self.members.len()).filter(|n| self.duplicate_addrs[*n].is_some());
        own.chain(duplicates.map(|n| (n, self.duplicate_folder(n).join("state/identity")))).collect()
    }

    fn duplicate_folder(&self, n: usize) -> PathBuf {
        self.members[n].process.folder().with_extension("twin")
    }

    /// Starts a duplicate: a second process under the name of process `n`. The other members reach both at
    /// one address.
    pub(super) async fn start_duplicate(
        &self,
        scene: &FleetScene,
        n: usize,
        program: &Path,
    ) -> io::Result<Member> {
        let listen = self.duplicate_addrs[n].ok_or(io::ErrorKind::NotFound)?;
        let folder = self.duplicate_folder(n);
        fs::create_dir_all(&folder)?;
        fs::write(
            folder.join("fleet.kdl"),
            document(scene.period_ms, &self.roster, listen, &self.relays[n]),
        )?;
        let seed = scene.seed << 8 | 0x80 | n as u64;
        // One of the two must stay silent and never becomes ready, which may be this one: so this does not
        // wait.
        Member::start(n, scene.size, program, &folder, seed, None, false).await
    }

    /// Writes the next roster version to all documents, also those of stopped processes: a joint step to the
    /// members `next`, or, with `None`, the present members alone.
    pub(super) fn advance_roster(&mut self, scene: &FleetScene, next: Option<&[usize]>) -> io::Result<()> {
        let Roster { version, members, limit, duties, .. } = self.roster.clone();
        let version = version + 1;
        self.roster = match next {
            Some(next) => Roster { version, members: next.to_vec(), previous: members, limit, duties },
            None => Roster { version, members, previous: Vec::new(), limit, duties },
        };
        self.write_documents(scene)
    }

    /// Gives a stopped process another address, and writes it to all documents.
    pub(super) async fn change_address(&mut self, scene: &FleetScene, n: usize) -> io::Result<()> {
        self.listen_addrs[n] = free_address()?;
        for other in (0..self.relays.len()).filter(|other| *other != n) {
            let SocketAddr::V4(at) = free_address()? else { return Err(io::ErrorKind::Other.into()) };
            let seed = scene.seed << 24 | (other << 8 | n) as u64;
            let (relay, tcp) = Relay::bind(at.ip().octets(), seed).await?;
            if let (Some(reverse), Some(current)) =
                (&self.reverse_relays[n][other], &self.reverse_relays[other][n])
            {
                self.network.spawn(relay.clone().run(tcp, vec![self.listen_addrs[n]], reverse.clone()));
                // Packets from the moved process are sent from the new address too.
                *current.lock().unwrap_or_else(PoisonError::into_inner) = relay.clone();
            }
            self.relays[other][n] = Some(relay);
        }
        self.write_documents(scene)
    }

    /// Returns the roster version of the documents.
    pub(super) fn version(&self) -> u64 {
        self.roster.version
    }

    /// Writes another limit to all documents.
    pub(super) fn set_limit(&mut self, scene: &FleetScene, calls: f64) -> io::Result<()> {
        self.roster.limit = self.roster.limit.map(|(_, sharing)| (calls, sharing));
        self.write_documents(scene)
    }

    fn write_documents(&self, scene: &FleetScene) -> io::Result<()> {
        for (n, member) in self.members.iter().enumerate() {
            let text = document(scene.period_ms, &self.roster, self.listen_addrs[n], &self.relays[n]);
            fs::write(member.process.folder().join("fleet.kdl"), text)?;
        }
        Ok(())
    }

    /// Returns all relays with their senders and receivers.
    pub(super) fn links(&self) -> impl Iterator<Item = (usize, usize, &Relay)> {
        self.relays.iter().enumerate().flat_map(|(from, row)| {
            row.iter().enumerate().filter_map(move |(to, relay)| Some((from, to, relay.as_ref()?)))
        })
    }
}

/// Returns the fleet document of one process, which names the relays as the addresses of the other members.
fn document(period: u64, roster: &Roster, listen: SocketAddr, relays: &[Option<Relay>]) -> String {
    let members = |indent: &str, of: &[usize]| -> String {
        let at = |n: usize| relays[n].as_ref().map_or(listen, |relay| relay.addr);
        let line =
            |n: &usize| format!("{indent}member \"n{n}\" address=\"{}\" zone=\"z{}\"\n", at(*n), n % 3);
        of.iter().map(line).collect()
    };
    // Without shared rights each process also handles outages on its own. In other scenes the property is
    // left out, as older builds do not know it.
    let apart = roster.limit.is_some_and(|(_, sharing)| sharing != Sharing::Rights);
    let returns = if apart { " returns=#false" } else { "" };
    let mut text =
        format!("fleet version={} period-ms={period} loopback=#true{returns} {{\n", roster.version);
    text += &members("    ", &roster.members);
    if !roster.previous.is_empty() {
        text += &format!("    before {{\n{}    }}\n", members("        ", &roster.previous));
    }
    if let Some((calls, sharing)) = roster.limit.filter(|(_, sharing)| *sharing != Sharing::Alone) {
        for dest in [FIRST_DEST, FIRST_DEST + 1] {
            text += &format!("    limit {dest} calls={calls:.3} lend=#{}\n", sharing != Sharing::Even);
        }
    }
    (0..roster.duties).for_each(|n| text += &format!("    duty \"work-{n}\"\n"));
    text + "}\n"
}

impl Member {
    async fn start(
        n: usize,
        size: usize,
        program: &Path,
        folder: &Path,
        seed: u64,
        max_descriptors: Option<u64>,
        wait_ready: bool,
    ) -> io::Result<Self> {
        let ledger = Ledger::default();
        let mut rng = Rng::seed_from_u64(seed);
        let faults = Faults::default();
        let dest = |number| Dest {
            number,
            batches: false,
            endpoints: 2,
            call_ms: 15.0,
            calls_per_sec: 60.0,
            faults: faults.clone(),
        };
        let stand_ins = start_stand_ins(&[dest(FIRST_DEST), dest(FIRST_DEST + 1)], &mut rng, &ledger).await?;
        let params = ConfigParams {
            classes: CLASSES.to_vec(),
            key_ttl_ms: KEY_TTL_MS,
            goal_time_ms: 400.0,
            slots: 32,
            fail_back: FAIL_BACK,
            seed: rng.random(),
            resources: Resources::default(),
        };
        let mut config = configuration(&params, free_address()?, stand_ins.discovery.addr, &stand_ins.lines);
        config["name"] = format!("n{n}").into();
        config["fleet"] = "fleet.kdl".into();
        config["settings"]["peersTotal"] = json!(size);
        let (program, folder) = (program.into(), folder.into());
        let setup = Setup { program, folder, env: Vec::new(), max_file_bytes: None, max_descriptors };
        let process = match wait_ready {
            true => Process::start(setup, &config, &ledger).await?,
            false => Process::spawn(setup, &config, &ledger)?,
        };
        let mut member =
            Member { process, ledger, stand_ins, config, identities: Vec::new(), registers: Vec::new() };
        member.record_state_files();
        Ok(member)
    }

    /// Returns the path of the file with the boot number.
    pub(super) fn identity_path(&self) -> PathBuf {
        self.process.folder().join("state/identity")
    }

    /// Returns the path of the control socket.
    pub(super) fn control_path(&self) -> PathBuf {
        self.process.folder().join("state/control")
    }

    /// Records the state files as they are now, for later starts with an old folder.
    fn record_state_files(&mut self) {
        if let Ok(identity) = fs::read(self.identity_path()) {
            self.identities.push(identity);
            self.registers.push(fs::read(self.registers_path()).ok());
        }
    }

    /// Returns the path of the file with the duty registers that the process keeps as a voter.
    fn registers_path(&self) -> PathBuf {
        self.process.folder().join("state/duties")
    }

    /// Makes writes of the identity and register files fail, or succeed again: a folder in place of the
    /// temporary file makes its creation fail.
    pub(super) fn set_disk_full(&self, full: bool) -> io::Result<()> {
        for obstacle in
            [self.identity_path().with_extension("new"), self.registers_path().with_extension("duties-new")]
        {
            match full {
                true => replace_by_folder(&obstacle)?,
                false => fs::remove_dir_all(obstacle)?,
            }
        }
        Ok(())
    }

    /// Restarts the process with the given state of its folder. The journal is kept in every case: these
    /// scenes test lost identities, not lost messages.
    pub(super) fn restart(&mut self, with: StateFolder) -> io::Result<()> {
        self.record_state_files();
        match with {
            StateFolder::Kept => {}
            StateFolder::Emptied => {
                for file in [self.identity_path(), self.registers_path()] {
                    fs::remove_file(file).or_else(|e| match e.kind() {
                        io::ErrorKind::NotFound => Ok(()),
                        _ => Err(e),
                    })?;
                }
            }
            StateFolder::Old => {
                let n = self.identities.len().saturating_sub(2);
                if let (Some(old), Some(registers)) = (self.identities.get(n), self.registers.get(n)) {
                    fs::write(self.identity_path(), old)?;
                    match registers {
                        Some(registers) => fs::write(self.registers_path(), registers)?,
                        None => drop(fs::remove_file(self.registers_path())),
                    }
                }
            }
        }
        let (rev, lines) = (self.stand_ins.discovery.rev(), self.stand_ins.discovery.lines());
        self.config["known"] = json!({"rev": rev, "all": true, "targets": lines});
        self.process.respawn(&self.config)?;
        let (addr, ledger) = (self.process.addr, self.ledger.clone());
        tokio::spawn(async move {
            for _ in 0..2000 {
                if is_ready(addr).await {
                    return ledger.write(Event::Forwarder(ForwarderState::Ready));
                }
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        });
        Ok(())
    }

    /// Returns the endpoints of its destinations.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.stand_ins.endpoints.iter().flatten().flatten()
    }
}

/// Makes a folder, in place of a file if there is one: the process may be writing it.
fn replace_by_folder(path: &Path) -> io::Result<()> {
    loop {
        match fs::create_dir(path) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
            Err(_) if !path.is_dir() => {}
            _ => return Ok(()),
        }
        match fs::remove_file(path) {
            // The write has been completed meanwhile.
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            removed => removed?,
        }
    }
}

#[cfg(test)]
mod tests;
