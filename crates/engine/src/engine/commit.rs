//! The end of a turn: the journal first, then clients' answers and calls.

use super::*;

impl<T: Transport> Engine<T> {
    /// Writes the turn, then answers clients and starts calls. Without room, or if writing fails, nothing new
    /// is taken on and nothing goes out.
    pub(super) fn commit(&mut self, now: Micros, fresh: Vec<MessageId>, sends: Vec<Send>) {
        let unix = unix_now_ms();
        let (mut taken, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        for id in fresh {
            let Some(message) = self.messages.get(&id) else { continue };
            let more = bytes + message.accepted.body.len();
            if message.clients.iter().all(|client| client.is_closed())
                || !self.journal.has_room(taken.len() + 1, more, unix)
            {
                self.turn_away(id);
                continue;
            }
            bytes = more;
            records.push(Record::Accepted(message.accepted.clone()));
            taken.push(id);
        }
        for send in &sends {
            // One without a message or an endpoint is not sent.
            if let Some(message) = self.messages.get(&send.id)
                && let Some(endpoint) = self.endpoints.get(send.endpoint)
            {
                let zone = endpoint.zone.clone();
                records.push(Record::Sent(message.accepted.id.clone(), send.attempt, unix, zone));
            }
        }
        crash_point(Point::BeforeCommit);
        if let Err(e) = self.journal.commit(&records, unix) {
            // It may fail in every turn for a while.
            if self.told_failure.is_none_or(|at| at.elapsed() > TELL_EVERY) {
                self.told_failure = Some(Instant::now());
                tracing::error!("engine: {e}");
            }
            taken.into_iter().for_each(|id| self.turn_away(id));
            return sends.iter().for_each(|s| self.not_sent(s));
        }
        crash_point(Point::AfterCommit);
        for id in taken {
            if let Some(message) = self.messages.get_mut(&id) {
                message.taken_on = true;
                if !message.answer(Answer::Accepted) {
                    self.client_left(id);
                }
            }
        }
        crash_point(Point::AfterAnswers);
        let calls = sends.len();
        self.start_calls(now, sends);
        if calls > 0 {
            crash_point(Point::AfterCalls);
        }
    }

    /// Not taken on after all: the client is refused, if it has not left, and the module forgets the message.
    pub(super) fn turn_away(&mut self, id: MessageId) {
        if let Some(mut message) = self.messages.remove(&id) {
            self.ids.remove(&message.accepted.id);
            message.answer(Answer::Refused(Some(AGAIN)));
            self.events.push(Event::ClientDisconnected { id });
        }
    }

    /// The client left before it heard that the message was taken on.
    pub(super) fn client_left(&mut self, id: MessageId) {
        if let Some(message) = self.messages.remove(&id) {
            self.ids.remove(&message.accepted.id);
            self.journal.enqueue(&Record::Closed(message.accepted.id, End::Refused, 0), unix_now_ms());
            self.events.push(Event::ClientDisconnected { id });
        }
    }

    pub(super) fn not_sent(&mut self, send: &Send) {
        self.events.push(Event::AttemptEnded(EndedAttempt {
            id: send.id,
            attempt: send.attempt,
            outcome: Outcome::NotSent,
            elapsed: 0,
            finished: !self.messages.contains_key(&send.id),
            report: None,
            wait: None,
        }));
    }
}
