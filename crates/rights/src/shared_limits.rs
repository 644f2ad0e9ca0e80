//! All limits of one member: its rights, whom it speaks with about them, and whether a call may begin.
//!
//! Rights are parts of a limit, [`PARTS`] of them, and become calls only with the limit that holds when a call is to
//! begin. So a limit that falls binds at once whoever has heard of it, also for what is promised and granted; what all
//! send together is at most the largest limit that anybody still goes by.
//!
//! Whom a member takes for the keeper of a limit follows from its own view, by rendezvous hashing: nobody has to agree.

use crate::coordinator::Coordinator;
use crate::durations::{LeaseDurations, Micros};
use crate::holder::{Grant, Holder, Request};
use crate::rate_meter::RateMeter;
use crate::token_bucket::TokenBucket;
use crate::{CALL, PARTS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Words in a letter; a packet of [`Envelope`]s has room for so many at their longest.
pub const MAX_PAYLOADS: usize = 18;
/// What was asked for counts by half after so many rounds, two grants: after one, a member with a call a second seems to need
/// more and less by turns, and 300 of them together use 0.87 of a limit in place of all of it (`attack rights`).
const HALF_ROUNDS: u64 = 8;
/// Keepers whose last question is kept.
const ASKS_MOST: usize = 4;

/// What members say to each other about one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// To its keeper.
    Request(u64, Request),
    /// By the keeper.
    Grant(u64, Grant),
}

/// What goes from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The life of the sender: drawn at each start.
    pub life: u64,
    /// The life that this was meant for; none where the sender has heard of none. Moments that go back and forth are
    /// of one life's clock.
    pub to_life: Option<u64>,
    /// What it says, [`MAX_PAYLOADS`] at most.
    pub payloads: Vec<Payload>,
}

/// What is to be known of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Calls a second in [`CALL`], for all together.
    pub calls: u64,
    /// Parts of it move to where they are needed; else each member has its even part for good.
    pub lend: bool,
}

/// What was refused, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusals {
    /// Words about limits that are not known here.
    pub unknown: u64,
    /// Promises and grants of another life.
    pub stale: u64,
    /// Promises of more than a member has.
    #[serde(rename = "absurd")]
    pub excessive: u64,
}

/// One limit as it stands here.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LimitStatus {
    /// Which.
    pub limit: u64,
    /// Calls a second, for all together.
    pub calls: f64,
    /// Which part of its right may be used: less while a destination that was down gets warm.
    #[serde(rename = "part", default = "full_fraction")]
    pub warm_up_fraction: f64,
    /// What this member may send now, its floor, what of it is lent, what is borrowed (calls a second).
    pub right: f64,
    /// Its even part.
    pub floor: f64,
    /// Lent.
    pub lent: f64,
    /// Borrowed.
    pub borrowed: f64,
    /// What it would send (calls a second).
    pub demand: f64,
    /// Its own floor is not its own before so long (milliseconds): an earlier life may have lent it.
    #[serde(rename = "starts_ms")]
    pub floor_usable_in_ms: u64,
    /// Calls that began and that were held back, since the start.
    pub begun: u64,
    /// Held back.
    #[serde(rename = "held")]
    pub delayed: u64,
    /// Whom it takes for the keeper.
    #[serde(rename = "keeper")]
    pub coordinator: Option<u64>,
    /// What it grants as a keeper, and what was promised to it (calls a second).
    #[serde(rename = "keeps")]
    pub coordinated: Option<[f64; 2]>,
}

fn full_fraction() -> f64 {
    1.0
}

/// The number of the limit on attempts beyond the first to a destination, beside that on all of its calls.
pub fn retry_limit_id(dest: u64) -> u64 {
    dest | 1 << 63
}

#[derive(Clone, Debug)]
struct Share {
    limit: Limit,
    holder: Holder,
    tokens: TokenBucket,
    meter: RateMeter,
    /// The keepers' last questions.
    asks: BTreeMap<u64, Micros>,
    keeper: Option<u64>,
    /// Which part of its right it may use: less while a destination that was down gets warm.
    part: f64,
    /// What was lent or granted before is not known here: since when that has been so.
    since: Micros,
    begun: u64,
    held: u64,
}

impl Share {
    fn calls_of(&self, parts: u64) -> u64 {
        u64::try_from(u128::from(parts) * u128::from(self.limit.calls) / u128::from(PARTS))
            .unwrap_or(u64::MAX)
    }

    /// What it would send, in parts of the limit.
    fn demand(&self, now: Micros) -> u64 {
        let part = self.meter.rate(now) * CALL as f64 / (self.limit.calls.max(1) as f64);
        (part.min(1.0) * PARTS as f64) as u64
    }

    fn right(&self, now: Micros) -> u64 {
        let right = self.calls_of(self.holder.right(now));
        if self.part < 1.0 { (right as f64 * self.part) as u64 } else { right }
    }
}

/// All limits of one member.
#[derive(Clone, Debug)]
pub struct SharedLimits {
    me: u64,
    life: u64,
    spans: LeaseDurations,
    members: u64,
    shares: BTreeMap<u64, Share>,
    keepers: BTreeMap<u64, Coordinator>,
    /// Lives of others, as last heard.
    lives: BTreeMap<u64, u64>,
    next: Micros,
    /// Since when something is held back although the next round is far.
    hurry: bool,
    started: Micros,
    /// Limits were set before.
    set: bool,
    refusals: Refusals,
}

impl SharedLimits {
    /// A member that starts. `life` is drawn at each start; `members` share everything.
    pub fn new(now: Micros, me: u64, life: u64, members: usize, spans: LeaseDurations) -> Self {
        SharedLimits {
            me,
            life,
            spans,
            members: members.max(1) as u64,
            shares: BTreeMap::new(),
            keepers: BTreeMap::new(),
            lives: BTreeMap::new(),
            // Not all at once.
            next: now + me % spans.round_interval().max(1),
            hurry: false,
            started: now,
            set: false,
            refusals: Refusals::default(),
        }
    }

    fn floor(&self) -> u64 {
        PARTS / self.members
    }

    /// The limits that hold from now on, by number, shared by so many. One that is gone
    /// is forgotten: calls to it are nobody's matter here.
    pub fn set_limits(&mut self, now: Micros, members: usize, limits: &BTreeMap<u64, Limit>) {
        self.members = members.max(1) as u64;
        self.shares.retain(|limit, _| limits.contains_key(limit));
        self.keepers.retain(|limit, _| limits.contains_key(limit));
        let (spans, floor) = (self.spans, self.floor());
        // What an earlier life lent has nothing to do with when the document was read; a limit that was there, went and
        // comes again is another matter.
        let since = if self.set { now } else { self.started };
        self.set = true;
        for (limit, told) in limits {
            let fresh = || Share {
                limit: *told,
                holder: Holder::new(since, spans, floor),
                since,
                tokens: TokenBucket::new(now),
                meter: RateMeter::new(now, spans.round_interval() * HALF_ROUNDS),
                asks: BTreeMap::new(),
                keeper: None,
                part: 1.0,
                begun: 0,
                held: 0,
            };
            let share = self.shares.entry(*limit).or_insert_with(fresh);
            share.limit = *told;
            share.holder.set_floor(floor);
        }
    }

    /// Whether a call may begin now by all the limits that it is under; else after how long it is to ask again
    /// (microseconds). `part` of 1 of each right may be used. To be asked at the last step before its first byte, with the
    /// clock read then. `again`: the call was held back before.
    ///
    /// # Errors
    ///
    /// It is to be held back; then nothing is taken of any limit.
    pub fn try_begin(&mut self, now: Micros, limits: &[u64], part: f64, again: bool) -> Result<(), Micros> {
        let round = self.spans.round_interval();
        let mut wait = None;
        for limit in limits {
            let Some(share) = self.shares.get_mut(limit) else { continue };
            if !again {
                share.meter.record(now);
            }
            share.part = part.clamp(0.0, 1.0);
            let right = share.right(now);
            share.tokens.refill(now, right);
            if !share.tokens.has_token() {
                // Rights move within a round: it asks again by then, however long its own right would take.
                let at = share.tokens.next_token_at().unwrap_or(Micros::MAX);
                let longer = at.saturating_sub(now).clamp(1, round);
                wait = Some(wait.map_or(longer, |wait: Micros| wait.max(longer)));
                share.held += u64::from(!again);
                self.hurry |= !again;
            }
        }
        if let Some(wait) = wait {
            return Err(wait);
        }
        for limit in limits {
            if let Some(share) = self.shares.get_mut(limit) {
                share.begun += u64::from(share.tokens.take());
            }
        }
        Ok(())
    }

    /// A call wants to begin and is held back for another reason: what it would use is demand all the same, or the right would
    /// be lent away by the time it may.
    pub fn record_demand(&mut self, now: Micros, limits: &[u64]) {
        for limit in limits {
            self.shares.get_mut(limit).into_iter().for_each(|share| share.meter.record(now));
        }
    }

    /// When [`SharedLimits::tick`] is to be called.
    pub fn next_wake(&self) -> Micros {
        if self.shares.is_empty() {
            return Micros::MAX;
        }
        // What is held back is told of at once, but no more often than eight times a round.
        if self.hurry { self.next.saturating_sub(self.spans.round_interval() * 7 / 8) } else { self.next }
    }

    /// Speaks with the keepers that follow from a view, where it is time to.
    pub fn tick(&mut self, now: Micros, view: &[u64]) -> Vec<(u64, Envelope)> {
        if now < self.next_wake() {
            return Vec::new();
        }
        (self.next, self.hurry) = (now + self.spans.round_interval(), false);
        let mut said: BTreeMap<u64, Vec<Payload>> = BTreeMap::new();
        let mut own = Vec::new();
        for (limit, share) in &mut self.shares {
            share.keeper = keeper(*limit, view).filter(|_| share.limit.lend);
            let Some(keeper) = share.keeper else { continue };
            let demand = share.demand(now);
            let asks = share.asks.remove(&keeper);
            let want = share.holder.request(now, keeper, demand, asks);
            let to = if keeper == self.me { &mut own } else { said.entry(keeper).or_default() };
            to.push(Payload::Request(*limit, want));
        }
        for word in own {
            // Its own keeper is asked as all others are.
            let Payload::Request(limit, want) = word else { continue };
            let grant = self.want(now, self.me, limit, want);
            self.granted(now, self.me, limit, grant);
        }
        let mut letters = Vec::new();
        for (to, words) in said {
            let known = self.lives.get(&to).copied();
            for words in words.chunks(MAX_PAYLOADS) {
                letters.push((to, Envelope { life: self.life, to_life: known, payloads: words.to_vec() }));
            }
        }
        letters
    }

    /// A letter has come, from a member of the roster; the answer, if it wants one.
    pub fn handle(&mut self, now: Micros, from: u64, letter: &Envelope) -> Option<Envelope> {
        // Bounded by the roster: the host hands in letters of its members alone.
        self.lives.insert(from, letter.life);
        let meant = letter.to_life == Some(self.life);
        let mut words = Vec::new();
        for word in letter.payloads.iter().take(MAX_PAYLOADS) {
            match *word {
                Payload::Request(limit, _) | Payload::Grant(limit, _)
                    if !self.shares.contains_key(&limit) =>
                {
                    self.refusals.unknown += 1;
                }
                Payload::Request(limit, mut want) => {
                    if !meant && want.offer.take().is_some() {
                        self.refusals.stale += 1;
                    }
                    words.push(Payload::Grant(limit, self.want(now, from, limit, want)));
                }
                Payload::Grant(limit, grant) if meant => self.granted(now, from, limit, grant),
                Payload::Grant(..) => self.refusals.stale += 1,
            }
        }
        (!words.is_empty()).then_some(Envelope {
            life: self.life,
            to_life: Some(letter.life),
            payloads: words,
        })
    }

    fn want(&mut self, now: Micros, from: u64, limit: u64, mut want: Request) -> Grant {
        let (spans, floor) = (self.spans, self.floor());
        if let Some(offer) = want.offer.as_mut().filter(|offer| offer.amount > floor) {
            // Nobody has more than its floor to lend, whatever it says.
            self.refusals.excessive += 1;
            offer.amount = floor;
        }
        want.extra = want.extra.min(PARTS);
        let since = self.shares.get(&limit).map_or(now, |share| share.since);
        let fresh = || Coordinator::new(since, spans);
        self.keepers.entry(limit).or_insert_with(fresh).handle_request(now, from, &want, spans)
    }

    fn granted(&mut self, now: Micros, by: u64, limit: u64, grant: Grant) {
        let Some(share) = self.shares.get_mut(&limit) else { return };
        // What runs out while nobody looks has filled nothing since: the tokens look before and after.
        let before = share.right(now);
        share.tokens.refill(now, before);
        share.holder.apply_grant(now, by, &grant);
        let after = share.right(now);
        share.tokens.refill(now, after);
        if share.asks.len() >= ASKS_MOST && !share.asks.contains_key(&by) {
            share.asks.pop_first();
        }
        share.asks.insert(by, grant.asked_at);
    }

    /// How a limit stands, for those who ask.
    pub fn status(&self, now: Micros) -> Vec<LimitStatus> {
        let one = |(limit, share): (&u64, &Share)| {
            let calls = |parts: u64| share.calls_of(parts) as f64 / CALL as f64;
            let starts = share.since.saturating_add(self.spans.loan_max);
            LimitStatus {
                limit: *limit,
                calls: share.limit.calls as f64 / CALL as f64,
                warm_up_fraction: share.part,
                right: calls(share.holder.right(now)),
                floor: calls(share.holder.floor()),
                lent: calls(share.holder.lent(now)),
                borrowed: calls(share.holder.borrowed(now)),
                demand: share.meter.rate(now),
                floor_usable_in_ms: starts.saturating_sub(now) / 1000,
                begun: share.begun,
                delayed: share.held,
                coordinator: share.keeper,
                coordinated: self
                    .keepers
                    .get(limit)
                    .map(|k| [calls(k.outstanding(now)), calls(k.pool(now, self.spans))]),
            }
        };
        self.shares.iter().map(one).collect()
    }

    /// What it may send under a limit now (calls a second in [`CALL`]).
    pub fn right(&self, now: Micros, limit: u64) -> Option<u64> {
        self.shares.get(&limit).map(|share| share.right(now))
    }

    /// What was refused.
    pub fn refusals(&self) -> Refusals {
        self.refusals
    }
}

/// The keeper of a limit in a view: rendezvous hashing, so that a member that goes moves its own limits alone.
fn keeper(limit: u64, view: &[u64]) -> Option<u64> {
    view.iter().copied().max_by_key(|id| xxh3_64(&[limit.to_le_bytes(), id.to_le_bytes()].concat()))
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMIT: u64 = 10;

    /// Two members that hear each other at once; the calls a second that each began over a span.
    fn run(members: &mut [SharedLimits; 2], now: &mut Micros, span: Micros, rates: [u64; 2]) -> [u64; 2] {
        let view = [1, 2];
        let mut begun = [0; 2];
        let end = *now + span;
        while *now < end {
            *now += 1000;
            for n in 0..2 {
                if rates[n] > 0 && (*now).is_multiple_of(1_000_000 / rates[n]) {
                    begun[n] += u64::from(members[n].try_begin(*now, &[LIMIT], 1.0, false).is_ok());
                }
                for (to, letter) in members[n].tick(*now, &view) {
                    let to = (to - 1) as usize;
                    if let Some(answer) = members[to].handle(*now, n as u64 + 1, &letter) {
                        members[n].handle(*now, to as u64 + 1, &answer);
                    }
                }
            }
        }
        begun.map(|calls| calls * 1_000_000 / span)
    }

    fn two(calls: u64) -> ([SharedLimits; 2], Micros) {
        let spans = LeaseDurations::new(200_000, 0.01);
        let now = 1_000_000_000;
        let limits = BTreeMap::from([(LIMIT, Limit { calls: calls * CALL, lend: true })]);
        let mut members = [1, 2].map(|me| SharedLimits::new(now, me, me * 77, 2, spans));
        members.iter_mut().for_each(|m| m.set_limits(now, 2, &limits));
        (members, now)
    }

    #[test]
    fn a_busy_member_gets_what_an_idle_one_leaves_and_gives_it_back() {
        let (mut members, mut now) = two(100);
        assert_eq!(
            run(&mut members, &mut now, 400_000, [100, 1]),
            [0, 0],
            "nobody knows what it lent before"
        );
        run(&mut members, &mut now, 2_000_000, [100, 1]);
        let [busy, _] = run(&mut members, &mut now, 5_000_000, [125, 1]);
        assert!((85..=100).contains(&busy), "{busy}");
        run(&mut members, &mut now, 3_000_000, [1, 125]);
        let [_, busy] = run(&mut members, &mut now, 5_000_000, [1, 125]);
        assert!((85..=100).contains(&busy), "{busy}");
        let both = run(&mut members, &mut now, 5_000_000, [125, 125]);
        assert!(both[0] + both[1] <= 101 && both.iter().all(|calls| *calls >= 40), "{both:?}");
    }

    #[test]
    fn a_limit_that_falls_binds_at_once() {
        let (mut members, mut now) = two(100);
        run(&mut members, &mut now, 5_000_000, [125, 1]);
        let limits = BTreeMap::from([(LIMIT, Limit { calls: 10 * CALL, lend: true })]);
        members.iter_mut().for_each(|m| m.set_limits(now, 2, &limits));
        let sum: u64 = members.iter().filter_map(|m| m.right(now, LIMIT)).sum();
        assert!(sum <= 10 * CALL, "{sum}");
        let [busy, _] = run(&mut members, &mut now, 1_000_000, [125, 1]);
        assert!(busy <= 12, "{busy}");
    }

    /// A call under two limits takes of both or of none, and a part of a right is a part of its calls.
    #[test]
    fn a_call_under_two_limits_takes_of_both_or_of_none() {
        let spans = LeaseDurations::new(200_000, 0.01);
        let mut now = 1_000_000_000;
        let further = retry_limit_id(LIMIT);
        let limit = |calls| Limit { calls: calls * CALL, lend: false };
        let mut one = SharedLimits::new(now, 1, 77, 1, spans);
        one.set_limits(now, 1, &BTreeMap::from([(LIMIT, limit(100)), (further, limit(5))]));
        now += 10_000_000;
        let mut begun = [0, 0];
        for n in 0..20_000u64 {
            now += 1000;
            begun[0] += u64::from(one.try_begin(now, &[LIMIT, further], 1.0, false).is_ok());
            begun[1] += u64::from(n % 2 == 0 && one.try_begin(now, &[LIMIT], 1.0, false).is_ok());
        }
        assert!((95..=105).contains(&begun[0]), "{begun:?}");
        assert!((1880..=2010).contains(&(begun[0] + begun[1])), "{begun:?}");
        let before = now;
        let mut cold = 0;
        while now < before + 10_000_000 {
            now += 1000;
            cold += u64::from(one.try_begin(now, &[LIMIT], 0.2, false).is_ok());
        }
        assert!((195..=212).contains(&cold), "{cold}");
    }

    #[test]
    fn words_of_another_life_and_of_more_than_there_is_count_for_nothing() {
        let (mut members, mut now) = two(100);
        run(&mut members, &mut now, 5_000_000, [1, 1]);
        let [one, _] = &mut members;
        let offer = |amount| Some(crate::Offer { asked_at: now, amount });
        let want = |amount| Payload::Request(LIMIT, Request { sent_at: now, extra: 0, offer: offer(amount) });
        let letter = |to, word| Envelope { life: 5, to_life: to, payloads: vec![word] };
        one.handle(now, 2, &letter(Some(1), want(PARTS / 2)));
        assert_eq!(one.refusals().stale, 1);
        one.handle(now, 2, &letter(Some(77), want(u64::MAX)));
        assert_eq!(one.refusals().excessive, 1);
        let grant = Grant { requested_at: now, amount: PARTS, asked_at: now };
        one.handle(now, 2, &letter(None, Payload::Grant(LIMIT, grant)));
        assert_eq!(one.refusals().stale, 2);
        assert!(one.right(now, LIMIT).is_some_and(|right| right <= 50 * CALL));
        one.handle(now, 2, &letter(Some(77), Payload::Grant(LIMIT + 1, grant)));
        assert_eq!(one.refusals().unknown, 1);
    }
}
