//! The task with the sockets: UDP for packets, TCP for whole views.

use crate::clock;
use crate::codec::{
    CodecError, MAX_FULL_STATE_BYTES, MAX_PACKET_BYTES, MAX_PART_REPORTS, MAX_REPORTS, SnapshotPart,
    WaitUpdate, decode, decode_duty, decode_outages, decode_rights, decode_snapshot_part, decode_waits,
    encode, encode_duty, encode_outages, encode_rights, encode_snapshot_part, encode_waits, is_duty,
    is_outages, is_rights, is_snapshot_part, is_waits,
};
use crate::document::Document;
use crate::identity::{IdentityError, IdentityFile};
use crate::registers::RegisterFile;
use crate::status::{DutiesStatus, KnowledgeStatus, LimitsStatus, Status};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{sleep, timeout};
use yarrowhill_duties::{
    self as duties, Candidate, Duties, HeldDuty, OperatorRequest, OperatorRequestError, Reason, StepError,
    VoterSet,
};
use yarrowhill_knowledge::{
    Admission, CallOutcome, InitialSync, OutageDetector, OutageReport, SlowStart, WaitReport, WaitTable,
};
use yarrowhill_membership::{
    Event, FullState, Health, InstanceId, MemberId, Membership, MembershipState, Micros, Output, Packet,
    Permits, Roster, RosterError,
};
use yarrowhill_rights::{Envelope, LeaseDurations, SharedLimits, retry_limit_id};

/// Clock rates are held to be right within this part of 1.
const DRIFT: f64 = 0.01;
/// Packets that are taken in before other tasks of the process have their turn.
const PACKETS_A_TURN: usize = 64;
/// An exchange of whole views takes no longer.
const EXCHANGE: Duration = Duration::from_secs(2);
/// Exchanges at once that others began; further ones are closed unread.
const EXCHANGES_MOST: usize = 4;
/// Packets in which one that has just started is told what holds.
const TOLD_PACKETS: usize = 8;
/// Where outages are nobody's matter.
const NO_RAMP: SlowStart = SlowStart { probe_interval: 1, warm_up: 1, initial_fraction: 1.0 };
/// Terms whose end is remembered.
const HISTORY_MOST: usize = 64;
/// After a failure of a socket or of the disk.
const PAUSE: Duration = Duration::from_millis(200);

/// Why a forwarder can't be a member.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The folder does not take the boot number.
    #[error(transparent)]
    Identity(#[from] IdentityError),
    /// A socket can't be had.
    #[error("{0}: {1}")]
    Socket(SocketAddr, #[source] io::Error),
    /// The roster is not for this one, or does not follow.
    #[error(transparent)]
    Roster(#[from] RosterError),
    /// No chance is to be had.
    #[error("no random number: {0}")]
    Random(String),
}

/// What a member is started with.
#[derive(Debug)]
pub struct Options<'a> {
    /// Its name.
    pub name: &'a str,
    /// The fleet's document.
    pub document: Document,
    /// The folder that outlasts the process.
    pub state_folder: &'a Path,
    /// For random numbers.
    pub seed: u64,
    /// How destinations come back after an outage. None: nothing is told of outages, and each goes by its own.
    pub slow_start: Option<SlowStart>,
}

struct Shared {
    core: Mutex<Membership>,
    sharing: Mutex<SharedLimits>,
    knowledge: Mutex<WaitTable>,
    outages: Mutex<OutageDetector>,
    duties: Mutex<Duties>,
    /// How terms went lately, by duty.
    history: Mutex<VecDeque<(u64, String)>>,
    /// Whether outages are told on, and kept.
    judges: bool,
    /// It asks the others for what holds, until somebody has told it all.
    newcomer: Mutex<InitialSync>,
    addresses: Mutex<BTreeMap<MemberId, SocketAddr>>,
    /// Something is to be sent, or a timer has changed.
    stir: Notify,
    senders: watch::Sender<usize>,
    spoilt: AtomicU64,
    strangers: AtomicU64,
}

/// What the rest of the process asks a member.
#[derive(Clone)]
pub struct Handle(Arc<Shared>);

impl Handle {
    fn core(&self) -> MutexGuard<'_, Membership> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this process may do now, by the clock as it is read here: to be asked at the last step before a byte
    /// leaves. A process that was stopped since it last listened gets the answer of one that knows nothing.
    pub fn permits(&self) -> Permits {
        self.core().permits(clock::now())
    }

    fn sharing(&self) -> MutexGuard<'_, SharedLimits> {
        self.0.sharing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn knowledge(&self) -> MutexGuard<'_, WaitTable> {
        self.0.knowledge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn newcomer(&self) -> MutexGuard<'_, InitialSync> {
        self.0.newcomer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn outages(&self) -> MutexGuard<'_, OutageDetector> {
        self.0.outages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a call to a destination may begin now: by what others were told, by what all found of it, and by the limits
    /// that all share; else after how long it is to ask again. To be asked at the last step before its first byte. `further`:
    /// every message in it has been tried before. `again`: the call was held back before.
    ///
    /// # Errors
    ///
    /// It is to be held back.
    pub fn begin(&self, dest: u64, further: bool, again: bool) -> Result<(), Duration> {
        let now = clock::now();
        let limits = [dest, retry_limit_id(dest)];
        let limits = &limits[..1 + usize::from(further)];
        let wait = self.knowledge().wait(now, dest);
        let leave = match wait {
            Some(wait) => Admission::Defer(wait),
            None if self.0.judges => self.outages().admit(now, dest),
            None => Admission::Fraction(1.0),
        };
        let part = match leave {
            Admission::Fraction(part) => part,
            Admission::Probe => 1.0,
            Admission::Defer(wait) => {
                if !again {
                    self.sharing().record_demand(now, limits);
                }
                return Err(Duration::from_micros(wait));
            }
        };
        let held = self.sharing().try_begin(now, limits, part, again);
        if held.is_err() {
            if leave == Admission::Probe {
                self.outages().cancel_probe(dest);
            }
            if !again {
                self.0.stir.notify_one();
            }
        }
        held.map_err(Duration::from_micros)
    }

    /// A destination told this forwarder to wait.
    pub fn record_wait(&self, dest: u64, span: Duration) {
        let (now, span) = (clock::now(), Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX));
        self.knowledge().record_wait(now, dest, span);
        if self.0.judges {
            self.outages().record_shutdown(now, dest, now.saturating_add(span));
        }
        self.0.stir.notify_one();
    }

    /// A call has ended that began so long ago.
    pub fn record_call_end(&self, dest: u64, took: Duration, how: CallOutcome) {
        let now = clock::now();
        let began = now.saturating_sub(Micros::try_from(took.as_micros()).unwrap_or(Micros::MAX));
        if how == CallOutcome::Served {
            self.knowledge().record_success(now, dest, began);
        }
        if self.0.judges {
            let mut outages = self.outages();
            outages.record_call_end(now, dest, began, how);
            let news = outages.has_updates(now);
            drop(outages);
            // What changes nothing wakes nobody.
            if news {
                self.0.stir.notify_one();
            }
        }
    }

    fn duties(&self) -> MutexGuard<'_, Duties> {
        self.0.duties.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A duty that this process holds at this moment, by the clock as it is read here: to be asked again at the last step
    /// before an act. One under whose name another lives holds nothing.
    pub fn held_duty(&self, name: &str) -> Option<HeldDuty> {
        let now = clock::now();
        if matches!(self.core().state(now), MembershipState::DuplicateName | MembershipState::Leaving) {
            return None;
        }
        self.duties().held(now, duties::Duty::new(name).id())
    }

    /// Whether an act under a held duty may begin now, if it takes so long.
    pub fn may_act(&self, held: &HeldDuty, takes: Duration) -> bool {
        held.may_act(clock::now(), Micros::try_from(takes.as_micros()).unwrap_or(Micros::MAX))
    }

    /// What has been done so far under a held duty.
    ///
    /// # Errors
    ///
    /// It is not held under that token any more, the step before is not decided, or it is too long.
    pub fn record_step(&self, held: &HeldDuty, progress: Vec<u8>) -> Result<u64, StepError> {
        let step = self.duties().record_step(clock::now(), held, progress);
        self.0.stir.notify_one();
        step
    }

    /// An operator wants something of a duty. By name of the member, where one is meant.
    ///
    /// # Errors
    ///
    /// No such duty, nobody holds it, or the member is not there.
    pub fn operator_request(&self, duty: &str, wish: OperatorRequest) -> Result<(), OperatorRequestError> {
        let told = self.duties().operator_request(clock::now(), duty, wish);
        self.0.stir.notify_one();
        told
    }

    /// How duties stand here.
    pub fn duties_status(&self) -> DutiesStatus {
        let (roster, now) = (self.roster(), clock::now());
        let history = self.0.history.lock().unwrap_or_else(PoisonError::into_inner);
        let history: Vec<(u64, String)> = history.iter().cloned().collect();
        DutiesStatus::new(&self.duties(), now, &roster, &history)
    }

    /// What is known of destinations.
    pub fn knowledge_status(&self) -> KnowledgeStatus {
        let (roster, now) = (self.roster(), clock::now());
        let newcomer = self.newcomer().is_pending(now);
        KnowledgeStatus::new(&self.knowledge(), &self.outages(), now, &roster, newcomer)
    }

    /// How the shared limits stand here.
    pub fn limits_status(&self) -> LimitsStatus {
        let roster = self.roster();
        let sharing = self.sharing();
        LimitsStatus::new(&sharing, clock::now(), &roster)
    }

    /// What is told to operators.
    pub fn status(&self) -> Status {
        let dropped = [self.0.spoilt.load(Ordering::Relaxed), self.0.strangers.load(Ordering::Relaxed)];
        Status::new(&self.core(), clock::now(), dropped)
    }

    /// Among how many what all share is divided, now and at each change.
    pub fn senders(&self) -> watch::Receiver<usize> {
        self.0.senders.subscribe()
    }

    /// Another document: another roster that follows, or the same one with other addresses.
    ///
    /// # Errors
    ///
    /// The roster does not follow.
    pub fn apply_document(&self, document: Document) -> Result<(), RosterError> {
        let mut core = self.core();
        if document.roster.reference() != core.roster().reference() {
            core.change_roster(clock::now(), document.roster)?;
        }
        self.sharing().set_limits(clock::now(), core.roster().len(), &document.limits);
        self.duties().set_voters(clock::now(), electorate(core.roster()));
        *self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner) = document.addresses;
        self.0.stir.notify_one();
        Ok(())
    }

    /// The process is to end: the others hear it from itself.
    pub fn leave(&self) {
        self.core().leave(clock::now());
        self.duties().release_all(clock::now(), Reason::Leaving);
        self.0.stir.notify_one();
    }

    /// The roster in force.
    pub fn roster(&self) -> Roster {
        self.core().roster().clone()
    }

    /// One line for each change of a duty, and its place in the history.
    fn duty_event(&self, event: &duties::Event) {
        let name = |id: u64| {
            let duties = self.duties();
            duties
                .duties()
                .find(|(other, _)| *other == id)
                .map_or("?".to_owned(), |(_, duty)| duty.name.clone())
        };
        let (duty, told) = match *event {
            duties::Event::Acquired { duty, token, step } => {
                (duty, format!("taken under token {token} after {step} steps"))
            }
            duties::Event::Expired { duty, token } => {
                (duty, format!("lost under token {token}: its lease ended"))
            }
            duties::Event::Released { duty, token, reason } => {
                (duty, format!("given up under token {token}: {reason:?}"))
            }
            duties::Event::StepDecided { .. } => return,
            duties::Event::VotingStarted => return tracing::info!("duties: this voter's word counts"),
            duties::Event::VotingSuspended => {
                return tracing::warn!(
                    "duties: this voter may have forgotten what it promised, and learns first"
                );
            }
        };
        tracing::info!(duty = name(duty), "duties: {told}");
        let mut history = self.0.history.lock().unwrap_or_else(PoisonError::into_inner);
        if history.len() >= HISTORY_MOST {
            history.pop_front();
        }
        history.push_back((duty, told));
    }

    fn address(&self, id: MemberId) -> Option<SocketAddr> {
        self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner).get(&id).copied()
    }

    fn known(&self, from: SocketAddr) -> Option<MemberId> {
        let addresses = self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.iter().find(|(_, a)| **a == from).map(|(id, _)| *id)
    }

    fn known_host(&self, from: SocketAddr) -> bool {
        let addresses = self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.values().any(|a| a.ip() == from.ip())
    }
}

/// A member with its sockets.
pub struct Node {
    handle: Handle,
    udp: UdpSocket,
    tcp: TcpListener,
    identity: IdentityFile,
    registers: RegisterFile,
    /// Of which view and permits the duties were told who is there.
    there_of: Option<(yarrowhill_membership::ViewId, bool, u64)>,
    /// A boot that the disk has not taken yet, and when it is tried again.
    owed: Option<(u64, Micros)>,
    /// Between two rounds of news, and when the next one is due.
    round: Micros,
    next_news: Micros,
}

impl Node {
    /// Binds the sockets and counts the boot; speaks only once it runs.
    ///
    /// # Errors
    ///
    /// The sockets or the folder can't be had, or the roster lacks this member.
    pub async fn start(options: Options<'_>) -> Result<Self, FleetError> {
        let Options { name, document, state_folder, seed, slow_start } = options;
        let Document { roster, listen, addresses, timing, limits, duties, .. } = document;
        let failed = |e| FleetError::Socket(listen, e);
        let udp = UdpSocket::bind(listen).await.map_err(failed)?;
        let tcp = TcpListener::bind(listen).await.map_err(failed)?;
        let (identity, boot) = IdentityFile::open_next_boot(state_folder, name)?;
        // By the machine's chance, not by the seed: two processes under one name may have been told the same.
        let life = InstanceId(getrandom::u64().map_err(|e| FleetError::Random(e.to_string()))?);
        let senders = watch::Sender::new(roster.len());
        let (now, members) = (clock::now(), roster.len());
        let spans = LeaseDurations::new(timing.period, DRIFT);
        let mut sharing = SharedLimits::new(now, MemberId::from_name(name).0, life.0, members, spans);
        sharing.set_limits(now, members, &limits);
        let (registers, found) = RegisterFile::open(state_folder);
        let me = duties::ProcessId { member: MemberId::from_name(name).0, instance: life.0 };
        let lease = duties::Lease::new(timing.lease, DRIFT);
        let duties = Duties::new(now, me, boot, lease, found, duties, electorate(&roster));
        let core = Membership::new(now, roster, name, boot, life, timing, seed)?;
        let round = spans.round_interval();
        let handle = Handle(Arc::new(Shared {
            core: Mutex::new(core),
            sharing: Mutex::new(sharing),
            knowledge: Mutex::new(WaitTable::new(MemberId::from_name(name).0, boot, seed ^ life.0)),
            outages: Mutex::new(OutageDetector::new(
                MemberId::from_name(name).0,
                boot,
                slow_start.unwrap_or(NO_RAMP),
            )),
            judges: slow_start.is_some(),
            duties: Mutex::new(duties),
            history: Mutex::default(),
            newcomer: Mutex::new(InitialSync::new(now + timing.max_settle)),
            addresses: Mutex::new(addresses),
            stir: Notify::new(),
            senders,
            spoilt: AtomicU64::new(0),
            strangers: AtomicU64::new(0),
        }));
        Ok(Node { handle, udp, tcp, identity, registers, there_of: None, owed: None, round, next_news: 0 })
    }

    /// For the rest of the process.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Takes part until the task is dropped.
    pub async fn run(mut self) {
        let room = Arc::new(Semaphore::new(EXCHANGES_MOST));
        // Some room more than a packet may have: longer ones are seen to be longer.
        let mut buffer = [0u8; MAX_PACKET_BYTES + 8];
        loop {
            self.carry_out().await;
            let wake = self.handle.core().next_wake().min(self.handle.sharing().next_wake());
            let wake = wake.min(if self.has_news() { self.next_news } else { Micros::MAX });
            let wake = wake.min(self.handle.duties().next_wake());
            let wake = wake.min(self.owed.map_or(Micros::MAX, |(_, at)| at));
            let pause = Duration::from_micros(wake.saturating_sub(clock::now()));
            tokio::select! {
                got = self.udp.recv_from(&mut buffer) => {
                    match got {
                        Ok((length, from)) => self.datagram(&buffer[..length], from).await,
                        // A peer that is gone shows here as refused; anything worse must not spin.
                        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                        Err(e) => {
                            tracing::warn!("fleet: {e}");
                            sleep(PAUSE).await;
                        }
                    }
                    for _ in 1..PACKETS_A_TURN {
                        let Ok((length, from)) = self.udp.try_recv_from(&mut buffer) else { break };
                        self.datagram(&buffer[..length], from).await;
                    }
                    if self.handle.core().next_wake() <= clock::now() {
                        self.handle.core().tick(clock::now());
                    }
                }
                got = self.tcp.accept() => match got {
                    Ok((stream, from)) => self.exchange_asked(stream, from, &room),
                    Err(e) => {
                        tracing::warn!("fleet: {e}");
                        sleep(PAUSE).await;
                    }
                },
                () = self.handle.0.stir.notified() => {}
                () = sleep(pause) => self.handle.core().tick(clock::now()),
            }
        }
    }

    async fn datagram(&self, bytes: &[u8], from: SocketAddr) {
        // Before anything is read: a stranger costs one look.
        let Some(id) = self.handle.known(from) else {
            self.handle.0.strangers.fetch_add(1, Ordering::Relaxed);
            return;
        };
        if is_waits(bytes) {
            return match decode_waits(bytes) {
                Ok(news) => self.news(id, &news).await,
                Err(_) => drop(self.handle.0.spoilt.fetch_add(1, Ordering::Relaxed)),
            };
        }
        if is_outages(bytes) {
            return match decode_outages(bytes) {
                Ok(findings) => self.heard_findings(&findings),
                Err(_) => drop(self.handle.0.spoilt.fetch_add(1, Ordering::Relaxed)),
            };
        }
        if is_duty(bytes) {
            return match decode_duty(bytes) {
                Ok(letter) => self.duty(id, letter),
                Err(_) => drop(self.handle.0.spoilt.fetch_add(1, Ordering::Relaxed)),
            };
        }
        if is_snapshot_part(bytes) {
            return match decode_snapshot_part(bytes) {
                Ok(told) => self.told(id, &told),
                Err(_) => drop(self.handle.0.spoilt.fetch_add(1, Ordering::Relaxed)),
            };
        }
        if is_rights(bytes) {
            return match decode_rights(bytes) {
                Ok(letter) => {
                    let answer = self.handle.sharing().handle(clock::now(), id.0, &letter);
                    if let Some(answer) = answer {
                        self.post(id, &answer).await;
                    }
                }
                Err(_) => drop(self.handle.0.spoilt.fetch_add(1, Ordering::Relaxed)),
            };
        }
        match decode::<Packet>(bytes, MAX_PACKET_BYTES) {
            Ok(packet) if packet.header.from == id => self.handle.core().handle(clock::now(), packet),
            Ok(_) => drop(self.handle.0.strangers.fetch_add(1, Ordering::Relaxed)),
            Err(_) => drop(self.handle.0.spoilt.fetch_add(1, Ordering::Relaxed)),
        }
    }

    /// Does what the core wants done.
    async fn carry_out(&mut self) {
        if let Some((boot, at)) = self.owed
            && clock::now() >= at
        {
            self.persist(boot);
        }
        loop {
            let outputs = self.handle.core().take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                match output {
                    Output::Send { to, packet } => self.send(to, &packet).await,
                    Output::Sync { with } => self.exchange(with),
                    Output::Persist { boot } => self.persist(boot),
                    Output::Event(event) => tell(&self.handle, &event),
                }
            }
        }
        let now = clock::now();
        if now >= self.handle.sharing().next_wake() {
            // One that is alone in its view, or has none yet, keeps for itself.
            let view: Vec<u64> = self.handle.core().view().members.keys().map(|id| id.0).collect();
            let letters = self.handle.sharing().tick(now, &view);
            for (to, letter) in letters {
                self.post(MemberId(to), &letter).await;
            }
        }
        self.do_duties().await;
        self.tell_news().await;
        let senders = self.handle.core().senders(clock::now());
        self.handle.0.senders.send_if_modified(|s| std::mem::replace(s, senders) != senders);
    }

    /// A letter about duties has come. What it wants is done when the loop turns.
    fn duty(&self, from: MemberId, letter: duties::Envelope) {
        let now = clock::now();
        if matches!(letter.payload, duties::Payload::RecoveryRequest { .. }) {
            // What is remembered of whoever starts.
            let known = self.handle.core().member(from).map(|e| e.record);
            if let Some(record) = known {
                self.handle.duties().record_instance(from.0, record.incarnation.boot, record.instance.0);
            }
        }
        self.handle.duties().handle(now, from.0, letter);
    }

    /// Tells the duties who is there, and does what they want done: what is to be on disk first, and if it can't be, nothing that
    /// stands behind it.
    async fn do_duties(&mut self) {
        if self.handle.duties().is_empty() {
            return;
        }
        self.tell_duties();
        let now = clock::now();
        if now >= self.handle.duties().next_wake() {
            self.handle.duties().tick(now);
        }
        loop {
            let outputs = self.handle.duties().take_outputs();
            if outputs.is_empty() {
                return;
            }
            let mut own = Vec::new();
            for output in outputs {
                match output {
                    duties::Output::Persist(stored) => {
                        if let Err(e) = self.registers.write(&stored) {
                            tracing::error!("duties: not on disk, and so not promised: {e}");
                            break;
                        }
                        self.handle.duties().persisted();
                    }
                    duties::Output::Erase => {
                        if let Err(e) = self.registers.delete() {
                            tracing::error!(
                                "duties: {e}; a further start would believe what this one doubts"
                            );
                        }
                    }
                    duties::Output::Send { to, envelope: letter }
                        if MemberId(to) == self.handle.core().local_id() =>
                    {
                        own.push(letter)
                    }
                    duties::Output::Send { to, envelope: letter } => {
                        self.send_duty(MemberId(to), &letter).await
                    }
                    duties::Output::Event(event) => self.handle.duty_event(&event),
                }
            }
            for letter in own {
                let me = letter.from.member;
                self.handle.duties().handle(clock::now(), me, letter);
            }
        }
    }

    fn tell_duties(&mut self) {
        let core = self.handle.core();
        let now = clock::now();
        let may = core.permits(now).hold_duty;
        let view = core.view();
        let of = (view.id, may, core.change_count());
        if self.there_of == Some(of) {
            return;
        }
        self.there_of = Some(of);
        let roster = core.roster();
        let zones: BTreeMap<MemberId, String> =
            roster.members().map(|(id, s)| (id, s.zone.clone())).collect();
        let candidate = |id: &MemberId| Candidate {
            member: id.0,
            zone: zones.get(id).cloned().unwrap_or_default(),
            degraded: core.member(*id).is_some_and(|e| e.record.health == Health::Suspect),
        };
        let there = view.members.keys().map(candidate).collect();
        self.handle.duties().set_candidates(now, there, may);
    }

    async fn send_duty(&self, to: MemberId, letter: &duties::Envelope) {
        self.put(to, encode_duty(letter)).await;
    }

    async fn send(&self, to: MemberId, packet: &Packet) {
        self.put(to, encode(packet, MAX_PACKET_BYTES)).await;
    }

    /// Sends bytes to a member. What the network does not take is lost, as on the way.
    async fn put(&self, to: MemberId, bytes: Result<Vec<u8>, CodecError>) {
        let Some(at) = self.handle.address(to) else { return };
        match bytes {
            Ok(bytes) => drop(self.udp.send_to(&bytes, at).await),
            Err(e) => tracing::error!("fleet: not sent: {e}"),
        }
    }

    fn is_newcomer(&self) -> bool {
        self.handle.newcomer().is_pending(clock::now())
    }

    fn has_news(&self) -> bool {
        let now = clock::now();
        self.is_newcomer()
            || self.handle.knowledge().has_updates(now)
            || self.handle.outages().has_updates(now)
    }

    /// Passes on what is fresh, to a few of those that are there; one that has just started asks them for all.
    async fn tell_news(&mut self) {
        let now = clock::now();
        if now < self.next_news || !self.has_news() {
            return;
        }
        self.next_news = now + self.round;
        let (there, boot) = {
            let core = self.handle.core();
            let there: Vec<u64> =
                core.members().filter(|(_, e)| e.record.health.is_present()).map(|(id, _)| id.0).collect();
            (there, core.local_record().incarnation.boot)
        };
        if there.is_empty() {
            return;
        }
        let (peers, words) = {
            let mut knowledge = self.handle.knowledge();
            knowledge.set_boot(boot);
            (knowledge.sample_peers(&there), knowledge.updates_to_send(now, MAX_REPORTS, there.len() + 1))
        };
        let findings = {
            let mut outages = self.handle.outages();
            outages.set_membership(boot, there.len() + 1);
            outages.updates_to_send(now, MAX_REPORTS, there.len() + 1)
        };
        let news = WaitUpdate { request_snapshot: self.is_newcomer(), reports: words };
        for to in peers {
            if news.request_snapshot || !news.reports.is_empty() {
                self.send_news(MemberId(to), &news).await;
            }
            if !findings.is_empty() {
                self.send_findings(MemberId(to), &findings).await;
            }
        }
    }

    async fn send_findings(&self, to: MemberId, findings: &[OutageReport]) {
        self.put(to, encode_outages(findings)).await;
    }

    async fn send_news(&self, to: MemberId, news: &WaitUpdate) {
        self.put(to, encode_waits(news)).await;
    }

    async fn news(&self, from: MemberId, news: &WaitUpdate) {
        self.heard_waits(&news.reports);
        if news.request_snapshot {
            self.tell_all(from).await;
        }
    }

    fn heard_waits(&self, words: &[WaitReport]) {
        let now = clock::now();
        let mut knowledge = self.handle.knowledge();
        for word in words.iter().take(MAX_REPORTS) {
            knowledge.receive(now, word);
            if let Some(wait) = knowledge.wait(now, word.dest).filter(|_| self.handle.0.judges) {
                self.handle.outages().record_shutdown(now, word.dest, now.saturating_add(wait));
            }
        }
    }

    fn heard_findings(&self, findings: &[OutageReport]) {
        if self.handle.0.judges {
            let now = clock::now();
            let mut outages = self.handle.outages();
            findings.iter().take(MAX_REPORTS).for_each(|word| outages.receive(now, word));
        }
    }

    /// Everything that holds, for one that has just started.
    async fn tell_all(&self, to: MemberId) {
        let (now, most) = (clock::now(), MAX_PART_REPORTS * TOLD_PACKETS);
        let waits = self.handle.knowledge().snapshot(now, most);
        let findings = self.handle.outages().snapshot(now, most);
        for part in SnapshotPart::split(&waits, &findings) {
            self.put(to, encode_snapshot_part(&part)).await;
        }
        // A build that knows no parts takes any news for its answer.
        self.send_news(
            to,
            &WaitUpdate { request_snapshot: false, reports: waits.into_iter().take(MAX_REPORTS).collect() },
        )
        .await;
    }

    fn told(&self, from: MemberId, told: &SnapshotPart) {
        self.heard_waits(&told.waits);
        self.heard_findings(&told.outages);
        self.handle.newcomer().record_part(from.0, told.part, told.parts);
    }

    async fn post(&self, to: MemberId, letter: &Envelope) {
        self.put(to, encode_rights(letter)).await;
    }

    fn persist(&mut self, boot: u64) {
        // Others know of a later life than its folder: what that promised as a voter stands nowhere here.
        self.handle.duties().suspend_voting(clock::now());
        if let Err(e) = self.registers.delete() {
            tracing::error!("duties: {e}; a further start would believe what this one doubts");
        }
        match self.identity.write(boot) {
            Ok(()) => {
                self.owed = None;
                tracing::info!(boot, "fleet: an earlier word of this name was newer; counted up");
                self.handle.core().boot_persisted(clock::now(), boot);
            }
            Err(e) => {
                if self.owed.is_none() {
                    tracing::error!("fleet: silent until the boot number is on disk: {e}");
                }
                self.owed = Some((boot, clock::now() + PAUSE.as_micros() as Micros));
            }
        }
    }

    /// Exchanges whole views with a member, beside everything else.
    fn exchange(&self, with: MemberId) {
        let Some(at) = self.handle.address(with) else { return };
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let exchange = async {
                let mut stream = TcpStream::connect(at).await?;
                let own = handle.core().full_state();
                write_whole(&mut stream, &own).await?;
                read_whole(&mut stream).await
            };
            if let Ok(Ok(whole)) = timeout(EXCHANGE, exchange).await
                && whole.header.from == with
            {
                handle.core().merge_full_state(clock::now(), whole);
                handle.0.stir.notify_one();
            }
        });
    }

    fn exchange_asked(&self, mut stream: TcpStream, from: SocketAddr, room: &Arc<Semaphore>) {
        let place = room.clone().try_acquire_owned();
        let (true, Ok(place)) = (self.handle.known_host(from), place) else {
            self.handle.0.strangers.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let _place = place;
            let exchange = async {
                let whole = read_whole(&mut stream).await?;
                let own = {
                    let mut core = handle.core();
                    if !core.merge_full_state(clock::now(), whole) {
                        return Err(io::ErrorKind::PermissionDenied.into());
                    }
                    core.full_state()
                };
                handle.0.stir.notify_one();
                write_whole(&mut stream, &own).await
            };
            let _ = timeout(EXCHANGE, exchange).await;
        });
    }
}

async fn write_whole(stream: &mut TcpStream, whole: &FullState) -> io::Result<()> {
    let bytes = encode(whole, MAX_FULL_STATE_BYTES).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&[&length.to_be_bytes()[..], &bytes].concat()).await
}

async fn read_whole(stream: &mut TcpStream) -> io::Result<FullState> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FULL_STATE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    // Grows as bytes come: a length alone takes no room.
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    decode(&bytes, MAX_FULL_STATE_BYTES).map_err(io::Error::other)
}

/// Whose answers count of duties: the voters of the roster.
fn electorate(roster: &Roster) -> VoterSet {
    let ids = |ids: Vec<MemberId>| ids.into_iter().map(|id| id.0).collect();
    let (now, before) = roster.electorate();
    VoterSet { current: ids(now), previous: before.map(ids) }
}

/// One line for each stable change.
fn tell(handle: &Handle, event: &Event) {
    let roster = handle.roster();
    let name = |id: &MemberId| roster.name_of(*id).unwrap_or("?").to_owned();
    match event {
        Event::ViewChanged(view) => {
            let there: Vec<String> = view.members.keys().map(name).collect();
            let missing: Vec<String> = roster
                .members()
                .map(|(id, _)| id)
                .filter(|id| !view.members.contains_key(id))
                .map(|id| name(&id))
                .collect();
            tracing::info!(view = %view.id, there = there.len(), ?missing, "fleet: view");
        }
        Event::StateChanged { from, to } => tracing::info!(%from, %to, "fleet: standing"),
        Event::RosterMismatch { member: with, roster: theirs } => {
            let mine = roster.reference();
            tracing::warn!(
                with = name(with),
                theirs = format!("{}:{:016x}", theirs.version, theirs.hash),
                mine = format!("{}:{:016x}", mine.version, mine.hash),
                "fleet: another roster"
            );
        }
        Event::Resumed(late) => tracing::warn!(ms = late / 1000, "fleet: was stopped"),
    }
}
