//! What the daemon has of its fleet: nothing in builds that know none, and where no document is named.

use crate::config::Config;
use crate::daemon::RunError;
#[cfg(feature = "members")]
use crate::member::Member;
use tokio::sync::mpsc::Sender;
use yarrowhill_engine::Input;
use yarrowhill_http::{Intake, Pool};

/// The daemon's place in its fleet, if it has one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Joined {
    #[cfg(feature = "members")]
    member: Option<Member>,
}

#[cfg(feature = "members")]
impl Joined {
    /// Joins the fleet that the configuration names.
    ///
    /// # Errors
    ///
    /// The document can't be read, or the sockets or the folder can't be had.
    pub(crate) async fn join(config: &Config) -> Result<Self, RunError> {
        Ok(Joined { member: Member::join(config).await? })
    }

    /// Calls look at what the process may do.
    pub(crate) fn guard_calls(&self, pool: Pool) -> Pool {
        pool.with_gate(Member::gate(&self.member))
    }

    /// Clients do.
    pub(crate) fn guard_clients(&self, intake: Intake) -> Intake {
        intake.with_gate(Member::gate(&self.member))
    }

    /// Engines hear among how many what all share is divided.
    pub(crate) fn tell_senders(&self, engines: &[Sender<Input>]) {
        self.member.iter().for_each(|member| member.tell_senders(engines.to_vec()));
    }

    /// The document is to be read again.
    pub(crate) fn reload(&self) {
        self.member.iter().for_each(Member::reload);
    }

    /// The process is to end.
    pub(crate) fn leave(&self) {
        self.member.iter().for_each(Member::leave);
    }
}

#[cfg(not(feature = "members"))]
impl Joined {
    pub(crate) async fn join(_: &Config) -> Result<Self, RunError> {
        Ok(Joined::default())
    }

    pub(crate) fn guard_calls(&self, pool: Pool) -> Pool {
        pool
    }

    pub(crate) fn guard_clients(&self, intake: Intake) -> Intake {
        intake
    }

    pub(crate) fn tell_senders(&self, _: &[Sender<Input>]) {}

    pub(crate) fn reload(&self) {}

    pub(crate) fn leave(&self) {}
}
