//! Every way that a small world can go, breadth first, so that the first breach found is the shortest.

use indexmap::IndexMap;
use std::fmt::Debug;
use std::hash::Hash;

/// A small world.
pub trait World {
    /// All that can differ.
    type State: Clone + Eq + Hash;
    /// What may happen next.
    type Step: Clone + Debug;

    /// How it may begin.
    fn initial_states(&self) -> Vec<Self::State>;
    /// What may happen in a state.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// What comes of it.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Self::State;
    /// What is wrong with a state, if anything.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// What a search found.
#[derive(Clone, Debug)]
pub struct SearchResult<S> {
    /// States that were seen.
    pub states: usize,
    /// The longest way to one of them.
    pub depth: usize,
    /// Nothing was left out: there are no further states.
    pub complete: bool,
    /// The shortest way to a breach, and the breach.
    pub violation: Option<(Vec<S>, String)>,
}

/// Looks through a world up to so many states.
pub fn search<W: World>(world: &W, most: usize) -> SearchResult<W::Step> {
    // Each state with the one that it came from, in the order found: an index is enough to walk back.
    type Way<S> = Option<(usize, S)>;
    let mut seen: IndexMap<W::State, (Way<W::Step>, usize)> = IndexMap::new();
    for state in world.initial_states() {
        seen.insert(state, (None, 0));
    }
    let (mut at, mut depth) = (0, 0);
    while at < seen.len() {
        let Some((state, (_, here))) = seen.get_index(at) else { break };
        depth = depth.max(*here);
        if let Some(breach) = world.violation(state) {
            let mut way = Vec::new();
            let mut from = at;
            while let Some((_, (Some((before, step)), _))) = seen.get_index(from) {
                way.push(step.clone());
                from = *before;
            }
            way.reverse();
            return SearchResult {
                states: seen.len(),
                depth,
                complete: false,
                violation: Some((way, breach)),
            };
        }
        if seen.len() >= most {
            return SearchResult { states: seen.len(), depth, complete: false, violation: None };
        }
        let (state, here) = (state.clone(), *here);
        for step in world.steps(&state) {
            let next = world.apply(&state, &step);
            seen.entry(next).or_insert_with(|| (Some((at, step)), here + 1));
        }
        at += 1;
    }
    SearchResult { states: seen.len(), depth, complete: true, violation: None }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two counters up to 3, of which the sum must not be 5.
    struct Counters;

    impl World for Counters {
        type State = (u8, u8);
        type Step = bool;

        fn initial_states(&self) -> Vec<Self::State> {
            vec![(0, 0)]
        }
        fn steps(&self, s: &Self::State) -> Vec<bool> {
            [(s.0 < 3, true), (s.1 < 3, false)].into_iter().filter(|(may, _)| *may).map(|(_, s)| s).collect()
        }
        fn apply(&self, s: &Self::State, step: &bool) -> Self::State {
            if *step { (s.0 + 1, s.1) } else { (s.0, s.1 + 1) }
        }
        fn violation(&self, s: &Self::State) -> Option<String> {
            (s.0 + s.1 == 5).then(|| "five".to_owned())
        }
    }

    #[test]
    fn the_shortest_way_to_a_breach_is_found() {
        let found = search(&Counters, 100);
        let (way, what) = found.violation.expect("there is one");
        assert_eq!((way.len(), what.as_str()), (5, "five"));
        assert!(!search(&Counters, 3).complete);
    }
}
