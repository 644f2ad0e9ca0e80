//! Judges the six delivery rules, and properties of fleets, from the ledger that stand-ins write, and from
//! nothing else: it shares no code with the engine or the decision module, so that one mistake cannot be in
//! both.
//!
//! ```
//! use yarrowhill_checker::*;
//!
//! let params = RuleParams::default();
//! let ledger = vec![
//!     Entry { at: 0.0, event: Event::sent("a", "unsafe", 7, 1000.0) },
//!     Entry { at: 5.0, event: Event::ClientDone { id: "a".into(), outcome: ClientOutcome::Status(202) } },
//! ];
//! // The message was accepted and never ended.
//! assert_eq!(judge(&params, &ledger)[0].rule, Rule::Lost);
//! ```

mod accounts;
mod duties;
mod fleet;
mod judge;
mod ledger;
mod outages;
mod rules;

pub use accounts::{Account, accounts};
pub use duties::{DutyClaim, vacancies};
pub use fleet::{
    Claim, FleetBreach, FleetEntry, FleetEvent, FleetParams, LimitUse, judge_fleet, judge_limit,
};
pub use judge::{Breach, Effect, Rule, RuleParams, judge};
pub use ledger::{CallEnd, ClientOutcome, Entry, Event, ForwarderState, Standing};
pub use outages::{ColdStart, OutageReport, judge_outages};
