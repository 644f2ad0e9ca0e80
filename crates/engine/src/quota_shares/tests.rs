//! Tests of `quota_shares`.

use super::*;
use proptest::prelude::*;

proptest! {
    /// For any counts and reporting periods, the fractions sum to 1, and of two shards the one with the
    /// higher arrival rate has at least as large a fraction.
    #[test]
    fn fractions_sum_to_one_and_follow_rates(
        reports in proptest::collection::vec((0..100_000u64, 1_000..2_000_000i64), 1..6)
    ) {
        let shares = QuotaShares::new(reports.len(), 1);
        reports.iter().enumerate().for_each(|(n, (count, period))| shares.report(n, &[*count], *period));
        let fractions: Vec<f64> = (0..reports.len()).map(|n| shares.fraction(n, 0)).collect();
        prop_assert!((fractions.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{:?}", fractions);
        let rate = |n: usize| reports[n].0 as f64 / reports[n].1 as f64;
        for n in 1..reports.len() {
            prop_assert!(rate(n) <= rate(n - 1) + 1e-9 || fractions[n] >= fractions[n - 1]);
        }
    }
}
