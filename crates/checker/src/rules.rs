//! The six rules, each checked on its own against the ledger.

use crate::ledger::{CallEnd, ClientOutcome, Entry, Event, ForwarderState, Standing};
use crate::rule::{Breach, Effect, Rule, RuleParams};
use std::collections::BTreeMap;

/// A notice on a message.
#[derive(Debug)]
struct Notice {
    at: f64,
    handed_back: bool,
    acknowledged: bool,
}

/// What the ledger holds on one message.
#[derive(Debug)]
struct Message<'a> {
    effect: Effect,
    order_key: Option<&'a str>,
    sent: f64,
    /// Time of the deadline (ms since the start of the run).
    deadline: f64,
    outcomes: Vec<(f64, ClientOutcome)>,
    /// Numbers of the calls that contained the message.
    calls: Vec<u64>,
    notices: Vec<Notice>,
}

impl Message<'_> {
    /// Returns when the message was accepted.
    fn accepted_at(&self) -> Option<f64> {
        let accepts = |outcome: &&(f64, ClientOutcome)| matches!(outcome.1, ClientOutcome::Status(200 | 202));
        self.outcomes.iter().find(accepts).map(|(at, _)| *at)
    }
}

/// What an answer says of each message in a call.
type Ends = [(String, CallEnd)];

/// What the ledger holds on one call.
#[derive(Debug)]
struct Call<'a> {
    /// When the endpoint had read the call.
    called: f64,
    ids: &'a [String],
    /// When the call ended, and its answer if there was one.
    end: Option<(f64, Option<&'a Ends>)>,
}

impl Call<'_> {
    /// Returns what the end of the call says of a message, or `None` if the call had not ended at time `by`.
    fn end_of(&self, id: &str, by: f64) -> Option<CallEnd> {
        let (_, answer) = self.end.filter(|(at, _)| *at <= by)?;
        // Without an answer, or with one that does not name it, the message may have run.
        let named = answer.and_then(|ends| ends.iter().find(|(name, _)| name == id));
        Some(named.map_or(CallEnd::MayHaveRun, |(_, end)| *end))
    }

    /// Returns whether a message may have run, as far as could be known at time `by`.
    fn may_have_run(&self, id: &str, by: f64) -> bool {
        !matches!(self.end_of(id, by), Some(CallEnd::NeverRan | CallEnd::Over))
    }
}

/// A restart of the forwarder.
struct Restart {
    /// When the forwarder began to end.
    from: f64,
    /// When the forwarder was ready again; infinite if it was not.
    ready: f64,
}

/// The ledger, indexed by message and by call.
pub(crate) struct LedgerIndex<'a> {
    params: &'a RuleParams,
    ledger: &'a [Entry],
    messages: BTreeMap<&'a str, Message<'a>>,
    calls: BTreeMap<u64, Call<'a>>,
    restarts: Vec<Restart>,
}

impl<'a> LedgerIndex<'a> {
    pub(crate) fn new(params: &'a RuleParams, ledger: &'a [Entry]) -> Self {
        let (messages, calls, restarts) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let mut index = LedgerIndex { params, ledger, messages, calls, restarts };
        for Entry { at, event } in ledger {
            index.add(*at, event);
        }
        index
    }

    fn add(&mut self, at: f64, event: &'a Event) {
        match event {
            Event::Sent { id, class, deadline_ms, order_key, .. } => {
                let effect = self.params.classes.get(class).copied().unwrap_or(Effect::Unsafe);
                // A request that is sent again is the same message.
                self.messages.entry(id).or_insert_with(|| Message {
                    effect,
                    order_key: order_key.as_deref(),
                    sent: at,
                    deadline: at + deadline_ms,
                    outcomes: Vec::new(),
                    calls: Vec::new(),
                    notices: Vec::new(),
                });
            }
            Event::ClientDone { id, outcome } => {
                self.messages.get_mut(id.as_str()).into_iter().for_each(|m| m.outcomes.push((at, *outcome)));
            }
            Event::Called { call, ids, .. } => {
                self.calls.insert(*call, Call { called: at, ids, end: None });
                for id in ids {
                    self.messages.get_mut(id.as_str()).into_iter().for_each(|m| m.calls.push(*call));
                }
            }
            Event::Answered { call, ends, .. } => self.end_call(*call, at, Some(ends)),
            Event::Broke { call } => self.end_call(*call, at, None),
            Event::Notice { id, handed_back, acknowledged } => {
                if let Some(message) = self.messages.get_mut(id.as_str()) {
                    let (handed_back, acknowledged) = (*handed_back, *acknowledged);
                    message.notices.push(Notice { at, handed_back, acknowledged });
                }
            }
            Event::Forwarder(ForwarderState::Ending) => {
                if self.restarts.last().is_none_or(|restart| restart.ready < f64::INFINITY) {
                    self.restarts.push(Restart { from: at, ready: f64::INFINITY });
                }
            }
            Event::Forwarder(ForwarderState::Ready) => {
                self.restarts.last_mut().into_iter().for_each(|r| r.ready = r.ready.min(at));
            }
            Event::Began { .. } | Event::Listed { .. } | Event::Outage { .. } => {}
        }
    }

    fn end_call(&mut self, call: u64, at: f64, answer: Option<&'a Ends>) {
        if let Some(call) = self.calls.get_mut(&call)
            && call.end.is_none()
        {
            call.end = Some((at, answer));
        }
    }

    /// Returns when the platform ends a call: at the earliest deadline of its messages.
    fn call_deadline(&self, call: &Call) -> f64 {
        let messages = call.ids.iter().filter_map(|id| self.messages.get(id.as_str()));
        messages.map(|m| m.deadline).fold(f64::INFINITY, f64::min)
    }

    /// Returns from when on nothing more was owed for a message.
    fn ended_at(&self, id: &str, m: &Message) -> Option<f64> {
        let by_call = m.calls.iter().filter_map(|n| {
            let call = &self.calls[n];
            let (at, _) = call.end?;
            match call.end_of(id, at)? {
                CallEnd::Delivered if at <= self.call_deadline(call) => Some(at),
                CallEnd::Over => Some(at),
                _ => None,
            }
        });
        let by_notice = m.notices.iter().filter(|n| n.acknowledged).map(|n| n.at);
        by_call.chain(by_notice).min_by(f64::total_cmp)
    }
}

/// Checks that every accepted message gets its end in time.
pub(crate) fn lost(index: &LedgerIndex, breaches: &mut Vec<Breach>) {
    let params = index.params;
    for (id, m) in &index.messages {
        // A connection that ends without an answer is a failure that the client sees, and no more, if the
        // message was not called. Clients may see the forwarder's death a little earlier than the ledger
        // does.
        let restarting = |at: f64| {
            let during = |r: &Restart| (r.from - params.clock_slack_ms..=r.ready).contains(&at);
            index.restarts.iter().any(during)
        };
        let broken = m
            .outcomes
            .iter()
            .find(|(_, outcome)| *outcome == ClientOutcome::Broken)
            .filter(|(at, _)| m.accepted_at().is_none() && !m.calls.is_empty() && !restarting(*at));
        if let Some((at, _)) = broken {
            let text =
                format!("{id}: the client's connection ended without an answer after the message was called");
            breaches.push(Breach { rule: Rule::Lost, at: *at, text });
        }
        if m.accepted_at().is_none() {
            continue;
        }
        let mut due = m.deadline + params.notice_within_ms;
        for restart in &index.restarts {
            if restart.from <= due {
                due = due.max(restart.ready + params.restart_grace_ms);
            }
        }
        match index.ended_at(id, m) {
            Some(at) if at <= due + params.clock_slack_ms => {}
            Some(at) => breaches.push(Breach {
                rule: Rule::Lost,
                at: due,
                text: format!("{id}: its end came {:.0} ms late", at - due),
            }),
            None => {
                let text = format!("{id}: accepted, but never ended ({} calls)", m.calls.len());
                breaches.push(Breach { rule: Rule::Lost, at: due, text });
            }
        }
    }
}

/// Checks that no message is called, refused or handed back where its class does not allow it after an
/// attempt that may have run, and that none is called after its final notice.
pub(crate) fn twice(index: &LedgerIndex, breaches: &mut Vec<Breach>) {
    let slack = index.params.clock_slack_ms;
    for (id, m) in &index.messages {
        let mut breach = |at, text: String| {
            breaches.push(Breach { rule: Rule::Twice, at, text: format!("{id}: {text}") });
        };
        for (n, later) in m.calls.iter().enumerate() {
            let later = &index.calls[later];
            let earlier = m.calls[..n].iter().map(|call| &index.calls[call]);
            // An answer that has just been written may cross the start of the next call.
            let unresolved =
                earlier.filter(|call| call.may_have_run(id, later.called)).map(|call| call.called);
            let Some(first) = unresolved.min_by(f64::total_cmp) else { continue };
            match m.effect {
                Effect::Safe => {}
                Effect::Unsafe => breach(later.called, "called again although it may have run".into()),
                Effect::Keyed(key_ttl) if later.called > first + key_ttl + slack => breach(
                    later.called,
                    format!("called again {:.0} ms after it may have run", later.called - first),
                ),
                Effect::Keyed(_) => {}
            }
        }
        let may_have_run = |by: f64| {
            let calls = m.calls.iter().map(|call| &index.calls[call]);
            calls.filter(|call| call.called <= by).any(|call| call.may_have_run(id, by))
        };
        if m.effect == Effect::Unsafe {
            for (at, outcome) in &m.outcomes {
                if matches!(outcome, ClientOutcome::Status(429 | 503)) && may_have_run(*at) {
                    breach(*at, "refused although it may have run".into());
                }
            }
            for notice in m.notices.iter().filter(|n| n.handed_back && may_have_run(n.at)) {
                breach(notice.at, "handed back although it may have run".into());
            }
        }
        let final_notice = m.notices.iter().filter(|n| n.acknowledged).map(|n| n.at).min_by(f64::total_cmp);
        if let Some(notice) = final_notice {
            for call in m.calls.iter().map(|call| &index.calls[call]) {
                if call.called > notice + slack {
                    breach(call.called, "called after its notice was acknowledged".into());
                }
            }
        }
    }
}

/// Checks that no call begins at an endpoint that drains or is gone.
pub(crate) fn drain(index: &LedgerIndex, breaches: &mut Vec<Breach>) {
    let mut draining: BTreeMap<&str, f64> = BTreeMap::new();
    let grace = index.params.drain_grace_ms + index.params.clock_slack_ms;
    for Entry { at, event } in index.ledger {
        match event {
            Event::Listed { uid, standing: Standing::InService } => drop(draining.remove(uid.as_str())),
            Event::Listed { uid, .. } => drop(draining.entry(uid).or_insert(*at)),
            Event::Began { uid, .. } => {
                if let Some(since) = draining.get(uid.as_str()).filter(|since| *at > **since + grace) {
                    let text = format!("{uid}: called {:.0} ms after it was listed as draining", at - since);
                    breaches.push(Breach { rule: Rule::Drain, at: *at, text });
                }
            }
            _ => {}
        }
    }
}

/// Checks that the calls that reach a returning destination in any period of `overload_for_ms` stay under
/// what overloads it.
pub(crate) fn fail_back(index: &LedgerIndex, breaches: &mut Vec<Breach>) {
    let params = index.params;
    let mut calls: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for Entry { at, event } in index.ledger {
        if let Event::Called { dest, .. } = event {
            calls.entry(*dest).or_default().push(*at);
        }
    }
    // The start of the present outage of each destination.
    let mut down: BTreeMap<u64, f64> = BTreeMap::new();
    for Entry { at, event } in index.ledger {
        match event {
            Event::Outage { dest, back: false, .. } => drop(down.insert(*dest, *at)),
            Event::Outage { dest, back: true, capacity } => {
                let Some(since) = down.remove(dest) else { continue };
                let calls = calls.get(dest).map(Vec::as_slice).unwrap_or_default();
                // A forwarder that made no call during the outage cannot know of it; nor can one that has
                // started since.
                let observed = calls.iter().any(|call| (since..*at).contains(call));
                let restarted =
                    index.restarts.iter().any(|r| (since..at + params.warm_up_ms).contains(&r.from));
                if !observed || restarted {
                    continue;
                }
                // The number of calls that overload the destination in a period, by its capacity in the
                // middle of the period.
                let max_calls = |from: f64, to: f64| {
                    let warm = ((from + to) / 2.0 - at).clamp(0.0, params.warm_up_ms) / params.warm_up_ms;
                    let share = params.start_capacity + (1.0 - params.start_capacity) * warm;
                    params.overload_multiple * share * capacity * (to - from) / 1000.0
                };
                let warm_up: Vec<f64> =
                    calls.iter().copied().filter(|c| (*at..at + params.warm_up_ms).contains(c)).collect();
                for (n, first) in warm_up.iter().enumerate() {
                    let end = first + params.overload_for_ms;
                    let count = warm_up[n..].iter().take_while(|c| **c < end).count() as f64;
                    let max = max_calls(*first, end);
                    // Random variation: small numbers may be exceeded by a few calls.
                    if count > max + 2.0 + 2.0 * max.sqrt() {
                        let text = format!(
                            "{dest}: {count} calls in {:.0} ms of its warm-up, {max:.1} are allowed",
                            params.overload_for_ms
                        );
                        breaches.push(Breach { rule: Rule::FailBack, at: *first, text });
                        break;
                    }
                }
            }
            _ => {}
        }
    }
}

/// Checks that messages of one order key are called one at a time, in the order in which they were sent.
pub(crate) fn order(index: &LedgerIndex, breaches: &mut Vec<Breach>) {
    let mut by_key: BTreeMap<&str, Vec<(&str, &Message)>> = BTreeMap::new();
    for (id, m) in &index.messages {
        if let (Some(key), Some(_)) = (m.order_key, m.accepted_at()) {
            by_key.entry(key).or_default().push((id, m));
        }
    }
    for list in by_key.values_mut() {
        list.sort_by(|a, b| a.1.sent.total_cmp(&b.1.sent));
        for (n, (id, m)) in list.iter().enumerate() {
            for call in m.calls.iter().map(|call| &index.calls[call]) {
                for (earlier_id, earlier) in &list[..n] {
                    let open = index.ended_at(earlier_id, earlier).is_none_or(|end| end > call.called);
                    let earlier_calls = earlier.calls.iter().map(|c| &index.calls[c]);
                    let may_still_run =
                        earlier_calls.filter(|c| c.called < call.called).any(|c| match c.end {
                            Some((at, None)) => call.called < at + index.params.order_gap_ms,
                            Some((at, _)) => at > call.called,
                            None => true,
                        });
                    if open || may_still_run {
                        let text = format!("{id}: called before {earlier_id} was over");
                        breaches.push(Breach { rule: Rule::Order, at: call.called, text });
                    }
                }
            }
        }
    }
}

/// Checks that no call begins at a destination during a wait that it returned.
pub(crate) fn wait(index: &LedgerIndex, breaches: &mut Vec<Breach>) {
    let params = index.params;
    let mut dests: BTreeMap<u64, u64> = BTreeMap::new();
    // By destination: the periods of the present waits in which no call may begin.
    let mut waits: BTreeMap<u64, Vec<(f64, f64)>> = BTreeMap::new();
    for Entry { at, event } in index.ledger {
        match event {
            Event::Called { call, dest, .. } => drop(dests.insert(*call, *dest)),
            Event::Answered { call, wait_ms: Some(wait), .. } => {
                let Some(dest) = dests.get(call) else { continue };
                let list = waits.entry(*dest).or_default();
                list.retain(|(_, until)| until > at);
                list.push((at + params.wait_grace_ms + params.clock_slack_ms, at + wait));
            }
            // Waits are not kept over a restart.
            Event::Forwarder(ForwarderState::Ending) => waits.clear(),
            Event::Began { dest, uid, .. } => {
                let list = waits.get(dest).map(Vec::as_slice).unwrap_or_default();
                if let Some((_, until)) = list.iter().find(|(from, until)| at > from && at < until) {
                    let text =
                        format!("{dest} ({uid}): called {:.0} ms before its wait was over", until - at);
                    breaches.push(Breach { rule: Rule::Wait, at: *at, text });
                }
            }
            _ => {}
        }
    }
}
