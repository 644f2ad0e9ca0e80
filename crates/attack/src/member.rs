//! A member of a fleet in the kernel's virtual time.

use std::collections::HashMap;
use std::rc::Rc;
use yarrowhill_fleet::{MAX_FULL_STATE_BYTES, MAX_PACKET_BYTES, encode};
use yarrowhill_kernel::{Clock, Fleet, Links, Member, Micros};
use yarrowhill_membership::{
    Event, FullState, InstanceId, MemberConfig, MemberId, Membership, Output, Packet, Roster, Timing,
};

/// What goes over the network.
#[derive(Clone, Debug)]
pub enum Msg {
    /// By UDP.
    Packet(Packet),
    /// By TCP: a whole view that wants an answer,
    Whole(Box<FullState>),
    /// and the answer.
    Answer(Box<FullState>),
}

/// The bytes of a message.
pub fn size(msg: &Msg) -> usize {
    match msg {
        Msg::Packet(packet) => encode(packet, MAX_PACKET_BYTES).map_or(usize::MAX, |b| b.len()),
        Msg::Whole(whole) | Msg::Answer(whole) => {
            encode(&**whole, MAX_FULL_STATE_BYTES).map_or(usize::MAX, |b| b.len())
        }
    }
}

/// A folder that outlasts the member.
#[derive(Clone, Debug, Default)]
pub struct Folder {
    /// Each boot number that was written, in order.
    pub boots: Vec<u64>,
    /// Nothing more fits.
    pub full: bool,
}

impl Folder {
    /// The boot number that a start counts from it, written; none if the disk is full.
    pub fn count(&mut self) -> Option<u64> {
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

/// A member at its place.
pub struct Seated {
    /// The member under attack.
    pub core: Membership,
    /// Its folder.
    pub folder: Folder,
    /// What it told, by its own clock.
    pub events: Vec<(Micros, Event)>,
    numbers: Rc<HashMap<MemberId, usize>>,
    owed: Option<u64>,
    out: Vec<(usize, Msg)>,
}

impl Seated {
    fn collect(&mut self, now: Micros) {
        if let Some(boot) = self.owed
            && self.folder.write(boot)
        {
            self.owed = None;
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
                        self.out.extend(self.numbers.get(&to).map(|n| (*n, Msg::Packet(packet))));
                    }
                    Output::Sync { with } => {
                        let whole = Box::new(self.core.full_state());
                        self.out.extend(self.numbers.get(&with).map(|n| (*n, Msg::Whole(whole))));
                    }
                    Output::Persist { boot } if self.folder.write(boot) => {
                        self.core.boot_persisted(now, boot)
                    }
                    Output::Persist { boot } => self.owed = Some(boot),
                    Output::Event(event) => self.events.push((now, event)),
                }
            }
        }
    }
}

impl Member for Seated {
    type Packet = Msg;

    fn tick(&mut self, now: Micros) {
        self.core.tick(now);
        self.collect(now);
    }

    fn handle(&mut self, now: Micros, from: usize, packet: Msg) {
        match packet {
            Msg::Packet(packet) => self.core.handle(now, packet),
            Msg::Whole(whole) => {
                if self.core.merge_full_state(now, *whole) {
                    self.out.push((from, Msg::Answer(Box::new(self.core.full_state()))));
                }
            }
            Msg::Answer(whole) => drop(self.core.merge_full_state(now, *whole)),
        }
        self.collect(now);
    }

    fn take_outgoing(&mut self) -> Vec<(usize, Msg)> {
        std::mem::take(&mut self.out)
    }

    fn next_wake(&self) -> Micros {
        self.core.next_wake()
    }
}

/// A fleet in virtual time, with the folders of its members.
pub struct World {
    /// The members.
    pub fleet: Fleet<Seated>,
    /// Their names, by number.
    pub names: Vec<String>,
    /// Folders of members that are dead, by number.
    pub folders: Vec<Folder>,
    /// Their ids, by number.
    pub ids: Vec<MemberId>,
    roster: Roster,
    timing: Timing,
    numbers: Rc<HashMap<MemberId, usize>>,
    lives: u64,
    seed: u64,
}

impl World {
    /// A fleet of `size`, none of whom has started. Clocks start anywhere within a day, and their rates are right
    /// within the timing's drift, one at each end and the others between.
    pub fn new(size: usize, timing: Timing, links: Links, seed: u64) -> Self {
        let names: Vec<String> = (0..size).map(|n| format!("n{n}")).collect();
        let seat = |(n, name): (usize, &String)| MemberConfig {
            name: name.clone(),
            zone: format!("z{}", n % 3),
            votes: None,
        };
        let list = names.iter().enumerate().map(seat).collect();
        let roster = Roster::new(1, list).unwrap_or_else(|e| unreachable!("{e}"));
        let ids: Vec<MemberId> = names.iter().map(|name| MemberId::from_name(name)).collect();
        let numbers = Rc::new(ids.iter().enumerate().map(|(n, id)| (*id, n)).collect());
        let mut fleet = Fleet::new(seed, links, self::size);
        for n in 0..size {
            let rate = 1.0 + timing.drift * (2.0 * n as f64 / (size.max(2) - 1) as f64 - 1.0);
            let offset = (n as u64 * 7_919_000_000 + seed * 104_729) % 86_400_000_000;
            fleet.add_slot(Clock { offset, rate });
        }
        let folders = vec![Folder::default(); size];
        World { fleet, names, folders, ids, roster, timing, numbers, lives: 0, seed }
    }

    /// A member starts with its folder as it is.
    pub fn start(&mut self, number: usize) {
        let mut folder = std::mem::take(&mut self.folders[number]);
        let Some(boot) = folder.count() else {
            self.folders[number] = folder;
            return;
        };
        self.lives += 1;
        let (now, name) = (self.fleet.local_time(number), &self.names[number]);
        let (life, seed) = (InstanceId(self.lives), self.seed ^ (self.lives << 20));
        let core = Membership::new(now, self.roster.clone(), name, boot, life, self.timing, seed)
            .unwrap_or_else(|e| unreachable!("{e}"));
        let (numbers, events) = (self.numbers.clone(), Vec::new());
        let seated = Seated { core, folder, events, numbers, owed: None, out: Vec::new() };
        self.fleet.start(number, seated);
    }

    /// A member ends with no warning; its folder stays as it was.
    pub fn kill(&mut self, number: usize) {
        if let Some(seated) = self.fleet.member(number) {
            self.folders[number] = seated.folder.clone();
        }
        self.fleet.inject(&yarrowhill_kernel::ProcessFault::Kill(number));
    }

    /// The number of a member.
    pub fn number(&self, id: MemberId) -> Option<usize> {
        self.numbers.get(&id).copied()
    }

    /// The protocol's spans.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }
}
