//! Judges the six rules from what stand-ins saw, and from that alone: it shares no code with the engine or the
//! decision module, so that the same mistake can't stand in both.
//!
//! ```
//! use yarrowhill_checker::*;
//!
//! let terms = RuleParams::default();
//! let ledger = vec![
//!     Entry { at: 0.0, event: Event::sent("a", "unsafe", 7, 1000.0) },
//!     Entry { at: 5.0, event: Event::ClientDone { id: "a".into(), outcome: ClientOutcome::Status(202) } },
//! ];
//! // Taken on, and nothing came of it.
//! assert_eq!(judge(&terms, &ledger)[0].rule, Rule::Lost);
//! ```

mod accounts;
mod duties;
mod fleet;
mod judge;
mod ledger;
mod returns;
mod rules;

pub use accounts::{Account, accounts};
pub use duties::{DutyClaim, vacancies};
pub use fleet::{
    Claim, FleetBreach, FleetEntry, FleetEvent, FleetParams, LimitUse, judge_fleet, judge_limit,
};
pub use judge::{Breach, Effect, Rule, RuleParams, judge};
pub use ledger::{CallEnd, ClientOutcome, Entry, Event, ForwarderState, Standing};
pub use returns::{ColdStart, OutageReport, judge_outages};
