//! Members with clocks of their own, that stall, die and start again.

use crate::links::Links;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Microseconds: the world's, or a member's own.
pub type Micros = u64;

/// Packets that wait for a member that is stopped; what comes beyond is lost, as in a socket's buffer.
const BUFFER: usize = 256;

/// A member under test: it gets time and packets and says what it sends.
pub trait Member {
    /// What members say to each other.
    type Packet: Clone;

    /// Time has passed; `now` is its own clock.
    fn tick(&mut self, now: Micros);
    /// A packet has come.
    fn handle(&mut self, now: Micros, from: usize, packet: Self::Packet);
    /// What it sends by now.
    fn take_outgoing(&mut self) -> Vec<(usize, Self::Packet)>;
    /// When it wants to be called again, by its own clock.
    fn next_wake(&self) -> Micros;
}

/// A member's clock: where it stood when the world began, and how fast it goes.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// At the world's beginning (microseconds).
    pub offset: Micros,
    /// Against the world's: 1.01 is one in a hundred too fast.
    pub rate: f64,
}

impl Clock {
    fn local_time(&self, world: Micros) -> Micros {
        self.offset + (world as f64 * self.rate) as Micros
    }

    fn world_time(&self, own: Micros) -> Micros {
        ((own.saturating_sub(self.offset)) as f64 / self.rate).ceil() as Micros
    }
}

struct Slot<M: Member> {
    /// None while it is dead.
    member: Option<M>,
    clock: Clock,
    /// Stopped until then.
    stopped: Micros,
    waiting: VecDeque<(usize, M::Packet)>,
    wake: Micros,
    life: u64,
}

enum What<P> {
    Wake { life: u64 },
    Packet { from: usize, packet: P },
    Go,
}

struct Due<P> {
    at: Micros,
    number: u64,
    to: usize,
    what: What<P>,
}

impl<P> PartialEq for Due<P> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl<P> Eq for Due<P> {}
impl<P> PartialOrd for Due<P> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<P> Ord for Due<P> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// What a script does to the world.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessFault {
    /// Stops a member for so long (microseconds).
    Stall(usize, Micros),
    /// Ends a member with no warning.
    Kill(usize),
}

/// A world of members in virtual time.
pub struct Fleet<M: Member> {
    now: Micros,
    slots: Vec<Slot<M>>,
    due: BinaryHeap<Reverse<Due<M::Packet>>>,
    number: u64,
    rng: ChaCha8Rng,
    /// The network.
    pub links: Links,
    /// Packets that were sent, by sender.
    pub sent: Vec<u64>,
    /// The size of what was sent, where it is counted (bytes), by sender.
    pub bytes: Vec<u64>,
    size: fn(&M::Packet) -> usize,
}

impl<M: Member> Fleet<M> {
    /// A world with no members yet.
    pub fn new(seed: u64, links: Links, size: fn(&M::Packet) -> usize) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Fleet {
            now: 0,
            slots: Vec::new(),
            due: BinaryHeap::new(),
            number: 0,
            rng,
            links,
            sent: Vec::new(),
            bytes: Vec::new(),
            size,
        }
    }

    /// The world's time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// A place for a member, with its clock; nobody is there yet. Its number.
    pub fn add_slot(&mut self, clock: Clock) -> usize {
        let waiting = VecDeque::new();
        self.slots.push(Slot { member: None, clock, stopped: 0, waiting, wake: 0, life: 0 });
        self.sent.push(0);
        self.bytes.push(0);
        self.slots.len() - 1
    }

    /// A member's own clock now.
    pub fn local_time(&self, number: usize) -> Micros {
        self.slots[number].clock.local_time(self.now)
    }

    /// A member starts at its place.
    pub fn start(&mut self, number: usize, member: M) {
        let slot = &mut self.slots[number];
        slot.member = Some(member);
        slot.life += 1;
        slot.stopped = 0;
        slot.waiting.clear();
        slot.wake = 0;
        self.run(number, |_, _| {});
    }

    /// The member at a place, if one lives there.
    pub fn member(&self, number: usize) -> Option<&M> {
        self.slots[number].member.as_ref()
    }

    /// The member at a place, to be changed: what it wants to send goes out at its next event.
    pub fn member_mut(&mut self, number: usize) -> Option<&mut M> {
        self.slots[number].member.as_mut()
    }

    /// How many places there are.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether a member is stopped now.
    pub fn is_stopped(&self, number: usize) -> bool {
        self.now < self.slots[number].stopped
    }

    /// Does what a script says.
    pub fn inject(&mut self, act: &ProcessFault) {
        match *act {
            ProcessFault::Stall(number, span) => {
                let until = self.now + span;
                let slot = &mut self.slots[number];
                slot.stopped = slot.stopped.max(until);
                self.push(until, number, What::Go);
            }
            ProcessFault::Kill(number) => self.slots[number].member = None,
        }
    }

    fn push(&mut self, at: Micros, to: usize, what: What<M::Packet>) {
        self.number += 1;
        self.due.push(Reverse(Due { at, number: self.number, to, what }));
    }

    /// Plays until the world's time is `end`.
    pub fn run_until(&mut self, end: Micros) {
        while let Some(Reverse(due)) = self.due.pop_if_due(end) {
            self.now = self.now.max(due.at);
            let (now, to) = (self.now, due.to);
            let slot = &mut self.slots[to];
            if slot.member.is_none() {
                continue;
            }
            if now < slot.stopped {
                if let What::Packet { from, packet } = due.what
                    && slot.waiting.len() < BUFFER
                {
                    slot.waiting.push_back((from, packet));
                }
                continue;
            }
            match due.what {
                // Of an earlier life, or put off since to another time.
                What::Wake { life } if life != slot.life || due.at != slot.wake => {}
                What::Wake { .. } => {
                    slot.wake = 0;
                    self.run(to, |member, now| member.tick(now));
                }
                What::Packet { from, packet } => {
                    self.run(to, |member, now| member.handle(now, from, packet));
                }
                What::Go => {
                    // What waited in the socket's buffer comes before its own timers.
                    let waiting = std::mem::take(&mut slot.waiting);
                    for (from, packet) in waiting {
                        self.run(to, |member, now| member.handle(now, from, packet));
                    }
                    self.run(to, |member, now| member.tick(now));
                }
            }
        }
        self.now = self.now.max(end);
    }

    /// Lets a member do something, and carries what it sends.
    fn run(&mut self, number: usize, what: impl FnOnce(&mut M, Micros)) {
        let now = self.now;
        let slot = &mut self.slots[number];
        let own = slot.clock.local_time(now);
        let Some(member) = slot.member.as_mut() else { return };
        what(member, own);
        let (sends, wake) = (member.take_outgoing(), slot.clock.world_time(member.next_wake()).max(now + 1));
        let life = slot.life;
        if slot.wake == 0 || wake < slot.wake || slot.wake <= now {
            slot.wake = wake;
            self.push(wake, number, What::Wake { life });
        }
        for (to, packet) in sends {
            self.sent[number] += 1;
            self.bytes[number] += (self.size)(&packet) as u64;
            for at in self.links.get(number, to).delivery_times(now, &mut self.rng) {
                self.push(at, to, What::Packet { from: number, packet: packet.clone() });
            }
        }
    }
}

trait PopIfDue<P> {
    fn pop_if_due(&mut self, end: Micros) -> Option<Reverse<Due<P>>>;
}

impl<P> PopIfDue<P> for BinaryHeap<Reverse<Due<P>>> {
    fn pop_if_due(&mut self, end: Micros) -> Option<Reverse<Due<P>>> {
        if self.peek().is_some_and(|Reverse(due)| due.at <= end) { self.pop() } else { None }
    }
}
