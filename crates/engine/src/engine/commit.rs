//! The end of a turn: the journal is written first, then clients are answered and calls started.

use super::*;

impl<T: Transport> Engine<T> {
    /// Writes the turn to the journal, then answers clients and starts calls. Messages for which the journal
    /// has no room are refused. If writing fails, no message is accepted and no call starts.
    pub(super) fn commit(&mut self, now: Micros, submitted: Vec<MessageId>, attempts: Vec<PlannedAttempt>) {
        let unix_ms = unix_now_ms();
        let (mut accepted, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        for id in submitted {
            let Some(message) = self.messages.get(&id) else { continue };
            let total = bytes + message.accepted.body.len();
            if message.clients.iter().all(|client| client.is_closed())
                || !self.journal.has_room(accepted.len() + 1, total, unix_ms)
            {
                self.refuse_unrecorded(id);
                continue;
            }
            bytes = total;
            records.push(Record::Accepted(message.accepted.clone()));
            accepted.push(id);
        }
        for attempt in &attempts {
            // Without its message or its endpoint, an attempt is not sent.
            if let Some(message) = self.messages.get(&attempt.id)
                && let Some(endpoint) = self.endpoints.get(attempt.endpoint)
            {
                let zone = endpoint.zone.clone();
                records.push(Record::Sent(message.accepted.id.clone(), attempt.attempt, unix_ms, zone));
            }
        }
        crash_point(Point::BeforeCommit);
        if let Err(e) = self.journal.commit(&records, unix_ms) {
            // Writing may fail in every turn for a while.
            if self.failure_logged_at.is_none_or(|at| at.elapsed() > FAILURE_LOG_INTERVAL) {
                self.failure_logged_at = Some(Instant::now());
                tracing::error!("engine: cannot commit a turn, refusing new messages: {e}");
            }
            accepted.into_iter().for_each(|id| self.refuse_unrecorded(id));
            return attempts.iter().for_each(|attempt| self.report_not_sent(attempt));
        }
        crash_point(Point::AfterCommit);
        for id in accepted {
            if let Some(message) = self.messages.get_mut(&id) {
                message.is_accepted = true;
                if !message.answer(Answer::Accepted) {
                    self.close_abandoned(id);
                }
            }
        }
        crash_point(Point::AfterAnswers);
        let count = attempts.len();
        self.start_calls(now, attempts);
        if count > 0 {
            crash_point(Point::AfterCalls);
        }
    }

    /// Refuses a message that is not recorded as accepted: the answer asks its clients to retry, unless they
    /// have disconnected, and the decision module drops it.
    pub(super) fn refuse_unrecorded(&mut self, id: MessageId) {
        if let Some(mut message) = self.messages.remove(&id) {
            self.ids.remove(&message.accepted.id);
            message.answer(Answer::Refused(Some(RETRY_AFTER)));
            self.events.push(Event::ClientDisconnected { id });
        }
    }

    /// Closes a message whose clients disconnected before they received the answer that it was accepted.
    pub(super) fn close_abandoned(&mut self, id: MessageId) {
        if let Some(message) = self.messages.remove(&id) {
            self.ids.remove(&message.accepted.id);
            self.journal.enqueue(&Record::Closed(message.accepted.id, End::Refused, 0), unix_now_ms());
            self.events.push(Event::ClientDisconnected { id });
        }
    }

    /// Reports to the decision module, in the next turn, that an attempt was not sent.
    pub(super) fn report_not_sent(&mut self, attempt: &PlannedAttempt) {
        self.events.push(Event::AttemptEnded(EndedAttempt {
            id: attempt.id,
            attempt: attempt.attempt,
            outcome: Outcome::NotSent,
            elapsed: 0,
            finished: !self.messages.contains_key(&attempt.id),
            report: None,
            wait: None,
        }));
    }
}
