//! Rights over a fleet: a small world searched whole, seeded schedules, and figures.

use crate::schedule::Breach;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use yarrowhill_kernel::{Act, Fleet, Link, Links, Member, Micros, Start, World};
use yarrowhill_rights::{CALL, Grant, Holder, Keeper, Spans, Want};

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
    keepers: Vec<Keeper>,
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
    fn spans(&self) -> Spans {
        Spans::new(self.grant, self.drift)
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

    fn begins(&self) -> Vec<RightsState> {
        // All have run for long.
        let holder = Holder::new(0, self.spans(), FLOOR).rebased(NOW, 0);
        let keeper = Keeper::new(0, self.spans()).rebased(NOW, 0);
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

    fn take(&self, state: &RightsState, step: &RightsStep) -> RightsState {
        let mut next = state.clone();
        let spans = self.spans();
        match *step {
            RightsStep::Time => {
                for (n, holder) in next.holders.iter_mut().enumerate() {
                    *holder = holder.rebased(NOW, self.rate(n));
                }
                for (n, keeper) in next.keepers.iter_mut().enumerate() {
                    *keeper = keeper.rebased(NOW, self.keepers[n]).without_wants();
                }
            }
            RightsStep::Lend { keeper, demand, age, comes } => {
                let asked = NOW - age * self.keepers[keeper];
                let want = next.holders[LENDER].want(NOW, keeper as u64, demand, Some(asked));
                next.holders[LENDER] = next.holders[LENDER].rebased(NOW, 0);
                if comes {
                    next.keepers[keeper].want(NOW, LENDER as u64, &Want { more: 0, ..want }, spans);
                    next.keepers[keeper] = next.keepers[keeper].rebased(NOW, 0).without_wants();
                }
            }
            RightsStep::Borrow { member, keeper, age, comes } => {
                let at = NOW - age * self.rate(member);
                let want = Want { at, more: self.limit(), offer: None };
                let grant = next.keepers[keeper].want(NOW, member as u64, &want, spans);
                next.keepers[keeper] = next.keepers[keeper].rebased(NOW, 0).without_wants();
                if comes {
                    next.holders[member].granted(NOW, keeper as u64, &grant);
                    next.holders[member] = next.holders[member].rebased(NOW, 0);
                }
            }
            RightsStep::Restart(member) => {
                next.holders[member] = Holder::new(NOW, spans, FLOOR).rebased(NOW, 0);
            }
            RightsStep::Forget(keeper) => next.keepers[keeper] = Keeper::new(NOW, spans),
        }
        next
    }

    fn breach(&self, state: &RightsState) -> Option<String> {
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

/// How a limit is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Even {
    /// By rights that are lent and granted.
    Rights,
    /// Each has its even part for good.
    Split,
}

/// What goes over the network.
#[derive(Clone, Debug)]
enum Word {
    Want(Want),
    Grant(Grant),
}

/// A member of a fleet that shares a limit, and its keeper's side.
struct Sharer {
    me: usize,
    spans: Spans,
    holder: Holder,
    keeper: Keeper,
    /// Whom it takes for the keeper.
    keeps: usize,
    asks: Option<Micros>,
    demand: u64,
    next: Micros,
    out: Vec<(usize, Word)>,
}

impl Sharer {
    fn new(me: usize, now: Micros, size: usize, demand: u64) -> Self {
        let spans = Spans::new(GRANT, DRIFT);
        let holder = Holder::new(now, spans, LIMIT / size as u64);
        // Not all at once.
        let next = now + (me as u64 * 7919) % spans.round();
        let (keeper, out) = (Keeper::new(now, spans), Vec::new());
        Sharer { me, spans, holder, keeper, keeps: 0, asks: None, demand, next, out }
    }

    fn say(&mut self, to: usize, word: Word, now: Micros) {
        if to == self.me {
            self.handle(now, to, word);
        } else {
            self.out.push((to, word));
        }
    }
}

impl Member for Sharer {
    type Packet = Word;

    fn tick(&mut self, now: Micros) {
        if now >= self.next {
            self.next = now + self.spans.round();
            let want = self.holder.want(now, self.keeps as u64, self.demand, self.asks.take());
            self.say(self.keeps, Word::Want(want), now);
        }
    }

    fn handle(&mut self, now: Micros, from: usize, word: Word) {
        match word {
            Word::Want(want) => {
                let grant = self.keeper.want(now, from as u64, &want, self.spans);
                self.say(from, Word::Grant(grant), now);
            }
            Word::Grant(grant) => {
                self.asks = Some(grant.asks);
                self.holder.granted(now, from as u64, &grant);
            }
        }
    }

    fn sends(&mut self) -> Vec<(usize, Word)> {
        std::mem::take(&mut self.out)
    }

    fn next_wake(&self) -> Micros {
        self.next
    }
}

fn size(word: &Word) -> usize {
    match word {
        Word::Want(_) => 48,
        Word::Grant(_) => 40,
    }
}

fn fleet(members: usize, links: Links, seed: u64, demand: impl Fn(usize) -> u64) -> Fleet<Sharer> {
    let mut fleet = Fleet::new(seed, links, size);
    for n in 0..members {
        let rate = 1.0 + DRIFT * (2.0 * n as f64 / (members.max(2) - 1) as f64 - 1.0);
        fleet.place(Start { offset: n as u64 * 1_000_003 + 10_000_000, rate });
        let now = fleet.clock(n);
        fleet.start(n, Sharer::new(n, now, members, demand(n)));
    }
    fleet
}

/// What all may use now; one that is stopped could wake at this moment.
fn rights(fleet: &Fleet<Sharer>) -> Vec<u64> {
    (0..fleet.len()).map(|n| fleet.member(n).map_or(0, |m| m.holder.right(fleet.clock(n)))).collect()
}

/// Plays the schedule of a seed: whatever comes, all together never may use more than the limit.
///
/// # Errors
///
/// They may.
pub fn play_rights(seed: u64) -> Result<(), Breach> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x419);
    let members = [3, 3, 5, 9][rng.random_range(0..4)];
    let demands: Vec<u64> = (0..members).map(|_| rng.random_range(0..LIMIT / 2)).collect();
    let mut fleet = fleet(members, Links::default(), seed, |n| demands[n]);
    while fleet.now() < 60 * GRANT {
        let one = rng.random_range(0..members);
        match rng.random_range(0..9) {
            0 => fleet.links.islands(&(0..members).map(|_| rng.random_range(0..2)).collect::<Vec<_>>()),
            1 => fleet.links.heal(),
            2 => {
                let (loss, jitter) = (rng.random_range(0.0..0.5), rng.random_range(0..GRANT));
                fleet.links.all = Link { loss, twice: 0.1, delay: 100, jitter, cut: false };
            }
            3 => fleet.act(&Act::Stall(one, rng.random_range(GRANT / 5..10 * GRANT))),
            4 => fleet.act(&Act::Kill(one)),
            5 if fleet.member(one).is_none() => {
                let now = fleet.clock(one);
                fleet.start(one, Sharer::new(one, now, members, demands[one]));
            }
            // Members do not agree on who keeps.
            6 => {
                let keeps = rng.random_range(0..members);
                fleet.member_mut(one).into_iter().for_each(|m| m.keeps = keeps);
            }
            7 => {
                let demand = rng.random_range(0..LIMIT / 2);
                fleet.member_mut(one).into_iter().for_each(|m| m.demand = demand);
            }
            _ => {}
        }
        let until = fleet.now() + rng.random_range(0..GRANT);
        while fleet.now() < until {
            fleet.run_until((fleet.now() + GRANT / 40).min(until));
            let sum: u64 = rights(&fleet).iter().sum();
            if sum > LIMIT {
                let what = format!("{} of {} may be used", sum / CALL, LIMIT / CALL);
                return Err(Breach { at: fleet.now(), what });
            }
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
    let all = LIMIT / 10 * 9;
    let busy = (members / 30).max(1);
    let third = |hot: usize| {
        move |n: usize| if n == hot { all / 3 } else { all / 3 * 2 / (members as u64 - 1).max(1) }
    };
    let few = |n: usize| if n < busy { all / busy as u64 } else { 0 };
    let mut most = 0.0f64;
    let mut used = |fleet: &Fleet<Sharer>| {
        let floor = LIMIT / members as u64;
        let rights: Vec<u64> = match even {
            Even::Rights => rights(fleet),
            Even::Split => (0..members).map(|n| if fleet.member(n).is_some() { floor } else { 0 }).collect(),
        };
        most = most.max(rights.iter().sum::<u64>() as f64 / LIMIT as f64);
        let demand = |n: usize| fleet.member(n).map_or(0, |m| m.demand);
        let use_of: u64 = rights.iter().enumerate().map(|(n, right)| demand(n).min(*right)).sum();
        use_of as f64 / (0..members).map(demand).sum::<u64>().clamp(1, LIMIT) as f64
    };
    let mut mean = |fleet: &mut Fleet<Sharer>, span: Micros| {
        let (mut sum, mut looks) = (0.0, 0.0);
        let end = fleet.now() + span;
        while fleet.now() < end {
            let next = fleet.now() + GRANT / 20;
            fleet.run_until(next);
            sum += used(fleet);
            looks += 1.0;
        }
        sum / looks
    };
    let mut one = fleet(members, Links::default(), seed, third(1 % members));
    mean(&mut one, 20 * GRANT);
    let before: u64 = one.bytes.iter().sum();
    let third_use = mean(&mut one, 20 * GRANT);
    let bytes = (one.bytes.iter().sum::<u64>() - before) as f64 / (20.0 * members as f64);
    // The third moves to the last member.
    let moves = third(members - 1);
    (0..members).for_each(|n| one.member_mut(n).into_iter().for_each(|m| m.demand = moves(n)));
    let start = one.now();
    let mut moved = None;
    while moved.is_none() && one.now() < start + 30 * GRANT {
        if mean(&mut one, GRANT / 20) >= 0.9 * third_use {
            moved = Some((one.now() - start) as f64 / 1e6);
        }
    }
    mean(&mut one, 5 * GRANT);
    one.links.islands(&(0..members).map(|n| usize::from(n * 2 >= members)).collect::<Vec<_>>());
    mean(&mut one, 8 * GRANT);
    // By then the other side's view has another keeper: that needs nobody's leave.
    for n in (0..members).filter(|n| n * 2 >= members) {
        one.member_mut(n).into_iter().for_each(|m| m.keeps = members.div_ceil(2));
    }
    mean(&mut one, 8 * GRANT);
    let cut = mean(&mut one, 10 * GRANT);
    let mut other = fleet(members, Links::default(), seed, few);
    mean(&mut other, 20 * GRANT);
    let few_use = mean(&mut other, 20 * GRANT);
    RightsFigures { third: third_use, few: few_use, cut, moved, most, bytes }
}
