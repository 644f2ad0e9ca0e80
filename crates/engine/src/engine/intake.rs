//! Messages as they come in, from clients and from an earlier process, and what the module gives back.

use super::*;

impl<T: Transport> Engine<T> {
    /// Gives a message to the module, unless its end is known or the forwarder holds all that it may.
    pub(super) fn hand_in(&mut self, now: Micros, message: Submission) -> Option<MessageId> {
        let Submission { id: name, class, tenant, dest, key, body, deadline, answer } = message;
        if let Some(open) = self.ids.get(&name).and_then(|id| self.messages.get_mut(id))
            && !open.taken_on
        {
            // Guards the memory: any number of clients may name the same message.
            if open.clients.len() < SAME_MOST {
                open.clients.push(answer);
            } else {
                let _ = answer.send(Answer::Refused(None));
            }
            return None;
        }
        let known = match self.journal.end_of(&name) {
            Some((End::Delivered, _)) => Some(Answer::Delivered),
            Some((End::Failed, _)) => Some(Answer::Failed),
            Some((End::Refused, _)) => Some(Answer::Refused(None)),
            None if self.ids.contains_key(&name) => Some(Answer::Accepted),
            None if !self.capacity.admits(self.messages.len()) => Some(Answer::Refused(None)),
            None => None,
        };
        let class_name = self.names.classes.get(class).cloned();
        let tenant_name = tenant.and_then(|t| self.names.tenants.get(t).cloned());
        let (None, Some(class_name)) = (known, class_name) else {
            // A client that has left needs no answer.
            let _ = answer.send(known.unwrap_or(Answer::Refused(None)));
            return None;
        };
        if let Some(count) = self.owners.as_mut().zip(tenant).and_then(|(o, t)| o.counts.get_mut(t)) {
            *count += 1;
        }
        let give_up_at = self.clock.micros(deadline);
        let left = u64::try_from((give_up_at - now) / 1000).unwrap_or(0);
        let accepted = Accepted {
            id: name,
            class: class_name,
            tenant: tenant_name,
            dest,
            key,
            deadline: unix_now_ms() + left,
            body,
        };
        let message = Message {
            accepted,
            give_up_at,
            attempts: 0,
            tried: false,
            clients: vec![answer],
            taken_on: false,
        };
        Some(self.submit(now, message, class, tenant, MessageHistory::default()))
    }

    pub(super) fn submit(
        &mut self,
        now: Micros,
        message: Message,
        class: usize,
        tenant: Option<usize>,
        past: MessageHistory,
    ) -> MessageId {
        let (dest, give_up_at) = (message.accepted.dest, message.give_up_at);
        tracing::debug!(id = %message.accepted.id, class, dest, left = give_up_at - now, ?past, "taken");
        let id = self.hold(message);
        let submit =
            SubmittedMessage { id, class, tenant, key: None, expires_at: give_up_at, dest, history: past };
        self.balancer.on_event(now, Event::Submit(submit), &mut self.actions);
        id
    }

    pub(super) fn hold(&mut self, message: Message) -> MessageId {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(message.accepted.id.clone(), id);
        self.messages.insert(id, message);
        id
    }

    /// Takes up a message of an earlier process.
    pub(super) fn resume(&mut self, now: Micros, open: OpenMessage) {
        let OpenMessage { accepted, attempts, pending_notice, in_doubt } = open;
        if let Some(end) = pending_notice {
            return self.owed.push(Notice { message_id: accepted.id, end });
        }
        let unix = unix_now_ms();
        let ago = |then: u64| (then as i64 - unix as i64).saturating_mul(1000);
        // What the journal has lost of it may have been an attempt at any time.
        let unknown = in_doubt.then_some((now.saturating_sub(LONG_AGO), usize::MAX));
        let risk = unknown.or_else(|| {
            let first = attempts.iter().filter(|a| a.may_have_run).min_by_key(|a| a.sent_ms)?;
            let zone = index_of(&self.names.zones, &first.zone).unwrap_or(usize::MAX);
            Some((now.saturating_add(ago(first.sent_ms).max(-LONG_AGO)), zone))
        });
        let past = MessageHistory {
            attempts: attempts.len().max(usize::from(in_doubt)),
            first_possible_run: risk,
            was_accepted: true,
        };
        let class = index_of(&self.names.classes, &accepted.class);
        let tenant = accepted.tenant.as_ref().and_then(|t| index_of(&self.names.tenants, t));
        let give_up_at = now.saturating_add(ago(accepted.deadline));
        let message = Message {
            accepted,
            give_up_at,
            attempts: past.attempts,
            tried: past.attempts > 0,
            clients: Vec::new(),
            taken_on: true,
        };
        match class {
            Some(class) => drop(self.submit(now, message, class, tenant, past)),
            // The settings know its class no longer: nothing may be promised about its effect.
            None => {
                let id = self.hold(message);
                self.give_up(id, End::Failed, None);
            }
        }
    }

    /// The module's final answer: to the client while it waits, else by a notice.
    pub(super) fn give_up(&mut self, id: MessageId, end: End, wait: Option<Micros>) {
        let Some(mut message) = self.messages.remove(&id) else { return };
        self.ids.remove(&message.accepted.id);
        tracing::debug!(id = %message.accepted.id, ?end, wait, taken_on = message.taken_on, "given up");
        let wait = wait.and_then(|w| u64::try_from(w).ok());
        if !message.taken_on {
            // A client that has left needs no answer.
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
        self.owe(message.accepted, end);
    }

    /// A notice is owed, on record until it is acknowledged.
    pub(super) fn owe(&mut self, message: Accepted, end: NoticeEnd) {
        let Accepted { id, deadline, .. } = message;
        self.journal.enqueue(&Record::NoticePending(id.clone(), end, deadline), unix_now_ms());
        self.owed.push(Notice { message_id: id, end });
    }
}
