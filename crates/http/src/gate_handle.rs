//! The gate that is consulted before calls and messages, if the build and the process have one.

#[cfg(feature = "gate")]
use std::sync::Arc;
#[cfg(feature = "gate")]
use std::time::Duration;
#[cfg(feature = "gate")]
use yarrowhill_engine::CallResult;
#[cfg(feature = "gate")]
use yarrowhill_policy::api::DestId;

/// The gate, which is optional and exists only in builds with the feature `gate`.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateHandle {
    #[cfg(feature = "gate")]
    gate: Option<Arc<dyn yarrowhill_engine::Gate>>,
}

#[cfg(feature = "gate")]
impl GateHandle {
    pub(crate) fn new(gate: Option<Arc<dyn yarrowhill_engine::Gate>>) -> Self {
        GateHandle { gate }
    }

    pub(crate) fn may_send(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.may_send())
    }

    pub(crate) fn admit_call(&self, dest: DestId, is_retry: bool, was_delayed: bool) -> Result<(), Duration> {
        self.gate.as_ref().map_or(Ok(()), |gate| gate.admit_call(dest, is_retry, was_delayed))
    }

    pub(crate) fn call_ended(&self, dest: DestId, elapsed: Duration, result: CallResult) {
        self.gate.iter().for_each(|gate| gate.call_ended(dest, elapsed, result));
    }

    pub(crate) fn may_accept(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.may_accept())
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.gate.as_ref().is_none_or(|gate| gate.is_ready())
    }
}

#[cfg(not(feature = "gate"))]
impl GateHandle {
    pub(crate) const fn may_send(&self) -> bool {
        true
    }

    pub(crate) const fn may_accept(&self) -> bool {
        true
    }

    pub(crate) const fn is_ready(&self) -> bool {
        true
    }
}
