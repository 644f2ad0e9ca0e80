//! Exhaustive breadth-first search of a small state space, so that the first violation found has the shortest
//! path.

use indexmap::IndexMap;
use std::fmt::Debug;
use std::hash::Hash;

/// A small model to search.
pub trait World {
    /// State of the model.
    type State: Clone + Eq + Hash;
    /// Transition between states.
    type Step: Clone + Debug;

    /// Returns the initial states.
    fn initial_states(&self) -> Vec<Self::State>;
    /// Returns the transitions that are possible in a state.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// Returns the state after a transition.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Self::State;
    /// Returns the invariant that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct SearchResult<S> {
    /// Number of distinct states found.
    pub states: usize,
    /// Largest distance of a visited state from an initial one.
    pub depth: usize,
    /// Whether all reachable states were visited.
    pub complete: bool,
    /// Shortest path to a violation, and the violation.
    pub violation: Option<(Vec<S>, String)>,
}

/// Searches a model until it finds a violation, has visited all states, or has found `max_states` states.
pub fn search<W: World>(world: &W, max_states: usize) -> SearchResult<W::Step> {
    // Each state with the index of its predecessor, in the order found, so that paths can be traced back.
    type Origin<S> = Option<(usize, S)>;
    let mut states: IndexMap<W::State, (Origin<W::Step>, usize)> = IndexMap::new();
    for state in world.initial_states() {
        states.insert(state, (None, 0));
    }
    let (mut at, mut depth) = (0, 0);
    while at < states.len() {
        let Some((state, (_, distance))) = states.get_index(at) else { break };
        depth = depth.max(*distance);
        if let Some(violation) = world.violation(state) {
            let mut path = Vec::new();
            let mut index = at;
            while let Some((_, (Some((predecessor, step)), _))) = states.get_index(index) {
                path.push(step.clone());
                index = *predecessor;
            }
            path.reverse();
            return SearchResult {
                states: states.len(),
                depth,
                complete: false,
                violation: Some((path, violation)),
            };
        }
        if states.len() >= max_states {
            return SearchResult { states: states.len(), depth, complete: false, violation: None };
        }
        let (state, distance) = (state.clone(), *distance);
        for step in world.steps(&state) {
            let next = world.apply(&state, &step);
            states.entry(next).or_insert_with(|| (Some((at, step)), distance + 1));
        }
        at += 1;
    }
    SearchResult { states: states.len(), depth, complete: true, violation: None }
}

#[cfg(test)]
mod tests;
