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
mod fleet_ledger;
mod judge;
mod ledger;
mod limit;
mod outages;
mod rule;
mod rules;

pub use accounts::{Account, accounts};
pub use duties::vacancies;
pub use fleet::judge_fleet;
pub use fleet_ledger::{Claim, ColdStart, DutyClaim, FleetBreach, FleetEntry, FleetEvent, FleetParams};
pub use judge::judge;
pub use ledger::{CallEnd, ClientOutcome, Entry, Event, ForwarderState, Standing};
pub use limit::{LimitUse, judge_limit};
pub use outages::{OutageReport, judge_outages};
pub use rule::{Breach, Effect, Rule, RuleParams};
