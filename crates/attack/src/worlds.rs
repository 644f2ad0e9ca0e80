//! Small models for state-space search of the parts of membership that safety depends on. They run the
//! production code itself, not an abstraction of it.

use yarrowhill_kernel::World;
use yarrowhill_membership::{
    Health, Identity, Incarnation, InstanceId, Lease, MemberConfig, MemberId, Record, Roster, SelfUpdate,
    Support, ViewId, Voter,
};

/// Number of voters in [`SupportWorld`].
const VOTERS: usize = 3;
const NAMES: [&str; VOTERS] = ["n0", "n1", "n2"];

/// Model of three voters and two lease holders under two different views. Every step that the assumptions
/// allow is possible: a voter answers either holder at any time, also to a delayed request; the answer is
/// lost; a voter restarts without memory; holders stall for any time, since they read their clocks only when
/// they act. The voters' clocks are as fast and the holders' as slow as the drift bound allows; with any
/// other rates, promises last longer or leases shorter.
#[derive(Clone, Copy, Debug)]
pub struct SupportWorld {
    /// Clock rates of the holders and of the voters, in clock units for each [`SupportStep::Tick`].
    pub rates: [u64; 2],
    /// Drift bound that the protocol is configured with.
    pub drift: f64,
    /// Lease duration in clock units.
    pub lease: u64,
    /// Maximum age of a request when it is answered, in ticks.
    pub max_delay: u64,
    /// Whether voters restart.
    pub restarts: bool,
}

impl Default for SupportWorld {
    fn default() -> Self {
        // Clocks are a tenth too slow or too fast.
        SupportWorld { rates: [9, 11], drift: 0.1, lease: 40, max_delay: 2, restarts: true }
    }
}

/// State of [`SupportWorld`]. All clocks are rebased to `NOW` after each step, which keeps the state space
/// finite.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SupportState {
    voters: Vec<Voter>,
    holders: Vec<Support>,
}

/// Step of [`SupportWorld`].
#[derive(Clone, Copy, Debug)]
pub enum SupportStep {
    /// Advances all clocks.
    Tick,
    /// A voter answers a holder's request; the answer arrives or is lost.
    Answer {
        /// Index of the voter.
        voter: usize,
        /// Index of the holder.
        holder: usize,
        /// Age of the request in ticks.
        age: u64,
        /// Whether the answer arrives.
        answered: bool,
    },
    /// A voter restarts without memory.
    Restart(usize),
}

/// Reading of every clock in a state.
const NOW: u64 = 1_000_000;

impl SupportWorld {
    fn lease(&self) -> Lease {
        Lease::new(self.lease, self.drift)
    }

    fn roster() -> Option<Roster> {
        let config =
            |name: &&str| MemberConfig { name: (*name).to_owned(), zone: String::new(), votes: None };
        Roster::new(1, NAMES.iter().map(config).collect()).ok()
    }

    fn view(holder: usize) -> ViewId {
        ViewId(holder as u64 + 1)
    }
}

impl World for SupportWorld {
    type State = SupportState;
    type Step = SupportStep;

    fn initial_states(&self) -> Vec<SupportState> {
        // All voters have run for long enough to support a view.
        let voter = Voter::new(0, self.lease()).rebased(NOW, 0);
        let mut holders = vec![Support::default(); 2];
        holders.iter_mut().enumerate().for_each(|(n, h)| h.set_view(Self::view(n)));
        vec![SupportState { voters: vec![voter; VOTERS], holders }]
    }

    fn steps(&self, _: &SupportState) -> Vec<SupportStep> {
        let mut steps = vec![SupportStep::Tick];
        for voter in 0..VOTERS {
            for holder in 0..2 {
                for age in 0..=self.max_delay {
                    steps.push(SupportStep::Answer { voter, holder, age, answered: true });
                }
                steps.push(SupportStep::Answer { voter, holder, age: 0, answered: false });
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
            SupportStep::Tick => {
                next.holders.iter_mut().for_each(|h| *h = h.rebased(NOW, self.rates[0]));
                next.voters.iter_mut().for_each(|v| *v = v.rebased(NOW, self.rates[1]));
            }
            SupportStep::Answer { voter, holder, age, answered } => {
                let view = Self::view(holder);
                if next.voters[voter].try_support(NOW, view, self.lease()) && answered {
                    let asked_at = NOW - age * self.rates[0];
                    let by = MemberId::from_name(NAMES[voter]);
                    next.holders[holder].record_grant(by, view, asked_at, self.lease());
                    next.holders[holder] = next.holders[holder].rebased(NOW, 0);
                }
            }
            SupportStep::Restart(voter) => next.voters[voter] = Voter::new(NOW, self.lease()),
        }
        next
    }

    fn violation(&self, state: &SupportState) -> Option<String> {
        let roster = Self::roster()?;
        let may_act = |holder: usize| roster.is_majority(|id| state.holders[holder].is_valid(NOW, id));
        (may_act(0) && may_act(1)).then(|| "both holders may act at once, under different views".to_owned())
    }
}

/// Highest boot number that is explored in [`IdentityWorld`].
const MAX_BOOT: u64 = 5;

/// Model of a member that restarts with its state folder kept, replaced by an older copy or emptied, and of
/// two observers. Every record that was ever sent may be delivered to any of them at any later time.
#[derive(Clone, Copy, Debug)]
pub struct IdentityWorld {
    /// Number of restarts after the first start.
    pub restarts: u8,
}

/// State of [`IdentityWorld`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdentityState {
    folder: Vec<u64>,
    member: Identity,
    /// Boot number that waits to be written to the folder.
    pending_boot: Option<u64>,
    restarts: u8,
    /// Every record of the member that was sent.
    records: Vec<Record>,
    /// Record that each observer holds.
    held: [Record; 2],
    /// Newest incarnation that each observer has held.
    newest: [Incarnation; 2],
}

/// Step of [`IdentityWorld`].
#[derive(Clone, Copy, Debug)]
pub enum IdentityStep {
    /// The member sends its own record.
    Announce,
    /// A record (by index) is delivered to an observer.
    Deliver(usize, usize),
    /// A record (by index) is delivered to the member itself.
    DeliverToSelf(usize),
    /// An observer changes the health that it holds of the member.
    Suspect(usize, Health),
    /// The pending boot number is written to the folder.
    BootPersisted,
    /// The member restarts with its folder truncated to this number of boots.
    Restart(usize),
}

impl World for IdentityWorld {
    type State = IdentityState;
    type Step = IdentityStep;

    fn initial_states(&self) -> Vec<IdentityState> {
        vec![IdentityState {
            folder: vec![1],
            member: Identity::new(1, InstanceId(1)),
            pending_boot: None,
            restarts: 0,
            records: Vec::new(),
            held: [Record::default(); 2],
            newest: [Incarnation::default(); 2],
        }]
    }

    fn steps(&self, s: &IdentityState) -> Vec<IdentityStep> {
        let mut steps = Vec::new();
        if !s.member.is_muted() && !s.records.contains(&s.member.record()) {
            steps.push(IdentityStep::Announce);
        }
        for index in 0..s.records.len() {
            steps.extend([
                IdentityStep::Deliver(0, index),
                IdentityStep::Deliver(1, index),
                IdentityStep::DeliverToSelf(index),
            ]);
        }
        for other in 0..2 {
            if s.held[other].health == Health::Alive {
                steps.push(IdentityStep::Suspect(other, Health::Dead));
            }
        }
        if s.pending_boot.is_some() {
            steps.push(IdentityStep::BootPersisted);
        }
        if s.restarts < self.restarts {
            // The folder is kept, replaced by an older copy, or emptied.
            let mut cuts = vec![s.folder.len(), s.folder.len().saturating_sub(1), 0];
            cuts.dedup();
            steps.extend(cuts.into_iter().map(IdentityStep::Restart));
        }
        steps
    }

    fn apply(&self, state: &IdentityState, step: &IdentityStep) -> IdentityState {
        let mut s = state.clone();
        match *step {
            IdentityStep::Announce => publish(&mut s, state.member.record()),
            IdentityStep::Deliver(other, index) => merge_record(&mut s, other, state.records[index]),
            IdentityStep::DeliverToSelf(index) => match s.member.observe(0, &state.records[index]) {
                SelfUpdate::Persist(boot) => s.pending_boot = Some(boot),
                SelfUpdate::Refuted | SelfUpdate::Unchanged => {}
            },
            IdentityStep::Suspect(other, health) => {
                let record = Record { health, ..state.held[other] };
                merge_record(&mut s, other, record);
                publish(&mut s, record);
            }
            IdentityStep::BootPersisted => {
                if let Some(boot) = s.pending_boot.take() {
                    s.folder.push(boot);
                    s.member.boot_persisted(boot);
                }
            }
            IdentityStep::Restart(kept_boots) => {
                s.folder.truncate(kept_boots);
                let boot = s.folder.last().copied().unwrap_or(0) + 1;
                s.folder.push(boot);
                s.restarts += 1;
                s.pending_boot = None;
                s.member = Identity::new(boot, InstanceId(u64::from(s.restarts) + 1));
            }
        }
        s
    }

    fn violation(&self, s: &IdentityState) -> Option<String> {
        let record = s.member.record();
        if !s.member.is_muted() && !s.folder.contains(&record.incarnation.boot) {
            return Some(format!("runs as {} with boots {:?} on disk", record.incarnation, s.folder));
        }
        if record.incarnation.boot > MAX_BOOT {
            return None;
        }
        for other in 0..2 {
            if s.held[other].incarnation < s.newest[other] {
                return Some(format!(
                    "an observer holds {} after {}",
                    s.held[other].incarnation, s.newest[other]
                ));
            }
        }
        // With any contents of the folder at the start: once the member has received the newest record, its
        // own next record outweighs all others.
        let newest = s.records.iter().copied().max()?;
        let mut after = s.member.clone();
        s.pending_boot.into_iter().for_each(|boot| after.boot_persisted(boot));
        for _ in 0..2 {
            if let SelfUpdate::Persist(boot) = after.observe(0, &newest) {
                after.boot_persisted(boot);
            }
        }
        let own = after.record();
        let is_other_instance = newest.instance != own.instance && !after.has_duplicate(0, u64::MAX);
        (is_other_instance && own.merge(newest) != own)
            .then(|| format!("{own:?} does not outweigh {newest:?}"))
    }
}

/// Adds a record to those in the network, where it stays: it may be delivered any number of times.
fn publish(s: &mut IdentityState, record: Record) {
    if record.incarnation.boot <= MAX_BOOT
        && record.incarnation.refutations <= 1
        && !s.records.contains(&record)
    {
        s.records.push(record);
        s.records.sort();
    }
}

fn merge_record(s: &mut IdentityState, other: usize, record: Record) {
    let held = s.held[other].merge(record);
    s.held[other] = held;
    s.newest[other] = s.newest[other].max(record.incarnation).max(held.incarnation);
}
