//! Faults that no single line shows: rules that can never match, because an earlier one takes all that they are for.

use crate::diagnostic::Diagnostic;
use crate::model::{Condition, Routes};
use crate::router::Router;

/// Every rule that an earlier one shadows, and the routes back.
pub(crate) fn shadowed(routes: Routes) -> (Routes, Vec<Diagnostic>) {
    let router = Router::new(routes);
    let routes = router.routes();
    let rules = &routes.rules;
    let fault = |(n, rule): (usize, &crate::model::Rule)| {
        let (class, owner, partner) = router.first_of(&rule.condition);
        let mut earlier = router.candidates(class, owner, partner).take_while(|m| *m < n);
        let by = earlier.find(|m| covers(routes, &rules[*m].condition, &rule.condition))?;
        Some(Diagnostic {
            location: rule.location.clone(),
            problem: format!(
                "rule {:?} never matches: {:?} takes all that it is for",
                rule.name, rules[by].name
            ),
            remedy: format!("put it before {} or take it out", rules[by].location),
        })
    };
    let faults = rules.iter().enumerate().filter_map(fault).collect();
    (router.into_routes(), faults)
}

/// Whether every message that `narrow` is for is one that `wide` is for. May say no where it is so by several parts
/// together; never says yes where it is not.
fn covers(routes: &Routes, wide: &Condition, narrow: &Condition) -> bool {
    fn all<T: PartialEq>(wide: &[T], narrow: &[T]) -> bool {
        wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|n| wide.contains(n)))
    }
    let nets = |sets: &[usize]| {
        sets.iter().flat_map(|set| routes.address_sets[*set].networks.clone()).collect::<Vec<_>>()
    };
    let from = || {
        let wide = nets(&wide.sources);
        !narrow.sources.is_empty() && nets(&narrow.sources).iter().all(|n| wide.iter().any(|w| w.contains(n)))
    };
    all(&wide.classes, &narrow.classes)
        && all(&wide.owners, &narrow.owners)
        && all(&wide.partners, &narrow.partners)
        && wide.headers.iter().all(|h| narrow.headers.contains(h))
        && wide
            .body_bytes
            .is_none_or(|(least, most)| narrow.body_bytes.is_some_and(|(l, m)| least <= l && m <= most))
        && wide.hours.is_none_or(|hours| narrow.hours.is_some_and(|h| hours.covers(h)))
        && (wide.sources.is_empty() || all(&wide.sources, &narrow.sources) || from())
}
