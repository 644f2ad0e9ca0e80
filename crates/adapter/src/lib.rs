//! The simulator's wire protocol: parsing, translation to [`yarrowhill_policy::api`], and hosting of many
//! instances of the decision module. No decisions are made here.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::*;
use yarrowhill_settings::{
    FieldError, Fields, MAX_TIME_US, Names, from_fields, index_of, parse_limit_report,
};

/// An error that ends serving before the end of input.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A malformed line.
    #[error(transparent)]
    Wire(#[from] FieldError),
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The decision module panicked, as already reported on the wire.
    #[error("the decision module panicked")]
    Panicked,
}

/// An open message, or one whose attempts have not all ended.
struct OpenMessage {
    wire_id: String,
    in_flight: usize,
    sent: usize,
    ended: bool,
}

/// An instance of the decision module, with the names and ids that the wire uses.
struct Instance {
    balancer: Balancer,
    names: Names,
    ids: HashMap<String, MessageId>,
    messages: BTreeMap<MessageId, OpenMessage>,
    next_id: MessageId,
    actions: Vec<Action>,
}

impl Instance {
    /// Removes a message if it has ended and no attempt of it is in flight.
    fn remove_if_done(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get(&id)
            && message.ended
            && message.in_flight == 0
        {
            self.ids.remove(&message.wire_id);
            self.messages.remove(&id);
        }
    }

    /// Marks a message as ended.
    fn close(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.ended = true;
        }
        self.remove_if_done(id);
    }

    /// Reads the limit reported in an event, if there is one.
    fn report(&self, fields: &Fields) -> Result<Option<LimitReport>, FieldError> {
        let Some(text) = fields.get("healthInfo").filter(|t| !t.is_empty() && *t != "-") else {
            return Ok(None);
        };
        let values = self.names.report_fields.iter().map(String::as_str).zip(text.split(','));
        parse_limit_report(values)
            .map(Some)
            .ok_or_else(|| fields.error("healthInfo", format!("cannot read {text:?}")))
    }

    /// Writes the pending actions to the reply.
    fn write(&mut self, number: u64, out: &mut String) {
        for action in std::mem::take(&mut self.actions) {
            let id = match action {
                Action::Send { id, .. }
                | Action::Refuse { id, .. }
                | Action::Fail { id }
                | Action::Cancel { id, .. } => id,
                _ => MessageId::MAX,
            };
            let wire_id = self.messages.get(&id).map(|m| m.wire_id.clone()).unwrap_or_default();
            let written = match action {
                Action::Send { endpoint, timeout, .. } => {
                    if let Some(message) = self.messages.get_mut(&id) {
                        message.in_flight += 1;
                        message.sent += 1;
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
            written.and_then(|()| out.write_char('\n')).expect("writing to a string does not fail");
            if matches!(action, Action::Refuse { .. } | Action::Fail { .. }) {
                self.close(id);
            }
        }
    }
}

fn ms(time: Micros) -> f64 {
    time as f64 / 1000.0
}

/// Reads the outcome of an attempt.
fn outcome(fields: &Fields, field: &str) -> Result<Outcome, FieldError> {
    Ok(match fields.required_int(field)? {
        0 => Outcome::Delivered,
        255 => Outcome::Error,
        254 => Outcome::Full {
            wait: fields
                .number("detail")?
                .filter(|w| *w > 0.0)
                .map(|w| (w.min(MAX_TIME_US / 1e3) * 1e3) as Micros),
        },
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        v => return Err(fields.error(field, format!("unknown outcome {v}"))),
    })
}

/// A line of a catalog, with the names that each instance maps to its own numbers.
struct Row {
    endpoint: EndpointId,
    dest: DestId,
    zone: String,
    kind: String,
    listing: Listing,
    weight: f64,
}

/// The instances hosted by this process.
#[derive(Default)]
struct Host {
    now: Micros,
    instances: BTreeMap<u64, Instance>,
    catalogs: BTreeMap<u64, Vec<Row>>,
    /// Catalog that `ROW` lines belong to, and the number of those still to come.
    reading: Option<(u64, u64)>,
    /// Instances with events in this frame, in the order of their first event.
    active: Vec<u64>,
}

impl Host {
    /// Passes the event of a line to the instance that it names.
    fn event(&mut self, name: &str, fields: &Fields) -> Result<(), FieldError> {
        match name {
            "CATALOG" => {
                let sheet = fields.required_int("sheet")?;
                self.catalogs.insert(sheet, Vec::new());
                self.reading = Some((sheet, fields.required_int("entries")?));
                return Ok(());
            }
            "ROW" => return self.row(fields),
            "BOOT" => return self.boot(fields),
            "EXIT" => {
                let number = fields.required_int("forwarder")?;
                self.instances.remove(&number);
                self.active.retain(|n| *n != number);
                return Ok(());
            }
            "SUBMIT" | "UNDER_WAY" | "RETURNED" | "CLIENT_LEFT" | "RING" | "ENDPOINTS" => {}
            _ => return Ok(()),
        }
        let number = fields.required_int("forwarder")?;
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(fields.error("forwarder", format!("no instance {number}")));
        };
        if !self.active.contains(&number) {
            self.active.push(number);
        }
        let find = |instance: &Instance| -> Result<Option<MessageId>, FieldError> {
            Ok(instance.ids.get(fields.required("ref")?).copied())
        };
        let mut may_remove = None;
        let event = match name {
            "SUBMIT" => {
                let class = fields.required("priority")?;
                let class = index_of(&instance.names.classes, class)
                    .ok_or_else(|| fields.error("priority", format!("unknown class {class:?}")))?;
                let event = Event::Submit(SubmittedMessage {
                    id: instance.next_id,
                    class,
                    tenant: fields.get("clientGroup").and_then(|t| index_of(&instance.names.tenants, t)),
                    key: fields.get("partitionKey").filter(|k| !k.is_empty()).map(str::to_owned),
                    expires_at: fields
                        .time("giveUpAt")?
                        .ok_or_else(|| fields.error("giveUpAt", "missing"))?,
                    dest: fields.required_int("calledNode")?,
                    history: MessageHistory::default(),
                });
                let wire_id = fields.required("ref")?.to_owned();
                instance.ids.insert(wire_id.clone(), instance.next_id);
                instance
                    .messages
                    .insert(instance.next_id, OpenMessage { wire_id, in_flight: 0, sent: 0, ended: false });
                instance.next_id += 1;
                event
            }
            "RETURNED" => {
                let (attempt, outcome, finished) =
                    (fields.required_int("go")? as usize, outcome(fields, "how")?, fields.flag("finished")?);
                let elapsed = fields.time("elapsed")?.unwrap_or(0);
                let report = instance.report(fields)?;
                let Some(id) = find(instance)? else { return Ok(()) };
                let message = instance.messages.get_mut(&id).expect("every id has a message");
                if attempt >= message.sent {
                    return Err(fields.error("go", format!("attempt {attempt} was never sent")));
                }
                message.in_flight = message.in_flight.saturating_sub(1);
                message.ended |= finished;
                may_remove = Some(id);
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
            "UNDER_WAY" => match find(instance)? {
                Some(id) => Event::ResponseStarted { id },
                None => return Ok(()),
            },
            "CLIENT_LEFT" => match find(instance)? {
                Some(id) => {
                    instance.messages.get_mut(&id).expect("every id has a message").ended = true;
                    may_remove = Some(id);
                    Event::ClientDisconnected { id }
                }
                None => return Ok(()),
            },
            "RING" => Event::Wake,
            _ => {
                let mode = fields.required("mode")?;
                let entries = || -> Result<Vec<EndpointEntry>, FieldError> {
                    let sheet = fields.required_int("sheet")?;
                    let rows = self
                        .catalogs
                        .get(&sheet)
                        .ok_or_else(|| fields.error("sheet", format!("no catalog numbered {sheet}")))?;
                    let index = |names: &[String], name: &str| index_of(names, name).unwrap_or(usize::MAX);
                    Ok(rows
                        .iter()
                        .map(|row| EndpointEntry {
                            endpoint: row.endpoint,
                            dest: row.dest,
                            zone: index(&instance.names.zones, &row.zone),
                            kind: index(&instance.names.kinds, &row.kind),
                            listing: row.listing,
                            weight: row.weight,
                        })
                        .collect())
                };
                match mode {
                    "patch" => Event::ListChanges(entries()?),
                    "whole" | "stale_copy" => Event::FullList(entries()?),
                    "broken" => Event::SubscriptionFailed,
                    v => return Err(fields.error("mode", format!("unknown mode {v:?}"))),
                }
            }
        };
        instance.balancer.on_event(self.now, event, &mut instance.actions);
        if let Some(id) = may_remove {
            // A message with an action in this turn is kept until the reply is written.
            if !instance.actions.iter().any(|a| {
                matches!(a, Action::Refuse { id: i, .. } | Action::Fail { id: i } | Action::Send { id: i, .. }
                    if *i == id)
            }) {
                instance.remove_if_done(id);
            }
        }
        Ok(())
    }

    fn row(&mut self, fields: &Fields) -> Result<(), FieldError> {
        let Some((sheet, left)) = self.reading.filter(|(_, left)| *left > 0) else {
            return Err(fields.error("ROW", "no catalog expects another row"));
        };
        let row = Row {
            endpoint: fields.required_int("target")?,
            dest: fields.required_int("belongsTo")?,
            zone: fields.get("site").unwrap_or_default().to_owned(),
            kind: fields.get("flavor").unwrap_or_default().to_owned(),
            listing: match fields.required("availability")? {
                "SERVING" => Listing::Serving,
                "DRAINING" => Listing::Draining,
                "DELETED" => Listing::Deleted,
                v => return Err(fields.error("availability", format!("unknown state {v:?}"))),
            },
            weight: fields.number("scale")?.unwrap_or(1.0),
        };
        self.catalogs.entry(sheet).or_default().push(row);
        self.reading = Some((sheet, left - 1));
        Ok(())
    }

    fn boot(&mut self, fields: &Fields) -> Result<(), FieldError> {
        let number = fields.required_int("forwarder")?;
        let seed = fields.required_int("nonce64")?;
        let copy = Fields { line: fields.line, pairs: fields.pairs.clone() };
        let (settings, names) = from_fields(copy)?;
        let instance = Instance {
            balancer: Balancer::new(settings, seed),
            names,
            ids: HashMap::new(),
            messages: BTreeMap::new(),
            next_id: 0,
            actions: Vec::new(),
        };
        self.instances.insert(number, instance);
        if !self.active.contains(&number) {
            self.active.push(number);
        }
        Ok(())
    }

    /// Ends the turn of all active instances, and writes their actions.
    fn reply(&mut self, out: &mut String) {
        for number in std::mem::take(&mut self.active) {
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.balancer.on_event(self.now, Event::TurnEnd, &mut instance.actions);
                instance.write(number, out);
            }
        }
    }
}

/// Returns the message of a panic, on one line.
fn panic_text(cause: &(dyn std::any::Any + Send)) -> String {
    let text = cause
        .downcast_ref::<String>()
        .cloned()
        .or_else(|| cause.downcast_ref::<&str>().map(|s| (*s).to_owned()))
        .unwrap_or_else(|| "panic".to_owned());
    text.replace(['\n', '\r'], " ")
}

/// Serves the wire until the end of input.
///
/// # Errors
///
/// Fails on a malformed line, if input or output fails, or if the decision module panics.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), ServeError> {
    let mut host = Host::default();
    let mut in_frame = false;
    let mut last_number = 0;
    for (i, line) in input.lines().enumerate() {
        let line = line?;
        let line_number = i as u64 + 1;
        let line = line.trim_end_matches('\r');
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if name.is_empty() {
            continue;
        }
        let fields = Fields::parse(line_number, rest)?;
        if name == "FRAME" {
            if in_frame {
                return Err(fields.error("FRAME", "the previous frame has not ended").into());
            }
            host.now = fields.time("time")?.ok_or_else(|| fields.error("time", "missing"))?;
            in_frame = true;
            continue;
        }
        if !in_frame {
            return Err(fields.error(name, "outside a frame").into());
        }
        let mut out = String::new();
        let ends_frame = name == "OVER_TO_YOU";
        let caught = catch_unwind(AssertUnwindSafe(|| {
            if ends_frame {
                host.reply(&mut out);
                Ok(())
            } else {
                host.event(name, &fields)
            }
        }));
        match caught {
            Ok(result) => result?,
            Err(cause) => {
                let number = fields.required_int("forwarder").unwrap_or(last_number);
                let text = panic_text(cause.as_ref());
                write!(output, "INTERNAL_ERROR forwarder={number} msg={text}\nOK\n")?;
                output.flush()?;
                return Err(ServeError::Panicked);
            }
        }
        if let Ok(number) = fields.required_int("forwarder") {
            last_number = number;
        }
        if ends_frame {
            out.push_str("OK\n");
            output.write_all(out.as_bytes())?;
            output.flush()?;
            in_frame = false;
        }
    }
    Ok(())
}
