//! The rules, each read from the ledger on its own.

use crate::judge::{Breach, Effect, Rule, RuleParams};
use crate::ledger::{CallEnd, ClientOutcome, Entry, Event, ForwarderState, Standing};
use std::collections::BTreeMap;

/// One message, by its id.
#[derive(Debug)]
struct Message<'a> {
    class: Effect,
    order_key: Option<&'a str>,
    sent: f64,
    /// Its time is up then.
    up: f64,
    heard: Vec<(f64, ClientOutcome)>,
    calls: Vec<u64>,
    /// Time, handed back, acknowledged.
    notices: Vec<(f64, bool, bool)>,
}

impl Message<'_> {
    /// When it was taken on.
    fn taken_on(&self) -> Option<f64> {
        let taken = |heard: &&(f64, ClientOutcome)| matches!(heard.1, ClientOutcome::Status(200 | 202));
        self.heard.iter().find(taken).map(|(at, _)| *at)
    }
}

/// What an answer says of each message in a call.
type Ends = [(String, CallEnd)];

/// One call.
#[derive(Debug)]
struct Call<'a> {
    called: f64,
    ids: &'a [String],
    /// When and how it ended: by an answer, or with none.
    end: Option<(f64, Option<&'a Ends>)>,
}

impl Call<'_> {
    /// What its end says of a message; nothing if it has not ended by then.
    fn says(&self, id: &str, by: f64) -> Option<CallEnd> {
        let (_, answer) = self.end.filter(|(at, _)| *at <= by)?;
        // Without an answer, or unnamed by it, it may have run.
        let named = answer.and_then(|ends| ends.iter().find(|(name, _)| name == id));
        Some(named.map_or(CallEnd::MayHaveRun, |(_, end)| *end))
    }

    /// Whether it may have run by then, as far as anybody can know.
    fn may_have_run(&self, id: &str, by: f64) -> bool {
        !matches!(self.says(id, by), Some(CallEnd::NeverRan | CallEnd::Over))
    }
}

/// The ledger, by message and by call.
pub(crate) struct View<'a> {
    terms: &'a RuleParams,
    ledger: &'a [Entry],
    messages: BTreeMap<&'a str, Message<'a>>,
    calls: BTreeMap<u64, Call<'a>>,
    /// Restarts: from when, and until it was ready again.
    restarts: Vec<(f64, f64)>,
}

impl<'a> View<'a> {
    pub(crate) fn new(terms: &'a RuleParams, ledger: &'a [Entry]) -> Self {
        let mut view =
            View { terms, ledger, messages: BTreeMap::new(), calls: BTreeMap::new(), restarts: Vec::new() };
        for Entry { at, event } in ledger {
            view.take(*at, event);
        }
        view
    }

    fn take(&mut self, at: f64, event: &'a Event) {
        match event {
            Event::Sent { id, class, deadline_ms, order_key, .. } => {
                let class = self.terms.classes.get(class).copied().unwrap_or(Effect::Unsafe);
                // A request sent once more is the same message.
                self.messages.entry(id).or_insert_with(|| Message {
                    class,
                    order_key: order_key.as_deref(),
                    sent: at,
                    up: at + deadline_ms,
                    heard: Vec::new(),
                    calls: Vec::new(),
                    notices: Vec::new(),
                });
            }
            Event::ClientDone { id, outcome: answer } => {
                self.messages.get_mut(id.as_str()).into_iter().for_each(|m| m.heard.push((at, *answer)));
            }
            Event::Called { call, ids, .. } => {
                self.calls.insert(*call, Call { called: at, ids, end: None });
                for id in ids {
                    self.messages.get_mut(id.as_str()).into_iter().for_each(|m| m.calls.push(*call));
                }
            }
            Event::Answered { call, ends, .. } => self.end(*call, at, Some(ends)),
            Event::Broke { call } => self.end(*call, at, None),
            Event::Notice { id, handed_back, acknowledged } => {
                let notice = (at, *handed_back, *acknowledged);
                self.messages.get_mut(id.as_str()).into_iter().for_each(|m| m.notices.push(notice));
            }
            Event::Forwarder(ForwarderState::Ending) => {
                if self.restarts.last().is_none_or(|(_, ready)| *ready < f64::INFINITY) {
                    self.restarts.push((at, f64::INFINITY));
                }
            }
            Event::Forwarder(ForwarderState::Ready) => {
                self.restarts.last_mut().into_iter().for_each(|r| r.1 = r.1.min(at));
            }
            Event::Began { .. } | Event::Listed { .. } | Event::Outage { .. } => {}
        }
    }

    fn end(&mut self, call: u64, at: f64, answer: Option<&'a Ends>) {
        if let Some(call) = self.calls.get_mut(&call)
            && call.end.is_none()
        {
            call.end = Some((at, answer));
        }
    }

    /// The platform ends a call when the time of the first message in it is up.
    fn call_up(&self, call: &Call) -> f64 {
        let ups = call.ids.iter().filter_map(|id| self.messages.get(id.as_str())).map(|m| m.up);
        ups.fold(f64::INFINITY, f64::min)
    }

    /// When nothing more was owed for a message.
    fn ended(&self, id: &str, m: &Message) -> Option<f64> {
        let by_call = m.calls.iter().filter_map(|n| {
            let call = &self.calls[n];
            let (at, _) = call.end?;
            match call.says(id, at)? {
                CallEnd::Delivered if at <= self.call_up(call) => Some(at),
                CallEnd::Over => Some(at),
                _ => None,
            }
        });
        let by_notice = m.notices.iter().filter(|n| n.2).map(|n| n.0);
        by_call.chain(by_notice).min_by(f64::total_cmp)
    }
}

/// Whoever is taken on gets its end in time.
pub(crate) fn lost(view: &View, breaches: &mut Vec<Breach>) {
    let terms = view.terms;
    for (id, m) in &view.messages {
        // A connection that ends with nothing said and nothing sent on has failed its client, no more.
        // That the forwarder died is seen a little later than by its clients.
        let restarting = |at: f64| {
            view.restarts.iter().any(|(from, to)| (*from - terms.clock_slack_ms..=*to).contains(&at))
        };
        let broken = m
            .heard
            .iter()
            .find(|(_, heard)| *heard == ClientOutcome::Broken)
            .filter(|(at, _)| m.taken_on().is_none() && !m.calls.is_empty() && !restarting(*at));
        if let Some((at, _)) = broken {
            let text = format!("{id}: its client's connection ended with no answer, and it was called");
            breaches.push(Breach { rule: Rule::Lost, at: *at, text });
        }
        if m.taken_on().is_none() {
            continue;
        }
        let mut due = m.up + terms.notice_within_ms;
        for (from, ready) in &view.restarts {
            if *from <= due {
                due = due.max(ready + terms.restart_grace_ms);
            }
        }
        match view.ended(id, m) {
            Some(at) if at <= due + terms.clock_slack_ms => {}
            Some(at) => breaches.push(Breach {
                rule: Rule::Lost,
                at: due,
                text: format!("{id}: its end came {:.0} ms late", at - due),
            }),
            None => {
                let text = format!("{id}: taken on, and no end of it ({} calls)", m.calls.len());
                breaches.push(Breach { rule: Rule::Lost, at: due, text });
            }
        }
    }
}

/// No attempt, and no word that another try does no harm, beyond what the class allows.
pub(crate) fn twice(view: &View, breaches: &mut Vec<Breach>) {
    let slack = view.terms.clock_slack_ms;
    for (id, m) in &view.messages {
        let mut breach = |at, text: String| {
            breaches.push(Breach { rule: Rule::Twice, at, text: format!("{id}: {text}") });
        };
        for (n, later) in m.calls.iter().enumerate() {
            let later = &view.calls[later];
            let earlier = m.calls[..n].iter().map(|call| &view.calls[call]);
            // One that has been answered just now may cross the next one's start.
            let risk = earlier.filter(|call| call.may_have_run(id, later.called)).map(|call| call.called);
            let Some(first) = risk.min_by(f64::total_cmp) else { continue };
            match m.class {
                Effect::Safe => {}
                Effect::Unsafe => breach(later.called, "called again although it may have run".into()),
                Effect::Keyed(life) if later.called > first + life + slack => breach(
                    later.called,
                    format!("called again {:.0} ms after it may have run", later.called - first),
                ),
                Effect::Keyed(_) => {}
            }
        }
        let ran = |by: f64| {
            let calls = m.calls.iter().map(|call| &view.calls[call]);
            calls.filter(|call| call.called <= by).any(|call| call.may_have_run(id, by))
        };
        if m.class == Effect::Unsafe {
            for (at, heard) in &m.heard {
                if matches!(heard, ClientOutcome::Status(429 | 503)) && ran(*at) {
                    breach(*at, "refused although it may have run".into());
                }
            }
            for (at, ..) in m.notices.iter().filter(|n| n.1 && ran(n.0)) {
                breach(*at, "handed back although it may have run".into());
            }
        }
        let told = m.notices.iter().filter(|n| n.2).map(|n| n.0).min_by(f64::total_cmp);
        if let Some(told) = told {
            for call in m.calls.iter().map(|call| &view.calls[call]) {
                if call.called > told + slack {
                    breach(call.called, "called after its end was told".into());
                }
            }
        }
    }
}

/// Nothing new to an endpoint that drains or is gone.
pub(crate) fn drain(view: &View, breaches: &mut Vec<Breach>) {
    let mut told: BTreeMap<&str, f64> = BTreeMap::new();
    let late = view.terms.drain_grace_ms + view.terms.clock_slack_ms;
    for Entry { at, event } in view.ledger {
        match event {
            Event::Listed { uid, standing: Standing::InService } => drop(told.remove(uid.as_str())),
            Event::Listed { uid, .. } => drop(told.entry(uid).or_insert(*at)),
            Event::Began { uid, .. } => {
                if let Some(since) = told.get(uid.as_str()).filter(|since| *at > **since + late) {
                    let text = format!("{uid}: called {:.0} ms after it was told to end", at - since);
                    breaches.push(Breach { rule: Rule::Drain, at: *at, text });
                }
            }
            _ => {}
        }
    }
}

/// What reaches a returning destination within any span stays under what it can bear.
pub(crate) fn fail_back(view: &View, breaches: &mut Vec<Breach>) {
    let terms = view.terms;
    let mut calls: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for Entry { at, event } in view.ledger {
        if let Event::Called { dest, .. } = event {
            calls.entry(*dest).or_default().push(*at);
        }
    }
    // Whether the forwarder has seen the present outage of each destination.
    let mut down: BTreeMap<u64, (f64, bool)> = BTreeMap::new();
    for Entry { at, event } in view.ledger {
        match event {
            Event::Outage { dest, back: false, .. } => drop(down.insert(*dest, (*at, false))),
            Event::Outage { dest, back: true, capacity } => {
                let Some((since, _)) = down.remove(dest) else { continue };
                let calls = calls.get(dest).map(Vec::as_slice).unwrap_or_default();
                // A forwarder that called nobody there during the outage has seen nothing of it; nor has one
                // that started since.
                let seen = calls.iter().any(|call| (since..*at).contains(call));
                let fresh =
                    view.restarts.iter().any(|(from, _)| (since..at + terms.warm_up_ms).contains(from));
                if !seen || fresh {
                    continue;
                }
                let bears = |from: f64, to: f64| {
                    // Calls: what it can do, over a span, with the middle for the whole of it.
                    let middle = ((from + to) / 2.0 - at).clamp(0.0, terms.warm_up_ms) / terms.warm_up_ms;
                    let part = terms.start_capacity + (1.0 - terms.start_capacity) * middle;
                    terms.overload_multiple * part * capacity * (to - from) / 1000.0
                };
                let cold: Vec<f64> =
                    calls.iter().copied().filter(|c| (*at..at + terms.warm_up_ms).contains(c)).collect();
                for (n, first) in cold.iter().enumerate() {
                    let end = first + terms.overload_for_ms;
                    let came = cold[n..].iter().take_while(|c| **c < end).count() as f64;
                    let bears = bears(*first, end);
                    // Chance: a few calls more than a small number.
                    if came > bears + 2.0 + 2.0 * bears.sqrt() {
                        let text = format!(
                            "{dest}: {came} calls in {:.0} ms, it bears {bears:.1}",
                            terms.overload_for_ms
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

/// Messages of one key go singly, in the order taken on.
pub(crate) fn order(view: &View, breaches: &mut Vec<Breach>) {
    let mut by_key: BTreeMap<&str, Vec<(&str, &Message)>> = BTreeMap::new();
    for (id, m) in &view.messages {
        if let (Some(key), Some(_)) = (m.order_key, m.taken_on()) {
            by_key.entry(key).or_default().push((id, m));
        }
    }
    for list in by_key.values_mut() {
        list.sort_by(|a, b| a.1.sent.total_cmp(&b.1.sent));
        for (n, (id, m)) in list.iter().enumerate() {
            for call in m.calls.iter().map(|call| &view.calls[call]) {
                for (earlier, e) in &list[..n] {
                    let open = view.ended(earlier, e).is_none_or(|end| end > call.called);
                    let rests = e.calls.iter().map(|c| &view.calls[c]).any(|c| match c.end {
                        Some((at, None)) => {
                            call.called < at + view.terms.order_gap_ms && c.called < call.called
                        }
                        Some((at, _)) => c.called < call.called && at > call.called,
                        None => c.called < call.called,
                    });
                    if open || rests {
                        let text = format!("{id}: called before {earlier} was over");
                        breaches.push(Breach { rule: Rule::Order, at: call.called, text });
                    }
                }
            }
        }
    }
}

/// Nothing goes to a destination while a wait that it told lasts.
pub(crate) fn wait(view: &View, breaches: &mut Vec<Breach>) {
    let terms = view.terms;
    let mut dests: BTreeMap<u64, u64> = BTreeMap::new();
    // By destination: the waits that hold, from when on nothing may come and until when.
    let mut waits: BTreeMap<u64, Vec<(f64, f64)>> = BTreeMap::new();
    for Entry { at, event } in view.ledger {
        match event {
            Event::Called { call, dest, .. } => drop(dests.insert(*call, *dest)),
            Event::Answered { call, wait_ms: Some(wait), .. } => {
                let Some(dest) = dests.get(call) else { continue };
                let list = waits.entry(*dest).or_default();
                list.retain(|(_, until)| until > at);
                list.push((at + terms.wait_grace_ms + terms.clock_slack_ms, at + wait));
            }
            // A restart ends it.
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
