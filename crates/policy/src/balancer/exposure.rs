//! How many unsafe messages are in flight to a destination at once.
//!
//! An unsafe message whose call gets no response is lost, and so is one whose call is in flight when the
//! process is killed: it may have run, even if no byte of the call arrived. So one call does not carry all
//! unsafe messages of a destination while some of them can wait for a later call and still be on time.

use super::message_queue::MessageQueue;
use super::state::{Balancer, Dest, Endpoint, Message};
use crate::api::{Effect, Micros};

/// At most one N-th of the unsafe messages of a destination are in flight while the others can wait.
const IN_FLIGHT_DIVISOR: usize = 2;
/// Up to this fraction (one N-th) of a full batch, messages are too few to be divided between calls.
const FEW_MESSAGES_DIVISOR: usize = 5;
/// Age up to which a message can wait, as a share of its target latency.
const WAIT_SHARE: f64 = 1.0 / 2.0;
/// The same for a call to an endpoint that may be unresponsive.
const UNRESPONSIVE_WAIT_SHARE: f64 = 3.0 / 4.0;
/// Multiple of the usual latency from which a call without a response shows that its destination may be
/// unresponsive.
const UNRESPONSIVE_LATENCY_FACTOR: f64 = 2.0;
/// Assumed latency of a destination that has delivered nothing yet, as a fraction (one N-th) of the target
/// latency.
const MIN_LATENCY_DIVISOR: f64 = 16.0;

impl Balancer {
    /// Returns the age up to which unsafe messages are not sent to an endpoint, as a share of their target
    /// latency; `None` if another one may be sent at once.
    pub(super) fn unsafe_wait_share(&self, dest: &Dest, endpoint: &Endpoint, now: Micros) -> Option<f64> {
        if dest.kind.max_batch < 2 {
            return None;
        }
        let queued: usize = self.unsafe_queues(dest).map(MessageQueue::len).sum();
        let held = dest.unsafe_in_flight + queued;
        if held <= dest.kind.max_batch / FEW_MESSAGES_DIVISOR
            || dest.unsafe_in_flight < held.div_ceil(IN_FLIGHT_DIVISOR)
        {
            return None;
        }
        let may_be_unresponsive = self.may_be_unresponsive(dest, endpoint, now);
        Some(if may_be_unresponsive { UNRESPONSIVE_WAIT_SHARE } else { WAIT_SHARE })
    }

    /// Returns when the next queued unsafe message has waited long enough, if any waits.
    pub(super) fn next_unsafe_at(&self, dest: &Dest, endpoint: &Endpoint, now: Micros) -> Option<Micros> {
        let share = self.unsafe_wait_share(dest, endpoint, now)?;
        let first = self.unsafe_queues(dest).filter_map(MessageQueue::first);
        first.map(|(_, id)| self.can_wait_until(&self.messages[&id], share)).filter(|at| *at > now).min()
    }

    /// Returns the queues of a destination whose messages must not be repeated.
    fn unsafe_queues<'a>(&self, dest: &'a Dest) -> impl Iterator<Item = &'a MessageQueue> {
        let classes = &self.params.settings.classes;
        let queues = dest.queues.iter();
        queues.filter(|((class, _), _)| classes[*class].effect == Effect::Unsafe).map(|(_, queue)| queue)
    }

    /// Returns true if a call to the destination has had no response for longer than usual, and the endpoint
    /// has not responded since that call was sent.
    fn may_be_unresponsive(&self, dest: &Dest, endpoint: &Endpoint, now: Micros) -> bool {
        let unanswered = dest.endpoints.iter().filter_map(|id| self.endpoints[id].unanswered_since);
        let Some(sent_at) = unanswered.min() else { return false };
        let usual = dest.scope.usual_latency.max(self.params.target_latency / MIN_LATENCY_DIVISOR);
        (now - sent_at) as f64 >= UNRESPONSIVE_LATENCY_FACTOR * usual
            && endpoint.last_response.is_none_or(|at| at <= sent_at)
    }

    /// Returns the time until which a message can wait, judged by how long it keeps its full value.
    pub(super) fn can_wait_until(&self, message: &Message, share: f64) -> Micros {
        let target_latency = self.params.settings.classes[message.submitted.class].target_latency;
        message.due - target_latency + (target_latency as f64 * share) as Micros
    }
}
