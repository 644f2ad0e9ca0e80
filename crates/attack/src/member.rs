//! A simulated membership fleet in the kernel's virtual time.

use std::collections::HashMap;
use std::rc::Rc;
use yarrowhill_fleet::{MAX_FULL_STATE_BYTES, MAX_PACKET_BYTES, encode};
use yarrowhill_kernel::{Clock, Fleet, Links, Member, Micros};
use yarrowhill_membership::{
    Event, FullState, InstanceId, MemberConfig, MemberId, Membership, Output, Packet, Roster, Timing,
};

/// A message between members.
#[derive(Clone, Debug)]
pub enum Message {
    /// A protocol packet, sent by UDP in production.
    Packet(Packet),
    /// A full state that asks for the peer's full state, sent by TCP in production.
    FullState(Box<FullState>),
    /// The reply to [`Message::FullState`].
    FullStateReply(Box<FullState>),
}

/// Returns the encoded size of a message (bytes), or `usize::MAX` if it cannot be encoded.
pub fn size(message: &Message) -> usize {
    match message {
        Message::Packet(packet) => encode(packet, MAX_PACKET_BYTES).map_or(usize::MAX, |b| b.len()),
        Message::FullState(full_state) | Message::FullStateReply(full_state) => {
            encode(&**full_state, MAX_FULL_STATE_BYTES).map_or(usize::MAX, |b| b.len())
        }
    }
}

/// A member's state folder, which survives restarts.
#[derive(Clone, Debug, Default)]
pub struct StateFolder {
    /// Boot numbers in the order in which they were written.
    pub boots: Vec<u64>,
    /// Whether the disk is full, so that every write fails.
    pub full: bool,
}

impl StateFolder {
    /// Writes and returns the boot number of a new start, or `None` if the disk is full.
    pub fn begin_boot(&mut self) -> Option<u64> {
        let boot = self.boots.last().copied().unwrap_or(0) + 1;
        self.write(boot).then_some(boot)
    }

    fn write(&mut self, boot: u64) -> bool {
        if !self.full {
            self.boots.push(boot);
        }
        !self.full
    }
}

/// A running member of a [`Simulation`].
pub struct SimulatedMember {
    /// The membership state machine under test.
    pub core: Membership,
    /// State folder of the member.
    pub folder: StateFolder,
    /// Events that it has emitted, with the member's local time of each.
    pub events: Vec<(Micros, Event)>,
    slots: Rc<HashMap<MemberId, usize>>,
    pending_boot: Option<u64>,
    outgoing: Vec<(usize, Message)>,
}

impl SimulatedMember {
    fn collect(&mut self, now: Micros) {
        if let Some(boot) = self.pending_boot
            && self.folder.write(boot)
        {
            self.pending_boot = None;
            self.core.boot_persisted(now, boot);
        }
        loop {
            let outputs = self.core.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    Output::Send { to, packet } => {
                        self.outgoing.extend(self.slots.get(&to).map(|n| (*n, Message::Packet(packet))));
                    }
                    Output::Sync { with } => {
                        let full_state = Box::new(self.core.full_state());
                        self.outgoing
                            .extend(self.slots.get(&with).map(|n| (*n, Message::FullState(full_state))));
                    }
                    Output::Persist { boot } if self.folder.write(boot) => {
                        self.core.boot_persisted(now, boot)
                    }
                    Output::Persist { boot } => self.pending_boot = Some(boot),
                    Output::Event(event) => self.events.push((now, event)),
                }
            }
        }
    }
}

impl Member for SimulatedMember {
    type Packet = Message;

    fn tick(&mut self, now: Micros) {
        self.core.tick(now);
        self.collect(now);
    }

    fn handle(&mut self, now: Micros, from: usize, packet: Message) {
        match packet {
            Message::Packet(packet) => self.core.handle(now, packet),
            Message::FullState(full_state) => {
                if self.core.merge_full_state(now, *full_state) {
                    self.outgoing.push((from, Message::FullStateReply(Box::new(self.core.full_state()))));
                }
            }
            Message::FullStateReply(full_state) => drop(self.core.merge_full_state(now, *full_state)),
        }
        self.collect(now);
    }

    fn take_outgoing(&mut self) -> Vec<(usize, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    fn next_wake(&self) -> Micros {
        self.core.next_wake()
    }
}

/// A fleet in virtual time, with the state folders of its members. Members are addressed by slot.
pub struct Simulation {
    /// Running members and the network between them.
    pub fleet: Fleet<SimulatedMember>,
    /// Member names by slot.
    pub names: Vec<String>,
    /// State folders of stopped members by slot; a running member holds its own folder.
    pub folders: Vec<StateFolder>,
    /// Member ids by slot.
    pub ids: Vec<MemberId>,
    roster: Roster,
    timing: Timing,
    slots: Rc<HashMap<MemberId, usize>>,
    instance_count: u64,
    seed: u64,
}

impl Simulation {
    /// Creates a fleet of `size` members, none of them started. Clock offsets are spread over a day. Clock
    /// rates are spread evenly over the timing's drift bound, with one member at each end of the range.
    pub fn new(size: usize, timing: Timing, links: Links, seed: u64) -> Self {
        let names: Vec<String> = (0..size).map(|n| format!("n{n}")).collect();
        let config = |(n, name): (usize, &String)| MemberConfig {
            name: name.clone(),
            zone: format!("z{}", n % 3),
            votes: None,
        };
        let configs = names.iter().enumerate().map(config).collect();
        let roster = Roster::new(1, configs).unwrap_or_else(|e| unreachable!("{e}"));
        let ids: Vec<MemberId> = names.iter().map(|name| MemberId::from_name(name)).collect();
        let slots = Rc::new(ids.iter().enumerate().map(|(n, id)| (*id, n)).collect());
        let mut fleet = Fleet::new(seed, links, self::size);
        for n in 0..size {
            let rate = 1.0 + timing.drift * (2.0 * n as f64 / (size.max(2) - 1) as f64 - 1.0);
            let offset = (n as u64 * 7_919_000_000 + seed * 104_729) % 86_400_000_000;
            fleet.add_slot(Clock { offset, rate });
        }
        let folders = vec![StateFolder::default(); size];
        Simulation { fleet, names, folders, ids, roster, timing, slots, instance_count: 0, seed }
    }

    /// Starts a member with the current contents of its state folder. Does nothing if the disk is full.
    pub fn start(&mut self, slot: usize) {
        let mut folder = std::mem::take(&mut self.folders[slot]);
        let Some(boot) = folder.begin_boot() else {
            self.folders[slot] = folder;
            return;
        };
        self.instance_count += 1;
        let (now, name) = (self.fleet.local_time(slot), &self.names[slot]);
        let (instance, seed) = (InstanceId(self.instance_count), self.seed ^ (self.instance_count << 20));
        let core = Membership::new(now, self.roster.clone(), name, boot, instance, self.timing, seed)
            .unwrap_or_else(|e| unreachable!("{e}"));
        let (slots, events) = (self.slots.clone(), Vec::new());
        let member =
            SimulatedMember { core, folder, events, slots, pending_boot: None, outgoing: Vec::new() };
        self.fleet.start(slot, member);
    }

    /// Kills a member without warning; its state folder stays as it was.
    pub fn kill(&mut self, slot: usize) {
        if let Some(member) = self.fleet.member(slot) {
            self.folders[slot] = member.folder.clone();
        }
        self.fleet.inject(&yarrowhill_kernel::ProcessFault::Kill(slot));
    }

    /// Returns the slot of a member.
    pub fn slot_of(&self, id: MemberId) -> Option<usize> {
        self.slots.get(&id).copied()
    }

    /// Returns the protocol's timing parameters.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }
}
