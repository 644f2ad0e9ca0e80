//! One member: packets and time come in, packets, timers and events go out.

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

/// Of those that leave, so many are told at once; the rest hear it from them.
const FAREWELLS: usize = 16;
/// Members that are missing are tried at each period, so many: what was cut in two finds itself again.
const KNOCKS: usize = 2;

/// Spans of the protocol (microseconds).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two probes. All else follows from it unless it is set.
    pub period: Micros,
    /// Between two exchanges of all that is known.
    pub sync_period: Micros,
    /// What is heard must be the same for so long before it becomes the view,
    pub settle: Micros,
    /// or differ from it for this long.
    pub max_settle: Micros,
    /// How long support for a view holds.
    pub lease: Micros,
    /// Clock rates are right within this part of 1.
    pub drift: f64,
    /// Another life under the own name is held to be gone after this silence.
    pub duplicate_timeout: Micros,
    /// Whether support is asked for all the time. Where it is not, nobody is ever more than unsettled.
    pub collect_support: bool,
}

impl Timing {
    /// What follows from a probe period: the lease is long enough for two lost packets in a row.
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

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a packet.
    Send {
        /// To whom.
        to: MemberId,
        /// What.
        packet: Packet,
    },
    /// Exchange [`Membership::full_state`] with a member.
    Sync {
        /// With whom.
        with: MemberId,
    },
    /// Write this boot number to the folder and call [`Membership::boot_persisted`]; nothing is said before.
    Persist {
        /// The boot.
        boot: u64,
    },
    /// For whoever wants to know.
    Event(Event),
}

/// What has changed for good, not each rumour.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Another stable view.
    ViewChanged(View),
    /// Another standing.
    StateChanged {
        /// Before.
        from: MembershipState,
        /// Now.
        to: MembershipState,
    },
    /// A member goes by another roster.
    RosterMismatch {
        /// Which.
        member: MemberId,
        /// Its roster.
        roster: RosterRef,
    },
    /// This process was stopped for so long (microseconds).
    Resumed(Micros),
}

/// What was refused, by reason: told to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejected {
    /// Packets of nobody of the roster, or of oneself.
    pub unknown_senders: u64,
    /// Words that cannot be true, or about nobody of the roster.
    pub updates: u64,
    /// Support that was not asked for, or of an earlier boot.
    pub support: u64,
}

/// One member of a fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    timing: Timing,
    lease: Lease,
    roster: Roster,
    me: MemberId,
    identity: Identity,
    members: Members,
    detector: Detector,
    settler: ViewStabilizer,
    /// The changes of members, and the own boot, that the settler has seen.
    settled_of: Option<(u64, u64)>,
    voter: Voter,
    support: Support,
    rng: ChaCha8Rng,
    /// When it last looked at anything, and when it meant to look again.
    seen: Micros,
    due: Micros,
    /// Not sure of itself: until an answer to a probe after this number, or until this moment.
    unsure: Option<(u64, Micros)>,
    next_knock: Micros,
    next_sync: Micros,
    next_ask: Micros,
    told: MembershipState,
    refused: Rejected,
    outputs: Vec<Output>,
}

impl Membership {
    /// The member `me` of a roster, under a boot number that stands in its folder.
    ///
    /// # Errors
    ///
    /// It is not in the roster.
    pub fn new(
        now: Micros,
        roster: Roster,
        me: &str,
        boot: u64,
        life: InstanceId,
        timing: Timing,
        seed: u64,
    ) -> Result<Self, RosterError> {
        let id = MemberId::from_name(me);
        if !roster.contains(id) {
            return Err(RosterError::NotAMember(me.to_owned()));
        }
        let lease = Lease::new(timing.lease, timing.drift);
        let view = View::new(roster.reference(), [(id, boot)].into());
        let mut support = Support::default();
        support.set_view(view.id);
        let identity = Identity::new(boot, life);
        let mut members = Members::new(&roster, id, timing.period);
        members.announce(Update { about: id, record: identity.record(), by: id });
        let alone = roster.len() == 1;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Not all that start at once ask at once.
        let first = now + rng.random_range(0..timing.period.max(1)) / 4;
        Ok(Membership {
            lease,
            me: id,
            identity,
            members,
            detector: Detector::new(timing.period, first),
            settler: ViewStabilizer::new(now, timing.settle, timing.max_settle, view),
            settled_of: None,
            voter: Voter::new(now, lease),
            support,
            rng,
            seen: now,
            due: now,
            unsure: (!alone).then_some((u64::MAX, now + timing.max_settle)),
            next_knock: first,
            next_sync: first,
            next_ask: now,
            told: MembershipState::NotYetKnown,
            refused: Rejected::default(),
            outputs: Vec::new(),
            timing,
            roster,
        })
    }

    // ---- What it knows ----

    /// Its id.
    pub fn local_id(&self) -> MemberId {
        self.me
    }

    /// Its roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Its stable view.
    pub fn view(&self) -> &View {
        self.settler.view()
    }

    /// What it says of itself.
    pub fn local_record(&self) -> Record {
        self.identity.record()
    }

    /// What it knows of the others.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &MemberEntry)> {
        self.members.iter()
    }

    /// Counts up whenever what it knows of anybody changes.
    pub fn change_count(&self) -> u64 {
        self.members.change_count()
    }

    /// What it knows of another member.
    pub fn member(&self, id: MemberId) -> Option<&MemberEntry> {
        self.members.get(id)
    }

    /// What was refused.
    pub fn rejected(&self) -> Rejected {
        self.refused
    }

    /// What a voter's support is worth: until when it holds.
    pub fn support_until(&self, voter: MemberId) -> Micros {
        self.support.until(voter)
    }

    /// How it stands at a moment. To be asked at the last step before an act, with the clock read then: a process
    /// that was stopped between two looks has no support left, and is not sure of itself.
    pub fn state(&self, now: Micros) -> MembershipState {
        membership_state(&self.evidence(now))
    }

    /// What it may do at a moment.
    pub fn permits(&self, now: Micros) -> Permits {
        permits(self.state(now))
    }

    /// Until when its standing holds if nothing more is heard: whoever copies the standing copies this moment too.
    pub fn state_until(&self) -> Micros {
        let stale = self.stale_at();
        let mut ends: Vec<Micros> = self.roster.voters().map(|id| self.support.until(id)).collect();
        ends.sort_unstable();
        // The standing falls with the first end by which no majority is left.
        let falls = ends.into_iter().find(|at| !self.roster.is_majority(|id| self.support.is_valid(*at, id)));
        let supported = self.roster.is_majority(|id| self.support.is_valid(self.seen, id));
        if supported { falls.unwrap_or(stale).min(stale) } else { stale }
    }

    fn stale_at(&self) -> Micros {
        self.due.max(self.seen).saturating_add(self.timing.period)
    }

    fn evidence(&self, now: Micros) -> Evidence {
        let members = &self.settler.view().members;
        Evidence {
            known: self.unsure.is_none() && now < self.stale_at() && !self.identity.is_muted(),
            leaving: self.identity.is_leaving(),
            duplicate_name: self.identity.has_duplicate(now, self.timing.duplicate_timeout),
            view_size: members.len(),
            roster_size: self.roster.len(),
            majority: self.roster.is_majority(|id| members.contains_key(&id)),
            supported: self.roster.is_majority(|id| self.support.is_valid(now, id)),
        }
    }

    /// Senders among whom what all share is to be divided, this one counted: grows as soon as somebody is heard, and
    /// falls with the stable view alone. So the rest shrink before one that returns takes its part.
    pub fn senders(&self, now: Micros) -> usize {
        match self.permits(now).share {
            Share::View => self.view().members.len().max(self.members.present().len() + 1),
            Share::Roster | Share::Nothing => self.roster.len(),
        }
    }

    /// When [`Membership::tick`] is to be called, unless something comes before.
    pub fn next_wake(&self) -> Micros {
        let ends = self.members.next_suspicion_deadline().unwrap_or(Micros::MAX);
        let settles = self.settler.next_wake(self.members.suspect_count()).unwrap_or(Micros::MAX);
        let sure = self.unsure.map_or(Micros::MAX, |(_, until)| until);
        let asks = if self.timing.collect_support { self.next_ask } else { Micros::MAX };
        let own = self.next_knock.min(self.next_sync).min(asks);
        let probes = if self.identity.is_muted() { Micros::MAX } else { self.detector.next_wake() };
        probes.min(ends).min(settles).min(sure).min(own).max(self.seen + 1)
    }

    /// What the host is to do by now.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    // ---- What comes in ----

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        let now = self.look(now);
        for dead in self.members.expired_suspicions(now, self.me) {
            self.members.apply(now, dead);
        }
        let mut asks = Vec::new();
        if !self.identity.is_muted() {
            self.detector.tick(now, self.members.present(), &mut self.rng, &mut asks);
        }
        for ask in asks {
            self.ask(now, ask);
        }
        if now >= self.next_knock {
            self.next_knock = now + self.timing.period;
            self.knock();
        }
        if now >= self.next_sync {
            let spread = self.rng.random_range(0..self.timing.sync_period.max(2) / 2);
            self.next_sync = now + self.timing.sync_period * 3 / 4 + spread;
            self.sync();
        }
        if self.timing.collect_support && now >= self.next_ask {
            self.next_ask = now + self.timing.lease / 3;
            self.ask_support(now);
        }
        self.settled(now);
    }

    /// A packet has come, from whoever its header names.
    pub fn handle(&mut self, now: Micros, packet: Packet) {
        let now = self.look(now);
        let Packet { header, body, updates } = packet;
        let from = header.from;
        if !self.roster.contains(from) || updates.len() > MAX_UPDATES {
            self.refused.unknown_senders += 1;
            return;
        }
        if from == self.me {
            // Another process under this name, or the network's echo of this one.
            let record =
                Record { incarnation: header.incarnation, health: Health::Alive, instance: header.instance };
            self.own_word(now, &record);
            self.settled(now);
            return;
        }
        self.speaks(now, &header);
        updates.into_iter().for_each(|word| self.learn(now, word));
        match body {
            Body::Ping { seq } => self.send(from, Body::Ack { seq }),
            Body::PingReq { seq, target } if target != self.me && self.roster.contains(target) => {
                if let Some(ask) = self.detector.handle_ping_req(now, from, seq, target) {
                    self.ask(now, ask);
                }
            }
            Body::PingReq { .. } => self.refused.updates += 1,
            Body::Ack { seq } => {
                if self.unsure.is_some_and(|(after, _)| seq > after) {
                    self.unsure = None;
                }
                if let Some(ask) = self.detector.handle_ack(seq, from) {
                    self.ask(now, ask);
                }
            }
            Body::Nack { seq } => self.detector.handle_nack(seq),
            Body::SupportRequest { at } => self.asked(now, &header, at),
            Body::SupportGrant { view, at } => self.supported(now, &header, view, at),
            Body::Gossip => {}
        }
        self.refute(from, &header, body);
        self.settled(now);
    }

    /// All that it knows, for another member.
    pub fn full_state(&self) -> FullState {
        let own = Update { about: self.me, record: self.identity.record(), by: self.me };
        let updates = std::iter::once(own).chain(self.members.all_updates()).collect();
        FullState { header: self.header(), updates }
    }

    /// All that another member knows. False if it is nobody of the roster.
    pub fn merge_full_state(&mut self, now: Micros, whole: FullState) -> bool {
        let now = self.look(now);
        if !self.roster.contains(whole.header.from) || whole.updates.len() > crate::roster::MAX_MEMBERS {
            self.refused.unknown_senders += 1;
            return false;
        }
        if whole.header.from != self.me {
            self.speaks(now, &whole.header);
        }
        whole.updates.into_iter().for_each(|word| self.learn(now, word));
        self.settled(now);
        true
    }

    /// The folder holds a boot number that [`Output::Persist`] asked for.
    pub fn boot_persisted(&mut self, now: Micros, boot: u64) {
        self.identity.boot_persisted(boot);
        self.members.announce(Update { about: self.me, record: self.identity.record(), by: self.me });
        self.settled(now);
    }

    /// It goes: the others need not find that out.
    pub fn leave(&mut self, now: Micros) {
        self.identity.leave();
        self.members.announce(Update { about: self.me, record: self.identity.record(), by: self.me });
        let mut there = self.members.present().to_vec();
        rand::seq::SliceRandom::shuffle(&mut there[..], &mut self.rng);
        there.into_iter().take(FAREWELLS).for_each(|to| self.send(to, Body::Gossip));
        self.settled(now);
    }

    /// Another roster.
    ///
    /// # Errors
    ///
    /// It does not follow the one in force, or this process is not in it.
    pub fn change_roster(&mut self, now: Micros, next: Roster) -> Result<(), RosterError> {
        next.follows(&self.roster)?;
        if !next.contains(self.me) {
            return Err(RosterError::NotAMember(self.roster.name_of(self.me).unwrap_or_default().to_owned()));
        }
        self.members.set_roster(now, &next, self.me);
        self.settler.set_roster(next.reference());
        self.support.set_view(self.settler.view().id);
        self.roster = next;
        self.settled(now);
        Ok(())
    }

    // ---- Parts ----

    /// Looks at the clock. A process that looks much later than it meant to was stopped: what it has not heard since
    /// tells of itself, not of others, and it is sure of nothing until one of them answers it.
    fn look(&mut self, now: Micros) -> Micros {
        let now = now.max(self.seen);
        let late = now.saturating_sub(self.due.max(self.seen));
        if late >= self.timing.period {
            // Answers to probes numbered above this were asked for after now.
            let after = self.detector.last_seq();
            self.unsure = (self.roster.len() > 1).then_some((after, now + self.timing.max_settle));
            self.members.extend_suspicions(late);
            self.detector.resume(now);
            self.outputs.push(Output::Event(Event::Resumed(late)));
        } else if late >= self.timing.period / 4 {
            self.detector.health.degrade(1);
        }
        self.seen = now;
        self.due = self.due.max(now);
        now
    }

    fn header(&self) -> Header {
        let record = self.identity.record();
        Header {
            from: self.me,
            incarnation: record.incarnation,
            instance: record.instance,
            roster: self.roster.reference(),
            view: self.settler.view().id,
        }
    }

    fn send(&mut self, to: MemberId, body: Body) {
        self.send_about(to, body, None);
    }

    /// The same, with what is known of a third first. Guards one that is suspected and answers through helpers: the word
    /// by which it refuted that may have passed by whoever asks, and no header of its own comes there.
    fn send_about(&mut self, to: MemberId, body: Body, third: Option<MemberId>) {
        // Before the boot is on disk, and while another speaks under the same name, nothing is said. Probes of a
        // doubled one would keep a quarrel alive.
        if self.identity.is_muted() || self.identity.has_duplicate(self.seen, self.timing.duplicate_timeout) {
            return;
        }
        let mut updates = self.members.updates_for(to, MAX_UPDATES - usize::from(third.is_some()));
        if let Some(word) = third.and_then(|id| self.members.update_about(id)) {
            updates.retain(|update| update.about != word.about);
            updates.insert(0, word);
        }
        let packet = Packet { header: self.header(), body, updates };
        self.outputs.push(Output::Send { to, packet });
    }

    fn ask(&mut self, now: Micros, ask: Action) {
        match ask {
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
                self.members.apply(now, Update { about: id, record, by: self.me });
            }
        }
    }

    /// A packet's header is a word of its sender about itself.
    fn speaks(&mut self, now: Micros, header: &Header) {
        let known = self.members.get(header.from).and_then(|e| e.roster);
        if header.roster != self.roster.reference() && known != Some(header.roster) {
            let event = Event::RosterMismatch { member: header.from, roster: header.roster };
            self.outputs.push(Output::Event(event));
        }
        self.members.packet_received(now, header.from, header.roster);
        let record =
            Record { incarnation: header.incarnation, health: Health::Alive, instance: header.instance };
        self.learn(now, Update { about: header.from, record, by: header.from });
    }

    fn learn(&mut self, now: Micros, word: Update) {
        if word.about == self.me {
            self.own_word(now, &word.record);
        } else if self.members.apply(now, word) == UpdateOutcome::Rejected {
            self.refused.updates += 1;
        }
    }

    fn own_word(&mut self, now: Micros, record: &Record) {
        match self.identity.observe(now, record) {
            SelfUpdate::Unchanged => {}
            SelfUpdate::Refuted => {
                // To be suspected may be one's own slowness.
                self.detector.health.degrade(1);
                self.members.announce(Update { about: self.me, record: self.identity.record(), by: self.me });
            }
            SelfUpdate::Persist(boot) => self.outputs.push(Output::Persist { boot }),
        }
    }

    /// One that speaks while it is held to be suspected, dead or older than what is known hears that at once.
    fn refute(&mut self, from: MemberId, header: &Header, body: Body) {
        let Some(entry) = self.members.get(from) else { return };
        let wrong = !matches!(entry.record.health, Health::Alive | Health::Left)
            || entry.record.incarnation > header.incarnation;
        if !wrong || matches!(body, Body::Ping { .. }) && entry.record.health != Health::Alive {
            // An answer to a ping takes the word along.
            return;
        }
        let word = Update { about: from, record: entry.record, by: entry.source.unwrap_or(from) };
        if self.identity.is_muted() || self.identity.has_duplicate(self.seen, self.timing.duplicate_timeout) {
            return;
        }
        let packet = Packet { header: self.header(), body: Body::Gossip, updates: vec![word] };
        self.outputs.push(Output::Send { to: from, packet });
    }

    fn knock(&mut self) {
        let missing: Vec<MemberId> = self.members.missing().collect();
        for _ in 0..KNOCKS.min(missing.len()) {
            let to = missing[self.rng.random_range(0..missing.len())];
            // No probe: nothing follows if it is not answered.
            self.send(to, Body::Ping { seq: 0 });
        }
    }

    fn sync(&mut self) {
        let there = self.members.present();
        let of: Vec<MemberId> =
            if there.is_empty() { self.members.missing().collect() } else { there.to_vec() };
        if !of.is_empty() && !self.identity.is_muted() {
            let with = of[self.rng.random_range(0..of.len())];
            self.outputs.push(Output::Sync { with });
        }
    }

    /// Asks the voters of its view, itself among them.
    fn ask_support(&mut self, now: Micros) {
        if self.identity.is_leaving() {
            return;
        }
        let view = self.settler.view();
        let id = view.id;
        let voters: Vec<MemberId> = self.roster.voters().filter(|v| view.members.contains_key(v)).collect();
        for voter in voters {
            if voter != self.me {
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

    /// Somebody asks for support: given where both hold the same view.
    fn asked(&mut self, now: Micros, header: &Header, at: Micros) {
        let view = self.settler.view().id;
        let votes = self.may_vote(now) && self.roster.voters().any(|id| id == self.me);
        if votes && header.view == view && self.voter.try_support(now, view, self.lease) {
            self.send(header.from, Body::SupportGrant { view, at });
        }
    }

    fn supported(&mut self, now: Micros, header: &Header, view: crate::id::ViewId, at: Micros) {
        let boot = self.settler.view().members.get(&header.from);
        let votes = self.roster.voters().any(|id| id == header.from);
        // What was never asked, or by a process that is not the one of the view, is nobody's support.
        if at > now || !votes || (view == self.settler.view().id && boot != Some(&header.incarnation.boot)) {
            self.refused.support += 1;
            return;
        }
        self.support.record_grant(header.from, view, at, self.lease);
    }

    /// Whether the view is another one. Most packets change nothing of who is there, and cost no look at all members.
    fn step(&mut self, now: Micros) -> bool {
        let boot = self.identity.incarnation().boot;
        let of = (self.members.change_count(), boot);
        if self.settled_of == Some(of) && self.settler.is_idle() {
            return false;
        }
        self.settled_of = Some(of);
        let mut present = self.members.present_boots();
        present.insert(self.me, boot);
        self.settler.observe(now, present, self.members.suspect_count(), self.roster.reference())
    }

    /// What follows from all that was heard: view, certainty, standing.
    fn settled(&mut self, now: Micros) {
        self.identity.expire_rivals(now, self.timing.duplicate_timeout);
        if self.step(now) {
            let view = self.settler.view().clone();
            self.support.set_view(view.id);
            self.next_ask = now;
            if self.unsure.is_some_and(|(after, _)| after == u64::MAX) {
                self.unsure = None;
            }
            self.outputs.push(Output::Event(Event::ViewChanged(view)));
        }
        if self.unsure.is_some_and(|(_, until)| now >= until) {
            self.unsure = None;
        }
        let standing = self.state(now);
        if standing != self.told {
            self.outputs.push(Output::Event(Event::StateChanged { from: self.told, to: standing }));
            self.told = standing;
        }
        self.due = self.next_wake().max(now);
    }
}
