//! The simulator's wire: parsing, translation to [`yarrowhill_policy::api`], and hosting of many instances.
//! Nothing is decided here.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::*;
use yarrowhill_settings::{
    FieldError, Fields, MAX_TIME_US, Names, from_fields, index_of, parse_limit_report,
};

/// Why serving the wire ended before its end of input.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A malformed line.
    #[error(transparent)]
    Wire(#[from] FieldError),
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The decision code panicked; the wire has been told.
    #[error("the decision code panicked")]
    Panicked,
}

struct Held {
    wire_id: String,
    out: usize,
    sent: usize,
    over: bool,
}

/// One sender and the names it goes by on the wire.
struct Instance {
    balancer: Balancer,
    names: Names,
    ids: HashMap<String, MessageId>,
    held: BTreeMap<MessageId, Held>,
    next: MessageId,
    actions: Vec<Action>,
}

impl Instance {
    /// Forgets a message once it is over and no attempt of it is out.
    fn settle(&mut self, id: MessageId) {
        if let Some(h) = self.held.get(&id)
            && h.over
            && h.out == 0
        {
            self.ids.remove(&h.wire_id);
            self.held.remove(&id);
        }
    }

    fn close(&mut self, id: MessageId) {
        if let Some(h) = self.held.get_mut(&id) {
            h.over = true;
        }
        self.settle(id);
    }

    fn report(&self, f: &Fields) -> Result<Option<LimitReport>, FieldError> {
        let Some(row) = f.get("healthInfo").filter(|r| !r.is_empty() && *r != "-") else { return Ok(None) };
        let values = self.names.report_fields.iter().map(String::as_str).zip(row.split(','));
        parse_limit_report(values)
            .map(Some)
            .ok_or_else(|| f.error("healthInfo", format!("cannot read {row:?}")))
    }

    fn write(&mut self, number: u64, out: &mut String) {
        for action in std::mem::take(&mut self.actions) {
            let id = match action {
                Action::Send { id, .. }
                | Action::Refuse { id, .. }
                | Action::Fail { id }
                | Action::Cancel { id, .. } => id,
                _ => MessageId::MAX,
            };
            let wire_id = self.held.get(&id).map(|h| h.wire_id.clone()).unwrap_or_default();
            let done = match action {
                Action::Send { endpoint, timeout, .. } => {
                    if let Some(h) = self.held.get_mut(&id) {
                        h.out += 1;
                        h.sent += 1;
                    }
                    let allow = ms(timeout);
                    write!(out, "PASS_ON forwarder={number} ref={wire_id} target={endpoint} allowFor={allow}")
                }
                Action::Refuse { wait, .. } => {
                    write!(out, "PUSH_BACK forwarder={number} ref={wire_id} pause={}", ms(wait))
                }
                Action::Fail { .. } => write!(out, "GIVE_UP forwarder={number} ref={wire_id}"),
                Action::Cancel { attempt, .. } => {
                    write!(out, "CANCEL forwarder={number} ref={wire_id} go={attempt}")
                }
                Action::CloseIdle { endpoint } => {
                    write!(out, "DISCONNECT forwarder={number} target={endpoint}")
                }
                Action::Wake { at } => {
                    write!(out, "SET_ALARM forwarder={number} time={} handle=0", ms(at))
                }
                Action::Subscribe => write!(out, "SUBSCRIBE forwarder={number} want=1"),
            };
            done.and_then(|()| out.write_char('\n')).expect("writing to a string does not fail");
            if matches!(action, Action::Refuse { .. } | Action::Fail { .. }) {
                self.close(id);
            }
        }
    }
}

fn ms(t: Micros) -> f64 {
    t as f64 / 1000.0
}

fn outcome(f: &Fields, field: &str) -> Result<Outcome, FieldError> {
    Ok(match f.required_int(field)? {
        0 => Outcome::Delivered,
        255 => Outcome::Error,
        254 => Outcome::Full {
            wait: f
                .number("detail")?
                .filter(|w| *w > 0.0)
                .map(|w| (w.min(MAX_TIME_US / 1e3) * 1e3) as Micros),
        },
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        v => return Err(f.error(field, format!("unknown outcome {v}"))),
    })
}

/// A line of a catalog, before an instance has put its own numbers to the names.
struct Row {
    endpoint: EndpointId,
    dest: DestId,
    zone: String,
    kind: String,
    listing: Listing,
    weight: f64,
}

/// Hosts the instances of one process.
#[derive(Default)]
struct Host {
    now: Micros,
    instances: BTreeMap<u64, Instance>,
    sheets: BTreeMap<u64, Vec<Row>>,
    /// Sheet that `ROW` lines belong to and how many are still to come.
    reading: Option<(u64, u64)>,
    touched: Vec<u64>,
}

impl Host {
    fn event(&mut self, name: &str, f: &Fields) -> Result<(), FieldError> {
        match name {
            "CATALOG" => {
                let sheet = f.required_int("sheet")?;
                self.sheets.insert(sheet, Vec::new());
                self.reading = Some((sheet, f.required_int("entries")?));
                return Ok(());
            }
            "ROW" => return self.row(f),
            "BOOT" => return self.boot(f),
            "EXIT" => {
                let number = f.required_int("forwarder")?;
                self.instances.remove(&number);
                self.touched.retain(|n| *n != number);
                return Ok(());
            }
            "SUBMIT" | "UNDER_WAY" | "RETURNED" | "CLIENT_LEFT" | "RING" | "ENDPOINTS" => {}
            _ => return Ok(()),
        }
        let number = f.required_int("forwarder")?;
        let Some(inst) = self.instances.get_mut(&number) else {
            return Err(f.error("forwarder", format!("no instance {number}")));
        };
        if !self.touched.contains(&number) {
            self.touched.push(number);
        }
        let known = |inst: &Instance| -> Result<Option<MessageId>, FieldError> {
            Ok(inst.ids.get(f.required("ref")?).copied())
        };
        let mut closes = None;
        let event = match name {
            "SUBMIT" => {
                let class = f.required("priority")?;
                let class = index_of(&inst.names.classes, class)
                    .ok_or_else(|| f.error("priority", format!("unknown class {class:?}")))?;
                let event = Event::Submit(SubmittedMessage {
                    id: inst.next,
                    class,
                    tenant: f.get("clientGroup").and_then(|t| index_of(&inst.names.tenants, t)),
                    key: f.get("partitionKey").filter(|k| !k.is_empty()).map(str::to_owned),
                    expires_at: f.time("giveUpAt")?.ok_or_else(|| f.error("giveUpAt", "missing"))?,
                    dest: f.required_int("calledNode")?,
                    history: MessageHistory::default(),
                });
                let wire_id = f.required("ref")?.to_owned();
                inst.ids.insert(wire_id.clone(), inst.next);
                inst.held.insert(inst.next, Held { wire_id, out: 0, sent: 0, over: false });
                inst.next += 1;
                event
            }
            "RETURNED" => {
                let (attempt, outcome, finished) =
                    (f.required_int("go")? as usize, outcome(f, "how")?, f.flag("finished")?);
                let elapsed = f.time("elapsed")?.unwrap_or(0);
                let report = inst.report(f)?;
                let Some(id) = known(inst)? else { return Ok(()) };
                let held = inst.held.get_mut(&id).expect("ids and held go together");
                if attempt >= held.sent {
                    return Err(f.error("go", format!("attempt {attempt} was never sent")));
                }
                held.out = held.out.saturating_sub(1);
                held.over |= finished;
                closes = Some(id);
                Event::AttemptEnded(EndedAttempt {
                    id,
                    attempt,
                    outcome,
                    elapsed,
                    finished,
                    report,
                    wait: None,
                })
            }
            "UNDER_WAY" => match known(inst)? {
                Some(id) => Event::ResponseStarted { id },
                None => return Ok(()),
            },
            "CLIENT_LEFT" => match known(inst)? {
                Some(id) => {
                    inst.held.get_mut(&id).expect("ids and held go together").over = true;
                    closes = Some(id);
                    Event::ClientDisconnected { id }
                }
                None => return Ok(()),
            },
            "RING" => Event::Wake,
            _ => {
                let mode = f.required("mode")?;
                let entries = || -> Result<Vec<EndpointEntry>, FieldError> {
                    let sheet = f.required_int("sheet")?;
                    let rows = self
                        .sheets
                        .get(&sheet)
                        .ok_or_else(|| f.error("sheet", format!("no catalog numbered {sheet}")))?;
                    let number = |names: &[String], name: &str| index_of(names, name).unwrap_or(usize::MAX);
                    Ok(rows
                        .iter()
                        .map(|r| EndpointEntry {
                            endpoint: r.endpoint,
                            dest: r.dest,
                            zone: number(&inst.names.zones, &r.zone),
                            kind: number(&inst.names.kinds, &r.kind),
                            listing: r.listing,
                            weight: r.weight,
                        })
                        .collect())
                };
                match mode {
                    "patch" => Event::ListChanges(entries()?),
                    "whole" | "stale_copy" => Event::FullList(entries()?),
                    "broken" => Event::SubscriptionFailed,
                    v => return Err(f.error("mode", format!("unknown mode {v:?}"))),
                }
            }
        };
        inst.balancer.on_event(self.now, event, &mut inst.actions);
        if let Some(id) = closes {
            // Ids that the module answers in this turn stay until the reply is written.
            if !inst.actions.iter().any(|a| {
                matches!(a, Action::Refuse { id: i, .. } | Action::Fail { id: i } | Action::Send { id: i, .. }
                    if *i == id)
            }) {
                inst.settle(id);
            }
        }
        Ok(())
    }

    fn row(&mut self, f: &Fields) -> Result<(), FieldError> {
        let Some((sheet, left)) = self.reading.filter(|(_, left)| *left > 0) else {
            return Err(f.error("ROW", "no catalog has room for it"));
        };
        let row = Row {
            endpoint: f.required_int("target")?,
            dest: f.required_int("belongsTo")?,
            zone: f.get("site").unwrap_or_default().to_owned(),
            kind: f.get("flavor").unwrap_or_default().to_owned(),
            listing: match f.required("availability")? {
                "SERVING" => Listing::Serving,
                "DRAINING" => Listing::Draining,
                "DELETED" => Listing::Deleted,
                v => return Err(f.error("availability", format!("unknown state {v:?}"))),
            },
            weight: f.number("scale")?.unwrap_or(1.0),
        };
        self.sheets.entry(sheet).or_default().push(row);
        self.reading = Some((sheet, left - 1));
        Ok(())
    }

    fn boot(&mut self, f: &Fields) -> Result<(), FieldError> {
        let number = f.required_int("forwarder")?;
        let seed = f.required_int("nonce64")?;
        let conf = Fields { line: f.line, pairs: f.pairs.clone() };
        let (settings, names) = from_fields(conf)?;
        let instance = Instance {
            balancer: Balancer::new(settings, seed),
            names,
            ids: HashMap::new(),
            held: BTreeMap::new(),
            next: 0,
            actions: Vec::new(),
        };
        self.instances.insert(number, instance);
        if !self.touched.contains(&number) {
            self.touched.push(number);
        }
        Ok(())
    }

    fn reply(&mut self, out: &mut String) {
        for number in std::mem::take(&mut self.touched) {
            if let Some(inst) = self.instances.get_mut(&number) {
                inst.balancer.on_event(self.now, Event::TurnEnd, &mut inst.actions);
                inst.write(number, out);
            }
        }
    }
}

fn panic_text(cause: &(dyn std::any::Any + Send)) -> String {
    let text = cause
        .downcast_ref::<String>()
        .cloned()
        .or_else(|| cause.downcast_ref::<&str>().map(|s| (*s).to_owned()))
        .unwrap_or_else(|| "panic".to_owned());
    text.replace(['\n', '\r'], " ")
}

/// Serves the wire until the end of input.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), ServeError> {
    let mut host = Host::default();
    let mut in_frame = false;
    let mut last = 0;
    for (i, line) in input.lines().enumerate() {
        let line = line?;
        let at = i as u64 + 1;
        let line = line.trim_end_matches('\r');
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if name.is_empty() {
            continue;
        }
        let fields = Fields::parse(at, rest)?;
        if name == "FRAME" {
            if in_frame {
                return Err(fields.error("FRAME", "the last batch has not been closed").into());
            }
            host.now = fields.time("time")?.ok_or_else(|| fields.error("time", "missing"))?;
            in_frame = true;
            continue;
        }
        if !in_frame {
            return Err(fields.error(name, "outside a batch").into());
        }
        let mut out = String::new();
        let over = name == "OVER_TO_YOU";
        let done = catch_unwind(AssertUnwindSafe(|| {
            if over {
                host.reply(&mut out);
                Ok(())
            } else {
                host.event(name, &fields)
            }
        }));
        match done {
            Ok(result) => result?,
            Err(cause) => {
                let number = fields.required_int("forwarder").unwrap_or(last);
                let text = panic_text(cause.as_ref());
                write!(output, "INTERNAL_ERROR forwarder={number} msg={text}\nOK\n")?;
                output.flush()?;
                return Err(ServeError::Panicked);
            }
        }
        if let Ok(number) = fields.required_int("forwarder") {
            last = number;
        }
        if over {
            out.push_str("OK\n");
            output.write_all(out.as_bytes())?;
            output.flush()?;
            in_frame = false;
        }
    }
    Ok(())
}
