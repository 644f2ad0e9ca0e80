//! Messages that enter the engine, from clients and from an earlier process, and those that the decision
//! module ends.

use super::*;

impl<T: Transport> Engine<T> {
    /// Submits a message to the decision module, unless its end is already known, it is already open, or the
    /// limit on open messages is reached; those are answered at once.
    pub(super) fn receive(&mut self, now: Micros, message: Submission) -> Option<MessageId> {
        let Submission { id: message_id, class, tenant, dest, key, body, deadline, answer } = message;
        if let Some(open) = self.ids.get(&message_id).and_then(|id| self.messages.get_mut(id))
            && !open.is_accepted
        {
            // Bounds the memory: any number of clients may submit the same message.
            if open.clients.len() < MAX_CLIENTS_PER_MESSAGE {
                open.clients.push(answer);
            } else {
                let _ = answer.send(Answer::Refused(None));
            }
            return None;
        }
        let open_messages = self.open_messages();
        let known = match self.journal.end_of(&message_id) {
            Some((End::Delivered, _)) => Some(Answer::Delivered),
            Some((End::Failed, _)) => Some(Answer::Failed),
            Some((End::Refused, _)) => Some(Answer::Refused(None)),
            None if self.ids.contains_key(&message_id) => Some(Answer::Accepted),
            None if !self.capacity.admits(open_messages) => Some(Answer::Refused(None)),
            None => None,
        };
        let class_name = self.names.classes.get(class).cloned();
        let tenant_name = tenant.and_then(|t| self.names.tenants.get(t).cloned());
        let (None, Some(class_name)) = (known, class_name) else {
            // A client that has disconnected needs no answer.
            let _ = answer.send(known.unwrap_or(Answer::Refused(None)));
            return None;
        };
        if let Some(count) = self.tenants.as_mut().zip(tenant).and_then(|(q, t)| q.counts.get_mut(t)) {
            *count += 1;
        }
        let expires_at = self.clock.micros(deadline);
        let remaining_ms = u64::try_from((expires_at - now) / 1000).unwrap_or(0);
        let accepted = Accepted {
            id: message_id,
            class: class_name,
            tenant: tenant_name,
            dest,
            key,
            deadline: unix_now_ms() + remaining_ms,
            body,
        };
        let message = Message {
            accepted,
            expires_at,
            attempts: 0,
            was_tried: false,
            first_possible_run: None,
            clients: vec![answer],
            is_accepted: false,
        };
        Some(self.submit(now, message, class, tenant, MessageHistory::default()))
    }

    /// Stores a message and submits it to the decision module.
    pub(super) fn submit(
        &mut self,
        now: Micros,
        message: Message,
        class: usize,
        tenant: Option<usize>,
        history: MessageHistory,
    ) -> MessageId {
        let (dest, expires_at) = (message.accepted.dest, message.expires_at);
        let left = expires_at - now;
        tracing::debug!(id = %message.accepted.id, class, dest, left, past = ?history, "taken");
        let id = self.insert(message);
        let submit = SubmittedMessage { id, class, tenant, key: None, expires_at, dest, history };
        self.balancer.on_event(now, Event::Submit(submit), &mut self.actions);
        id
    }

    /// Stores a message under a new number.
    pub(super) fn insert(&mut self, message: Message) -> MessageId {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(message.accepted.id.clone(), id);
        self.messages.insert(id, message);
        id
    }

    /// Resumes an open message, or the pending notice of an ended one, that an earlier process left in the
    /// journal.
    pub(super) fn resume(&mut self, now: Micros, open: OpenMessage) {
        let OpenMessage { accepted, attempts, pending_notice, in_doubt } = open;
        if let Some(end) = pending_notice {
            return self.pending_notices.push(Notice { message_id: accepted.id, end });
        }
        let unix_ms = unix_now_ms();
        let offset_us = |time_ms: u64| (time_ms as i64 - unix_ms as i64).saturating_mul(1000);
        // Records that the journal has lost may have been of an attempt at any time.
        let unknown = in_doubt.then_some((now.saturating_sub(MAX_ATTEMPT_AGE_US), usize::MAX));
        let first_possible_run = unknown.or_else(|| {
            let first = attempts.iter().filter(|a| a.may_have_run).min_by_key(|a| a.sent_ms)?;
            let zone = index_of(&self.names.zones, &first.zone).unwrap_or(usize::MAX);
            Some((now.saturating_add(offset_us(first.sent_ms).max(-MAX_ATTEMPT_AGE_US)), zone))
        });
        let history = MessageHistory {
            attempts: attempts.len().max(usize::from(in_doubt)),
            first_possible_run,
            was_accepted: true,
        };
        let expires_at = now.saturating_add(offset_us(accepted.deadline));
        let message = Message {
            accepted,
            expires_at,
            attempts: history.attempts,
            was_tried: history.attempts > 0,
            first_possible_run,
            clients: Vec::new(),
            is_accepted: true,
        };
        self.resubmit(now, message, history);
    }

    /// Submits an accepted message to the decision module again.
    pub(super) fn resubmit(&mut self, now: Micros, message: Message, history: MessageHistory) {
        let class = index_of(&self.names.classes, &message.accepted.class);
        let tenant = message.accepted.tenant.as_ref().and_then(|t| index_of(&self.names.tenants, t));
        match class {
            Some(class) => drop(self.submit(now, message, class, tenant, history)),
            // The class is no longer in the settings, so nothing can be promised about the message's effect.
            None => {
                let id = self.insert(message);
                self.end_undelivered(id, End::Failed, None);
            }
        }
    }

    /// Ends a message as the decision module asked: by an answer while its client waits, else by a notice.
    pub(super) fn end_undelivered(&mut self, id: MessageId, end: End, wait: Option<Micros>) {
        let Some(mut message) = self.messages.remove(&id) else { return };
        self.ids.remove(&message.accepted.id);
        tracing::debug!(id = %message.accepted.id, ?end, wait, taken_on = message.is_accepted, "given up");
        let wait = wait.and_then(|w| u64::try_from(w).ok());
        if !message.is_accepted {
            // A client that has disconnected needs no answer.
            message.answer(match end {
                End::Refused => Answer::Refused(wait.map(Duration::from_micros)),
                _ => Answer::Failed,
            });
            return;
        }
        let end = match end {
            End::Refused => NoticeEnd::HandedBack { retry_in_ms: wait.map(|w| w.div_ceil(1000)) },
            _ => NoticeEnd::GivenUp,
        };
        self.enqueue_notice(message.accepted, end);
    }

    /// Queues a notice, and records it as pending until it is acknowledged.
    pub(super) fn enqueue_notice(&mut self, message: Accepted, end: NoticeEnd) {
        let Accepted { id, deadline, .. } = message;
        self.journal.enqueue(&Record::NoticePending(id.clone(), end, deadline), unix_now_ms());
        self.pending_notices.push(Notice { message_id: id, end });
    }
}
