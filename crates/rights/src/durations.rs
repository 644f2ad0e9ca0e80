//! How long what lasts.

/// Microseconds, on the clock of the process that counts them.
pub type Micros = u64;

/// LeaseDurations of leases (microseconds).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseDurations {
    /// A grant, for the borrower, since it asked.
    pub grant: Micros,
    /// A promise, for the keeper, since it asked: twice as long, so that grants can be made out of it.
    pub loan: Micros,
    /// The same for the other side, since it answered.
    pub grant_max: Micros,
    /// See `grant_wide`.
    pub loan_max: Micros,
}

impl LeaseDurations {
    /// For grants of this span, and clock rates that are right within `drift` (a part of 1).
    pub fn new(grant: Micros, drift: f64) -> Self {
        let wide = |span: Micros| (span as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Micros + 1;
        let grant_wide = wide(grant);
        // A promise that was made lately must outlast a grant that is made now.
        let lend = grant_wide * 2;
        LeaseDurations { grant, loan: lend, grant_max: grant_wide, loan_max: wide(lend) }
    }

    /// How often members and keepers speak: three messages may be lost in a row.
    pub fn round_interval(&self) -> Micros {
        self.grant / 4
    }
}
