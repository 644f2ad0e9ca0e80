//! The task that owns the sockets: UDP for packets, TCP for exchanges of full membership states.

use crate::clock;
use crate::codec::{
    CodecError, Datagram, MAX_PACKET_BYTES, MAX_PART_REPORTS, MAX_REPORTS, SnapshotPart, WaitUpdate, encode,
    encode_duty, encode_outages, encode_rights, encode_snapshot_part, encode_waits,
};
use crate::document::Document;
use crate::event_log::log_event;
use crate::handle::{Handle, Shared, voter_set};
use crate::identity::{IdentityError, IdentityFile};
use crate::register_writer::{EndedWrite, RegisterWriter};
use crate::registers::RegisterFile;
use crate::state_exchange;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::sleep;
use yarrowhill_duties::{self as duties, Candidate, Duties, StoredVoter};
use yarrowhill_knowledge::{InitialSync, OutageDetector, OutageReport, SlowStart, WaitReport, WaitTable};
use yarrowhill_membership::{
    Health, InstanceId, MemberId, Membership, Micros, Output, Packet, RosterError, ViewId,
};
use yarrowhill_rights::{Envelope, LeaseDurations, SharedLimits};

/// Assumed bound on the relative error of clock rates.
const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Maximum number of packets handled before other tasks of the process may run.
const MAX_PACKETS_PER_WAKE: usize = 64;
/// Maximum number of packets of a snapshot for a member that has just started.
const MAX_SNAPSHOT_PACKETS: usize = 8;
/// Placeholder for a member that does not share outages and so never applies a slow start.
const NO_SLOW_START: SlowStart = SlowStart { probe_interval: 1, warm_up: 1, initial_fraction: 1.0 };
/// Maximum number of outputs of duties that wait for a write of registers.
const MAX_WAITING_OUTPUTS: usize = 256;
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

/// A member of the fleet with its sockets and files.
pub struct Node {
    handle: Handle,
    udp: UdpSocket,
    tcp: TcpListener,
    identity: IdentityFile,
    registers: RegisterWriter,
    /// Outputs of the duties that wait for a write of registers before them, oldest first.
    duty_outputs: VecDeque<duties::Output>,
    /// Envelopes about duties from this member to itself.
    duty_envelopes_to_local: Vec<duties::Envelope>,
    /// View, permission to hold duties and change count that the duties' candidates were last set from.
    candidates_basis: Option<(ViewId, bool, u64)>,
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
            registers: RegisterWriter::new(registers),
            duty_outputs: VecDeque::new(),
            duty_envelopes_to_local: Vec::new(),
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
        let exchange_permits = Arc::new(Semaphore::new(state_exchange::MAX_INCOMING));
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
                    Ok((stream, from)) => {
                        state_exchange::accept(self.handle(), stream, from, &exchange_permits);
                    },
                    Err(e) => {
                        tracing::warn!("fleet: cannot accept connections: {e}");
                        sleep(RETRY_DELAY).await;
                    }
                },
                ended = self.registers.ended() => self.handle_ended_write(ended),
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
        match Datagram::decode(bytes) {
            Ok(Datagram::Waits(update)) => self.handle_waits(id, &update).await,
            Ok(Datagram::Outages(reports)) => self.record_outages(&reports),
            Ok(Datagram::Duty(envelope)) => self.handle_duty(id, envelope),
            Ok(Datagram::SnapshotPart(part)) => self.handle_snapshot_part(id, &part),
            Ok(Datagram::Rights(envelope)) => self.handle_rights(id, &envelope).await,
            Ok(Datagram::Membership(packet)) => self.handle_packet(id, packet),
            Err(_) => drop(self.handle.0.malformed.fetch_add(1, Ordering::Relaxed)),
        }
    }

    fn handle_packet(&self, from: MemberId, packet: Packet) {
        if packet.header.from != from {
            self.handle.0.unknown_senders.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.handle.core().handle(clock::now(), packet);
    }

    async fn handle_rights(&self, from: MemberId, envelope: &Envelope) {
        let answer = self.handle.shared_limits().handle(clock::now(), from.0, envelope);
        if let Some(answer) = answer {
            self.send_rights(from, &answer).await;
        }
    }

    /// Carries out the outputs of all protocols, and the actions that are due.
    async fn process_outputs(&mut self) {
        if let Some((boot, at)) = self.pending_boot
            && clock::now() >= at
        {
            self.persist_boot(boot).await;
        }
        loop {
            let outputs = self.handle.core().take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                match output {
                    Output::Send { to, packet } => self.send_packet(to, &packet).await,
                    Output::Sync { with } => state_exchange::start(self.handle(), with),
                    Output::Persist { boot } => self.persist_boot(boot).await,
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

    /// Updates the candidates of duties and carries out the duties' outputs in order. Those behind registers that
    /// are to be written wait until they are on disk.
    async fn process_duties(&mut self) {
        if self.handle.duties().is_empty() {
            return;
        }
        self.update_candidates();
        let now = clock::now();
        if now >= self.handle.duties().next_wake() {
            self.handle.duties().tick(now);
        }
        while !self.registers.is_writing() {
            if let Some(output) = self.duty_outputs.pop_front() {
                self.carry_out(output).await;
                continue;
            }
            for envelope in std::mem::take(&mut self.duty_envelopes_to_local) {
                let local = envelope.from.member;
                self.handle.duties().handle(clock::now(), local, envelope);
            }
            self.duty_outputs.extend(self.handle.duties().take_outputs());
            if self.duty_outputs.is_empty() {
                return;
            }
        }
        self.limit_waiting_outputs();
    }

    async fn carry_out(&mut self, output: duties::Output) {
        match output {
            duties::Output::Persist(stored) => {
                let latest = self.latest_state(stored);
                self.registers.start(latest);
            }
            duties::Output::Erase => self.delete_registers().await,
            duties::Output::Send { to, envelope } if MemberId(to) == self.handle.core().local_id() => {
                self.duty_envelopes_to_local.push(envelope);
            }
            duties::Output::Send { to, envelope } => self.send_duty(MemberId(to), &envelope).await,
            duties::Output::Event(event) => self.handle.log_duty_event(&event),
        }
    }

    /// Returns the last state that waits to be written, which includes `stored`, so that one write serves for all.
    fn latest_state(&mut self, stored: StoredVoter) -> StoredVoter {
        let is_erase = |output: &duties::Output| matches!(output, duties::Output::Erase);
        let erase = self.duty_outputs.iter().position(is_erase).unwrap_or(self.duty_outputs.len());
        let behind_erase = self.duty_outputs.split_off(erase);
        let mut latest = stored;
        for output in std::mem::take(&mut self.duty_outputs) {
            match output {
                duties::Output::Persist(later) => latest = later,
                other => self.duty_outputs.push_back(other),
            }
        }
        self.duty_outputs.extend(behind_erase);
        latest
    }

    /// Bounds what waits for a write: drops messages, as the network may, with the states that they need.
    fn limit_waiting_outputs(&mut self) {
        if !self.registers.is_writing() || self.handle.duties().output_count() <= MAX_WAITING_OUTPUTS {
            return;
        }
        let outputs = self.handle.duties().take_outputs().into_iter();
        self.duty_outputs
            .extend(outputs.filter(|o| matches!(o, duties::Output::Erase | duties::Output::Event(_))));
    }

    /// If the registers could not be written, the outputs behind them are dropped, because they may depend on them.
    fn handle_ended_write(&mut self, ended: EndedWrite) {
        match ended.result {
            Ok(()) => self.handle.duties().persisted(ended.write_count),
            Err(e) => {
                tracing::error!("duties: cannot write registers, promise not sent: {e}");
                self.duty_outputs.clear();
            }
        }
    }

    async fn delete_registers(&mut self) {
        if let Err(e) = self.registers.delete().await {
            tracing::error!(
                "duties: cannot delete stored registers, a later start would trust outdated ones: {e}"
            );
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

    async fn persist_boot(&mut self, boot: u64) {
        // Other members know a later process under this name than the state folder does, so promises that it
        // made as a voter may be missing here.
        self.handle.duties().suspend_voting(clock::now());
        // Registers that still wait to be written are outdated as well.
        self.duty_outputs.clear();
        self.delete_registers().await;
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
}
