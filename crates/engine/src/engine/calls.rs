//! Calls to endpoints, and the ends of their attempts.

use super::*;

impl<T: Transport> Engine<T> {
    /// Numbers an attempt that the decision module asked for, and sets its deadline.
    pub(super) fn plan_attempt(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Micros,
        begin_by: Micros,
    ) -> Option<PlannedAttempt> {
        let message = self.messages.get_mut(&id)?;
        let attempt = message.attempts;
        message.attempts += 1;
        let deadline = if timeout == 0 { message.expires_at } else { now.saturating_add(timeout) };
        let deadline = deadline.min(message.expires_at);
        Some(PlannedAttempt { id, attempt, endpoint, deadline, begin_by })
    }

    /// Starts the calls of a turn. Attempts at the same endpoint share a call, up to the batch size of its
    /// kind.
    pub(super) fn start_calls(&mut self, now: Micros, attempts: Vec<PlannedAttempt>) {
        let mut by_endpoint: Vec<(EndpointId, Vec<PlannedAttempt>)> = Vec::new();
        for attempt in attempts {
            let max = self.endpoints.get(attempt.endpoint).map_or(1, |endpoint| endpoint.max_batch);
            let group =
                by_endpoint.iter_mut().rfind(|(id, group)| *id == attempt.endpoint && group.len() < max);
            match group {
                Some((_, group)) => group.push(attempt),
                None => by_endpoint.push((attempt.endpoint, vec![attempt])),
            }
        }
        by_endpoint.into_iter().for_each(|(endpoint, group)| self.start_call(now, endpoint, group));
    }

    pub(super) fn start_call(&mut self, now: Micros, endpoint: EndpointId, attempts: Vec<PlannedAttempt>) {
        let mut items = Vec::with_capacity(attempts.len());
        // Guards the rule on lost messages: the platform ends a call for all its messages when the first of
        // them expires. An answer after that time counts for none of the others.
        let expires_at = attempts.iter().filter_map(|a| self.messages.get(&a.id)).map(|m| m.expires_at).min();
        let expires_at = expires_at.unwrap_or(now);
        let connect_timeout = self.settings.connect_timeout.max(1000);
        // If the process was stopped meanwhile, the attempt is decided on again: what was known may be out of
        // date.
        let begin_within = connect_timeout + BEGIN_SLACK_US;
        for attempt in attempts {
            let known = self.endpoints.get(endpoint).is_some();
            let Some(message) = self.messages.get(&attempt.id).filter(|_| known) else {
                self.report_not_sent(&attempt);
                continue;
            };
            let call = self.next_call;
            self.in_flight.insert((attempt.id, attempt.attempt), InFlight { sent_at: now, call });
            let (name, dest) = (&message.accepted.id, message.accepted.dest);
            tracing::debug!(id = %name, attempt = attempt.attempt, endpoint, dest, call, "sent");
            items.push(Item {
                id: attempt.id,
                attempt: attempt.attempt,
                message_id: message.accepted.id.clone(),
                key: message.accepted.key.clone(),
                body: message.accepted.body.clone(),
                deadline: self.clock.instant(attempt.deadline.min(expires_at)),
                begin_by: self.clock.instant(attempt.begin_by.min(now.saturating_add(begin_within))),
                is_retry: message.was_tried,
            });
        }
        let Some(known) = self.endpoints.get_mut(endpoint).filter(|_| !items.is_empty()) else { return };
        // Each attempt is cancelled at most once; one more place is for a `Defer`.
        let (sender, receiver) = channel(items.len() + 1);
        self.calls.insert(
            self.next_call,
            OpenCall { endpoint, expires_at, remaining: items.len(), commands: sender, is_deferred: false },
        );
        self.next_call += 1;
        known.calls_in_flight += 1;
        let (dest, address) = (known.dest, known.address);
        let call = Call {
            endpoint,
            dest,
            address,
            decided_at: Instant::now(),
            items,
            may_overlap_attempts: self.settings.may_overlap_attempts,
            connect_timeout: Duration::from_micros(connect_timeout as u64),
            has_alternative: self.endpoints.in_service(dest) > 1,
            commands: receiver,
        };
        self.transport.start_call(call, self.inputs.clone());
    }

    pub(super) fn cancel(&mut self, id: MessageId, attempt: usize) {
        let call = self.in_flight.get(&(id, attempt)).and_then(|out| self.calls.get(&out.call));
        if let Some(call) = call {
            // If the channel is closed, the outcome is on its way.
            let _ = call.commands.try_send(CallCommand::Cancel(id, attempt));
        }
    }

    /// Forbids writing what is not yet written of the calls to the endpoints that `applies` selects.
    pub(super) fn defer_calls(&mut self, applies: impl Fn(&Endpoints, EndpointId) -> bool) {
        for call in self.calls.values_mut() {
            if !call.is_deferred && applies(&self.endpoints, call.endpoint) {
                call.is_deferred = true;
                // If the channel is closed, the outcome is on its way.
                let _ = call.commands.try_send(CallCommand::Defer);
            }
        }
    }

    pub(super) fn call_update(&mut self, now: Micros, update: CallUpdate) {
        if update.ended.iter().any(|end| end.wait.is_some()) {
            self.defer_calls_to_destination(update.endpoint);
        }
        for ended in update.ended {
            self.attempt_ended(now, update.endpoint, ended);
        }
    }

    /// Forbids writing what is not yet written of the calls to the destination of an endpoint: a wait applies
    /// to all its endpoints.
    pub(super) fn defer_calls_to_destination(&mut self, endpoint: EndpointId) {
        let dest = self.endpoints.get(endpoint).map(|endpoint| endpoint.dest);
        self.defer_calls(|endpoints, id| endpoints.get(id).map(|endpoint| endpoint.dest) == dest);
    }

    pub(super) fn attempt_ended(&mut self, now: Micros, endpoint: EndpointId, ended: AttemptEnd) {
        let AttemptEnd { id, attempt, outcome, finished, is_provisional, report, wait } = ended;
        let Some(out) = self.in_flight.remove(&(id, attempt)) else { return };
        let mut is_late = false;
        if let Some(call) = self.calls.get_mut(&out.call) {
            is_late = now + CLIENT_TIMEOUT_US >= call.expires_at;
            call.remaining -= 1;
            if call.remaining == 0 {
                let endpoint = call.endpoint;
                self.calls.remove(&out.call);
                if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                    endpoint.calls_in_flight -= 1;
                }
            }
        }
        let (sent_at, elapsed) = (out.sent_at, now - out.sent_at);
        let name = || self.messages.get(&id).map(|m| &*m.accepted.id);
        tracing::debug!(
            id = name(),
            attempt,
            ?outcome,
            provisional = is_provisional,
            took = elapsed,
            ?report,
            wait,
            "ended"
        );
        if finished && let Some(message) = self.messages.remove(&id) {
            if outcome == Outcome::Delivered && is_late {
                // An answer this close to the call's expiry may have been given after the client's time was
                // up, when it no longer counts. A notice for a message that has ended does no harm.
                self.ids.remove(&message.accepted.id);
                self.enqueue_notice(message.accepted, NoticeEnd::GivenUp);
            } else if is_provisional {
                self.provisional.insert(id, attempt, Provisional { message, sent_at });
            } else {
                self.ids.remove(&message.accepted.id);
                self.close(message, outcome);
            }
        } else if let Some(message) = self.messages.get_mut(&id) {
            let zone = self.endpoints.get(endpoint).and_then(|e| index_of(&self.names.zones, &e.zone));
            let record = message.attempt_ended(attempt, outcome, sent_at, zone);
            self.journal.enqueue(&record, unix_now_ms());
        }
        let finished = !self.messages.contains_key(&id);
        let ended = EndedAttempt { id, attempt, outcome, elapsed, finished, report, wait };
        self.balancer.on_event(now, Event::AttemptEnded(ended), &mut self.actions);
    }

    /// Records that a message is finished by an attempt with this outcome.
    pub(super) fn close(&mut self, message: Message, outcome: Outcome) {
        let Accepted { id, deadline, .. } = message.accepted;
        let end = if outcome == Outcome::Delivered { End::Delivered } else { End::Failed };
        self.journal.enqueue(&Record::Closed(id, end, deadline), unix_now_ms());
    }
}
