//! The state of duties, for operators and checks.

use super::Duties;
use crate::ballot::Micros;
use crate::proposer::KnownState;
use crate::ranking::{Duty, rank_candidates};
use crate::register::Reason;
use crate::voter::{VoteStatus, Voter};
use serde::{Deserialize, Serialize};

/// State of a duty as known to the local member, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub name: String,
    /// Member that holds the duty, as far as is known.
    pub holder: Option<u64>,
    /// Token of the current or last term.
    pub token: u64,
    /// Time left of the lease (milliseconds).
    pub left_ms: u64,
    /// Age of this information (milliseconds).
    pub age_ms: u64,
    /// Why the last term ended.
    pub reason: Reason,
    /// Member that the duty is pinned to.
    pub pinned: Option<u64>,
    /// Number of progress steps so far.
    pub step: u64,
    /// Members that should hold the duty, best first.
    pub ranks: Vec<u64>,
}

impl Duties {
    // ---- Status ----

    /// Returns the state of the local voter.
    pub fn vote_status(&self) -> VoteStatus {
        self.voter.as_ref().map_or(VoteStatus::NonVoter, Voter::status)
    }

    /// Returns the state of each duty as known to the local member.
    pub fn status(&self, now: Micros) -> Vec<DutyStatus> {
        let status = |(id, duty): (&u64, &Duty)| {
            let proposer = self.proposers.get(id)?;
            let held = proposer.term().filter(|term| term.is_held(now));
            let value = held.and_then(|term| term.decided());
            let KnownState { accepted, lease_until, updated_at } = proposer.known_state();
            let reason = value.map(|v| v.reason).or(accepted.map(|a| a.reason)).unwrap_or_default();
            let pinned = value.map_or(accepted.and_then(|a| a.pinned), |v| v.pinned);
            let known_holder =
                accepted.filter(|_| now < lease_until).and_then(|a| a.holder).map(|process| process.member);
            Some(DutyStatus {
                name: duty.name.clone(),
                holder: held.map(|_| self.local.member).or(known_holder),
                token: held.map_or(accepted.map_or(0, |a| a.version.0.number), |term| term.token()),
                left_ms: held.map_or(lease_until, |term| term.until()).saturating_sub(now) / 1000,
                age_ms: if held.is_some() { 0 } else { now.saturating_sub(updated_at) / 1000 },
                reason,
                pinned,
                step: value.map(|v| v.step).or(accepted.map(|a| a.step)).unwrap_or(0),
                ranks: rank_candidates(duty, pinned, &self.candidates),
            })
        };
        self.duties.iter().filter_map(status).collect()
    }

    /// Returns the configured duties by ID.
    pub fn duties(&self) -> impl Iterator<Item = (u64, &Duty)> {
        self.duties.iter().map(|(id, duty)| (*id, duty))
    }

    /// Returns the token of the last write that the local voter has accepted; for checks.
    pub fn accepted_token(&self, duty: u64) -> Option<u64> {
        let leased = self.voter.as_ref()?.register(duty)?;
        leased.register.accepted.as_ref().map(|a| a.ballot.number)
    }

    /// Makes the next query about a duty due at `now`, if it is due later.
    pub fn query_now(&mut self, now: Micros, duty: u64) {
        self.proposers.get_mut(&duty).into_iter().for_each(|p| p.query_by(now));
    }
}
