//! The processes of a scene: folders, configurations, what each has for itself, and the network between them.

use super::relay::Relay;
use super::scene::{FleetScene, Folder};
use crate::play::{Stage, stage};
use crate::script::Dest;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::task::JoinSet;
use yarrowhill_checker::{Effect, Event, Life, Terms};
use yarrowhill_standins::{
    Class, Endpoint, Faults, Figures, Ledger, Process, Rng, Room, Setup, configuration, free_address,
    is_ready,
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
const FAIL_BACK: [f64; 4] = [2.0, 600.0, 0.17, 2000.0];

/// A process with what it has for itself: partners, discovery, and a ledger of its own messages.
pub(super) struct Seat {
    pub(super) process: Process,
    pub(super) ledger: Ledger,
    pub(super) stage: Stage,
    config: Value,
    /// Its identity as it was at each start.
    identities: Vec<Vec<u8>>,
}

/// All processes and the directions between them.
pub(super) struct Fleet {
    pub(super) seats: Vec<Seat>,
    /// By sender and receiver; none from one to itself.
    pub(super) relays: Vec<Vec<Option<Relay>>>,
    _network: JoinSet<()>,
}

/// The terms of the six rules for what one process does.
pub(super) fn terms(lateness: f64) -> Terms {
    let usual = Terms::default();
    let classes = [(CLASSES[0].name, Effect::Keyed(KEY_LIFE)), (CLASSES[1].name, Effect::Unsafe)];
    let [fall_multiple, fall_for, start_capacity, warm_after] = FAIL_BACK;
    Terms {
        classes: classes.into_iter().map(|(name, effect)| (name.to_owned(), effect)).collect(),
        slack: usual.slack + lateness,
        fall_multiple,
        fall_for,
        start_capacity,
        warm_after,
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
        for (from, to, tcp) in listeners {
            if let (Some(there), Some(back)) = (relays[from][to].clone(), relays[to][from].clone()) {
                network.spawn(there.run(tcp, vec![listens[to]], back));
            }
        }
        let mut starts = JoinSet::new();
        for n in 0..size {
            let folder = folder.join(n.to_string());
            fs::create_dir_all(&folder)?;
            fs::write(folder.join("fleet.kdl"), document(scene, n, listens[n], &relays[n]))?;
            let program = programs.get(n % programs.len().max(1)).ok_or(io::ErrorKind::InvalidInput)?;
            let (program, seed, many) = (program.to_path_buf(), scene.seed << 8 | n as u64, size);
            starts.spawn(async move { (n, Seat::start(n, many, &program, &folder, seed).await) });
        }
        let mut seats: Vec<Option<Seat>> = (0..size).map(|_| None).collect();
        while let Some(started) = starts.join_next().await {
            let (n, seat) = started.map_err(io::Error::other)?;
            seats[n] = Some(seat?);
        }
        Ok(Fleet { seats: seats.into_iter().flatten().collect(), relays, _network: network })
    }

    /// All directions.
    pub(super) fn links(&self) -> impl Iterator<Item = (usize, usize, &Relay)> {
        self.relays.iter().enumerate().flat_map(|(from, row)| {
            row.iter().enumerate().filter_map(move |(to, relay)| Some((from, to, relay.as_ref()?)))
        })
    }
}

/// The fleet's document of one process: the others stand at the relays towards them.
fn document(scene: &FleetScene, me: usize, listen: SocketAddr, relays: &[Option<Relay>]) -> String {
    let mut text = format!("fleet version=1 period-ms={} loopback=#true {{\n", scene.period);
    for (n, relay) in relays.iter().enumerate() {
        let at = relay.as_ref().map_or(listen, |relay| relay.at);
        text.push_str(&format!("    member \"n{n}\" address=\"{at}\" zone=\"z{}\"\n", n % 3));
    }
    debug_assert!(relays[me].is_none());
    text + "}\n"
}

impl Seat {
    async fn start(n: usize, size: usize, program: &Path, folder: &Path, seed: u64) -> io::Result<Self> {
        let ledger = Ledger::default();
        let mut rng = Rng::seed_from_u64(seed);
        let faults = Faults::default();
        let dest = |number| Dest {
            number,
            batches: false,
            endpoints: 2,
            pace: 15.0,
            limit: 60.0,
            faults: faults.clone(),
        };
        let stage = stage(&[dest(FIRST_DEST), dest(FIRST_DEST + 1)], &mut rng, &ledger).await?;
        let figures = Figures {
            classes: CLASSES.to_vec(),
            key_life_ms: KEY_LIFE,
            aim_ms: 400.0,
            slots: 32,
            fail_back: FAIL_BACK,
            seed: rng.random(),
            room: Room::default(),
        };
        let mut config = configuration(&figures, free_address()?, stage.discovery.addr, &stage.lines);
        config["name"] = format!("n{n}").into();
        config["fleet"] = "fleet.kdl".into();
        config["settings"]["peersTotal"] = json!(size);
        let setup =
            Setup { program: program.into(), folder: folder.into(), env: Vec::new(), file_most: None };
        let process = Process::start(setup, &config, &ledger).await?;
        let mut seat = Seat { process, ledger, stage, config, identities: Vec::new() };
        seat.remember();
        Ok(seat)
    }

    fn identity(&self) -> PathBuf {
        self.process.folder().join("state/identity")
    }

    /// Its control socket.
    pub(super) fn control(&self) -> PathBuf {
        self.process.folder().join("state/control")
    }

    fn remember(&mut self) {
        self.identities.extend(fs::read(self.identity()).ok());
    }

    /// Starts it again. Its journal is kept whatever comes of its identity: what is lost with a journal is another
    /// matter than who it is.
    pub(super) fn start_again(&mut self, with: Folder) -> io::Result<()> {
        self.remember();
        match with {
            Folder::Kept => {}
            Folder::Emptied => fs::remove_file(self.identity()).or_else(|e| match e.kind() {
                io::ErrorKind::NotFound => Ok(()),
                _ => Err(e),
            })?,
            Folder::Old => {
                if let Some(old) = self.identities.iter().rev().nth(1).or(self.identities.first()) {
                    fs::write(self.identity(), old)?;
                }
            }
        }
        let (rev, lines) = (self.stage.discovery.rev(), self.stage.discovery.lines());
        self.config["known"] = json!({"rev": rev, "all": true, "targets": lines});
        self.process.spawn_again(&self.config)?;
        let (addr, ledger) = (self.process.addr, self.ledger.clone());
        tokio::spawn(async move {
            for _ in 0..2000 {
                if is_ready(addr).await {
                    return ledger.write(Event::Forwarder(Life::Ready));
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
