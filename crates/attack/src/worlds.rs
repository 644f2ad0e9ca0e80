//! Small worlds of the parts that safety rests on: the code itself, not a model of it.

use yarrowhill_kernel::World;
use yarrowhill_membership::{
    Health, Identity, Incarnation, InstanceId, Lease, MemberConfig, MemberId, Record, Roster, SelfUpdate,
    Support, ViewId, Voter,
};

/// Voters in the world of support.
const VOTERS: usize = 3;
const NAMES: [&str; VOTERS] = ["n0", "n1", "n2"];

/// Three voters and two holders under two views. Anything may happen that the assumptions allow: a voter answers either
/// holder at any time, also to what was asked long ago; the answer is lost; a voter is started again with nothing
/// remembered; holders are stopped at will, since they look at their clocks only when they act. The voters' clocks are
/// as fast and the holders' as slow as the drift allows: with any others promises last longer, or leases less.
#[derive(Clone, Copy, Debug)]
pub struct SupportWorld {
    /// The rates of the holders' and of the voters' clocks, in steps a step of the world.
    pub rates: [u64; 2],
    /// What those rates were said to be.
    pub drift: f64,
    /// A lease, in steps.
    pub lease: u64,
    /// Answers come up to so many steps of the world after they were asked for.
    pub late: u64,
    /// Voters start again.
    pub restarts: bool,
}

impl Default for SupportWorld {
    fn default() -> Self {
        // A tenth wrong either way.
        SupportWorld { rates: [9, 11], drift: 0.1, lease: 40, late: 2, restarts: true }
    }
}

/// A state of it. Clocks are set back with each step of the world, so that there are finitely many.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SupportState {
    voters: Vec<Voter>,
    holders: Vec<Support>,
}

/// A step of it.
#[derive(Clone, Copy, Debug)]
pub enum SupportStep {
    /// Time passes.
    Time,
    /// A voter answers what a holder asked so many steps ago; the answer comes, or is lost.
    Answer {
        /// Which voter.
        voter: usize,
        /// Which holder.
        holder: usize,
        /// How long ago it asked.
        age: u64,
        /// Whether the answer comes.
        comes: bool,
    },
    /// A voter starts again.
    Restart(usize),
}

/// What every clock reads.
const NOW: u64 = 1_000_000;

impl SupportWorld {
    fn lease(&self) -> Lease {
        Lease::new(self.lease, self.drift)
    }

    fn roster() -> Option<Roster> {
        let seat = |name: &&str| MemberConfig { name: (*name).to_owned(), zone: String::new(), votes: None };
        Roster::new(1, NAMES.iter().map(seat).collect()).ok()
    }

    fn view(holder: usize) -> ViewId {
        ViewId(holder as u64 + 1)
    }
}

impl World for SupportWorld {
    type State = SupportState;
    type Step = SupportStep;

    fn initial_states(&self) -> Vec<SupportState> {
        // All voters have run for long.
        let free = Voter::new(0, self.lease()).rebased(NOW, 0);
        let mut holders = vec![Support::default(); 2];
        holders.iter_mut().enumerate().for_each(|(n, h)| h.set_view(Self::view(n)));
        vec![SupportState { voters: vec![free; VOTERS], holders }]
    }

    fn steps(&self, _: &SupportState) -> Vec<SupportStep> {
        let mut steps = vec![SupportStep::Time];
        for voter in 0..VOTERS {
            for holder in 0..2 {
                for age in 0..=self.late {
                    steps.push(SupportStep::Answer { voter, holder, age, comes: true });
                }
                steps.push(SupportStep::Answer { voter, holder, age: 0, comes: false });
            }
            if self.restarts {
                steps.push(SupportStep::Restart(voter));
            }
        }
        steps
    }

    fn apply(&self, state: &SupportState, step: &SupportStep) -> SupportState {
        let mut next = state.clone();
        match *step {
            SupportStep::Time => {
                next.holders.iter_mut().for_each(|h| *h = h.rebased(NOW, self.rates[0]));
                next.voters.iter_mut().for_each(|v| *v = v.rebased(NOW, self.rates[1]));
            }
            SupportStep::Answer { voter, holder, age, comes } => {
                let view = Self::view(holder);
                if next.voters[voter].try_support(NOW, view, self.lease()) && comes {
                    let asked = NOW - age * self.rates[0];
                    let by = MemberId::from_name(NAMES[voter]);
                    next.holders[holder].record_grant(by, view, asked, self.lease());
                    next.holders[holder] = next.holders[holder].rebased(NOW, 0);
                }
            }
            SupportStep::Restart(voter) => next.voters[voter] = Voter::new(NOW, self.lease()),
        }
        next
    }

    fn violation(&self, state: &SupportState) -> Option<String> {
        let roster = Self::roster()?;
        let acts = |holder: usize| roster.is_majority(|id| state.holders[holder].is_valid(NOW, id));
        (acts(0) && acts(1)).then(|| "two views act at once".to_owned())
    }
}

/// Boots at most in the world of identity.
const BOOTS: u64 = 5;

/// A member that starts again and again, with its folder kept, an old copy of it or none; two that hear of it; and
/// every word that was ever said, which may come to anybody at any later time.
#[derive(Clone, Copy, Debug)]
pub struct IdentityWorld {
    /// Starts after the first.
    pub starts: u8,
}

/// A state of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdentityState {
    folder: Vec<u64>,
    member: Identity,
    /// A boot to be written.
    owed: Option<u64>,
    starts: u8,
    /// Every word about it that was said.
    words: Vec<Record>,
    /// What the others hold, and the newest that they held.
    held: [Record; 2],
    newest: [Incarnation; 2],
}

/// A step of it.
#[derive(Clone, Copy, Debug)]
pub enum IdentityStep {
    /// The member says what it is.
    Speak,
    /// A word comes to one of the others,
    Hear(usize, usize),
    /// or to the member itself.
    Own(usize),
    /// One of the others suspects it, or holds it for dead.
    Doubt(usize, Health),
    /// The folder takes the boot that is owed.
    Written,
    /// The member ends and starts with its folder cut to so many boots.
    Start(usize),
}

impl World for IdentityWorld {
    type State = IdentityState;
    type Step = IdentityStep;

    fn initial_states(&self) -> Vec<IdentityState> {
        vec![IdentityState {
            folder: vec![1],
            member: Identity::new(1, InstanceId(1)),
            owed: None,
            starts: 0,
            words: Vec::new(),
            held: [Record::default(); 2],
            newest: [Incarnation::default(); 2],
        }]
    }

    fn steps(&self, s: &IdentityState) -> Vec<IdentityStep> {
        let mut steps = Vec::new();
        if !s.member.is_muted() && !s.words.contains(&s.member.record()) {
            steps.push(IdentityStep::Speak);
        }
        for word in 0..s.words.len() {
            steps.extend([IdentityStep::Hear(0, word), IdentityStep::Hear(1, word), IdentityStep::Own(word)]);
        }
        for other in 0..2 {
            if s.held[other].health == Health::Alive {
                steps.push(IdentityStep::Doubt(other, Health::Dead));
            }
        }
        if s.owed.is_some() {
            steps.push(IdentityStep::Written);
        }
        if s.starts < self.starts {
            // Kept, an older copy, emptied.
            let mut cuts = vec![s.folder.len(), s.folder.len().saturating_sub(1), 0];
            cuts.dedup();
            steps.extend(cuts.into_iter().map(IdentityStep::Start));
        }
        steps
    }

    fn apply(&self, state: &IdentityState, step: &IdentityStep) -> IdentityState {
        let mut s = state.clone();
        match *step {
            IdentityStep::Speak => say(&mut s, state.member.record()),
            IdentityStep::Hear(other, word) => hold(&mut s, other, state.words[word]),
            IdentityStep::Own(word) => match s.member.observe(0, &state.words[word]) {
                SelfUpdate::Persist(boot) => s.owed = Some(boot),
                SelfUpdate::Refuted | SelfUpdate::Unchanged => {}
            },
            IdentityStep::Doubt(other, health) => {
                let word = Record { health, ..state.held[other] };
                hold(&mut s, other, word);
                say(&mut s, word);
            }
            IdentityStep::Written => {
                if let Some(boot) = s.owed.take() {
                    s.folder.push(boot);
                    s.member.boot_persisted(boot);
                }
            }
            IdentityStep::Start(kept) => {
                s.folder.truncate(kept);
                let boot = s.folder.last().copied().unwrap_or(0) + 1;
                s.folder.push(boot);
                s.starts += 1;
                s.owed = None;
                s.member = Identity::new(boot, InstanceId(u64::from(s.starts) + 1));
            }
        }
        s
    }

    fn violation(&self, s: &IdentityState) -> Option<String> {
        let record = s.member.record();
        if !s.member.is_muted() && !s.folder.contains(&record.incarnation.boot) {
            return Some(format!("speaks as {} with {:?} on disk", record.incarnation, s.folder));
        }
        if record.incarnation.boot > BOOTS {
            return None;
        }
        for other in 0..2 {
            if s.held[other].incarnation < s.newest[other] {
                return Some(format!("{} counts after {}", s.held[other].incarnation, s.newest[other]));
            }
        }
        // However it began: once it has heard the newest word, what it says next counts everywhere.
        let newest = s.words.iter().copied().max()?;
        let mut after = s.member.clone();
        s.owed.into_iter().for_each(|boot| after.boot_persisted(boot));
        for _ in 0..2 {
            if let SelfUpdate::Persist(boot) = after.observe(0, &newest) {
                after.boot_persisted(boot);
            }
        }
        let said = after.record();
        let other = newest.instance != said.instance && !after.has_duplicate(0, u64::MAX);
        (other && said.merge(newest) != said).then(|| format!("{said:?} does not outweigh {newest:?}"))
    }
}

/// Every word stays on its way: it may come again at any later time.
fn say(s: &mut IdentityState, word: Record) {
    if word.incarnation.boot <= BOOTS && word.incarnation.refutations <= 1 && !s.words.contains(&word) {
        s.words.push(word);
        s.words.sort();
    }
}

fn hold(s: &mut IdentityState, other: usize, word: Record) {
    let held = s.held[other].merge(word);
    s.held[other] = held;
    s.newest[other] = s.newest[other].max(word.incarnation).max(held.incarnation);
}
