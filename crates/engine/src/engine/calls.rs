//! Calls out, and what comes of them.

use super::*;

impl<T: Transport> Engine<T> {
    pub(super) fn prepare(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Micros,
        begin_by: Micros,
    ) -> Option<Send> {
        let message = self.messages.get_mut(&id)?;
        let attempt = message.attempts;
        message.attempts += 1;
        let until = if timeout == 0 { message.give_up_at } else { now.saturating_add(timeout) };
        Some(Send { id, attempt, endpoint, until: until.min(message.give_up_at), begin_by })
    }

    /// Sends of one turn to one endpoint travel together, up to what its kind allows.
    pub(super) fn start_calls(&mut self, now: Micros, sends: Vec<Send>) {
        let mut by_endpoint: Vec<(EndpointId, Vec<Send>)> = Vec::new();
        for send in sends {
            let most = self.endpoints.get(send.endpoint).map_or(1, |t| t.batch);
            match by_endpoint.iter_mut().rfind(|(t, group)| *t == send.endpoint && group.len() < most) {
                Some((_, group)) => group.push(send),
                None => by_endpoint.push((send.endpoint, vec![send])),
            }
        }
        by_endpoint.into_iter().for_each(|(endpoint, group)| self.start_call(now, endpoint, group));
    }

    pub(super) fn start_call(&mut self, now: Micros, endpoint: EndpointId, sends: Vec<Send>) {
        let mut items = Vec::with_capacity(sends.len());
        // Guards the rule on lost messages: a call is one for all that travel in it, and the platform ends it when
        // the time of the first of them is up. What is answered later counts for none of the others.
        let ends = sends.iter().filter_map(|s| self.messages.get(&s.id)).map(|m| m.give_up_at).min();
        let ends = ends.unwrap_or(now);
        let connect_timeout = self.settings.connect_timeout.max(1000);
        // A process that was stopped meanwhile decides anew: what it knew then may be long past.
        let begins = connect_timeout + BEGIN_SLACK;
        for send in sends {
            let known = self.endpoints.get(endpoint).is_some();
            let Some(message) = self.messages.get(&send.id).filter(|_| known) else {
                self.not_sent(&send);
                continue;
            };
            self.in_flight.insert((send.id, send.attempt), InFlight { sent: now, call: self.next_call });
            let (name, dest) = (&message.accepted.id, message.accepted.dest);
            tracing::debug!(id = %name, attempt = send.attempt, endpoint, dest, call = self.next_call, "sent");
            items.push(Item {
                id: send.id,
                attempt: send.attempt,
                message_id: message.accepted.id.clone(),
                key: message.accepted.key.clone(),
                body: message.accepted.body.clone(),
                deadline: self.clock.instant(send.until.min(ends)),
                begin_by: self.clock.instant(send.begin_by.min(now.saturating_add(begins))),
                is_retry: message.tried,
            });
        }
        let Some(t) = self.endpoints.get_mut(endpoint).filter(|_| !items.is_empty()) else { return };
        // Each attempt is cancelled once at most; one more place is for a hold.
        let (sender, receiver) = channel(items.len() + 1);
        self.calls.insert(
            self.next_call,
            CallOut { endpoint, ends, left: items.len(), commands: sender, held: false },
        );
        self.next_call += 1;
        t.in_flight += 1;
        let dest = t.dest;
        let call = Call {
            endpoint,
            dest,
            address: t.address,
            decided_at: Instant::now(),
            items,
            may_overlap_attempts: self.settings.may_overlap_attempts,
            connect_timeout: Duration::from_micros(connect_timeout as u64),
            has_alternative: self.endpoints.serving(dest) > 1,
            commands: receiver,
        };
        self.transport.start_call(call, self.inputs.clone());
    }

    pub(super) fn cancel(&mut self, id: MessageId, attempt: usize) {
        let call = self.in_flight.get(&(id, attempt)).and_then(|out| self.calls.get(&out.call));
        if let Some(call) = call {
            // Closed: its outcome is on its way.
            let _ = call.commands.try_send(CallCommand::Cancel(id, attempt));
        }
    }

    /// Calls to such endpoints that are not written yet are not to be.
    pub(super) fn hold_calls(&mut self, at: impl Fn(&Endpoints, EndpointId) -> bool) {
        for call in self.calls.values_mut() {
            if !call.held && at(&self.endpoints, call.endpoint) {
                call.held = true;
                // Closed: its outcome is on its way.
                let _ = call.commands.try_send(CallCommand::Defer);
            }
        }
    }

    pub(super) fn call_end(&mut self, now: Micros, news: CallUpdate) {
        if news.ended.iter().any(|e| e.wait.is_some()) {
            // A wait that was told binds for the whole destination.
            let dest = self.endpoints.get(news.endpoint).map(|t| t.dest);
            self.hold_calls(|endpoints, endpoint| endpoints.get(endpoint).map(|t| t.dest) == dest);
        }
        for ended in news.ended {
            self.ended(now, ended);
        }
    }

    pub(super) fn ended(&mut self, now: Micros, ended: AttemptEnd) {
        let AttemptEnd { id, attempt, outcome, finished, report, wait } = ended;
        let Some(out) = self.in_flight.remove(&(id, attempt)) else { return };
        let mut late = false;
        if let Some(call) = self.calls.get_mut(&out.call) {
            late = now + CLIENT_WAITS >= call.ends;
            call.left -= 1;
            if call.left == 0 {
                let endpoint = call.endpoint;
                self.calls.remove(&out.call);
                if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                    endpoint.in_flight -= 1;
                }
            }
        }
        let unix = unix_now_ms();
        let name = || self.messages.get(&id).map(|m| &*m.accepted.id);
        tracing::debug!(id = name(), attempt, ?outcome, took = now - out.sent, ?report, wait, "ended");
        if finished && let Some(message) = self.messages.remove(&id) {
            self.ids.remove(&message.accepted.id);
            if outcome == Outcome::Delivered && late {
                // Heard so near the call's end, it may have been answered when the client's time was up, where
                // it does not count. A notice for a message that is over does no harm.
                self.owe(message.accepted, NoticeEnd::GivenUp);
            } else {
                let Accepted { id, deadline, .. } = message.accepted;
                let end = if outcome == Outcome::Delivered { End::Delivered } else { End::Failed };
                self.journal.enqueue(&Record::Closed(id, end, deadline), unix);
            }
        } else if let Some(message) = self.messages.get_mut(&id) {
            message.tried |= outcome != Outcome::NotSent;
            let record = Record::Ended(message.accepted.id.clone(), attempt, !outcome.never_ran());
            self.journal.enqueue(&record, unix);
        }
        let finished = !self.messages.contains_key(&id);
        let ended = EndedAttempt { id, attempt, outcome, elapsed: now - out.sent, finished, report, wait };
        self.balancer.on_event(now, Event::AttemptEnded(ended), &mut self.actions);
    }
}
