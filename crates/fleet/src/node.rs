//! The task that owns the sockets: UDP for packets, TCP for full membership states.

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

/// Assumed bound on the relative error of clock rates.
const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Maximum number of packets handled before other tasks of the process may run.
const MAX_PACKETS_PER_WAKE: usize = 64;
/// Time allowed for an exchange of full states.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent exchanges that other members began; further connections are closed unread.
const MAX_INCOMING_SYNCS: usize = 4;
/// Maximum number of packets of a snapshot for a member that has just started.
const MAX_SNAPSHOT_PACKETS: usize = 8;
/// Placeholder for a member that does not share outages and so never applies a slow start.
const NO_SLOW_START: SlowStart = SlowStart { probe_interval: 1, warm_up: 1, initial_fraction: 1.0 };
/// Maximum number of duty events in the history.
const MAX_HISTORY: usize = 64;
/// Delay after a failure of a socket or of the disk.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A failure to start as a member of the fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The boot number cannot be written to the state folder.
    #[error(transparent)]
    Identity(#[from] IdentityError),
    /// The address cannot be bound.
    #[error("cannot listen on {0}: {1}")]
    Socket(SocketAddr, #[source] io::Error),
    /// The roster does not contain the member, or may not succeed the current one.
    #[error(transparent)]
    Roster(#[from] RosterError),
    /// The operating system provides no random numbers.
    #[error("cannot get a random number: {0}")]
    Random(String),
}

/// Options to start a [`Node`] with.
#[derive(Debug)]
pub struct Options<'a> {
    /// Name of the member.
    pub name: &'a str,
    /// The fleet document.
    pub document: Document,
    /// Folder for state that outlives the process.
    pub state_folder: &'a Path,
    /// Seed of the pseudorandom choices of protocols.
    pub seed: u64,
    /// Slow start of destinations after an outage. `None`: members do not report outages to each other, and
    /// each one relies on its own calls.
    pub slow_start: Option<SlowStart>,
}

struct Shared {
    core: Mutex<Membership>,
    limits: Mutex<SharedLimits>,
    waits: Mutex<WaitTable>,
    outages: Mutex<OutageDetector>,
    duties: Mutex<Duties>,
    /// Recent duty events by duty ID, oldest first.
    history: Mutex<VecDeque<(u64, String)>>,
    /// Whether outages are shared with other members and recorded.
    share_outages: bool,
    /// Requests a snapshot from other members until one has arrived completely.
    initial_sync: Mutex<InitialSync>,
    addresses: Mutex<BTreeMap<MemberId, SocketAddr>>,
    /// Wakes the node's task, because there is something to send or a timer has changed.
    wake: Notify,
    senders: watch::Sender<usize>,
    /// Number of malformed packets.
    malformed: AtomicU64,
    /// Number of packets that did not come from the address of their sender, and of connections that came
    /// from unknown hosts or exceeded the maximum.
    unknown_senders: AtomicU64,
}

/// Access to a [`Node`] for the rest of the process.
#[derive(Clone)]
pub struct Handle(Arc<Shared>);

impl Handle {
    fn core(&self) -> MutexGuard<'_, Membership> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what this process may do now, by the clock read in this call. Call it as the last step before
    /// sending: a process that was stopped since its last input then gets the permits of one whose state is
    /// not known.
    pub fn permits(&self) -> Permits {
        self.core().permits(clock::now())
    }

    fn shared_limits(&self) -> MutexGuard<'_, SharedLimits> {
        self.0.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waits(&self) -> MutexGuard<'_, WaitTable> {
        self.0.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn initial_sync(&self) -> MutexGuard<'_, InitialSync> {
        self.0.initial_sync.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn outages(&self) -> MutexGuard<'_, OutageDetector> {
        self.0.outages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether a call to a destination may begin now, by the waits that the destination returned to
    /// any member, by the outages that members found, and by the shared limits. Call it as the last step
    /// before the first byte. `is_retry`: every message in the call has been attempted before.
    /// `was_deferred`: this call was deferred before.
    ///
    /// # Errors
    ///
    /// The call must be deferred; the error is the delay after which to ask again.
    pub fn begin(&self, dest: u64, is_retry: bool, was_deferred: bool) -> Result<(), Duration> {
        let now = clock::now();
        let limits = [dest, retry_limit_id(dest)];
        let limits = &limits[..1 + usize::from(is_retry)];
        let wait = self.waits().wait(now, dest);
        let admission = match wait {
            Some(wait) => Admission::Defer(wait),
            None if self.0.share_outages => self.outages().admit(now, dest),
            None => Admission::Fraction(1.0),
        };
        let fraction = match admission {
            Admission::Fraction(fraction) => fraction,
            Admission::Probe => 1.0,
            Admission::Defer(wait) => {
                if !was_deferred {
                    self.shared_limits().record_demand(now, limits);
                }
                return Err(Duration::from_micros(wait));
            }
        };
        let begun = self.shared_limits().try_begin(now, limits, fraction, was_deferred);
        if begun.is_err() {
            if admission == Admission::Probe {
                self.outages().cancel_probe(dest);
            }
            if !was_deferred {
                self.0.wake.notify_one();
            }
        }
        begun.map_err(Duration::from_micros)
    }

    /// Records that a destination asked this forwarder to wait for `duration`.
    pub fn record_wait(&self, dest: u64, duration: Duration) {
        let (now, duration) = (clock::now(), Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX));
        self.waits().record_wait(now, dest, duration);
        if self.0.share_outages {
            self.outages().record_shutdown(now, dest, now.saturating_add(duration));
        }
        self.0.wake.notify_one();
    }

    /// Records the outcome of a call that began `took` ago and has just ended.
    pub fn record_call_end(&self, dest: u64, took: Duration, outcome: CallOutcome) {
        let now = clock::now();
        let began = now.saturating_sub(Micros::try_from(took.as_micros()).unwrap_or(Micros::MAX));
        if outcome == CallOutcome::Served {
            self.waits().record_success(now, dest, began);
        }
        if self.0.share_outages {
            let mut outages = self.outages();
            outages.record_call_end(now, dest, began, outcome);
            let has_updates = outages.has_updates(now);
            drop(outages);
            // Without updates there is nothing to send.
            if has_updates {
                self.0.wake.notify_one();
            }
        }
    }

    fn duties(&self) -> MutexGuard<'_, Duties> {
        self.0.duties.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a duty if this process holds it now, by the clock read in this call. Call it again as the last
    /// step before each act under the duty. Returns `None` while another process runs under the same member
    /// name, and once this member is leaving.
    pub fn held_duty(&self, name: &str) -> Option<HeldDuty> {
        let now = clock::now();
        if matches!(self.core().state(now), MembershipState::DuplicateName | MembershipState::Leaving) {
            return None;
        }
        self.duties().held(now, duties::Duty::new(name).id())
    }

    /// Returns whether an act of the given duration may begin now under a held duty.
    pub fn may_act(&self, held: &HeldDuty, duration: Duration) -> bool {
        held.may_act(clock::now(), Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX))
    }

    /// Records the progress made under a held duty as its next step, and returns the step's number.
    ///
    /// # Errors
    ///
    /// The duty is no longer held under that token, the previous step is not decided yet, or `progress` is
    /// too long.
    pub fn record_step(&self, held: &HeldDuty, progress: Vec<u8>) -> Result<u64, StepError> {
        let step = self.duties().record_step(clock::now(), held, progress);
        self.0.wake.notify_one();
        step
    }

    /// Carries out an operator's request about a duty.
    ///
    /// # Errors
    ///
    /// There is no such duty, it has no holder, or the member is not present.
    pub fn operator_request(&self, duty: &str, request: OperatorRequest) -> Result<(), OperatorRequestError> {
        let result = self.duties().operator_request(clock::now(), duty, request);
        self.0.wake.notify_one();
        result
    }

    /// Reports the duties as this member knows them.
    pub fn duties_status(&self) -> DutiesStatus {
        let (roster, now) = (self.roster(), clock::now());
        let history = self.0.history.lock().unwrap_or_else(PoisonError::into_inner);
        let history: Vec<(u64, String)> = history.iter().cloned().collect();
        DutiesStatus::new(&self.duties(), now, &roster, &history)
    }

    /// Reports the waits and outages of destinations as this member knows them.
    pub fn knowledge_status(&self) -> KnowledgeStatus {
        let (roster, now) = (self.roster(), clock::now());
        let is_syncing = self.initial_sync().is_pending(now);
        KnowledgeStatus::new(&self.waits(), &self.outages(), now, &roster, is_syncing)
    }

    /// Reports the shared limits as this member knows them.
    pub fn limits_status(&self) -> LimitsStatus {
        let roster = self.roster();
        let shared_limits = self.shared_limits();
        LimitsStatus::new(&shared_limits, clock::now(), &roster)
    }

    /// Reports the membership as this member knows it.
    pub fn status(&self) -> Status {
        let dropped =
            [self.0.malformed.load(Ordering::Relaxed), self.0.unknown_senders.load(Ordering::Relaxed)];
        Status::new(&self.core(), clock::now(), dropped)
    }

    /// Returns a channel with the number of senders that shared limits are divided among.
    pub fn senders(&self) -> watch::Receiver<usize> {
        self.0.senders.subscribe()
    }

    /// Applies another fleet document, with a roster that may succeed the current one, or with the same
    /// roster and other addresses or limits.
    ///
    /// # Errors
    ///
    /// The roster may not succeed the current one, or lacks this member; nothing is changed then.
    pub fn apply_document(&self, document: Document) -> Result<(), RosterError> {
        let mut core = self.core();
        if document.roster.reference() != core.roster().reference() {
            core.change_roster(clock::now(), document.roster)?;
        }
        self.shared_limits().set_limits(clock::now(), core.roster().len(), &document.limits);
        self.duties().set_voters(clock::now(), voter_set(core.roster()));
        *self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner) = document.addresses;
        self.0.wake.notify_one();
        Ok(())
    }

    /// Announces to the other members that this process is shutting down, and releases its duties.
    pub fn leave(&self) {
        self.core().leave(clock::now());
        self.duties().release_all(clock::now(), Reason::Leaving);
        self.0.wake.notify_one();
    }

    /// Returns the roster in force.
    pub fn roster(&self) -> Roster {
        self.core().roster().clone()
    }

    /// Logs a change of a duty and adds it to the history.
    fn log_duty_event(&self, event: &duties::Event) {
        let name = |id: u64| {
            let duties = self.duties();
            duties
                .duties()
                .find(|(other, _)| *other == id)
                .map_or("?".to_owned(), |(_, duty)| duty.name.clone())
        };
        let (duty, text) = match *event {
            duties::Event::Acquired { duty, token, step } => {
                (duty, format!("acquired under token {token} after {step} steps"))
            }
            duties::Event::Expired { duty, token } => {
                (duty, format!("lost under token {token}: lease expired"))
            }
            duties::Event::Released { duty, token, reason } => {
                (duty, format!("released under token {token}: {reason:?}"))
            }
            duties::Event::StepDecided { .. } => return,
            duties::Event::VotingStarted => return tracing::info!("duties: this member votes"),
            duties::Event::VotingSuspended => {
                return tracing::warn!(
                    "duties: this member may have lost promises and does not vote until it has recovered"
                );
            }
        };
        tracing::info!(duty = name(duty), "duties: {text}");
        let mut history = self.0.history.lock().unwrap_or_else(PoisonError::into_inner);
        if history.len() >= MAX_HISTORY {
            history.pop_front();
        }
        history.push_back((duty, text));
    }

    fn address(&self, id: MemberId) -> Option<SocketAddr> {
        self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner).get(&id).copied()
    }

    fn member_at(&self, from: SocketAddr) -> Option<MemberId> {
        let addresses = self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.iter().find(|(_, a)| **a == from).map(|(id, _)| *id)
    }

    fn is_member_host(&self, from: SocketAddr) -> bool {
        let addresses = self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.values().any(|a| a.ip() == from.ip())
    }
}

/// A member of the fleet with its sockets and files.
pub struct Node {
    handle: Handle,
    udp: UdpSocket,
    tcp: TcpListener,
    identity: IdentityFile,
    registers: RegisterFile,
    /// View, permission to hold duties and change count that the duties' candidates were last set from.
    candidates_basis: Option<(yarrowhill_membership::ViewId, bool, u64)>,
    /// Boot number that could not be written yet, and the time of the next attempt.
    pending_boot: Option<(u64, Micros)>,
    /// Interval between two rounds of updates about destinations.
    update_interval: Micros,
    /// Time of the next round.
    next_update: Micros,
}

impl Node {
    /// Binds the sockets and increments the boot number. Nothing is sent before [`Node::run`].
    ///
    /// # Errors
    ///
    /// A socket cannot be bound, the state folder cannot be written, or the roster lacks this member.
    pub async fn start(options: Options<'_>) -> Result<Self, FleetError> {
        let Options { name, document, state_folder, seed, slow_start } = options;
        let Document { roster, listen, addresses, timing, limits, duties, .. } = document;
        let failed = |e| FleetError::Socket(listen, e);
        let udp = UdpSocket::bind(listen).await.map_err(failed)?;
        let tcp = TcpListener::bind(listen).await.map_err(failed)?;
        let (identity, boot) = IdentityFile::open_next_boot(state_folder, name)?;
        // Not derived from the seed, because two processes under one name may be configured with the same
        // seed.
        let instance = InstanceId(getrandom::u64().map_err(|e| FleetError::Random(e.to_string()))?);
        let senders = watch::Sender::new(roster.len());
        let (now, members) = (clock::now(), roster.len());
        let durations = LeaseDurations::new(timing.period, MAX_CLOCK_DRIFT);
        let mut shared_limits =
            SharedLimits::new(now, MemberId::from_name(name).0, instance.0, members, durations);
        shared_limits.set_limits(now, members, &limits);
        let (registers, stored) = RegisterFile::open(state_folder);
        let local = duties::ProcessId { member: MemberId::from_name(name).0, instance: instance.0 };
        let lease = duties::Lease::new(timing.lease, MAX_CLOCK_DRIFT);
        let duties = Duties::new(now, local, boot, lease, stored, duties, voter_set(&roster));
        let core = Membership::new(now, roster, name, boot, instance, timing, seed)?;
        let update_interval = durations.round_interval();
        let handle = Handle(Arc::new(Shared {
            core: Mutex::new(core),
            limits: Mutex::new(shared_limits),
            waits: Mutex::new(WaitTable::new(MemberId::from_name(name).0, boot, seed ^ instance.0)),
            outages: Mutex::new(OutageDetector::new(
                MemberId::from_name(name).0,
                boot,
                slow_start.unwrap_or(NO_SLOW_START),
            )),
            share_outages: slow_start.is_some(),
            duties: Mutex::new(duties),
            history: Mutex::default(),
            initial_sync: Mutex::new(InitialSync::new(now + timing.max_settle)),
            addresses: Mutex::new(addresses),
            wake: Notify::new(),
            senders,
            malformed: AtomicU64::new(0),
            unknown_senders: AtomicU64::new(0),
        }));
        Ok(Node {
            handle,
            udp,
            tcp,
            identity,
            registers,
            candidates_basis: None,
            pending_boot: None,
            update_interval,
            next_update: 0,
        })
    }

    /// Returns a handle for the rest of the process.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Runs the member until the task is dropped.
    pub async fn run(mut self) {
        let sync_permits = Arc::new(Semaphore::new(MAX_INCOMING_SYNCS));
        // Longer than the maximum, so that a packet that is too long is not truncated to a valid length.
        let mut buffer = [0u8; MAX_PACKET_BYTES + 8];
        loop {
            self.process_outputs().await;
            let wake = self.handle.core().next_wake().min(self.handle.shared_limits().next_wake());
            let wake = wake.min(if self.has_updates() { self.next_update } else { Micros::MAX });
            let wake = wake.min(self.handle.duties().next_wake());
            let wake = wake.min(self.pending_boot.map_or(Micros::MAX, |(_, at)| at));
            let until_wake = Duration::from_micros(wake.saturating_sub(clock::now()));
            tokio::select! {
                received = self.udp.recv_from(&mut buffer) => {
                    match received {
                        Ok((length, from)) => self.handle_datagram(&buffer[..length], from).await,
                        // ICMP errors of peers that are down are reported here. Other errors must not make
                        // the loop spin.
                        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                        Err(e) => {
                            tracing::warn!("fleet: cannot receive packets: {e}");
                            sleep(RETRY_DELAY).await;
                        }
                    }
                    for _ in 1..MAX_PACKETS_PER_WAKE {
                        let Ok((length, from)) = self.udp.try_recv_from(&mut buffer) else { break };
                        self.handle_datagram(&buffer[..length], from).await;
                    }
                    if self.handle.core().next_wake() <= clock::now() {
                        self.handle.core().tick(clock::now());
                    }
                }
                accepted = self.tcp.accept() => match accepted {
                    Ok((stream, from)) => self.accept_sync(stream, from, &sync_permits),
                    Err(e) => {
                        tracing::warn!("fleet: cannot accept connections: {e}");
                        sleep(RETRY_DELAY).await;
                    }
                },
                () = self.handle.0.wake.notified() => {}
                () = sleep(until_wake) => self.handle.core().tick(clock::now()),
            }
        }
    }

    async fn handle_datagram(&self, bytes: &[u8], from: SocketAddr) {
        // Checked before decoding, so that a packet of an unknown sender costs one lookup.
        let Some(id) = self.handle.member_at(from) else {
            self.handle.0.unknown_senders.fetch_add(1, Ordering::Relaxed);
            return;
        };
        if is_waits(bytes) {
            return match decode_waits(bytes) {
                Ok(update) => self.handle_waits(id, &update).await,
                Err(_) => drop(self.handle.0.malformed.fetch_add(1, Ordering::Relaxed)),
            };
        }
        if is_outages(bytes) {
            return match decode_outages(bytes) {
                Ok(reports) => self.record_outages(&reports),
                Err(_) => drop(self.handle.0.malformed.fetch_add(1, Ordering::Relaxed)),
            };
        }
        if is_duty(bytes) {
            return match decode_duty(bytes) {
                Ok(envelope) => self.handle_duty(id, envelope),
                Err(_) => drop(self.handle.0.malformed.fetch_add(1, Ordering::Relaxed)),
            };
        }
        if is_snapshot_part(bytes) {
            return match decode_snapshot_part(bytes) {
                Ok(part) => self.handle_snapshot_part(id, &part),
                Err(_) => drop(self.handle.0.malformed.fetch_add(1, Ordering::Relaxed)),
            };
        }
        if is_rights(bytes) {
            return match decode_rights(bytes) {
                Ok(envelope) => {
                    let answer = self.handle.shared_limits().handle(clock::now(), id.0, &envelope);
                    if let Some(answer) = answer {
                        self.send_rights(id, &answer).await;
                    }
                }
                Err(_) => drop(self.handle.0.malformed.fetch_add(1, Ordering::Relaxed)),
            };
        }
        match decode::<Packet>(bytes, MAX_PACKET_BYTES) {
            Ok(packet) if packet.header.from == id => self.handle.core().handle(clock::now(), packet),
            Ok(_) => drop(self.handle.0.unknown_senders.fetch_add(1, Ordering::Relaxed)),
            Err(_) => drop(self.handle.0.malformed.fetch_add(1, Ordering::Relaxed)),
        }
    }

    /// Carries out the outputs of all protocols, and the actions that are due.
    async fn process_outputs(&mut self) {
        if let Some((boot, at)) = self.pending_boot
            && clock::now() >= at
        {
            self.persist_boot(boot);
        }
        loop {
            let outputs = self.handle.core().take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                match output {
                    Output::Send { to, packet } => self.send_packet(to, &packet).await,
                    Output::Sync { with } => self.sync_with(with),
                    Output::Persist { boot } => self.persist_boot(boot),
                    Output::Event(event) => log_event(&self.handle, &event),
                }
            }
        }
        let now = clock::now();
        if now >= self.handle.shared_limits().next_wake() {
            // A member that is alone in its view, or has none yet, is its own coordinator.
            let view: Vec<u64> = self.handle.core().view().members.keys().map(|id| id.0).collect();
            let envelopes = self.handle.shared_limits().tick(now, &view);
            for (to, envelope) in envelopes {
                self.send_rights(MemberId(to), &envelope).await;
            }
        }
        self.process_duties().await;
        self.send_updates().await;
        let senders = self.handle.core().senders(clock::now());
        self.handle.0.senders.send_if_modified(|s| std::mem::replace(s, senders) != senders);
    }

    /// Handles an envelope about duties. Its effects are carried out by [`Self::process_duties`].
    fn handle_duty(&self, from: MemberId, envelope: duties::Envelope) {
        let now = clock::now();
        if matches!(envelope.payload, duties::Payload::RecoveryRequest { .. }) {
            // The sender has just started: the answer names its latest process that this member knows of.
            let record = self.handle.core().member(from).map(|e| e.record);
            if let Some(record) = record {
                self.handle.duties().record_instance(from.0, record.incarnation.boot, record.instance.0);
            }
        }
        self.handle.duties().handle(now, from.0, envelope);
    }

    /// Updates the candidates of duties and carries out the duties' outputs in order. If an output cannot be
    /// written to disk, the outputs after it are dropped, because they may depend on it.
    async fn process_duties(&mut self) {
        if self.handle.duties().is_empty() {
            return;
        }
        self.update_candidates();
        let now = clock::now();
        if now >= self.handle.duties().next_wake() {
            self.handle.duties().tick(now);
        }
        loop {
            let outputs = self.handle.duties().take_outputs();
            if outputs.is_empty() {
                return;
            }
            let mut to_local = Vec::new();
            for output in outputs {
                match output {
                    duties::Output::Persist(stored) => {
                        if let Err(e) = self.registers.write(&stored) {
                            tracing::error!("duties: cannot write registers, promise not sent: {e}");
                            break;
                        }
                        self.handle.duties().persisted();
                    }
                    duties::Output::Erase => {
                        if let Err(e) = self.registers.delete() {
                            tracing::error!(
                                "duties: cannot delete stored registers, a later start would trust outdated \
                                 ones: {e}"
                            );
                        }
                    }
                    duties::Output::Send { to, envelope }
                        if MemberId(to) == self.handle.core().local_id() =>
                    {
                        to_local.push(envelope)
                    }
                    duties::Output::Send { to, envelope } => self.send_duty(MemberId(to), &envelope).await,
                    duties::Output::Event(event) => self.handle.log_duty_event(&event),
                }
            }
            for envelope in to_local {
                let local = envelope.from.member;
                self.handle.duties().handle(clock::now(), local, envelope);
            }
        }
    }

    fn update_candidates(&mut self) {
        let core = self.handle.core();
        let now = clock::now();
        let may_hold = core.permits(now).hold_duty;
        let view = core.view();
        let basis = (view.id, may_hold, core.change_count());
        if self.candidates_basis == Some(basis) {
            return;
        }
        self.candidates_basis = Some(basis);
        let roster = core.roster();
        let zones: BTreeMap<MemberId, String> =
            roster.members().map(|(id, config)| (id, config.zone.clone())).collect();
        let candidate = |id: &MemberId| Candidate {
            member: id.0,
            zone: zones.get(id).cloned().unwrap_or_default(),
            degraded: core.member(*id).is_some_and(|e| e.record.health == Health::Suspect),
        };
        let candidates = view.members.keys().map(candidate).collect();
        self.handle.duties().set_candidates(now, candidates, may_hold);
    }

    async fn send_duty(&self, to: MemberId, envelope: &duties::Envelope) {
        self.send_bytes(to, encode_duty(envelope)).await;
    }

    async fn send_packet(&self, to: MemberId, packet: &Packet) {
        self.send_bytes(to, encode(packet, MAX_PACKET_BYTES)).await;
    }

    /// Sends an encoded packet to a member. A send error is ignored, like a packet lost in the network.
    async fn send_bytes(&self, to: MemberId, bytes: Result<Vec<u8>, CodecError>) {
        let Some(address) = self.handle.address(to) else { return };
        match bytes {
            Ok(bytes) => drop(self.udp.send_to(&bytes, address).await),
            Err(e) => tracing::error!("fleet: cannot encode a packet: {e}"),
        }
    }

    fn is_syncing(&self) -> bool {
        self.handle.initial_sync().is_pending(clock::now())
    }

    fn has_updates(&self) -> bool {
        let now = clock::now();
        self.is_syncing() || self.handle.waits().has_updates(now) || self.handle.outages().has_updates(now)
    }

    /// Sends fresh reports about destinations to a few present members, and requests a snapshot from them
    /// while this member is syncing.
    async fn send_updates(&mut self) {
        let now = clock::now();
        if now < self.next_update || !self.has_updates() {
            return;
        }
        self.next_update = now + self.update_interval;
        let (present, boot) = {
            let core = self.handle.core();
            let present: Vec<u64> =
                core.members().filter(|(_, e)| e.record.health.is_present()).map(|(id, _)| id.0).collect();
            (present, core.local_record().incarnation.boot)
        };
        if present.is_empty() {
            return;
        }
        let (peers, reports) = {
            let mut waits = self.handle.waits();
            waits.set_boot(boot);
            (waits.sample_peers(&present), waits.updates_to_send(now, MAX_REPORTS, present.len() + 1))
        };
        let outage_reports = {
            let mut outages = self.handle.outages();
            outages.set_membership(boot, present.len() + 1);
            outages.updates_to_send(now, MAX_REPORTS, present.len() + 1)
        };
        let update = WaitUpdate { request_snapshot: self.is_syncing(), reports };
        for to in peers {
            if update.request_snapshot || !update.reports.is_empty() {
                self.send_waits(MemberId(to), &update).await;
            }
            if !outage_reports.is_empty() {
                self.send_outages(MemberId(to), &outage_reports).await;
            }
        }
    }

    async fn send_outages(&self, to: MemberId, reports: &[OutageReport]) {
        self.send_bytes(to, encode_outages(reports)).await;
    }

    async fn send_waits(&self, to: MemberId, update: &WaitUpdate) {
        self.send_bytes(to, encode_waits(update)).await;
    }

    async fn handle_waits(&self, from: MemberId, update: &WaitUpdate) {
        self.record_waits(&update.reports);
        if update.request_snapshot {
            self.send_snapshot(from).await;
        }
    }

    fn record_waits(&self, reports: &[WaitReport]) {
        let now = clock::now();
        let mut waits = self.handle.waits();
        for report in reports.iter().take(MAX_REPORTS) {
            waits.receive(now, report);
            if let Some(wait) = waits.wait(now, report.dest).filter(|_| self.handle.0.share_outages) {
                self.handle.outages().record_shutdown(now, report.dest, now.saturating_add(wait));
            }
        }
    }

    fn record_outages(&self, reports: &[OutageReport]) {
        if self.handle.0.share_outages {
            let now = clock::now();
            let mut outages = self.handle.outages();
            reports.iter().take(MAX_REPORTS).for_each(|report| outages.receive(now, report));
        }
    }

    /// Sends everything that is in force to a member that has just started.
    async fn send_snapshot(&self, to: MemberId) {
        let (now, max) = (clock::now(), MAX_PART_REPORTS * MAX_SNAPSHOT_PACKETS);
        let waits = self.handle.waits().snapshot(now, max);
        let outages = self.handle.outages().snapshot(now, max);
        for part in SnapshotPart::split(&waits, &outages) {
            self.send_bytes(to, encode_snapshot_part(&part)).await;
        }
        // Older builds do not know snapshot parts and take any wait update for the answer.
        let reports = waits.into_iter().take(MAX_REPORTS).collect();
        self.send_waits(to, &WaitUpdate { request_snapshot: false, reports }).await;
    }

    fn handle_snapshot_part(&self, from: MemberId, part: &SnapshotPart) {
        self.record_waits(&part.waits);
        self.record_outages(&part.outages);
        self.handle.initial_sync().record_part(from.0, part.part, part.parts);
    }

    async fn send_rights(&self, to: MemberId, envelope: &Envelope) {
        self.send_bytes(to, encode_rights(envelope)).await;
    }

    fn persist_boot(&mut self, boot: u64) {
        // Other members know a later process under this name than the state folder does, so promises that it
        // made as a voter may be missing here.
        self.handle.duties().suspend_voting(clock::now());
        if let Err(e) = self.registers.delete() {
            tracing::error!(
                "duties: cannot delete stored registers, a later start would trust outdated \
                 ones: {e}"
            );
        }
        match self.identity.write(boot) {
            Ok(()) => {
                self.pending_boot = None;
                tracing::info!(boot, "fleet: other members knew a higher boot number of this name; raised");
                self.handle.core().boot_persisted(clock::now(), boot);
            }
            Err(e) => {
                if self.pending_boot.is_none() {
                    tracing::error!("fleet: sending nothing until the boot number is written: {e}");
                }
                self.pending_boot = Some((boot, clock::now() + RETRY_DELAY.as_micros() as Micros));
            }
        }
    }

    /// Starts an exchange of full states with a member, as a task of its own.
    fn sync_with(&self, with: MemberId) {
        let Some(address) = self.handle.address(with) else { return };
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let exchange = async {
                let mut stream = TcpStream::connect(address).await?;
                let local = handle.core().full_state();
                write_full_state(&mut stream, &local).await?;
                read_full_state(&mut stream).await
            };
            if let Ok(Ok(state)) = timeout(SYNC_TIMEOUT, exchange).await
                && state.header.from == with
            {
                handle.core().merge_full_state(clock::now(), state);
                handle.0.wake.notify_one();
            }
        });
    }

    /// Answers an exchange of full states that another member began, as a task of its own.
    fn accept_sync(&self, mut stream: TcpStream, from: SocketAddr, permits: &Arc<Semaphore>) {
        let permit = permits.clone().try_acquire_owned();
        let (true, Ok(permit)) = (self.handle.is_member_host(from), permit) else {
            self.handle.0.unknown_senders.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let exchange = async {
                let state = read_full_state(&mut stream).await?;
                let local = {
                    let mut core = handle.core();
                    if !core.merge_full_state(clock::now(), state) {
                        return Err(io::ErrorKind::PermissionDenied.into());
                    }
                    core.full_state()
                };
                handle.0.wake.notify_one();
                write_full_state(&mut stream, &local).await
            };
            let _ = timeout(SYNC_TIMEOUT, exchange).await;
        });
    }
}

async fn write_full_state(stream: &mut TcpStream, state: &FullState) -> io::Result<()> {
    let bytes = encode(state, MAX_FULL_STATE_BYTES).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&[&length.to_be_bytes()[..], &bytes].concat()).await
}

async fn read_full_state(stream: &mut TcpStream) -> io::Result<FullState> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FULL_STATE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    // Grows as bytes arrive, so that a length alone does not allocate memory.
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    decode(&bytes, MAX_FULL_STATE_BYTES).map_err(io::Error::other)
}

/// Returns the voters for duties: those of the roster, and of the previous one where the roster is joint.
fn voter_set(roster: &Roster) -> VoterSet {
    let ids = |ids: Vec<MemberId>| ids.into_iter().map(|id| id.0).collect();
    let (current, previous) = roster.electorate();
    VoterSet { current: ids(current), previous: previous.map(ids) }
}

/// Logs a membership event.
fn log_event(handle: &Handle, event: &Event) {
    let roster = handle.roster();
    let name = |id: &MemberId| roster.name_of(*id).unwrap_or("?").to_owned();
    match event {
        Event::ViewChanged(view) => {
            let present: Vec<String> = view.members.keys().map(name).collect();
            let missing: Vec<String> = roster
                .members()
                .map(|(id, _)| id)
                .filter(|id| !view.members.contains_key(id))
                .map(|id| name(&id))
                .collect();
            tracing::info!(view = %view.id, there = present.len(), ?missing, "fleet: view changed");
        }
        Event::StateChanged { from, to } => tracing::info!(%from, %to, "fleet: state changed"),
        Event::RosterMismatch { member, roster: theirs } => {
            let mine = roster.reference();
            tracing::warn!(
                with = name(member),
                theirs = format!("{}:{:016x}", theirs.version, theirs.hash),
                mine = format!("{}:{:016x}", mine.version, mine.hash),
                "fleet: a member uses another roster"
            );
        }
        Event::Resumed(duration) => tracing::warn!(ms = duration / 1000, "fleet: this process was stopped"),
    }
}
