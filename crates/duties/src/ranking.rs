//! Who should hold a duty, of those that are there: known to everybody by the same rule, agreed on by nobody. Two that try
//! at once cost time, never safety.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// So many try; the others look now and then.
pub const MAX_RANKED: usize = 3;

/// A duty as configuration tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Its name.
    pub name: String,
    /// Members of this zone come first.
    pub zone: Option<String>,
}

impl Duty {
    /// A duty of no zone.
    pub fn new(name: &str) -> Self {
        Duty { name: name.to_owned(), zone: None }
    }

    /// Its number.
    pub fn id(&self) -> u64 {
        xxh3_64(self.name.as_bytes())
    }
}

/// A member that is there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Which.
    pub member: u64,
    /// Its zone.
    pub zone: String,
    /// It is held to be slow, or suspected: the others first.
    pub degraded: bool,
}

/// Those that should try, the first of them first: the one that it is pinned to, those of its zone, those in good health, and by
/// rendezvous hashing, so that duties spread over members and one that goes moves its own alone.
pub fn rank_candidates(duty: &Duty, pinned: Option<u64>, there: &[Candidate]) -> Vec<u64> {
    let id = duty.id();
    let key = |c: &Candidate| {
        let near = duty.zone.as_ref().is_none_or(|zone| *zone == c.zone);
        let hash = xxh3_64(&[id.to_le_bytes(), c.member.to_le_bytes()].concat());
        (pinned != Some(c.member), c.degraded, !near, std::cmp::Reverse(hash))
    };
    let mut order: Vec<&Candidate> = there.iter().collect();
    order.sort_by_key(|c| key(c));
    order.into_iter().take(MAX_RANKED).map(|c| c.member).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    fn there(members: u64) -> Vec<Candidate> {
        (0..members)
            .map(|member| Candidate { member, zone: format!("z{}", member % 3), degraded: false })
            .collect()
    }

    #[test]
    fn pins_come_first_then_health_and_zone() {
        let mut all = there(9);
        let duty = Duty { zone: Some("z1".into()), ..Duty::new("a") };
        assert!(rank_candidates(&duty, None, &all).iter().all(|m| m % 3 == 1));
        let first = rank_candidates(&duty, None, &all)[0];
        all.iter_mut().filter(|c| c.member == first).for_each(|c| c.degraded = true);
        assert!(
            !rank_candidates(&duty, None, &all).contains(&first),
            "two of the zone are well, and then others"
        );
        assert_eq!(rank_candidates(&duty, Some(5), &all)[0], 5);
        assert_eq!(rank_candidates(&duty, Some(77), &all)[0] % 3, 1, "pinned to one that is not there");
    }

    #[test]
    fn duties_spread_over_members_and_one_that_goes_moves_its_own_alone() {
        let all = there(10);
        let mut held: BTreeMap<u64, usize> = BTreeMap::new();
        let (mut moved, mut own) = (0, 0);
        for n in 0..200 {
            let duty = Duty::new(&format!("duty {n}"));
            let first = rank_candidates(&duty, None, &all)[0];
            *held.entry(first).or_default() += 1;
            let without: Vec<Candidate> = all.iter().filter(|c| c.member != 4).cloned().collect();
            own += usize::from(first == 4);
            moved += usize::from(rank_candidates(&duty, None, &without)[0] != first);
        }
        assert!(held.len() == 10 && held.values().all(|n| (8..=36).contains(n)), "{held:?}");
        assert_eq!(moved, own);
    }
}
