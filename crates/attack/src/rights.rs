//! Rights over a fleet: a small world searched whole, seeded schedules, and figures.

use crate::schedule::Breach;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use yarrowhill_fleet::encode_rights;
use yarrowhill_kernel::{Clock, Fleet, Link, Links, Member, Micros, ProcessFault, World};
use yarrowhill_rights::{CALL, Coordinator, Envelope, Holder, LeaseDurations, Limit, Request, SharedLimits};

/// A member that lends, others that borrow, and two keepers that know nothing of each other. Anything may happen that the
/// assumptions allow: what was asked long ago is answered now, answers are lost, members and keepers start again with
/// nothing remembered. The lender's clock is as fast and the borrowers' as slow as the drift allows.
#[derive(Clone, Copy, Debug)]
pub struct RightsWorld {
    /// The rates of the lender's and of the borrowers' clocks, in steps a step of the world,
    pub rates: [u64; 2],
    /// and of the keepers'.
    pub keepers: [u64; 2],
    /// What those rates were said to be.
    pub drift: f64,
    /// A grant, in steps.
    pub grant: u64,
    /// Members that borrow.
    pub borrowers: usize,
}

impl Default for RightsWorld {
    fn default() -> Self {
        RightsWorld { rates: [11, 9], keepers: [9, 11], drift: 0.1, grant: 20, borrowers: 2 }
    }
}

/// The lender's number; the others borrow.
const LENDER: usize = 0;
/// Each member's floor.
const FLOOR: u64 = 2;
/// What every clock reads.
const NOW: u64 = 1_000_000;

/// A state of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RightsState {
    holders: Vec<Holder>,
    keepers: Vec<Coordinator>,
}

/// A step of it.
#[derive(Clone, Copy, Debug)]
pub enum RightsStep {
    /// Time passes.
    Time,
    /// The lender answers what a keeper asked so many steps ago; the answer comes, or is lost.
    Lend {
        /// Which keeper.
        keeper: usize,
        /// What it needs itself.
        demand: u64,
        /// How long ago it was asked.
        age: u64,
        /// Whether the answer comes.
        comes: bool,
    },
    /// A keeper answers what a borrower asked so many steps ago; the answer comes, or is lost.
    Borrow {
        /// Which member.
        member: usize,
        /// Which keeper.
        keeper: usize,
        /// How long ago it asked.
        age: u64,
        /// Whether the answer comes.
        comes: bool,
    },
    /// A member starts again,
    Restart(usize),
    /// or a keeper.
    Forget(usize),
}

impl RightsWorld {
    fn spans(&self) -> LeaseDurations {
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
        // All have run for long.
        let holder = Holder::new(0, self.spans(), FLOOR).rebased(NOW, 0);
        let keeper = Coordinator::new(0, self.spans()).rebased(NOW, 0);
        vec![RightsState { holders: vec![holder; 1 + self.borrowers], keepers: vec![keeper; 2] }]
    }

    fn steps(&self, _: &RightsState) -> Vec<RightsStep> {
        let mut steps = vec![RightsStep::Time, RightsStep::Restart(LENDER)];
        for keeper in 0..2 {
            for (age, comes) in [(0, true), (1, true), (0, false)] {
                steps.push(RightsStep::Lend { keeper, demand: 0, age, comes });
                for member in 1..=self.borrowers {
                    steps.push(RightsStep::Borrow { member, keeper, age, comes });
                }
            }
            steps.push(RightsStep::Lend { keeper, demand: 1, age: 0, comes: true });
            steps.push(RightsStep::Forget(keeper));
        }
        steps
    }

    fn apply(&self, state: &RightsState, step: &RightsStep) -> RightsState {
        let mut next = state.clone();
        let spans = self.spans();
        match *step {
            RightsStep::Time => {
                for (n, holder) in next.holders.iter_mut().enumerate() {
                    *holder = holder.rebased(NOW, self.rate(n));
                }
                for (n, keeper) in next.keepers.iter_mut().enumerate() {
                    *keeper = keeper.rebased(NOW, self.keepers[n]).without_requests();
                }
            }
            RightsStep::Lend { keeper, demand, age, comes } => {
                let asked = NOW - age * self.keepers[keeper];
                let want = next.holders[LENDER].request(NOW, keeper as u64, demand, Some(asked));
                next.holders[LENDER] = next.holders[LENDER].rebased(NOW, 0);
                if comes {
                    next.keepers[keeper].handle_request(
                        NOW,
                        LENDER as u64,
                        &Request { extra: 0, ..want },
                        spans,
                    );
                    next.keepers[keeper] = next.keepers[keeper].rebased(NOW, 0).without_requests();
                }
            }
            RightsStep::Borrow { member, keeper, age, comes } => {
                let at = NOW - age * self.rate(member);
                let want = Request { sent_at: at, extra: self.limit(), offer: None };
                let grant = next.keepers[keeper].handle_request(NOW, member as u64, &want, spans);
                next.keepers[keeper] = next.keepers[keeper].rebased(NOW, 0).without_requests();
                if comes {
                    next.holders[member].apply_grant(NOW, keeper as u64, &grant);
                    next.holders[member] = next.holders[member].rebased(NOW, 0);
                }
            }
            RightsStep::Restart(member) => {
                next.holders[member] = Holder::new(NOW, spans, FLOOR).rebased(NOW, 0);
            }
            RightsStep::Forget(keeper) => next.keepers[keeper] = Coordinator::new(NOW, spans),
        }
        next
    }

    fn violation(&self, state: &RightsState) -> Option<String> {
        let rights: Vec<u64> = state.holders.iter().map(|h| h.right(NOW)).collect();
        let sum: u64 = rights.iter().sum();
        (sum > self.limit()).then(|| format!("{rights:?} in use, of {}", self.limit()))
    }
}

/// The span of a grant in the schedules and figures (microseconds).
const GRANT: Micros = 1_000_000;
const DRIFT: f64 = 0.01;
/// The limit that all share.
const LIMIT: u64 = 600 * CALL;
/// Which.
const DEST: u64 = 7;
/// A call that may not begin waits for so long (microseconds).
const PATIENCE: Micros = GRANT / 4;
/// How fine the world is looked at (microseconds).
const STEP: Micros = GRANT / 40;

/// How a limit is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Even {
    /// By rights that are lent and granted.
    Rights,
    /// Each has its even part for good.
    Split,
}

/// A member of a fleet that shares a limit, with calls to make.
struct Sharer {
    sharing: SharedLimits,
    /// Whom it takes to be there.
    view: Vec<u64>,
    /// Calls that come to it (a second).
    rate: f64,
    next_call: Micros,
    /// Calls that were held back, with when each is given up.
    waiting: VecDeque<Micros>,
    /// When they ask again.
    retry: Micros,
    /// Calls that came and that began.
    came: u64,
    begun: u64,
    out: Vec<(usize, Envelope)>,
}

impl Sharer {
    fn new(me: usize, now: Micros, members: usize, limit: Limit, rate: f64, life: u64) -> Self {
        let spans = LeaseDurations::new(GRANT, DRIFT);
        let mut sharing = SharedLimits::new(now, me as u64, life, members, spans);
        sharing.set_limits(now, members, &BTreeMap::from([(DEST, limit)]));
        let view = (0..members as u64).collect();
        let (next_call, waiting, out) = (now + (me as u64 * 7919) % GRANT, VecDeque::new(), Vec::new());
        Sharer { sharing, view, rate, next_call, waiting, retry: 0, came: 0, begun: 0, out }
    }

    fn call(&mut self, now: Micros) {
        self.waiting.retain(|until| now < *until);
        while !self.waiting.is_empty() {
            if let Err(wait) = self.sharing.try_begin(now, &[DEST], 1.0, true) {
                self.retry = now + wait.max(1000);
                break;
            }
            self.waiting.pop_front();
            self.begun += 1;
        }
        // One that was stopped finds what came meanwhile, as far as a client would still wait.
        self.next_call = self.next_call.max(now.saturating_sub(GRANT));
        while self.rate > 0.0 && now >= self.next_call {
            self.next_call += (1e6 / self.rate) as Micros + 1;
            self.came += 1;
            match self.sharing.try_begin(now, &[DEST], 1.0, false) {
                Ok(()) => self.begun += 1,
                Err(wait) => {
                    self.retry = now + wait.max(1000);
                    self.waiting.push_back(now + PATIENCE);
                }
            }
        }
    }

    fn say(&mut self, now: Micros) {
        let letters = self.sharing.tick(now, &self.view);
        self.out.extend(letters.into_iter().map(|(to, letter)| (to as usize, letter)));
    }
}

impl Member for Sharer {
    type Packet = Envelope;

    fn tick(&mut self, now: Micros) {
        self.call(now);
        self.say(now);
    }

    fn handle(&mut self, now: Micros, from: usize, letter: Envelope) {
        let answer = self.sharing.handle(now, from as u64, &letter);
        self.out.extend(answer.map(|answer| (from, answer)));
        self.call(now);
    }

    fn take_outgoing(&mut self) -> Vec<(usize, Envelope)> {
        std::mem::take(&mut self.out)
    }

    fn next_wake(&self) -> Micros {
        let calls = if self.rate > 0.0 { self.next_call } else { Micros::MAX };
        let held = if self.waiting.is_empty() { Micros::MAX } else { self.retry };
        self.sharing.next_wake().min(calls).min(held)
    }
}

fn size(letter: &Envelope) -> usize {
    encode_rights(letter).map_or(usize::MAX, |bytes| bytes.len())
}

fn limit(calls: u64, even: Even) -> Limit {
    Limit { calls, lend: even == Even::Rights }
}

fn fleet(members: usize, even: Even, seed: u64, rate: impl Fn(usize) -> f64) -> Fleet<Sharer> {
    let mut fleet = Fleet::new(seed, Links::default(), size);
    for n in 0..members {
        let clock = 1.0 + DRIFT * (2.0 * n as f64 / (members.max(2) - 1) as f64 - 1.0);
        fleet.add_slot(Clock { offset: n as u64 * 1_000_003 + 10_000_000, rate: clock });
        let now = fleet.local_time(n);
        fleet.start(n, Sharer::new(n, now, members, limit(LIMIT, even), rate(n), n as u64 + 1));
    }
    fleet
}

/// What all may use now; one that is stopped could wake at this moment.
fn rights(fleet: &Fleet<Sharer>) -> u64 {
    let right = |n| fleet.member(n).and_then(|m| m.sharing.right(fleet.local_time(n), DEST)).unwrap_or(0);
    (0..fleet.len()).map(right).sum()
}

fn total(fleet: &Fleet<Sharer>, of: impl Fn(&Sharer) -> u64) -> u64 {
    (0..fleet.len()).filter_map(|n| fleet.member(n)).map(of).sum()
}

/// Plays the schedule of a seed: whatever comes, all together never may use more than the largest limit that one of them
/// goes by, and over no span more calls begin than that and what each may have saved up.
///
/// # Errors
///
/// They may, or do.
pub fn play_rights(seed: u64) -> Result<(), Breach> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x419);
    let members = [3, 3, 5, 9][rng.random_range(0..4)];
    let most_rate = LIMIT as f64 / CALL as f64 / 2.0;
    let mut rates: Vec<f64> = (0..members).map(|_| rng.random_range(0.0..most_rate)).collect();
    // What each goes by: told one after another, as documents are read.
    let mut goes_by = vec![LIMIT; members];
    let mut lives = members as u64;
    let mut fleet = fleet(members, Even::Rights, seed, |n| rates[n]);
    let (mut ended, mut allowed, mut least) = (0u64, 0.0f64, f64::INFINITY);
    while fleet.now() < 60 * GRANT {
        let one = rng.random_range(0..members);
        match rng.random_range(0..10) {
            0 => fleet.links.partition(&(0..members).map(|_| rng.random_range(0..2)).collect::<Vec<_>>()),
            1 => fleet.links.heal(),
            2 => {
                let (loss, jitter) = (rng.random_range(0.0..0.5), rng.random_range(0..GRANT));
                fleet.links.default = Link { loss, duplication: 0.1, delay: 100, jitter, cut: false };
            }
            3 => fleet.inject(&ProcessFault::Stall(one, rng.random_range(GRANT / 5..10 * GRANT))),
            4 => {
                ended += fleet.member(one).map_or(0, |m| m.begun);
                fleet.inject(&ProcessFault::Kill(one));
            }
            5 if fleet.member(one).is_none() => {
                let now = fleet.local_time(one);
                lives += 1;
                let told = limit(goes_by[one], Even::Rights);
                fleet.start(one, Sharer::new(one, now, members, told, rates[one], lives));
            }
            // Members do not agree on who is there, and so on who keeps.
            6 => {
                let view: Vec<u64> = (0..members as u64).filter(|_| rng.random_bool(0.6)).collect();
                fleet.member_mut(one).into_iter().for_each(|m| m.view.clone_from(&view));
            }
            7 => {
                rates[one] = rng.random_range(0.0..most_rate);
                let rate = rates[one];
                fleet.member_mut(one).into_iter().for_each(|m| m.rate = rate);
            }
            8 => {
                goes_by[one] = LIMIT / rng.random_range(1..20);
                let (now, told) = (fleet.local_time(one), limit(goes_by[one], Even::Rights));
                let limits = BTreeMap::from([(DEST, told)]);
                fleet.member_mut(one).into_iter().for_each(|m| m.sharing.set_limits(now, members, &limits));
            }
            _ => {}
        }
        let until = fleet.now() + rng.random_range(0..GRANT);
        while fleet.now() < until {
            let from = fleet.now();
            fleet.run_until((from + STEP).min(until));
            let most = goes_by.iter().copied().max().unwrap_or(0);
            let sum = rights(&fleet);
            if sum > most {
                let what = format!("{} of {} may be used", sum / CALL, most / CALL);
                return Err(Breach { at: fleet.now(), what });
            }
            // Calls so far against what was allowed so far, over the worst span that ends here.
            allowed += (fleet.now() - from) as f64 / 1e6 * most as f64 / CALL as f64 * (1.0 + DRIFT);
            let begun = (ended + total(&fleet, |m| m.begun)) as f64;
            let saved = members as f64 + 0.1 * LIMIT as f64 / CALL as f64 + 1.0;
            if begun - allowed - least > saved {
                let what = format!("{:.1} calls beyond the limit", begun - allowed - least);
                return Err(Breach { at: fleet.now(), what });
            }
            least = least.min(begun - allowed);
        }
    }
    Ok(())
}

/// What was measured.
#[derive(Clone, Debug)]
pub struct RightsFigures {
    /// The part of what an oracle would use, with a third of the traffic at one member,
    pub third: f64,
    /// with all of it at one in thirty,
    pub few: f64,
    /// and with the keeper and half of the others cut off, on both sides together.
    pub cut: f64,
    /// Seconds until nine tenths are used again after the traffic has moved to another member.
    pub moved: Option<f64>,
    /// The most that could be used at an instant, as a part of the limit.
    pub most: f64,
    /// Bytes a second a member.
    pub bytes: f64,
}

impl fmt::Display for RightsFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RightsFigures { third, few, cut, moved, most, bytes } = self;
        let moved = moved.map_or("never".to_owned(), |s| format!("{s:.1} s"));
        write!(
            f,
            "use {third:.2} with a third at one, {few:.2} with all at one in thirty, {cut:.2} cut in two; \
             {moved} to move; at most {most:.3} of the limit; {bytes:.0} bytes a second"
        )
    }
}

/// Measures how well a limit is used, by a demand of nine tenths of it.
pub fn measure_rights(members: usize, even: Even, seed: u64) -> RightsFigures {
    let all = LIMIT as f64 / CALL as f64 * 0.9;
    let busy = (members / 30).max(1);
    let third = |hot: usize| {
        move |n: usize| if n == hot { all / 3.0 } else { all / 3.0 * 2.0 / (members as f64 - 1.0).max(1.0) }
    };
    let few = |n: usize| if n < busy { all / busy as f64 } else { 0.0 };
    let mut most = 0.0f64;
    // Calls that began, of those that came.
    let mut used = |fleet: &mut Fleet<Sharer>, span: Micros| {
        let before = (total(fleet, |m| m.begun), total(fleet, |m| m.came));
        let end = fleet.now() + span;
        while fleet.now() < end {
            let next = (fleet.now() + STEP).min(end);
            fleet.run_until(next);
            most = most.max(rights(fleet) as f64 / LIMIT as f64);
        }
        let after = (total(fleet, |m| m.begun), total(fleet, |m| m.came));
        (after.0 - before.0) as f64 / (after.1 - before.1).max(1) as f64
    };
    let mut one = fleet(members, even, seed, third(1 % members));
    used(&mut one, 20 * GRANT);
    let before: u64 = one.bytes.iter().sum();
    let third_use = used(&mut one, 20 * GRANT);
    let bytes = (one.bytes.iter().sum::<u64>() - before) as f64 / (20.0 * members as f64);
    // The third moves to the last member.
    let moves = third(members - 1);
    let start = one.now();
    for n in 0..members {
        let now = one.local_time(n);
        one.member_mut(n).into_iter().for_each(|m| (m.rate, m.next_call) = (moves(n), now));
    }
    let mut moved = None;
    while moved.is_none() && one.now() < start + 30 * GRANT {
        if used(&mut one, GRANT / 4) >= 0.9 * third_use {
            moved = Some((one.now() - start) as f64 / 1e6);
        }
    }
    used(&mut one, 5 * GRANT);
    one.links.partition(&(0..members).map(|n| usize::from(n * 2 >= members)).collect::<Vec<_>>());
    used(&mut one, 8 * GRANT);
    // By then each side's view has its own keeper: that needs nobody's leave.
    for n in 0..members {
        let side = (0..members).filter(|other| (other * 2 >= members) == (n * 2 >= members));
        let view: Vec<u64> = side.map(|other| other as u64).collect();
        one.member_mut(n).into_iter().for_each(|m| m.view.clone_from(&view));
    }
    used(&mut one, 8 * GRANT);
    let cut = used(&mut one, 10 * GRANT);
    let mut other = fleet(members, even, seed, few);
    used(&mut other, 20 * GRANT);
    let few_use = used(&mut other, 20 * GRANT);
    RightsFigures { third: third_use, few: few_use, cut, moved, most, bytes }
}
