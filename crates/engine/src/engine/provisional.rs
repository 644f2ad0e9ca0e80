//! Deliveries that may turn out to be the response to another call: the message is kept until the end of its
//! attempt is final, and is resumed if it was not delivered.

use super::*;
use std::collections::BTreeSet;

/// A message whose delivery is provisional. To the decision module it is finished.
pub(super) struct Provisional {
    pub(super) message: Message,
    /// When the attempt was sent.
    pub(super) sent_at: Micros,
}

/// Messages whose delivery is provisional.
#[derive(Default)]
pub(super) struct ProvisionalDeliveries {
    /// By the number of the message and that of its attempt.
    deliveries: HashMap<(MessageId, usize), Provisional>,
    by_expiry: BTreeSet<(Micros, MessageId, usize)>,
}

impl ProvisionalDeliveries {
    pub(super) fn insert(&mut self, id: MessageId, attempt: usize, provisional: Provisional) {
        self.by_expiry.insert((provisional.message.expires_at, id, attempt));
        self.deliveries.insert((id, attempt), provisional);
    }

    fn remove(&mut self, id: MessageId, attempt: usize) -> Option<Provisional> {
        let provisional = self.deliveries.remove(&(id, attempt))?;
        self.by_expiry.remove(&(provisional.message.expires_at, id, attempt));
        Some(provisional)
    }

    /// Removes a message that expires by `now`.
    fn remove_expired(&mut self, now: Micros) -> Option<Provisional> {
        let (_, id, attempt) = *self.by_expiry.first().filter(|(expires_at, ..)| *expires_at <= now)?;
        self.remove(id, attempt)
    }

    /// Returns when the first of them expires.
    pub(super) fn next_expiry(&self) -> Option<Micros> {
        self.by_expiry.first().map(|(expires_at, ..)| *expires_at)
    }

    pub(super) fn len(&self) -> usize {
        self.deliveries.len()
    }
}

impl<T: Transport> Engine<T> {
    /// Ends messages that expire before their delivery is confirmed, by a notice that does no harm if they were
    /// delivered.
    pub(super) fn expire_provisional(&mut self, now: Micros) {
        while let Some(Provisional { message, .. }) = self.provisional.remove_expired(now) {
            self.ids.remove(&message.accepted.id);
            tracing::debug!(id = %message.accepted.id, "expired before its delivery was confirmed");
            self.enqueue_notice(message.accepted, NoticeEnd::GivenUp);
        }
    }

    /// Closes the messages whose deliveries are confirmed, and resumes the others.
    pub(super) fn attempts_settled(&mut self, now: Micros, update: CallUpdate) {
        for ended in update.ended {
            if let Some(wait) = ended.wait {
                self.wait_announced(now, update.endpoint, wait);
            }
            if let Some(provisional) = self.provisional.remove(ended.id, ended.attempt) {
                self.settle(now, update.endpoint, ended, provisional);
            }
        }
    }

    fn settle(&mut self, now: Micros, endpoint: EndpointId, ended: AttemptEnd, provisional: Provisional) {
        let AttemptEnd { attempt, outcome, finished, .. } = ended;
        let Provisional { mut message, sent_at } = provisional;
        self.ids.remove(&message.accepted.id);
        if finished {
            return self.close(message, outcome);
        }
        tracing::info!(id = %message.accepted.id, attempt, endpoint, ?outcome, "delivery revoked");
        let zone = self.endpoints.get(endpoint).and_then(|e| index_of(&self.names.zones, &e.zone));
        let record = message.attempt_ended(attempt, outcome, sent_at, zone);
        self.journal.enqueue(&record, unix_now_ms());
        let history = MessageHistory {
            attempts: message.attempts,
            first_possible_run: message.first_possible_run,
            was_accepted: true,
        };
        self.resubmit(now, message, history);
    }

    /// Applies a wait that the decision module is not told with the end of an attempt.
    pub(super) fn wait_announced(&mut self, now: Micros, endpoint: EndpointId, wait: Micros) {
        self.defer_calls_to_destination(endpoint);
        self.balancer.on_event(now, Event::WaitAnnounced { endpoint, wait }, &mut self.actions);
    }
}
