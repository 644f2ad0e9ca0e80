//! Durations of leases.

/// Microseconds, on the clock of the process that measures them.
pub type Micros = u64;

/// Durations of the leases of grants and loans (microseconds).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseDurations {
    /// Duration of a grant for the borrower, from when it asked.
    pub grant: Micros,
    /// Duration of a loan for the coordinator, from when it asked: at least twice that of a grant, so that
    /// grants can be made from it.
    pub loan: Micros,
    /// Duration of a grant for the coordinator, from when it answered: longer than `grant` by the clock
    /// drift.
    pub grant_max: Micros,
    /// Duration of a loan for the lender, from when it answered: longer than `loan` by the clock drift.
    pub loan_max: Micros,
}

impl LeaseDurations {
    /// Returns the durations for grants of duration `grant` and clock rates correct within `drift` (a
    /// fraction of 1).
    pub fn new(grant: Micros, drift: f64) -> Self {
        let with_drift =
            |duration: Micros| (duration as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Micros + 1;
        let grant_max = with_drift(grant);
        // A recent loan must outlast a grant that is made now.
        let loan = grant_max * 2;
        LeaseDurations { grant, loan, grant_max, loan_max: with_drift(loan) }
    }

    /// Returns the interval between a member's requests: a quarter of a grant, so that three messages in a
    /// row may be lost.
    pub fn round_interval(&self) -> Micros {
        self.grant / 4
    }
}
