//! Tests of `search`.

use super::*;

/// Two counters up to 3 whose sum must not be 5.
struct Counters;

impl World for Counters {
    type State = (u8, u8);
    type Step = bool;

    fn initial_states(&self) -> Vec<Self::State> {
        vec![(0, 0)]
    }
    fn steps(&self, s: &Self::State) -> Vec<bool> {
        [(s.0 < 3, true), (s.1 < 3, false)]
            .into_iter()
            .filter(|(possible, _)| *possible)
            .map(|(_, s)| s)
            .collect()
    }
    fn apply(&self, s: &Self::State, step: &bool) -> Self::State {
        if *step { (s.0 + 1, s.1) } else { (s.0, s.1 + 1) }
    }
    fn violation(&self, s: &Self::State) -> Option<String> {
        (s.0 + s.1 == 5).then(|| "five".to_owned())
    }
}

#[test]
fn finds_the_shortest_path_to_a_violation() {
    let result = search(&Counters, 100);
    let (path, violation) = result.violation.expect("the model has a violation");
    assert_eq!((path.len(), violation.as_str()), (5, "five"));
    assert!(!search(&Counters, 3).complete);
}
