//! Checks across rules: finds rules that can never match because an earlier rule matches all of their
//! messages.

use crate::diagnostic::Diagnostic;
use crate::model::{Condition, Routes};
use crate::router::Router;

/// Returns the routes unchanged, and a diagnostic for every rule that is shadowed by an earlier one.
pub(crate) fn find_shadowed_rules(routes: Routes) -> (Routes, Vec<Diagnostic>) {
    let router = Router::new(routes);
    let routes = router.routes();
    let rules = &routes.rules;
    let diagnose = |(n, rule): (usize, &crate::model::Rule)| {
        let (class, owner, partner) = router.first_key(&rule.condition);
        let mut earlier = router.candidates(class, owner, partner).take_while(|m| *m < n);
        let by = earlier.find(|m| covers(routes, &rules[*m].condition, &rule.condition))?;
        Some(Diagnostic {
            location: rule.location.clone(),
            problem: format!(
                "rule {:?} never matches: rule {:?} matches all of its messages first",
                rule.name, rules[by].name
            ),
            remedy: format!("move it before {} or remove it", rules[by].location),
        })
    };
    let diagnostics = rules.iter().enumerate().filter_map(diagnose).collect();
    (router.into_routes(), diagnostics)
}

/// Returns whether `wide` matches every message that `narrow` matches.
///
/// Conservative: it may return false where only several values of `wide` together cover one value of
/// `narrow`, but never returns true where a message would be missed.
fn covers(routes: &Routes, wide: &Condition, narrow: &Condition) -> bool {
    fn all<T: PartialEq>(wide: &[T], narrow: &[T]) -> bool {
        wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|n| wide.contains(n)))
    }
    let networks = |sets: &[usize]| {
        sets.iter().flat_map(|set| routes.address_sets[*set].networks.clone()).collect::<Vec<_>>()
    };
    let covers_sources = || {
        let wide = networks(&wide.sources);
        !narrow.sources.is_empty()
            && networks(&narrow.sources).iter().all(|n| wide.iter().any(|w| w.contains(n)))
    };
    all(&wide.classes, &narrow.classes)
        && all(&wide.owners, &narrow.owners)
        && all(&wide.partners, &narrow.partners)
        && wide.headers.iter().all(|h| narrow.headers.contains(h))
        && wide
            .body_bytes
            .is_none_or(|(min, max)| narrow.body_bytes.is_some_and(|(lo, hi)| min <= lo && hi <= max))
        && wide.hours.is_none_or(|hours| narrow.hours.is_some_and(|h| hours.covers(h)))
        && (wide.sources.is_empty() || all(&wide.sources, &narrow.sources) || covers_sources())
}
