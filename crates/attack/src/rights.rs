//! Shared limits: a small model for state-space search, seeded fault schedules in virtual time, and
//! measurements.

use crate::schedule::Violation;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use yarrowhill_fleet::encode_rights;
use yarrowhill_kernel::{Clock, Fleet, Link, Links, Member, Micros, ProcessFault, World};
use yarrowhill_rights::{CALL, Coordinator, Envelope, Holder, LeaseDurations, Limit, Request, SharedLimits};

/// Model of a member that lends, members that borrow, and two coordinators that do not know each other. Every
/// step that the assumptions allow is possible: delayed requests are answered, answers are lost, members and
/// coordinators restart without memory. The lender's clock is as fast and the borrowers' clocks are as slow
/// as the drift bound allows.
#[derive(Clone, Copy, Debug)]
pub struct RightsWorld {
    /// Clock rates of the lender and of the borrowers, in clock units for each [`RightsStep::Tick`].
    pub rates: [u64; 2],
    /// Clock rates of the coordinators, in clock units for each tick.
    pub coordinators: [u64; 2],
    /// Drift bound that the protocol is configured with.
    pub drift: f64,
    /// Duration of a grant in clock units.
    pub grant: u64,
    /// Number of members that borrow.
    pub borrowers: usize,
}

impl Default for RightsWorld {
    fn default() -> Self {
        RightsWorld { rates: [11, 9], coordinators: [9, 11], drift: 0.1, grant: 20, borrowers: 2 }
    }
}

/// Index of the lender; all other members borrow.
const LENDER: usize = 0;
/// Floor of each member.
const FLOOR: u64 = 2;
/// Reading of every clock in a state.
const NOW: u64 = 1_000_000;

/// State of [`RightsWorld`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RightsState {
    holders: Vec<Holder>,
    coordinators: Vec<Coordinator>,
}

/// Step of [`RightsWorld`].
#[derive(Clone, Copy, Debug)]
pub enum RightsStep {
    /// Advances all clocks.
    Tick,
    /// The lender answers a coordinator's request; the answer arrives or is lost.
    Lend {
        /// Index of the coordinator.
        coordinator: usize,
        /// The lender's own demand.
        demand: u64,
        /// Age of the request in ticks.
        age: u64,
        /// Whether the answer arrives.
        answered: bool,
    },
    /// A coordinator answers a borrower's request; the answer arrives or is lost.
    Borrow {
        /// Index of the borrower.
        member: usize,
        /// Index of the coordinator.
        coordinator: usize,
        /// Age of the request in ticks.
        age: u64,
        /// Whether the answer arrives.
        answered: bool,
    },
    /// A member restarts without memory.
    Restart(usize),
    /// A coordinator restarts without memory.
    RestartCoordinator(usize),
}

impl RightsWorld {
    fn durations(&self) -> LeaseDurations {
        LeaseDurations::new(self.grant, self.drift)
    }

    fn limit(&self) -> u64 {
        (1 + self.borrowers as u64) * FLOOR
    }

    fn rate(&self, member: usize) -> u64 {
        self.rates[usize::from(member != LENDER)]
    }
}

impl World for RightsWorld {
    type State = RightsState;
    type Step = RightsStep;

    fn initial_states(&self) -> Vec<RightsState> {
        // All have run for longer than any grant.
        let holder = Holder::new(0, self.durations(), FLOOR).rebased(NOW, 0);
        let coordinator = Coordinator::new(0, self.durations()).rebased(NOW, 0);
        vec![RightsState { holders: vec![holder; 1 + self.borrowers], coordinators: vec![coordinator; 2] }]
    }

    fn steps(&self, _: &RightsState) -> Vec<RightsStep> {
        let mut steps = vec![RightsStep::Tick, RightsStep::Restart(LENDER)];
        for coordinator in 0..2 {
            for (age, answered) in [(0, true), (1, true), (0, false)] {
                steps.push(RightsStep::Lend { coordinator, demand: 0, age, answered });
                for member in 1..=self.borrowers {
                    steps.push(RightsStep::Borrow { member, coordinator, age, answered });
                }
            }
            steps.push(RightsStep::Lend { coordinator, demand: 1, age: 0, answered: true });
            steps.push(RightsStep::RestartCoordinator(coordinator));
        }
        steps
    }

    fn apply(&self, state: &RightsState, step: &RightsStep) -> RightsState {
        let mut next = state.clone();
        let durations = self.durations();
        match *step {
            RightsStep::Tick => {
                for (n, holder) in next.holders.iter_mut().enumerate() {
                    *holder = holder.rebased(NOW, self.rate(n));
                }
                for (n, coordinator) in next.coordinators.iter_mut().enumerate() {
                    *coordinator = coordinator.rebased(NOW, self.coordinators[n]).without_requests();
                }
            }
            RightsStep::Lend { coordinator, demand, age, answered } => {
                let asked_at = NOW - age * self.coordinators[coordinator];
                let request = next.holders[LENDER].request(NOW, coordinator as u64, demand, Some(asked_at));
                next.holders[LENDER] = next.holders[LENDER].rebased(NOW, 0);
                if answered {
                    next.coordinators[coordinator].handle_request(
                        NOW,
                        LENDER as u64,
                        &Request { extra: 0, ..request },
                        durations,
                    );
                    next.coordinators[coordinator] =
                        next.coordinators[coordinator].rebased(NOW, 0).without_requests();
                }
            }
            RightsStep::Borrow { member, coordinator, age, answered } => {
                let at = NOW - age * self.rate(member);
                let request = Request { sent_at: at, extra: self.limit(), offer: None };
                let grant =
                    next.coordinators[coordinator].handle_request(NOW, member as u64, &request, durations);
                next.coordinators[coordinator] =
                    next.coordinators[coordinator].rebased(NOW, 0).without_requests();
                if answered {
                    next.holders[member].apply_grant(NOW, coordinator as u64, &grant);
                    next.holders[member] = next.holders[member].rebased(NOW, 0);
                }
            }
            RightsStep::Restart(member) => {
                next.holders[member] = Holder::new(NOW, durations, FLOOR).rebased(NOW, 0);
            }
            RightsStep::RestartCoordinator(coordinator) => {
                next.coordinators[coordinator] = Coordinator::new(NOW, durations)
            }
        }
        next
    }

    fn violation(&self, state: &RightsState) -> Option<String> {
        let rights: Vec<u64> = state.holders.iter().map(|h| h.right(NOW)).collect();
        let sum: u64 = rights.iter().sum();
        (sum > self.limit()).then(|| format!("rights {rights:?} exceed the limit {}", self.limit()))
    }
}

/// Duration of a grant in the schedules and measurements (microseconds).
const GRANT: Micros = 1_000_000;
/// Drift bound of clock rates.
const DRIFT: f64 = 0.01;
/// Limit that all members share.
const LIMIT: u64 = 600 * CALL;
/// Destination id.
const DEST: u64 = 7;
/// Time after which a waiting call is abandoned (microseconds).
const MAX_WAIT: Micros = GRANT / 4;
/// Step of the simulation and interval between property checks (microseconds).
const STEP: Micros = GRANT / 40;

/// How a limit is divided among members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDivision {
    /// By rights that are lent and granted.
    Lending,
    /// Each member keeps an equal fixed part.
    Fixed,
}

/// Simulated member that shares a limit and has calls to make.
struct SharingMember {
    sharing: SharedLimits,
    /// Members that it takes to be live.
    view: Vec<u64>,
    /// Arriving calls per second.
    rate: f64,
    next_call: Micros,
    /// Times at which the waiting calls are abandoned.
    waiting: VecDeque<Micros>,
    /// Time of the next attempt to start a waiting call.
    retry_at: Micros,
    /// Number of calls that arrived.
    arrived: u64,
    /// Number of calls that were started.
    started: u64,
    outgoing: Vec<(usize, Envelope)>,
}

impl SharingMember {
    fn new(local_id: usize, now: Micros, members: usize, limit: Limit, rate: f64, instance: u64) -> Self {
        let durations = LeaseDurations::new(GRANT, DRIFT);
        let mut sharing = SharedLimits::new(now, local_id as u64, instance, members, durations);
        sharing.set_limits(now, members, &BTreeMap::from([(DEST, limit)]));
        let view = (0..members as u64).collect();
        let (next_call, waiting, outgoing) =
            (now + (local_id as u64 * 7919) % GRANT, VecDeque::new(), Vec::new());
        SharingMember {
            sharing,
            view,
            rate,
            next_call,
            waiting,
            retry_at: 0,
            arrived: 0,
            started: 0,
            outgoing,
        }
    }

    fn make_calls(&mut self, now: Micros) {
        self.waiting.retain(|until| now < *until);
        while !self.waiting.is_empty() {
            if let Err(wait) = self.sharing.try_begin(now, &[DEST], 1.0, true) {
                self.retry_at = now + wait.max(1000);
                break;
            }
            self.waiting.pop_front();
            self.started += 1;
        }
        // After a stall, only the calls whose clients would still wait have arrived.
        self.next_call = self.next_call.max(now.saturating_sub(GRANT));
        while self.rate > 0.0 && now >= self.next_call {
            self.next_call += (1e6 / self.rate) as Micros + 1;
            self.arrived += 1;
            match self.sharing.try_begin(now, &[DEST], 1.0, false) {
                Ok(()) => self.started += 1,
                Err(wait) => {
                    self.retry_at = now + wait.max(1000);
                    self.waiting.push_back(now + MAX_WAIT);
                }
            }
        }
    }

    fn send_updates(&mut self, now: Micros) {
        let envelopes = self.sharing.tick(now, &self.view);
        self.outgoing.extend(envelopes.into_iter().map(|(to, envelope)| (to as usize, envelope)));
    }
}

impl Member for SharingMember {
    type Packet = Envelope;

    fn tick(&mut self, now: Micros) {
        self.make_calls(now);
        self.send_updates(now);
    }

    fn handle(&mut self, now: Micros, from: usize, envelope: Envelope) {
        let answer = self.sharing.handle(now, from as u64, &envelope);
        self.outgoing.extend(answer.map(|answer| (from, answer)));
        self.make_calls(now);
    }

    fn take_outgoing(&mut self) -> Vec<(usize, Envelope)> {
        std::mem::take(&mut self.outgoing)
    }

    fn next_wake(&self) -> Micros {
        let calls = if self.rate > 0.0 { self.next_call } else { Micros::MAX };
        let retry = if self.waiting.is_empty() { Micros::MAX } else { self.retry_at };
        self.sharing.next_wake().min(calls).min(retry)
    }
}

fn size(envelope: &Envelope) -> usize {
    encode_rights(envelope).map_or(usize::MAX, |bytes| bytes.len())
}

fn limit(calls: u64, division: LimitDivision) -> Limit {
    Limit { calls, lend: division == LimitDivision::Lending }
}

fn fleet(
    members: usize,
    division: LimitDivision,
    seed: u64,
    rate: impl Fn(usize) -> f64,
) -> Fleet<SharingMember> {
    let mut fleet = Fleet::new(seed, Links::default(), size);
    for n in 0..members {
        let clock = 1.0 + DRIFT * (2.0 * n as f64 / (members.max(2) - 1) as f64 - 1.0);
        fleet.add_slot(Clock { offset: n as u64 * 1_000_003 + 10_000_000, rate: clock });
        let now = fleet.local_time(n);
        fleet.start(n, SharingMember::new(n, now, members, limit(LIMIT, division), rate(n), n as u64 + 1));
    }
    fleet
}

/// Returns the sum of all rights. Stalled members count: they could wake now.
fn rights(fleet: &Fleet<SharingMember>) -> u64 {
    let right = |n| fleet.member(n).and_then(|m| m.sharing.right(fleet.local_time(n), DEST)).unwrap_or(0);
    (0..fleet.len()).map(right).sum()
}

fn total(fleet: &Fleet<SharingMember>, of: impl Fn(&SharingMember) -> u64) -> u64 {
    (0..fleet.len()).filter_map(|n| fleet.member(n)).map(of).sum()
}

/// Runs the fault schedule of a seed. Checks that the rights of all members never exceed the largest limit
/// that any of them uses, and that over no window more calls start than this limit and the burst that each
/// member may have saved up.
///
/// # Errors
///
/// Returns the first property that does not hold.
pub fn run_rights_schedule(seed: u64) -> Result<(), Violation> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x419);
    let members = [3, 3, 5, 9][rng.random_range(0..4)];
    let max_rate = LIMIT as f64 / CALL as f64 / 2.0;
    let mut rates: Vec<f64> = (0..members).map(|_| rng.random_range(0.0..max_rate)).collect();
    // Limit that each member uses. Members get a new limit one after another, as each reads its documents.
    let mut limits_in_use = vec![LIMIT; members];
    let mut instance_count = members as u64;
    let mut fleet = fleet(members, LimitDivision::Lending, seed, |n| rates[n]);
    let (mut killed_started, mut allowed, mut min_excess) = (0u64, 0.0f64, f64::INFINITY);
    while fleet.now() < 60 * GRANT {
        let member = rng.random_range(0..members);
        match rng.random_range(0..10) {
            0 => fleet.links.partition(&(0..members).map(|_| rng.random_range(0..2)).collect::<Vec<_>>()),
            1 => fleet.links.heal(),
            2 => {
                let (loss, jitter) = (rng.random_range(0.0..0.5), rng.random_range(0..GRANT));
                fleet.links.default = Link { loss, duplication: 0.1, delay: 100, jitter, cut: false };
            }
            3 => fleet.inject(&ProcessFault::Stall(member, rng.random_range(GRANT / 5..10 * GRANT))),
            4 => {
                killed_started += fleet.member(member).map_or(0, |m| m.started);
                fleet.inject(&ProcessFault::Kill(member));
            }
            5 if fleet.member(member).is_none() => {
                let now = fleet.local_time(member);
                instance_count += 1;
                let new_limit = limit(limits_in_use[member], LimitDivision::Lending);
                fleet.start(
                    member,
                    SharingMember::new(member, now, members, new_limit, rates[member], instance_count),
                );
            }
            // Members disagree on the live members, and so on the coordinator.
            6 => {
                let view: Vec<u64> = (0..members as u64).filter(|_| rng.random_bool(0.6)).collect();
                fleet.member_mut(member).into_iter().for_each(|m| m.view.clone_from(&view));
            }
            7 => {
                rates[member] = rng.random_range(0.0..max_rate);
                let rate = rates[member];
                fleet.member_mut(member).into_iter().for_each(|m| m.rate = rate);
            }
            8 => {
                limits_in_use[member] = LIMIT / rng.random_range(1..20);
                let (now, new_limit) =
                    (fleet.local_time(member), limit(limits_in_use[member], LimitDivision::Lending));
                let limits = BTreeMap::from([(DEST, new_limit)]);
                fleet
                    .member_mut(member)
                    .into_iter()
                    .for_each(|m| m.sharing.set_limits(now, members, &limits));
            }
            _ => {}
        }
        let until = fleet.now() + rng.random_range(0..GRANT);
        while fleet.now() < until {
            let from = fleet.now();
            fleet.run_until((from + STEP).min(until));
            let max_limit = limits_in_use.iter().copied().max().unwrap_or(0);
            let sum = rights(&fleet);
            if sum > max_limit {
                let description = format!(
                    "the rights of all members are {}, the limit is {}",
                    sum / CALL,
                    max_limit / CALL
                );
                return Err(Violation { at: fleet.now(), description });
            }
            // Calls started beyond what was allowed, over the worst window that ends now.
            allowed += (fleet.now() - from) as f64 / 1e6 * max_limit as f64 / CALL as f64 * (1.0 + DRIFT);
            let started = (killed_started + total(&fleet, |m| m.started)) as f64;
            let saved = members as f64 + 0.1 * LIMIT as f64 / CALL as f64 + 1.0;
            if started - allowed - min_excess > saved {
                let description =
                    format!("{:.1} calls started beyond the limit", started - allowed - min_excess);
                return Err(Violation { at: fleet.now(), description });
            }
            min_excess = min_excess.min(started - allowed);
        }
    }
    Ok(())
}

/// Measured use of a shared limit.
#[derive(Clone, Debug)]
pub struct RightsStats {
    /// Use relative to an ideal division, with a third of the traffic at one member.
    pub one_hot: f64,
    /// Use relative to an ideal division, with all of the traffic at one in thirty members.
    pub few_active: f64,
    /// Use of both sides together relative to an ideal division, while the network is partitioned in two
    /// halves.
    pub partitioned: f64,
    /// Time until nine tenths of the earlier use are reached again after the traffic moved to another member
    /// (seconds).
    pub shift_secs: Option<f64>,
    /// Highest sum of all rights at any time, as a fraction of the limit.
    pub peak: f64,
    /// Bytes sent by each member per second.
    pub bytes: f64,
}

impl fmt::Display for RightsStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RightsStats { one_hot, few_active, partitioned, shift_secs, peak, bytes } = self;
        let shift = shift_secs.map_or("never".to_owned(), |s| format!("{s:.1} s"));
        write!(
            f,
            "use {one_hot:.2} with a third at one, {few_active:.2} with all at one in thirty, \
             {partitioned:.2} partitioned; {shift} to follow moved traffic; peak {peak:.3} of the limit; {bytes:.0} bytes per second"
        )
    }
}

/// Measures the use of a limit with a demand of nine tenths of it.
pub fn measure_rights(members: usize, division: LimitDivision, seed: u64) -> RightsStats {
    let all = LIMIT as f64 / CALL as f64 * 0.9;
    let busy = (members / 30).max(1);
    let hot_rates = |hot: usize| {
        move |n: usize| if n == hot { all / 3.0 } else { all / 3.0 * 2.0 / (members as f64 - 1.0).max(1.0) }
    };
    let few_rates = |n: usize| if n < busy { all / busy as f64 } else { 0.0 };
    let mut peak = 0.0f64;
    // Returns the fraction of the arrived calls that were started.
    let mut measure_use = |fleet: &mut Fleet<SharingMember>, duration: Micros| {
        let before = (total(fleet, |m| m.started), total(fleet, |m| m.arrived));
        let end = fleet.now() + duration;
        while fleet.now() < end {
            let next = (fleet.now() + STEP).min(end);
            fleet.run_until(next);
            peak = peak.max(rights(fleet) as f64 / LIMIT as f64);
        }
        let after = (total(fleet, |m| m.started), total(fleet, |m| m.arrived));
        (after.0 - before.0) as f64 / (after.1 - before.1).max(1) as f64
    };
    let mut hot = fleet(members, division, seed, hot_rates(1 % members));
    measure_use(&mut hot, 20 * GRANT);
    let before: u64 = hot.bytes.iter().sum();
    let one_hot = measure_use(&mut hot, 20 * GRANT);
    let bytes = (hot.bytes.iter().sum::<u64>() - before) as f64 / (20.0 * members as f64);
    // The traffic of the hot member moves to the last member.
    let moved_rates = hot_rates(members - 1);
    let start = hot.now();
    for n in 0..members {
        let now = hot.local_time(n);
        hot.member_mut(n).into_iter().for_each(|m| (m.rate, m.next_call) = (moved_rates(n), now));
    }
    let mut shift_secs = None;
    while shift_secs.is_none() && hot.now() < start + 30 * GRANT {
        if measure_use(&mut hot, GRANT / 4) >= 0.9 * one_hot {
            shift_secs = Some((hot.now() - start) as f64 / 1e6);
        }
    }
    measure_use(&mut hot, 5 * GRANT);
    hot.links.partition(&(0..members).map(|n| usize::from(n * 2 >= members)).collect::<Vec<_>>());
    measure_use(&mut hot, 8 * GRANT);
    // By then each side's view has a coordinator of its own, which needs no majority.
    for n in 0..members {
        let side = (0..members).filter(|other| (other * 2 >= members) == (n * 2 >= members));
        let view: Vec<u64> = side.map(|other| other as u64).collect();
        hot.member_mut(n).into_iter().for_each(|m| m.view.clone_from(&view));
    }
    measure_use(&mut hot, 8 * GRANT);
    let partitioned = measure_use(&mut hot, 10 * GRANT);
    let mut other = fleet(members, division, seed, few_rates);
    measure_use(&mut other, 20 * GRANT);
    let few_active = measure_use(&mut other, 20 * GRANT);
    RightsStats { one_hot, few_active, partitioned, shift_secs, peak, bytes }
}
