//! Judges a run by the six rules.

use crate::ledger::Entry;
use crate::rule::{Breach, RuleParams};
use crate::rules;

/// Judges a run by all six rules and returns the breaches in the order of their times.
///
/// The ledger must be ordered by time.
pub fn judge(params: &RuleParams, ledger: &[Entry]) -> Vec<Breach> {
    let index = rules::LedgerIndex::new(params, ledger);
    let mut breaches = Vec::new();
    rules::lost(&index, &mut breaches);
    rules::twice(&index, &mut breaches);
    rules::drain(&index, &mut breaches);
    rules::fail_back(&index, &mut breaches);
    rules::order(&index, &mut breaches);
    rules::wait(&index, &mut breaches);
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    breaches
}
