//! A simulated fleet: members with clocks of their own, which stall, die and start again.

use crate::links::Links;
use crate::time::Micros;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Maximum number of packets that are buffered for a stopped member. Further ones are lost, as with a socket
/// buffer.
const SOCKET_BUFFER: usize = 256;

/// A member under test: its input is time and packets, its output the packets to send.
pub trait Member {
    /// Packet between members.
    type Packet: Clone;

    /// Handles all timers that are due at `now` on its local clock.
    fn tick(&mut self, now: Micros);
    /// Handles a packet.
    fn handle(&mut self, now: Micros, from: usize, packet: Self::Packet);
    /// Returns and clears the packets to send, with their receivers.
    fn take_outgoing(&mut self) -> Vec<(usize, Self::Packet)>;
    /// Returns the time on its local clock at which [`Member::tick`] must be called.
    fn next_wake(&self) -> Micros;
}

/// Clock of a member, relative to the clock of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Reading at the start of the simulation (microseconds).
    pub offset: Micros,
    /// Rate relative to the simulation: 1.01 is one percent fast.
    pub rate: f64,
}

impl Clock {
    fn local_time(&self, global: Micros) -> Micros {
        self.offset + (global as f64 * self.rate) as Micros
    }

    fn global_time(&self, local: Micros) -> Micros {
        ((local.saturating_sub(self.offset)) as f64 / self.rate).ceil() as Micros
    }
}

struct Slot<M: Member> {
    /// `None` while no process runs.
    member: Option<M>,
    clock: Clock,
    stopped_until: Micros,
    /// Packets that arrived while the member was stopped.
    buffered: VecDeque<(usize, M::Packet)>,
    /// Time of the scheduled wake-up; 0 if there is none.
    wake: Micros,
    /// Number of starts. Wake-ups of an earlier process are ignored.
    starts: u64,
}

enum EventKind<P> {
    Wake { starts: u64 },
    Packet { from: usize, packet: P },
    Resume,
}

struct ScheduledEvent<P> {
    at: Micros,
    sequence: u64,
    to: usize,
    kind: EventKind<P>,
}

impl<P> PartialEq for ScheduledEvent<P> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl<P> Eq for ScheduledEvent<P> {}
impl<P> PartialOrd for ScheduledEvent<P> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<P> Ord for ScheduledEvent<P> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A fault to inject into a process.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessFault {
    /// Stops a member for a duration (microseconds).
    Stall(usize, Micros),
    /// Ends a member without warning.
    Kill(usize),
}

/// A fleet of members in virtual time.
pub struct Fleet<M: Member> {
    now: Micros,
    slots: Vec<Slot<M>>,
    events: BinaryHeap<Reverse<ScheduledEvent<M::Packet>>>,
    sequence: u64,
    rng: ChaCha8Rng,
    /// Links of the simulated network.
    pub links: Links,
    /// Number of sent packets, by sender.
    pub sent: Vec<u64>,
    /// Size of the sent packets (bytes), by sender, as given by the size function.
    pub bytes: Vec<u64>,
    size: fn(&M::Packet) -> usize,
}

impl<M: Member> Fleet<M> {
    /// Creates a fleet without members. `size` returns the size of a packet.
    pub fn new(seed: u64, links: Links, size: fn(&M::Packet) -> usize) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Fleet {
            now: 0,
            slots: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng,
            links,
            sent: Vec::new(),
            bytes: Vec::new(),
            size,
        }
    }

    /// Returns the time of the simulation.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Adds an empty slot for a member with a clock, and returns the slot's index.
    pub fn add_slot(&mut self, clock: Clock) -> usize {
        let buffered = VecDeque::new();
        self.slots.push(Slot { member: None, clock, stopped_until: 0, buffered, wake: 0, starts: 0 });
        self.sent.push(0);
        self.bytes.push(0);
        self.slots.len() - 1
    }

    /// Returns the current time on the clock of a slot.
    pub fn local_time(&self, index: usize) -> Micros {
        self.slots[index].clock.local_time(self.now)
    }

    /// Starts a member in a slot.
    pub fn start(&mut self, index: usize, member: M) {
        let slot = &mut self.slots[index];
        slot.member = Some(member);
        slot.starts += 1;
        slot.stopped_until = 0;
        slot.buffered.clear();
        slot.wake = 0;
        self.run(index, |_, _| {});
    }

    /// Returns the member in a slot, if one runs there.
    pub fn member(&self, index: usize) -> Option<&M> {
        self.slots[index].member.as_ref()
    }

    /// Returns the member in a slot for changes. Packets that it queues are sent with its next event.
    pub fn member_mut(&mut self, index: usize) -> Option<&mut M> {
        self.slots[index].member.as_mut()
    }

    /// Returns the number of slots.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns whether a member is stopped now.
    pub fn is_stopped(&self, index: usize) -> bool {
        self.now < self.slots[index].stopped_until
    }

    /// Injects a fault.
    pub fn inject(&mut self, fault: &ProcessFault) {
        match *fault {
            ProcessFault::Stall(index, duration) => {
                let until = self.now + duration;
                let slot = &mut self.slots[index];
                slot.stopped_until = slot.stopped_until.max(until);
                self.push(until, index, EventKind::Resume);
            }
            ProcessFault::Kill(index) => self.slots[index].member = None,
        }
    }

    fn push(&mut self, at: Micros, to: usize, kind: EventKind<M::Packet>) {
        self.sequence += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.sequence, to, kind }));
    }

    /// Runs the simulation until the time `end`.
    pub fn run_until(&mut self, end: Micros) {
        while let Some(Reverse(event)) = self.events.pop_if_due(end) {
            self.now = self.now.max(event.at);
            let (now, to) = (self.now, event.to);
            let slot = &mut self.slots[to];
            if slot.member.is_none() {
                continue;
            }
            if now < slot.stopped_until {
                if let EventKind::Packet { from, packet } = event.kind
                    && slot.buffered.len() < SOCKET_BUFFER
                {
                    slot.buffered.push_back((from, packet));
                }
                continue;
            }
            match event.kind {
                // The wake-up is of an earlier process, or has been rescheduled.
                EventKind::Wake { starts } if starts != slot.starts || event.at != slot.wake => {}
                EventKind::Wake { .. } => {
                    slot.wake = 0;
                    self.run(to, |member, now| member.tick(now));
                }
                EventKind::Packet { from, packet } => {
                    self.run(to, |member, now| member.handle(now, from, packet));
                }
                EventKind::Resume => {
                    // Buffered packets are handled before timers.
                    let buffered = std::mem::take(&mut slot.buffered);
                    for (from, packet) in buffered {
                        self.run(to, |member, now| member.handle(now, from, packet));
                    }
                    self.run(to, |member, now| member.tick(now));
                }
            }
        }
        self.now = self.now.max(end);
    }

    /// Runs an action of a member, schedules its next wake-up and delivers the packets that it sends.
    fn run(&mut self, index: usize, action: impl FnOnce(&mut M, Micros)) {
        let now = self.now;
        let slot = &mut self.slots[index];
        let local = slot.clock.local_time(now);
        let Some(member) = slot.member.as_mut() else { return };
        action(member, local);
        let (outgoing, wake) =
            (member.take_outgoing(), slot.clock.global_time(member.next_wake()).max(now + 1));
        let starts = slot.starts;
        if slot.wake == 0 || wake < slot.wake || slot.wake <= now {
            slot.wake = wake;
            self.push(wake, index, EventKind::Wake { starts });
        }
        for (to, packet) in outgoing {
            self.sent[index] += 1;
            self.bytes[index] += (self.size)(&packet) as u64;
            for at in self.links.get(index, to).delivery_times(now, &mut self.rng) {
                self.push(at, to, EventKind::Packet { from: index, packet: packet.clone() });
            }
        }
    }
}

trait PopIfDue<P> {
    fn pop_if_due(&mut self, end: Micros) -> Option<Reverse<ScheduledEvent<P>>>;
}

impl<P> PopIfDue<P> for BinaryHeap<Reverse<ScheduledEvent<P>>> {
    fn pop_if_due(&mut self, end: Micros) -> Option<Reverse<ScheduledEvent<P>>> {
        if self.peek().is_some_and(|Reverse(event)| event.at <= end) { self.pop() } else { None }
    }
}
