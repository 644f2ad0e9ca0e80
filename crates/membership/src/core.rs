//! The state machine of one member: takes packets and time, returns packets, timers and events.

use crate::detector::{Action, Detector};
use crate::id::{InstanceId, MemberId, Micros};
use crate::identity::{Identity, SelfUpdate};
use crate::members::{MemberEntry, Members, UpdateOutcome};
use crate::packet::{Body, FullState, Header, MAX_UPDATES, Packet, Update};
use crate::record::{Health, Record};
use crate::roster::{Roster, RosterError, RosterRef};
use crate::state::{Evidence, MembershipState, Permits, Share, membership_state, permits};
use crate::support::{Lease, Support, Voter};
use crate::view::{View, ViewStabilizer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of members that a leaving member notifies directly; the others learn of it by gossip.
const LEAVE_FANOUT: usize = 16;
/// Number of missing members that are pinged in each period, so that the halves of a partitioned fleet find
/// each other again.
const RECONNECT_PINGS: usize = 2;

/// Durations of the protocol (microseconds).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two probes. [`Timing::from_period`] derives all other values from it.
    pub period: Micros,
    /// Mean interval between two exchanges of the full state.
    pub sync_period: Micros,
    /// Time for which the set of present members must be unchanged before it becomes the view.
    pub settle: Micros,
    /// Longest time for which the set of present members may differ from the view; then it becomes the view
    /// even if it is still changing.
    pub max_settle: Micros,
    /// Time for which a voter's support for a view is valid.
    pub lease: Micros,
    /// Largest assumed error of clock rates, as a fraction: 0.01 is one percent.
    pub drift: f64,
    /// Silence after which another process under the local name is taken to be gone.
    pub duplicate_timeout: Micros,
    /// Whether support is requested continuously. Without it no member gets beyond
    /// [`MembershipState::Unsettled`].
    pub collect_support: bool,
}

impl Timing {
    /// Derives all durations from a probe period. The lease is long enough for two lost packets in a row.
    pub fn from_period(period: Micros) -> Self {
        Timing {
            period,
            sync_period: period * 10,
            settle: period * 2,
            max_settle: period * 10,
            lease: period * 3,
            drift: 0.01,
            duplicate_timeout: period * 50,
            collect_support: true,
        }
    }
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a packet.
    Send {
        /// Receiver.
        to: MemberId,
        /// Packet to send.
        packet: Packet,
    },
    /// Exchange [`Membership::full_state`] with a member.
    Sync {
        /// Peer of the exchange.
        with: MemberId,
    },
    /// Write a boot number to the state folder, then call [`Membership::boot_persisted`]. No packet is sent
    /// before that.
    Persist {
        /// Boot number to write.
        boot: u64,
    },
    /// Report an event to observers.
    Event(Event),
}

/// A change of the stable state; single gossip updates raise no event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The stable view has changed.
    ViewChanged(View),
    /// The membership state of this process has changed.
    StateChanged {
        /// Previous state.
        from: MembershipState,
        /// New state.
        to: MembershipState,
    },
    /// A member uses a different roster.
    RosterMismatch {
        /// Member with the other roster.
        member: MemberId,
        /// Roster that it uses.
        roster: RosterRef,
    },
    /// This process runs again after it was stopped for the given time (microseconds).
    Resumed(Micros),
}

/// Counts of rejected input by reason, reported to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejected {
    /// Packets and full states from senders outside of the roster, or with more updates than allowed.
    pub unknown_senders: u64,
    /// Updates that are implausible or about members outside of the roster, and ping requests with such a
    /// target.
    pub updates: u64,
    /// Grants of support that were not requested, that come from no voter, or from a boot other than the
    /// view's.
    pub support: u64,
}

/// One member of a fleet: failure detection, gossip, stable view and support of the voters.
#[derive(Clone, Debug)]
pub struct Membership {
    timing: Timing,
    lease: Lease,
    roster: Roster,
    local_id: MemberId,
    identity: Identity,
    members: Members,
    detector: Detector,
    stabilizer: ViewStabilizer,
    /// Change count of the members and local boot number at the last observation by the stabilizer.
    observed: Option<(u64, u64)>,
    voter: Voter,
    support: Support,
    rng: ChaCha8Rng,
    /// Time of the last call with a clock reading.
    last_run: Micros,
    /// Time by which the next call was due. A call that comes much later shows that the process was stopped.
    next_due: Micros,
    /// The state is not confirmed until a probe with a higher sequence number is answered, or until the given
    /// time. `u64::MAX` waits for the first view instead of an answer.
    unconfirmed: Option<(u64, Micros)>,
    next_reconnect: Micros,
    next_sync: Micros,
    next_support_request: Micros,
    reported_state: MembershipState,
    rejected: Rejected,
    outputs: Vec<Output>,
}

impl Membership {
    /// Creates the member `name` of a roster. Its boot number must already be written to its state folder.
    ///
    /// # Errors
    ///
    /// Returns [`RosterError::NotAMember`] if the roster does not contain the name.
    pub fn new(
        now: Micros,
        roster: Roster,
        name: &str,
        boot: u64,
        instance: InstanceId,
        timing: Timing,
        seed: u64,
    ) -> Result<Self, RosterError> {
        let id = MemberId::from_name(name);
        if !roster.contains(id) {
            return Err(RosterError::NotAMember(name.to_owned()));
        }
        let lease = Lease::new(timing.lease, timing.drift);
        let view = View::new(roster.reference(), [(id, boot)].into());
        let mut support = Support::default();
        support.set_view(view.id);
        let identity = Identity::new(boot, instance);
        let mut members = Members::new(&roster, id, timing.period);
        members.announce(Update { about: id, record: identity.record(), by: id });
        let is_alone = roster.len() == 1;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Spreads the first probes of members that start at the same time.
        let first = now + rng.random_range(0..timing.period.max(1)) / 4;
        Ok(Membership {
            lease,
            local_id: id,
            identity,
            members,
            detector: Detector::new(timing.period, first),
            stabilizer: ViewStabilizer::new(now, timing.settle, timing.max_settle, view),
            observed: None,
            voter: Voter::new(now, lease),
            support,
            rng,
            last_run: now,
            next_due: now,
            unconfirmed: (!is_alone).then_some((u64::MAX, now + timing.max_settle)),
            next_reconnect: first,
            next_sync: first,
            next_support_request: now,
            reported_state: MembershipState::NotYetKnown,
            rejected: Rejected::default(),
            outputs: Vec::new(),
            timing,
            roster,
        })
    }

    // ---- Queries ----

    /// Returns the id of this member.
    pub fn local_id(&self) -> MemberId {
        self.local_id
    }

    /// Returns the roster in force.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the stable view.
    pub fn view(&self) -> &View {
        self.stabilizer.view()
    }

    /// Returns the record that this member announces about itself.
    pub fn local_record(&self) -> Record {
        self.identity.record()
    }

    /// Returns what is known about each other member of the roster.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &MemberEntry)> {
        self.members.iter()
    }

    /// Returns a counter that grows whenever the health or boot of another member, or the roster, changes.
    pub fn change_count(&self) -> u64 {
        self.members.change_count()
    }

    /// Returns what is known about another member.
    pub fn member(&self, id: MemberId) -> Option<&MemberEntry> {
        self.members.get(id)
    }

    /// Returns the counts of rejected input.
    pub fn rejected(&self) -> Rejected {
        self.rejected
    }

    /// Returns the time until which a voter's support is valid; 0 without any.
    pub fn support_until(&self, voter: MemberId) -> Micros {
        self.support.until(voter)
    }

    /// Returns the membership state at a time. Call it right before each action that depends on it, with the
    /// clock read at that point: for a process that was stopped since its last run, support has run out and
    /// the state is [`MembershipState::NotYetKnown`].
    pub fn state(&self, now: Micros) -> MembershipState {
        membership_state(&self.evidence(now))
    }

    /// Returns what this process may do at a time.
    pub fn permits(&self, now: Micros) -> Permits {
        permits(self.state(now))
    }

    /// Returns the time until which the state holds if no more packets arrive. A copy of the state must keep
    /// this time with it.
    pub fn state_until(&self) -> Micros {
        let stale = self.stale_at();
        let mut expiries: Vec<Micros> = self.roster.voters().map(|id| self.support.until(id)).collect();
        expiries.sort_unstable();
        // The state ends with the first expiry that leaves no majority.
        let majority_lost =
            expiries.into_iter().find(|at| !self.roster.is_majority(|id| self.support.is_valid(*at, id)));
        let supported = self.roster.is_majority(|id| self.support.is_valid(self.last_run, id));
        if supported { majority_lost.unwrap_or(stale).min(stale) } else { stale }
    }

    /// Time after which a call counts as late, so that the state is not confirmed any more.
    fn stale_at(&self) -> Micros {
        self.next_due.max(self.last_run).saturating_add(self.timing.period)
    }

    fn evidence(&self, now: Micros) -> Evidence {
        let members = &self.stabilizer.view().members;
        Evidence {
            known: self.unconfirmed.is_none() && now < self.stale_at() && !self.identity.is_muted(),
            leaving: self.identity.is_leaving(),
            duplicate_name: self.identity.has_duplicate(now, self.timing.duplicate_timeout),
            view_size: members.len(),
            roster_size: self.roster.len(),
            majority: self.roster.is_majority(|id| members.contains_key(&id)),
            supported: self.roster.is_majority(|id| self.support.is_valid(now, id)),
        }
    }

    /// Returns the number of senders among which shared limits are divided, this one included. It grows as
    /// soon as a member is known to be present and falls with the stable view only, so that the others reduce
    /// their share before a returning member takes its own.
    pub fn senders(&self, now: Micros) -> usize {
        match self.permits(now).share {
            Share::View => self.view().members.len().max(self.members.present().len() + 1),
            Share::Roster | Share::Nothing => self.roster.len(),
        }
    }

    /// Returns the time at which [`Membership::tick`] must be called if no packet arrives before.
    pub fn next_wake(&self) -> Micros {
        let suspicion = self.members.next_suspicion_deadline().unwrap_or(Micros::MAX);
        let view = self.stabilizer.next_wake(self.members.suspect_count()).unwrap_or(Micros::MAX);
        let confirmation = self.unconfirmed.map_or(Micros::MAX, |(_, until)| until);
        let support = if self.timing.collect_support { self.next_support_request } else { Micros::MAX };
        let periodic = self.next_reconnect.min(self.next_sync).min(support);
        let probe = if self.identity.is_muted() { Micros::MAX } else { self.detector.next_wake() };
        probe.min(suspicion).min(view).min(confirmation).min(periodic).max(self.last_run + 1)
    }

    /// Returns and clears the actions that the host must carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    // ---- Input ----

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Micros) {
        let now = self.advance_clock(now);
        for dead in self.members.expired_suspicions(now, self.local_id) {
            self.members.apply(now, dead);
        }
        let mut actions = Vec::new();
        if !self.identity.is_muted() {
            self.detector.tick(now, self.members.present(), &mut self.rng, &mut actions);
        }
        for action in actions {
            self.perform(now, action);
        }
        if now >= self.next_reconnect {
            self.next_reconnect = now + self.timing.period;
            self.ping_missing();
        }
        if now >= self.next_sync {
            let spread = self.rng.random_range(0..self.timing.sync_period.max(2) / 2);
            self.next_sync = now + self.timing.sync_period * 3 / 4 + spread;
            self.sync();
        }
        if self.timing.collect_support && now >= self.next_support_request {
            self.next_support_request = now + self.timing.lease / 3;
            self.request_support(now);
        }
        self.reevaluate(now);
    }

    /// Handles a packet from the member that its header names.
    pub fn handle(&mut self, now: Micros, packet: Packet) {
        let now = self.advance_clock(now);
        let Packet { header, body, updates } = packet;
        let from = header.from;
        if !self.roster.contains(from) || updates.len() > MAX_UPDATES {
            self.rejected.unknown_senders += 1;
            return;
        }
        if from == self.local_id {
            // Another process under this name, or a packet of this process that the network returned.
            let record =
                Record { incarnation: header.incarnation, health: Health::Alive, instance: header.instance };
            self.observe_own_record(now, &record);
            self.reevaluate(now);
            return;
        }
        self.observe_header(now, &header);
        updates.into_iter().for_each(|update| self.apply_update(now, update));
        match body {
            Body::Ping { seq } => self.send(from, Body::Ack { seq }),
            Body::PingReq { seq, target } if target != self.local_id && self.roster.contains(target) => {
                if let Some(action) = self.detector.handle_ping_req(now, from, seq, target) {
                    self.perform(now, action);
                }
            }
            Body::PingReq { .. } => self.rejected.updates += 1,
            Body::Ack { seq } => {
                if self.unconfirmed.is_some_and(|(after, _)| seq > after) {
                    self.unconfirmed = None;
                }
                if let Some(action) = self.detector.handle_ack(seq, from) {
                    self.perform(now, action);
                }
            }
            Body::Nack { seq } => self.detector.handle_nack(seq),
            Body::SupportRequest { at } => self.handle_support_request(now, &header, at),
            Body::SupportGrant { view, at } => self.handle_support_grant(now, &header, view, at),
            Body::Gossip => {}
        }
        self.notify_stale_sender(from, &header, body);
        self.reevaluate(now);
    }

    /// Returns the full state of this member, to be sent to another one.
    pub fn full_state(&self) -> FullState {
        let own = Update { about: self.local_id, record: self.identity.record(), by: self.local_id };
        let updates = std::iter::once(own).chain(self.members.all_updates()).collect();
        FullState { header: self.header(), updates }
    }

    /// Merges the full state of another member. Returns false if its sender is not in the roster or it has
    /// more updates than a roster has members.
    pub fn merge_full_state(&mut self, now: Micros, state: FullState) -> bool {
        let now = self.advance_clock(now);
        if !self.roster.contains(state.header.from) || state.updates.len() > crate::roster::MAX_MEMBERS {
            self.rejected.unknown_senders += 1;
            return false;
        }
        if state.header.from != self.local_id {
            self.observe_header(now, &state.header);
        }
        state.updates.into_iter().for_each(|update| self.apply_update(now, update));
        self.reevaluate(now);
        true
    }

    /// Reports that the boot number of [`Output::Persist`] is written to the state folder.
    pub fn boot_persisted(&mut self, now: Micros, boot: u64) {
        self.identity.boot_persisted(boot);
        self.members.announce(Update {
            about: self.local_id,
            record: self.identity.record(),
            by: self.local_id,
        });
        self.reevaluate(now);
    }

    /// Announces that this member leaves, so that the others need not detect it as a failure.
    pub fn leave(&mut self, now: Micros) {
        self.identity.leave();
        self.members.announce(Update {
            about: self.local_id,
            record: self.identity.record(),
            by: self.local_id,
        });
        let mut present = self.members.present().to_vec();
        rand::seq::SliceRandom::shuffle(&mut present[..], &mut self.rng);
        present.into_iter().take(LEAVE_FANOUT).for_each(|to| self.send(to, Body::Gossip));
        self.reevaluate(now);
    }

    /// Puts another roster into force.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not follow the one in force, or if it does not contain this member.
    pub fn change_roster(&mut self, now: Micros, next: Roster) -> Result<(), RosterError> {
        next.follows(&self.roster)?;
        if !next.contains(self.local_id) {
            return Err(RosterError::NotAMember(
                self.roster.name_of(self.local_id).unwrap_or_default().to_owned(),
            ));
        }
        self.members.set_roster(now, &next, self.local_id);
        self.stabilizer.set_roster(next.reference());
        self.support.set_view(self.stabilizer.view().id);
        self.roster = next;
        self.reevaluate(now);
        Ok(())
    }

    // ---- Internals ----

    /// Advances the clock and returns it; it never goes back. A call that comes a period or more after it was
    /// due shows that this process was stopped: missing packets are then no evidence against the other
    /// members, and the state is not confirmed until one of them answers a probe.
    fn advance_clock(&mut self, now: Micros) -> Micros {
        let now = now.max(self.last_run);
        let late = now.saturating_sub(self.next_due.max(self.last_run));
        if late >= self.timing.period {
            // Only probes with a higher number are sent after the process runs again.
            let after = self.detector.last_seq();
            self.unconfirmed = (self.roster.len() > 1).then_some((after, now + self.timing.max_settle));
            self.members.extend_suspicions(late);
            self.detector.resume(now);
            self.outputs.push(Output::Event(Event::Resumed(late)));
        } else if late >= self.timing.period / 4 {
            self.detector.health.degrade(1);
        }
        self.last_run = now;
        self.next_due = self.next_due.max(now);
        now
    }

    fn header(&self) -> Header {
        let record = self.identity.record();
        Header {
            from: self.local_id,
            incarnation: record.incarnation,
            instance: record.instance,
            roster: self.roster.reference(),
            view: self.stabilizer.view().id,
        }
    }

    fn send(&mut self, to: MemberId, body: Body) {
        self.send_about(to, body, None);
    }

    /// Sends a packet with the update about `subject` in front. This protects a suspected member that answers
    /// through helpers: its refutation may not have reached the prober by gossip, and no header of its own
    /// arrives there.
    fn send_about(&mut self, to: MemberId, body: Body, subject: Option<MemberId>) {
        // Nothing is sent before the boot number is on disk, nor while another process uses the same name:
        // probes of a duplicate would make both outbid each other without end.
        if self.identity.is_muted()
            || self.identity.has_duplicate(self.last_run, self.timing.duplicate_timeout)
        {
            return;
        }
        let mut updates = self.members.updates_for(to, MAX_UPDATES - usize::from(subject.is_some()));
        if let Some(first) = subject.and_then(|id| self.members.update_about(id)) {
            updates.retain(|update| update.about != first.about);
            updates.insert(0, first);
        }
        let packet = Packet { header: self.header(), body, updates };
        self.outputs.push(Output::Send { to, packet });
    }

    /// Carries out an action of the failure detector.
    fn perform(&mut self, now: Micros, action: Action) {
        match action {
            Action::Ping(to, seq) => self.send(to, Body::Ping { seq }),
            Action::PingReq(to, seq, target) => {
                self.send_about(to, Body::PingReq { seq, target }, Some(target));
            }
            Action::Ack(to, seq, target) => self.send_about(to, Body::Ack { seq }, Some(target)),
            Action::Nack(to, seq) => self.send(to, Body::Nack { seq }),
            Action::Suspect(id) => {
                let Some(record) = self.members.get(id).map(|e| e.record).filter(|r| r.health.is_present())
                else {
                    return;
                };
                let record = Record { health: Health::Suspect, ..record };
                self.members.apply(now, Update { about: id, record, by: self.local_id });
            }
        }
    }

    /// Applies a packet header as an update of the sender about itself.
    fn observe_header(&mut self, now: Micros, header: &Header) {
        let known = self.members.get(header.from).and_then(|e| e.roster);
        if header.roster != self.roster.reference() && known != Some(header.roster) {
            let event = Event::RosterMismatch { member: header.from, roster: header.roster };
            self.outputs.push(Output::Event(event));
        }
        self.members.packet_received(now, header.from, header.roster);
        let record =
            Record { incarnation: header.incarnation, health: Health::Alive, instance: header.instance };
        self.apply_update(now, Update { about: header.from, record, by: header.from });
    }

    fn apply_update(&mut self, now: Micros, update: Update) {
        if update.about == self.local_id {
            self.observe_own_record(now, &update.record);
        } else if self.members.apply(now, update) == UpdateOutcome::Rejected {
            self.rejected.updates += 1;
        }
    }

    fn observe_own_record(&mut self, now: Micros, record: &Record) {
        match self.identity.observe(now, record) {
            SelfUpdate::Unchanged => {}
            SelfUpdate::Refuted => {
                // This process may be suspected because it is slow itself.
                self.detector.health.degrade(1);
                self.members.announce(Update {
                    about: self.local_id,
                    record: self.identity.record(),
                    by: self.local_id,
                });
            }
            SelfUpdate::Persist(boot) => self.outputs.push(Output::Persist { boot }),
        }
    }

    /// Sends a member its known record at once if it is taken for suspected or dead, or if its packet has an
    /// older incarnation, so that it can refute.
    fn notify_stale_sender(&mut self, from: MemberId, header: &Header, body: Body) {
        let Some(entry) = self.members.get(from) else { return };
        let is_contradicted = !matches!(entry.record.health, Health::Alive | Health::Left)
            || entry.record.incarnation > header.incarnation;
        if !is_contradicted || matches!(body, Body::Ping { .. }) && entry.record.health != Health::Alive {
            // The ack to a ping carries the update.
            return;
        }
        let update = Update { about: from, record: entry.record, by: entry.source.unwrap_or(from) };
        if self.identity.is_muted()
            || self.identity.has_duplicate(self.last_run, self.timing.duplicate_timeout)
        {
            return;
        }
        let packet = Packet { header: self.header(), body: Body::Gossip, updates: vec![update] };
        self.outputs.push(Output::Send { to: from, packet });
    }

    /// Pings a few of the members that are unknown or dead.
    fn ping_missing(&mut self) {
        let missing: Vec<MemberId> = self.members.missing().collect();
        for _ in 0..RECONNECT_PINGS.min(missing.len()) {
            let to = missing[self.rng.random_range(0..missing.len())];
            // Not a probe: a missing answer has no effect.
            self.send(to, Body::Ping { seq: 0 });
        }
    }

    /// Starts an exchange of the full state with a random present member, or with a missing one if none is
    /// present.
    fn sync(&mut self) {
        let present = self.members.present();
        let peers: Vec<MemberId> =
            if present.is_empty() { self.members.missing().collect() } else { present.to_vec() };
        if !peers.is_empty() && !self.identity.is_muted() {
            let with = peers[self.rng.random_range(0..peers.len())];
            self.outputs.push(Output::Sync { with });
        }
    }

    /// Requests support from the voters in the view, this member included.
    fn request_support(&mut self, now: Micros) {
        if self.identity.is_leaving() {
            return;
        }
        let view = self.stabilizer.view();
        let id = view.id;
        let voters: Vec<MemberId> = self.roster.voters().filter(|v| view.members.contains_key(v)).collect();
        for voter in voters {
            if voter != self.local_id {
                self.send(voter, Body::SupportRequest { at: now });
            } else if self.may_vote(now) && self.voter.try_support(now, id, self.lease) {
                self.support.record_grant(voter, id, now, self.lease);
            }
        }
    }

    fn may_vote(&self, now: Micros) -> bool {
        !self.identity.is_muted()
            && !self.identity.is_leaving()
            && !self.identity.has_duplicate(now, self.timing.duplicate_timeout)
    }

    /// Grants support to a member that holds the same view.
    fn handle_support_request(&mut self, now: Micros, header: &Header, at: Micros) {
        let view = self.stabilizer.view().id;
        let votes = self.may_vote(now) && self.roster.voters().any(|id| id == self.local_id);
        if votes && header.view == view && self.voter.try_support(now, view, self.lease) {
            self.send(header.from, Body::SupportGrant { view, at });
        }
    }

    fn handle_support_grant(&mut self, now: Micros, header: &Header, view: crate::id::ViewId, at: Micros) {
        let boot = self.stabilizer.view().members.get(&header.from);
        let votes = self.roster.voters().any(|id| id == header.from);
        // Rejects grants with a request time in the future, from members without a vote, and from a process
        // other than the one in the view.
        if at > now || !votes || (view == self.stabilizer.view().id && boot != Some(&header.incarnation.boot))
        {
            self.rejected.support += 1;
            return;
        }
        self.support.record_grant(header.from, view, at, self.lease);
    }

    /// Returns whether the view has changed. Skips the scan of all members if none of them has changed since
    /// the last one, which is the common case.
    fn update_view(&mut self, now: Micros) -> bool {
        let boot = self.identity.incarnation().boot;
        let current = (self.members.change_count(), boot);
        if self.observed == Some(current) && self.stabilizer.is_idle() {
            return false;
        }
        self.observed = Some(current);
        let mut present = self.members.present_boots();
        present.insert(self.local_id, boot);
        self.stabilizer.observe(now, present, self.members.suspect_count(), self.roster.reference())
    }

    /// Updates view, confirmation, reported state and next due time after any input.
    fn reevaluate(&mut self, now: Micros) {
        self.identity.expire_rivals(now, self.timing.duplicate_timeout);
        if self.update_view(now) {
            let view = self.stabilizer.view().clone();
            self.support.set_view(view.id);
            self.next_support_request = now;
            if self.unconfirmed.is_some_and(|(after, _)| after == u64::MAX) {
                self.unconfirmed = None;
            }
            self.outputs.push(Output::Event(Event::ViewChanged(view)));
        }
        if self.unconfirmed.is_some_and(|(_, until)| now >= until) {
            self.unconfirmed = None;
        }
        let state = self.state(now);
        if state != self.reported_state {
            self.outputs.push(Output::Event(Event::StateChanged { from: self.reported_state, to: state }));
            self.reported_state = state;
        }
        self.next_due = self.next_wake().max(now);
    }
}
