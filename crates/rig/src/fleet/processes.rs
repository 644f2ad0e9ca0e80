//! The processes of a scene: folders, configurations, what each has for itself, and the network between them.

use super::relay::{Back, Relay};
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

/// The classes of all messages.
const CLASSES: [Class; 2] = [
    Class { name: "auth-notice", idempotency: "token", deadline_ms: 2000 },
    Class { name: "settle-order", idempotency: "side_effect", deadline_ms: 2000 },
];
const KEY_LIFE: f64 = 1200.0;
/// The number of the first of two destinations.
pub(super) const FIRST_DEST: u64 = 10;
/// The rule on returning destinations: multiple, for how long (ms), capacity at first, warm after (ms).
pub(super) const FAIL_BACK: [f64; 4] = [2.0, 600.0, 0.17, 2000.0];

/// A process with what it has for itself: partners, discovery, and a ledger of its own messages.
pub(super) struct Seat {
    pub(super) process: Process,
    pub(super) ledger: Ledger,
    pub(super) stage: StandIns,
    config: Value,
    /// Its identity, and what it keeps of duties as a voter, as they were at each start.
    identities: Vec<Vec<u8>>,
    registers: Vec<Option<Vec<u8>>>,
}

/// All processes and the directions between them.
pub(super) struct Fleet {
    pub(super) seats: Vec<Seat>,
    /// Where each listens for the others,
    listens: Vec<SocketAddr>,
    /// and where another under its name does, in scenes that have one.
    twins: Vec<Option<SocketAddr>>,
    roster: Names,
    /// By sender and receiver; none from one to itself.
    pub(super) relays: Vec<Vec<Option<Relay>>>,
    /// The same, as the ways back of others.
    backs: Vec<Vec<Option<Back>>>,
    network: JoinSet<()>,
}

/// Who stands in the documents.
#[derive(Clone)]
struct Names {
    version: u64,
    now: Vec<usize>,
    before: Vec<usize>,
    limit: Option<(f64, Sharing)>,
    duties: usize,
}

/// The terms of the six rules for what one process does.
pub(super) fn terms(lateness_ms: f64) -> RuleParams {
    let usual = RuleParams::default();
    let classes = [(CLASSES[0].name, Effect::Keyed(KEY_LIFE)), (CLASSES[1].name, Effect::Unsafe)];
    let [fall_multiple, fall_for, start_capacity, warm_after] = FAIL_BACK;
    RuleParams {
        classes: classes.into_iter().map(|(name, effect)| (name.to_owned(), effect)).collect(),
        // An answer passes a process and a stand-in, and each may have been as late as the rig's own clocks were.
        clock_slack_ms: usual.clock_slack_ms + 2.0 * lateness_ms,
        overload_multiple: fall_multiple,
        overload_for_ms: fall_for,
        start_capacity,
        warm_up_ms: warm_after,
        ..usual
    }
}

/// The class of a message by chance.
pub(super) fn class(rng: &mut Rng) -> (&'static str, u64) {
    let class = &CLASSES[rng.random_range(0..CLASSES.len())];
    (class.name, class.deadline_ms)
}

impl Fleet {
    /// Starts the processes of a scene in a folder, all at once, and waits until they are ready.
    pub(super) async fn start(scene: &FleetScene, programs: &[&Path], folder: &Path) -> io::Result<Self> {
        let size = scene.size;
        let listens: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect::<Result<_, _>>()?;
        let twofold =
            |n| scene.acts.iter().any(|(_, act)| matches!(act, FleetAct::Twin(one, _) if *one == n));
        let twin = |n| twofold(n).then(free_address).transpose();
        let twins: Vec<Option<SocketAddr>> = (0..size).map(twin).collect::<Result<_, _>>()?;
        let (now, before) = ((0..size).collect(), Vec::new());
        let roster = Names { version: 1, now, before, limit: scene.limit, duties: scene.duties };
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
        let back = |relay: &Option<Relay>| relay.clone().map(|relay| Arc::new(Mutex::new(relay)));
        let backs: Vec<Vec<Option<Back>>> = relays.iter().map(|row| row.iter().map(back).collect()).collect();
        for (from, to, tcp) in listeners {
            if let (Some(there), Some(back)) = (relays[from][to].clone(), backs[to][from].clone()) {
                let to = [listens[to]].into_iter().chain(twins[to]).collect();
                network.spawn(there.run(tcp, to, back));
            }
        }
        let mut starts = JoinSet::new();
        for n in 0..size {
            let folder = folder.join(n.to_string());
            fs::create_dir_all(&folder)?;
            fs::write(folder.join("fleet.kdl"), document(scene.period_ms, &roster, listens[n], &relays[n]))?;
            let program = programs.get(n % programs.len().max(1)).ok_or(io::ErrorKind::InvalidInput)?;
            let (program, seed) = (program.to_path_buf(), scene.seed << 8 | n as u64);
            let (many, descriptors) = (size, scene.max_descriptors);
            starts.spawn(async move {
                (n, Seat::start(n, many, &program, &folder, seed, descriptors, true).await)
            });
        }
        let mut seats: Vec<Option<Seat>> = (0..size).map(|_| None).collect();
        while let Some(started) = starts.join_next().await {
            let (n, seat) = started.map_err(io::Error::other)?;
            seats[n] = Some(seat?);
        }
        let seats = seats.into_iter().flatten().collect();
        Ok(Fleet { seats, listens, twins, roster, relays, backs, network })
    }

    /// Where the boot numbers of each name stand: by process in order, and then of those that will live under the same name.
    pub(super) fn identities(&self) -> Vec<(usize, PathBuf)> {
        let own = self.seats.iter().map(Seat::identity).enumerate();
        let twins = (0..self.seats.len()).filter(|n| self.twins[*n].is_some());
        own.chain(twins.map(|n| (n, self.twin_folder(n).join("state/identity")))).collect()
    }

    fn twin_folder(&self, n: usize) -> PathBuf {
        self.seats[n].process.folder().with_extension("twin")
    }

    /// Starts another process under the name of one, beside it: the others find both at one place.
    pub(super) async fn twin(&self, scene: &FleetScene, n: usize, program: &Path) -> io::Result<Seat> {
        let listen = self.twins[n].ok_or(io::ErrorKind::NotFound)?;
        let folder = self.twin_folder(n);
        fs::create_dir_all(&folder)?;
        fs::write(
            folder.join("fleet.kdl"),
            document(scene.period_ms, &self.roster, listen, &self.relays[n]),
        )?;
        let seed = scene.seed << 8 | 0x80 | n as u64;
        // One of the two is to be silent, and so never ready: it may be this one.
        Seat::start(n, scene.size, program, &folder, seed, None, false).await
    }

    /// Another roster in the documents of all, the dead too: these beside those before, or the last ones alone.
    pub(super) fn rename(&mut self, scene: &FleetScene, next: Option<&[usize]>) -> io::Result<()> {
        let Names { version, now, limit, duties, .. } = self.roster.clone();
        let version = version + 1;
        self.roster = match next {
            Some(next) => Names { version, now: next.to_vec(), before: now, limit, duties },
            None => Names { version, now, before: Vec::new(), limit, duties },
        };
        self.write_documents(scene)
    }

    /// One that is down gets another address, and so another place in the documents of all.
    pub(super) async fn move_away(&mut self, scene: &FleetScene, n: usize) -> io::Result<()> {
        self.listens[n] = free_address()?;
        for other in (0..self.relays.len()).filter(|other| *other != n) {
            let SocketAddr::V4(at) = free_address()? else { return Err(io::ErrorKind::Other.into()) };
            let seed = scene.seed << 24 | (other << 8 | n) as u64;
            let (relay, tcp) = Relay::bind(at.ip().octets(), seed).await?;
            if let (Some(back), Some(own)) = (&self.backs[n][other], &self.backs[other][n]) {
                self.network.spawn(relay.clone().run(tcp, vec![self.listens[n]], back.clone()));
                // What it says comes from there too.
                *own.lock().unwrap_or_else(PoisonError::into_inner) = relay.clone();
            }
            self.relays[other][n] = Some(relay);
        }
        self.write_documents(scene)
    }

    /// The version of the documents.
    pub(super) fn version(&self) -> u64 {
        self.roster.version
    }

    /// Another limit in the documents of all.
    pub(super) fn set_limit(&mut self, scene: &FleetScene, calls: f64) -> io::Result<()> {
        self.roster.limit = self.roster.limit.map(|(_, way)| (calls, way));
        self.write_documents(scene)
    }

    fn write_documents(&self, scene: &FleetScene) -> io::Result<()> {
        for (n, seat) in self.seats.iter().enumerate() {
            let text = document(scene.period_ms, &self.roster, self.listens[n], &self.relays[n]);
            fs::write(seat.process.folder().join("fleet.kdl"), text)?;
        }
        Ok(())
    }

    /// All directions.
    pub(super) fn links(&self) -> impl Iterator<Item = (usize, usize, &Relay)> {
        self.relays.iter().enumerate().flat_map(|(from, row)| {
            row.iter().enumerate().filter_map(move |(to, relay)| Some((from, to, relay.as_ref()?)))
        })
    }
}

/// The fleet's document of one process: the others stand at the relays towards them.
fn document(period: u64, names: &Names, listen: SocketAddr, relays: &[Option<Relay>]) -> String {
    let members = |indent: &str, of: &[usize]| -> String {
        let at = |n: usize| relays[n].as_ref().map_or(listen, |relay| relay.at);
        let line =
            |n: &usize| format!("{indent}member \"n{n}\" address=\"{}\" zone=\"z{}\"\n", at(*n), n % 3);
        of.iter().map(line).collect()
    };
    // Where each goes by its own, that is so of outages too. Builds that know nothing of them are not told.
    let apart = names.limit.is_some_and(|(_, way)| way != Sharing::Rights);
    let returns = if apart { " returns=#false" } else { "" };
    let mut text = format!("fleet version={} period-ms={period} loopback=#true{returns} {{\n", names.version);
    text += &members("    ", &names.now);
    if !names.before.is_empty() {
        text += &format!("    before {{\n{}    }}\n", members("        ", &names.before));
    }
    if let Some((calls, way)) = names.limit.filter(|(_, way)| *way != Sharing::Alone) {
        for dest in [FIRST_DEST, FIRST_DEST + 1] {
            text += &format!("    limit {dest} calls={calls:.3} lend=#{}\n", way != Sharing::Even);
        }
    }
    (0..names.duties).for_each(|n| text += &format!("    duty \"work-{n}\"\n"));
    text + "}\n"
}

impl Seat {
    async fn start(
        n: usize,
        size: usize,
        program: &Path,
        folder: &Path,
        seed: u64,
        descriptors: Option<u64>,
        waits: bool,
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
        let stage = start_stand_ins(&[dest(FIRST_DEST), dest(FIRST_DEST + 1)], &mut rng, &ledger).await?;
        let figures = ConfigParams {
            classes: CLASSES.to_vec(),
            key_ttl_ms: KEY_LIFE,
            goal_time_ms: 400.0,
            slots: 32,
            fail_back: FAIL_BACK,
            seed: rng.random(),
            resources: Resources::default(),
        };
        let mut config = configuration(&figures, free_address()?, stage.discovery.addr, &stage.lines);
        config["name"] = format!("n{n}").into();
        config["fleet"] = "fleet.kdl".into();
        config["settings"]["peersTotal"] = json!(size);
        let (program, folder) = (program.into(), folder.into());
        let setup =
            Setup { program, folder, env: Vec::new(), max_file_bytes: None, max_descriptors: descriptors };
        let process = match waits {
            true => Process::start(setup, &config, &ledger).await?,
            false => Process::spawn(setup, &config, &ledger)?,
        };
        let mut seat = Seat { process, ledger, stage, config, identities: Vec::new(), registers: Vec::new() };
        seat.remember();
        Ok(seat)
    }

    /// The file with its boot number.
    pub(super) fn identity(&self) -> PathBuf {
        self.process.folder().join("state/identity")
    }

    /// Its control socket.
    pub(super) fn control(&self) -> PathBuf {
        self.process.folder().join("state/control")
    }

    fn remember(&mut self) {
        if let Ok(identity) = fs::read(self.identity()) {
            self.identities.push(identity);
            self.registers.push(fs::read(self.registers()).ok());
        }
    }

    /// The file with what it keeps of duties.
    fn registers(&self) -> PathBuf {
        self.process.folder().join("state/duties")
    }

    /// The folder takes no other boot number, or does again: where the new file would be made stands a folder.
    pub(super) fn fill_disk(&self, full: bool) -> io::Result<()> {
        for beside in [self.identity().with_extension("new"), self.registers().with_extension("duties-new")] {
            match full {
                true => fs::create_dir_all(beside)?,
                false => fs::remove_dir_all(beside)?,
            }
        }
        Ok(())
    }

    /// Starts it again. Its journal is kept whatever comes of its identity: what is lost with a journal is another
    /// matter than who it is.
    pub(super) fn start_again(&mut self, with: StateFolder) -> io::Result<()> {
        self.remember();
        match with {
            StateFolder::Kept => {}
            StateFolder::Emptied => {
                for file in [self.identity(), self.registers()] {
                    fs::remove_file(file).or_else(|e| match e.kind() {
                        io::ErrorKind::NotFound => Ok(()),
                        _ => Err(e),
                    })?;
                }
            }
            StateFolder::Old => {
                let n = self.identities.len().saturating_sub(2);
                if let (Some(old), Some(registers)) = (self.identities.get(n), self.registers.get(n)) {
                    fs::write(self.identity(), old)?;
                    match registers {
                        Some(registers) => fs::write(self.registers(), registers)?,
                        None => drop(fs::remove_file(self.registers())),
                    }
                }
            }
        }
        let (rev, lines) = (self.stage.discovery.rev(), self.stage.discovery.lines());
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

    /// Endpoints that its messages go to; kept alive with it.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.stage.endpoints.iter().flatten().flatten()
    }
}
