//! All duties of one member: what it votes on, what it looks for, what it holds.

use crate::ballot::{Ballot, Electorate, Lease, Life, Micros};
use crate::ranking::{Candidate, Duty, ranks};
use crate::register::{Answer, Post, Reason, Register};
use crate::proposer::{Ask, Belief, Head, Seeker, Seen, Setting};
use crate::term::{Decided, StepError, Write};
use crate::voter::{Standing, Stored, Vote, Voter};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Duties at the most: what is kept, and what a voter that starts is told, is bounded by it.
pub const DUTIES_MOST: usize = 32;
/// Voters whose writes are told of: those of two rosters.
const WROTE_MOST: usize = 16;
/// A renewal is a third of a lease; one that looks at the clock this much later than it meant to (parts of a lease) is unfit.
const LATE_PART: u64 = 2;

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Letter {
    /// Which process speaks.
    pub from: Life,
    /// About which duty; 0 where it is about none.
    pub duty: u64,
    /// What it says.
    pub body: Body,
}

/// What it says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// To a voter: who holds it?
    Look,
    /// By a voter.
    Seen(Seen),
    /// To a voter: may this ballot write?
    Prepare(Ballot),
    /// To a voter: this holds.
    Accept {
        /// Under which ballot.
        ballot: Ballot,
        /// Which word of it.
        seq: u64,
        /// What holds.
        post: Post,
        /// How often each voter wrote, as far as the writer has heard: so that all remember it, and not the writer alone.
        wrote: Vec<(u64, u64)>,
    },
    /// By a voter, with how often it wrote.
    Answer(Answer, u64),
    /// A voter starts, and asks the others.
    Recall {
        /// Numbers the question.
        nonce: u64,
    },
    /// By another voter, once for each register that it keeps.
    Recalled {
        /// The question's number.
        nonce: u64,
        /// How it stands.
        of: Standing,
        /// Boot and life that it remembers of the one that asked, and how often that wrote as far as it has heard.
        remembers: (Option<(u64, u64)>, u64),
        /// What it keeps of the letter's duty.
        register: Option<Register>,
        /// Which part of how many.
        part: (u8, u8),
    },
    /// To a holder, by an operator.
    Wish(Wish),
    /// By one that gave a duty up, to those that should take it: they need not find that out.
    Free {
        /// To whom it is pinned.
        pinned: Option<u64>,
    },
}

/// What an operator wants of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    /// That its holder gives it up.
    Yield,
    /// That a member holds it whenever it is there; none: whoever follows from the rule.
    Pin(Option<u64>),
}

/// Why a wish is not passed on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WishError {
    /// No such duty.
    #[error("there is no duty {0:?}")]
    Unknown(String),
    /// Nobody holds it, as far as this member knows.
    #[error("nobody is known to hold it now; ask again")]
    Vacant,
    /// The member is not there.
    #[error("the member is not there")]
    NotThere,
}

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be on disk before anything that stands behind it is sent, and [`Duties::written`] to be told of it; if it can't be, what
    /// stands behind it is dropped.
    Write(Stored),
    /// What is on disk is taken out before anything that stands behind this is done.
    Forget,
    /// A letter; one to this member itself is handed in again.
    Send {
        /// To whom.
        to: u64,
        /// What.
        letter: Letter,
    },
    /// For whoever wants to know.
    Event(Event),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A duty is held here from now on.
    Took {
        /// Which.
        duty: u64,
        /// Under which token.
        token: u64,
        /// Steps of progress so far.
        step: u64,
    },
    /// It is not held any more: its lease ended.
    Lost {
        /// Which.
        duty: u64,
        /// Under which token.
        token: u64,
    },
    /// It was given up.
    Gave {
        /// Which.
        duty: u64,
        /// Under which token.
        token: u64,
        /// Why.
        reason: Reason,
    },
    /// A step of progress is decided.
    Step {
        /// Which duty.
        duty: u64,
        /// Under which token.
        token: u64,
        /// The how manieth.
        step: u64,
    },
    /// This voter's word counts from now on.
    Votes,
    /// This voter may have forgotten what it promised.
    Doubts,
}

/// A duty that is held: to be shown wherever it acts, and to be looked at again at the last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Which.
    pub duty: u64,
    /// Under which token: higher than that of any term before.
    pub token: u64,
    /// Until when, by the holder's clock.
    pub until: Micros,
    /// Steps of progress so far,
    pub step: u64,
    /// and what has been done.
    pub progress: Vec<u8>,
}

impl Held {
    /// Whether an act that takes so long may begin at a moment: it ends before anybody else can hold the duty.
    pub fn may(&self, now: Micros, takes: Micros) -> bool {
        now.saturating_add(takes) < self.until
    }
}

/// A duty as it stands here, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Its name.
    pub name: String,
    /// Who holds it, as far as is known here.
    pub holder: Option<u64>,
    /// The token.
    pub token: u64,
    /// For how long (milliseconds).
    pub left_ms: u64,
    /// How old that knowledge is (milliseconds).
    pub age_ms: u64,
    /// Why the last term ended.
    pub reason: Reason,
    /// To whom it is pinned.
    pub pinned: Option<u64>,
    /// Steps of progress.
    pub step: u64,
    /// Who should hold it, in this order.
    pub ranks: Vec<u64>,
}

/// All duties of one member.
#[derive(Clone, Debug)]
pub struct Duties {
    me: Life,
    lease: Lease,
    duties: BTreeMap<u64, Duty>,
    voters: Electorate,
    voter: Option<Voter>,
    seekers: BTreeMap<u64, Seeker>,
    there: Vec<Candidate>,
    may_seek: bool,
    remembered: BTreeMap<u64, (u64, u64)>,
    /// How often each voter wrote, as far as was heard.
    wrote: BTreeMap<u64, u64>,
    /// Numbers its draws.
    draws: u64,
    /// When it meant to look at the clock.
    due: Micros,
    outputs: Vec<Output>,
}

impl Duties {
    /// A member that starts: its life, its boot, what its folder holds (none where that can't be believed), the duties, and whose
    /// answers count.
    pub fn new(
        now: Micros,
        me: Life,
        boot: u64,
        lease: Lease,
        found: Option<Stored>,
        duties: Vec<Duty>,
        voters: Electorate,
    ) -> Self {
        let duties: BTreeMap<u64, Duty> =
            duties.into_iter().take(DUTIES_MOST).map(|duty| (duty.id(), duty)).collect();
        // Where there are no duties there is nothing to vote on.
        let votes = voters.has(me.member) && !duties.is_empty();
        let voter = votes.then(|| Voter::new(now, me, boot, lease, found));
        // Not all that start at once look at once.
        let first = |id: &u64| {
            now + xxh3_64(&[id.to_le_bytes(), me.member.to_le_bytes()].concat()) % (lease.hold / 4).max(1)
        };
        let seekers = duties.keys().map(|id| (*id, Seeker::new(first(id), me))).collect();
        Duties {
            me,
            lease,
            duties,
            voters,
            voter,
            seekers,
            there: Vec::new(),
            may_seek: false,
            remembered: BTreeMap::new(),
            wrote: BTreeMap::new(),
            draws: 0,
            due: now,
            outputs: Vec::new(),
        }
    }

    // ---- What it is told of the fleet ----

    /// Who is there, and whether this member may seek duties.
    pub fn set_there(&mut self, now: Micros, there: Vec<Candidate>, may_seek: bool) {
        (self.there, self.may_seek) = (there, may_seek);
        let ids: Vec<u64> = self.duties.keys().copied().collect();
        for id in ids {
            // Whoever should try now looks soon; the others as before.
            if self.rank(id).is_some() {
                let at = now + self.draw(id);
                self.seekers.get_mut(&id).into_iter().for_each(|s| s.hurry(at));
            }
        }
    }

    /// The newest boot of a member, and its life.
    pub fn saw(&mut self, member: u64, boot: u64, life: u64) {
        let known = self.remembered.entry(member).or_insert((boot, life));
        if boot > known.0 {
            *known = (boot, life);
        }
    }

    /// Others know of a later life of this member than its folder.
    pub fn doubt(&mut self, now: Micros) {
        if let Some(voter) = &mut self.voter {
            let before = voter.vote();
            voter.doubt(now, self.lease);
            if voter.vote() != before {
                self.doubts();
            }
        }
    }

    /// Whose answers count from now on. One that comes to vote has promised nothing, and learns first.
    pub fn set_voters(&mut self, now: Micros, voters: Electorate) {
        if self.voters == voters {
            return;
        }
        self.voters = voters;
        match (self.voters.has(self.me.member) && !self.duties.is_empty(), &self.voter) {
            (true, None) => self.voter = Some(Voter::new(now, self.me, 0, self.lease, None).joins()),
            (false, Some(_)) => self.voter = None,
            _ => {}
        }
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.duties.is_empty()
    }

    // ---- What it holds ----

    /// A duty that it holds at a moment. To be asked at the last step before an act, with the clock read then.
    pub fn held(&self, now: Micros, duty: u64) -> Option<Held> {
        let term = self.seekers.get(&duty)?.term().filter(|term| term.holds(now))?;
        let post = term.decided()?;
        let progress = post.progress.clone();
        Some(Held { duty, token: term.token(), until: term.until(), step: post.step, progress })
    }

    /// What has been done so far under a held duty: its step is decided once [`Event::Step`] says so.
    ///
    /// # Errors
    ///
    /// It is not held under that token any more, the step before is not decided, or it is too long.
    pub fn step(&mut self, now: Micros, held: &Held, progress: Vec<u8>) -> Result<u64, StepError> {
        let lease = self.lease;
        let term = self.seekers.get_mut(&held.duty).and_then(Seeker::term_mut);
        let (step, write) =
            term.ok_or(StepError::NotHeld(held.token))?.step(now, lease, held.token, progress)?;
        self.ask_all(held.duty, &Ask::Accept(write));
        Ok(step)
    }

    /// What [`Output::Write`] asked for stands on disk.
    pub fn written(&mut self) {
        self.voter.iter_mut().for_each(Voter::written);
    }

    /// An operator's wish: to this member itself if it holds the duty, else to whoever does.
    ///
    /// # Errors
    ///
    /// No such duty, nobody holds it, or the member to pin it to is not there.
    pub fn wish(&mut self, now: Micros, name: &str, wish: Wish) -> Result<(), WishError> {
        let id = Duty::new(name).id();
        if !self.duties.contains_key(&id) {
            return Err(WishError::Unknown(name.to_owned()));
        }
        if let Wish::Pin(Some(to)) = wish
            && !self.there.iter().any(|c| c.member == to)
        {
            return Err(WishError::NotThere);
        }
        if self.held(now, id).is_some() {
            self.wished(now, id, wish);
            return Ok(());
        }
        let belief = self.seekers.get(&id).map(Seeker::belief).unwrap_or_default();
        let holder = belief.head.and_then(|head| head.holder).filter(|_| now < belief.until);
        let to = holder.ok_or(WishError::Vacant)?.member;
        self.send(to, id, Body::Wish(wish));
        Ok(())
    }

    fn wished(&mut self, now: Micros, duty: u64, wish: Wish) {
        let lease = self.lease;
        let Some(term) = self.seekers.get_mut(&duty).and_then(Seeker::term_mut) else { return };
        let write = match wish {
            Wish::Yield => term.give(now, lease, Reason::Asked),
            Wish::Pin(to) => term.pin(now, lease, to),
        };
        if let Some(write) = write {
            self.ask_all(duty, &Ask::Accept(write));
        }
    }

    /// Everything is given up, since the process is to end, or is too slow.
    pub fn give_all(&mut self, now: Micros, reason: Reason) {
        let lease = self.lease;
        let mut writes = Vec::new();
        for (duty, seeker) in &mut self.seekers {
            writes.extend(seeker.term_mut().and_then(|t| t.give(now, lease, reason)).map(|w| (*duty, w)));
        }
        writes.into_iter().for_each(|(duty, write)| self.ask_all(duty, &Ask::Accept(write)));
        if reason == Reason::Leaving {
            self.may_seek = false;
        }
    }

    // ---- Time and letters ----

    /// When [`Duties::tick`] is to be called.
    pub fn next_wake(&self) -> Micros {
        let seekers = self.seekers.values().map(|s| s.next_wake(self.lease)).min().unwrap_or(Micros::MAX);
        seekers.min(self.voter.as_ref().map_or(Micros::MAX, Voter::next_wake))
    }

    /// What the host is to do by now.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        let late = now.saturating_sub(self.due);
        if self.due > 0 && late >= self.lease.hold / LATE_PART {
            // It was stopped, or its loop is slow: what it still holds others do better.
            self.give_all(now, Reason::Unfit);
        }
        self.vote(now);
        let ids: Vec<u64> = self.duties.keys().copied().collect();
        for id in ids {
            let rank = self.rank(id);
            let chance = self.draw(id);
            let Some(seeker) = self.seekers.get_mut(&id) else { continue };
            if now < seeker.next_wake(self.lease) {
                continue;
            }
            let setting = Setting { lease: self.lease, voters: &self.voters, rank, chance };
            let (ask, ended) = seeker.tick(now, &setting);
            if let Some(token) = ended {
                self.outputs.push(Output::Event(Event::Lost { duty: id, token }));
            }
            if let Some(ask) = ask {
                self.ask_all(id, &ask);
            }
            self.hand_on(now, id);
        }
        self.due = self.next_wake().max(now);
    }

    /// A letter has come.
    pub fn handle(&mut self, now: Micros, from: u64, letter: Letter) {
        let Letter { from: life, duty, body } = letter;
        if life.member != from {
            return;
        }
        let known = self.duties.contains_key(&duty);
        match body {
            Body::Look | Body::Prepare(_) | Body::Accept { .. } if known => self.asked(now, life, duty, body),
            Body::Seen(seen) if known => {
                let rank = self.rank(duty);
                let setting = Setting {
                    lease: self.lease,
                    voters: &self.voters,
                    rank,
                    chance: draw(self.me, duty, now, self.lease),
                };
                let ask = self.seekers.get_mut(&duty).and_then(|s| s.seen(now, &setting, from, seen));
                if let Some(ask) = ask {
                    self.ask_all(duty, &ask);
                }
            }
            Body::Answer(answer, wrote) if known => {
                let heard = self.wrote.entry(from).or_default();
                *heard = (*heard).max(wrote);
                self.answered(now, from, duty, answer);
            }
            Body::Recall { nonce } => self.recall(life, nonce),
            Body::Recalled { nonce, of, remembers, register, part } => {
                let register = register.as_ref().filter(|_| known).map(|r| (duty, r));
                let Some(voter) = &mut self.voter else { return };
                let before = voter.vote();
                let began =
                    voter.told(now, self.lease, &self.voters, from, nonce, of, remembers, register, part);
                let doubts = before == Vote::Checks && voter.vote() == Vote::Silent;
                if began {
                    self.begins_to_vote();
                } else if doubts {
                    self.doubts();
                }
            }
            Body::Wish(wish) if known => self.wished(now, duty, wish),
            Body::Free { pinned } if known => {
                self.seekers.get_mut(&duty).into_iter().for_each(|s| s.freed(now, pinned));
            }
            _ => {}
        }
    }

    /// A voter is asked.
    fn asked(&mut self, now: Micros, by: Life, duty: u64, body: Body) {
        let lease = self.lease;
        let Some(kept) = self.voter.as_mut().and_then(|voter| voter.duty(duty)) else { return };
        let ruling = match body {
            Body::Look => {
                let (promised, leased) = (kept.register.promised, kept.leased(now));
                let head = kept.register.accepted.as_ref().map(Head::of);
                return self.send(by.member, duty, Body::Seen(Seen { promised, leased, head }));
            }
            Body::Prepare(ballot) if ballot.by == by => kept.prepare(now, ballot),
            Body::Accept { ballot, seq, post, wrote } if ballot.by == by => {
                for (voter, wrote) in wrote.into_iter().take(WROTE_MOST) {
                    if self.voters.has(voter) {
                        let heard = self.wrote.entry(voter).or_default();
                        *heard = (*heard).max(wrote);
                    }
                }
                kept.accept(now, lease, ballot, seq, post)
            }
            _ => return,
        };
        let Some(voter) = &mut self.voter else { return };
        // What a full disk did not take before is not told by a word that changes nothing.
        if ruling.changed || voter.is_unwritten() {
            self.outputs.push(Output::Write(voter.stored()));
        }
        let wrote = voter.writes();
        self.send(by.member, duty, Body::Answer(ruling.answer, wrote));
    }

    /// A voter answers.
    fn answered(&mut self, now: Micros, by: u64, duty: u64, answer: Answer) {
        let rank = self.rank(duty);
        let chance = draw(self.me, duty, now, self.lease);
        let setting = Setting { lease: self.lease, voters: &self.voters, rank, chance };
        let Some(seeker) = self.seekers.get_mut(&duty) else { return };
        let token = seeker.term().map_or(0, |term| term.token());
        let mut ask = None;
        let mut told = Vec::new();
        match answer {
            Answer::Promise { ballot, accepted } => {
                ask = seeker.promised(now, &setting, by, ballot, accepted)
            }
            Answer::Accepted { ballot, seq } => told = seeker.accepted(now, &setting, by, ballot, seq),
            Answer::Refused { ballot, promised, leased } => {
                seeker.refused(now, &setting, ballot, promised, leased)
            }
        }
        let step = seeker.term().and_then(|term| term.decided()).map_or(0, |post| post.step);
        if told.iter().any(|d| matches!(d, Decided::Given(_))) {
            let pinned = seeker.pinned();
            let next = self.duties.get(&duty).map(|of| ranks(of, pinned, &self.there)).unwrap_or_default();
            let me = self.me.member;
            for to in next.into_iter().filter(|to| *to != me) {
                self.send(to, duty, Body::Free { pinned });
            }
        }
        for decided in told {
            self.outputs.push(Output::Event(match decided {
                Decided::Taken => Event::Took { duty, token, step },
                Decided::Step(step) => Event::Step { duty, token, step },
                Decided::Given(reason) => Event::Gave { duty, token, reason },
            }));
        }
        if let Some(ask) = ask {
            self.ask_all(duty, &ask);
        }
        self.hand_on(now, duty);
    }

    /// One that it is pinned to is there: it goes there.
    fn hand_on(&mut self, now: Micros, duty: u64) {
        let lease = self.lease;
        let there = &self.there;
        let Some(term) = self.seekers.get_mut(&duty).and_then(Seeker::term_mut) else { return };
        let pinned = term.decided().and_then(|post| post.pinned);
        let away = pinned.filter(|to| *to != self.me.member && there.iter().any(|c| c.member == *to));
        if away.is_some()
            && let Some(write) = term.give(now, lease, Reason::Pinned)
        {
            self.ask_all(duty, &Ask::Accept(write));
        }
    }

    // ---- Voting ----

    fn vote(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else { return };
        let (nonce, began) = voter.tick(now, self.lease, &self.voters);
        if began {
            self.begins_to_vote();
        }
        if let Some(nonce) = nonce {
            for to in self.voters.voters() {
                if to != self.me.member {
                    self.send(to, 0, Body::Recall { nonce });
                }
            }
        }
    }

    fn begins_to_vote(&mut self) {
        if let Some(voter) = &mut self.voter {
            // Its folder is to say that it has begun, also where nothing is decided yet.
            self.outputs.push(Output::Write(voter.stored()));
            self.outputs.push(Output::Event(Event::Votes));
        }
    }

    fn doubts(&mut self) {
        // Before anything else: a further start must not believe it.
        self.outputs.insert(0, Output::Forget);
        self.outputs.push(Output::Event(Event::Doubts));
    }

    /// Another voter starts, and asks what it may have forgotten.
    fn recall(&mut self, by: Life, nonce: u64) {
        let Some(voter) = &self.voter else { return };
        let of = voter.standing();
        let wrote = self.wrote.get(&by.member).copied().unwrap_or(0);
        let remembers = (self.remembered.get(&by.member).copied(), wrote);
        let mut registers: Vec<(u64, Option<Register>)> = if of.votes {
            voter.registers().into_iter().map(|(d, r)| (d, Some(r))).collect()
        } else {
            Vec::new()
        };
        if registers.is_empty() {
            registers.push((0, None));
        }
        let count = registers.len();
        for (n, (duty, register)) in registers.into_iter().enumerate() {
            let part = (n as u8, count as u8);
            self.send(by.member, duty, Body::Recalled { nonce, of, remembers, register, part });
        }
    }

    // ---- Parts ----

    fn rank(&self, duty: u64) -> Option<usize> {
        let told = self.duties.get(&duty).filter(|_| self.may_seek)?;
        let pinned = self.seekers.get(&duty).and_then(Seeker::pinned);
        ranks(told, pinned, &self.there).iter().position(|id| *id == self.me.member)
    }

    fn draw(&mut self, duty: u64) -> Micros {
        self.draws += 1;
        draw(self.me, duty, self.draws, self.lease)
    }

    fn ask_all(&mut self, duty: u64, ask: &Ask) {
        let of = |id: &u64| self.wrote.get(id).map(|wrote| (*id, *wrote));
        let wrote: Vec<(u64, u64)> = self.voters.voters().iter().filter_map(of).take(WROTE_MOST).collect();
        for to in self.voters.voters() {
            let body = match ask {
                Ask::Look => Body::Look,
                Ask::Prepare(ballot) => Body::Prepare(*ballot),
                Ask::Accept(Write { ballot, seq, post }) => {
                    let wrote = wrote.clone();
                    Body::Accept { ballot: *ballot, seq: *seq, post: post.clone(), wrote }
                }
            };
            self.send(to, duty, body);
        }
    }

    fn send(&mut self, to: u64, duty: u64, body: Body) {
        self.outputs.push(Output::Send { to, letter: Letter { from: self.me, duty, body } });
    }

    // ---- For operators ----

    /// How this member's vote stands.
    pub fn vote_status(&self) -> Vote {
        self.voter.as_ref().map_or(Vote::None, Voter::vote)
    }

    /// How each duty stands here.
    pub fn status(&self, now: Micros) -> Vec<DutyStatus> {
        let one = |(id, duty): (&u64, &Duty)| {
            let seeker = self.seekers.get(id)?;
            let belief = seeker.belief();
            let own = seeker.term().filter(|term| term.holds(now));
            let post = own.and_then(|term| term.decided());
            let Belief { head, until, told } = belief;
            let reason = post.map(|p| p.reason).or(head.map(|h| h.reason)).unwrap_or_default();
            let pinned = post.map_or(head.and_then(|h| h.pinned), |p| p.pinned);
            let believed = head.filter(|_| now < until).and_then(|h| h.holder).map(|life| life.member);
            Some(DutyStatus {
                name: duty.name.clone(),
                holder: own.map(|_| self.me.member).or(believed),
                token: own.map_or(head.map_or(0, |h| h.at.0.number), |term| term.token()),
                left_ms: own.map_or(until, |term| term.until()).saturating_sub(now) / 1000,
                age_ms: if own.is_some() { 0 } else { now.saturating_sub(told) / 1000 },
                reason,
                pinned,
                step: post.map(|p| p.step).or(head.map(|h| h.step)).unwrap_or(0),
                ranks: ranks(duty, pinned, &self.there),
            })
        };
        self.duties.iter().filter_map(one).collect()
    }

    /// The duties.
    pub fn duties(&self) -> impl Iterator<Item = (u64, &Duty)> {
        self.duties.iter().map(|(id, duty)| (*id, duty))
    }

    /// The highest token that this member, as a voter, has accepted a word of; for checks.
    pub fn token_at_voter(&self, duty: u64) -> Option<u64> {
        let kept = self.voter.as_ref()?.kept(duty)?;
        kept.register.accepted.as_ref().map(|a| a.ballot.number)
    }

    /// Looks at a duty at once.
    pub fn hurry(&mut self, now: Micros, duty: u64) {
        self.seekers.get_mut(&duty).into_iter().for_each(|s| s.hurry(now));
    }
}

/// A span by chance, up to an eighth of a lease; the same for the same questions.
fn draw(me: Life, duty: u64, number: u64, lease: Lease) -> Micros {
    let of = [me.member, me.life, duty, number].map(u64::to_le_bytes).concat();
    xxh3_64(&of) % (lease.hold / 8).max(1)
}
