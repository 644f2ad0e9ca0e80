//! Ranks the members that should hold a duty. Every member computes the ranking by the same rule, without
//! agreement; two members that try at the same time because their views differ cost time, never safety.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of ranked members that try to acquire a duty; the others query its register only occasionally.
pub const MAX_RANKED: usize = 3;

/// A duty as configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Name of the duty.
    pub name: String,
    /// Zone whose members are preferred as holders.
    pub zone: Option<String>,
}

impl Duty {
    /// Creates a duty without a preferred zone.
    pub fn new(name: &str) -> Self {
        Duty { name: name.to_owned(), zone: None }
    }

    /// Returns the duty's ID, a hash of its name.
    pub fn id(&self) -> u64 {
        xxh3_64(self.name.as_bytes())
    }
}

/// A live member that could hold a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// ID of the member.
    pub member: u64,
    /// Zone of the member.
    pub zone: String,
    /// The member is slow or suspected to have failed; healthy members are ranked before it.
    pub degraded: bool,
}

/// Returns the members that should try to acquire a duty, best first: the member that it is pinned to, then
/// healthy members, then members of its zone, then the order of rendezvous hashing. The hashing spreads
/// duties over members, and a member that leaves moves only its own duties.
pub fn rank_candidates(duty: &Duty, pinned: Option<u64>, candidates: &[Candidate]) -> Vec<u64> {
    let id = duty.id();
    let key = |c: &Candidate| {
        let in_zone = duty.zone.as_ref().is_none_or(|zone| *zone == c.zone);
        let hash = xxh3_64(&[id.to_le_bytes(), c.member.to_le_bytes()].concat());
        (pinned != Some(c.member), c.degraded, !in_zone, std::cmp::Reverse(hash))
    };
    let mut order: Vec<&Candidate> = candidates.iter().collect();
    order.sort_by_key(|c| key(c));
    order.into_iter().take(MAX_RANKED).map(|c| c.member).collect()
}

#[cfg(test)]
mod tests;
