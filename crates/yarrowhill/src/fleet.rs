//! Optional membership in a fleet. It does nothing in builds without the feature `members`, and where no
//! fleet document is configured.

use crate::config::Config;
#[cfg(feature = "members")]
use crate::member::Member;
use crate::run_error::RunError;
use tokio::sync::mpsc::Sender;
use yarrowhill_engine::Input;
use yarrowhill_http::{Intake, Pool};

/// Membership of the daemon in its fleet, if it has one.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetMembership {
    #[cfg(feature = "members")]
    member: Option<Member>,
}

#[cfg(feature = "members")]
impl FleetMembership {
    /// Joins the fleet that the configuration names, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet document cannot be read or parsed, or the member cannot be started.
    pub(crate) async fn join(config: &Config) -> Result<Self, RunError> {
        Ok(FleetMembership { member: Member::join(config).await? })
    }

    /// Makes calls to endpoints conditional on what the member may do.
    pub(crate) fn guard_calls(&self, pool: Pool) -> Pool {
        pool.with_gate(Member::gate(&self.member))
    }

    /// Makes the intake from clients conditional on what the member may do.
    pub(crate) fn guard_clients(&self, intake: Intake) -> Intake {
        intake.with_gate(Member::gate(&self.member))
    }

    /// Reports to the engines among how many senders the shared limits are divided.
    pub(crate) fn forward_sender_count(&self, engines: &[Sender<Input>]) {
        self.member.iter().for_each(|member| member.forward_sender_count(engines.to_vec()));
    }

    /// Reloads the fleet document.
    pub(crate) fn reload(&self) {
        self.member.iter().for_each(Member::reload);
    }

    /// Announces to the fleet that the process is shutting down.
    pub(crate) fn leave(&self) {
        self.member.iter().for_each(Member::leave);
    }
}

#[cfg(not(feature = "members"))]
impl FleetMembership {
    pub(crate) async fn join(_: &Config) -> Result<Self, RunError> {
        Ok(FleetMembership::default())
    }

    pub(crate) fn guard_calls(&self, pool: Pool) -> Pool {
        pool
    }

    pub(crate) fn guard_clients(&self, intake: Intake) -> Intake {
        intake
    }

    pub(crate) fn forward_sender_count(&self, _: &[Sender<Input>]) {}

    pub(crate) fn reload(&self) {}

    pub(crate) fn leave(&self) {}
}
