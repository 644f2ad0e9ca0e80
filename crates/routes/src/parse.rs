//! From KDL to the model: every fault at once, and nothing unless there is none.

use crate::check;
use crate::diagnostic::{Diagnostic, Location};
use crate::model::{
    Action, AddressSet, Affinity, Condition, Hours, Partner, Pool, Routes, Rule, WeightedPool,
};
use ipnet::IpNet;
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// The longest text that is read (bytes).
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// The most rules in a document.
pub const MAX_RULES: usize = 20_000;
/// Faults that are told; what is over is left out.
const FAULTS_MOST: usize = 1_000;
/// The longest wait that a rule may tell.
const WAIT_MOST: Duration = Duration::from_secs(24 * 3600);

/// Reads a document from its fragments, each with its name, in their order.
///
/// # Errors
///
/// Everything that is wrong with it, by place.
pub fn parse(fragments: &[(String, String)]) -> Result<Routes, Vec<Diagnostic>> {
    let mut reader = Reader::default();
    let parsed: Vec<_> =
        fragments.iter().filter_map(|(file, text)| reader.parse_fragment(file, text)).collect();
    // Rules may name what stands in a later fragment.
    for (source, document) in &parsed {
        for node in document.nodes() {
            match node.name().value() {
                "partner" => reader.partner(source, node),
                "addresses" => reader.addresses(source, node),
                "rule" => {}
                other => {
                    let known = "partner, addresses and rule are known";
                    reader.fault(source, node, format!("unknown node {other:?}"), known);
                }
            }
        }
    }
    for (source, document) in &parsed {
        document.nodes().iter().filter(|n| n.name().value() == "rule").for_each(|n| reader.rule(source, n));
    }
    if reader.faults.is_empty() && reader.routes.rules.len() > MAX_RULES {
        let what = format!("{} rules, and {MAX_RULES} are the most", reader.routes.rules.len());
        reader.faults.push(Diagnostic {
            location: Location::default(),
            problem: what,
            remedy: "join some of them".into(),
        });
    }
    if reader.faults.is_empty() {
        (reader.routes, reader.faults) = check::shadowed(reader.routes);
    }
    reader.faults.sort();
    reader.faults.truncate(FAULTS_MOST);
    if reader.faults.is_empty() { Ok(reader.routes) } else { Err(reader.faults) }
}

/// A text, and where its lines begin.
struct Source<'a> {
    file: &'a str,
    text: &'a str,
    lines: Vec<usize>,
}

impl Source<'_> {
    fn place(&self, offset: usize) -> Location {
        let line = self.lines.partition_point(|start| *start <= offset);
        let start = self.lines.get(line.saturating_sub(1)).copied().unwrap_or(0);
        let column = self.text.get(start..offset).map_or(1, |before| before.chars().count() + 1);
        Location { file: self.file.to_owned(), line, column }
    }
}

/// Something that stands at a place.
trait At {
    fn offset(&self) -> usize;
}

impl At for KdlNode {
    fn offset(&self) -> usize {
        self.name().span().offset()
    }
}

impl At for KdlEntry {
    fn offset(&self) -> usize {
        self.span().offset()
    }
}

#[derive(Default)]
struct Reader {
    routes: Routes,
    faults: Vec<Diagnostic>,
    /// Where each name was told first, by what it names.
    names: BTreeMap<(&'static str, String), Location>,
}

impl Reader {
    fn fault(&mut self, source: &Source<'_>, at: &impl At, what: String, remedy: &str) {
        self.faults.push(Diagnostic {
            location: source.place(at.offset()),
            problem: what,
            remedy: remedy.to_owned(),
        });
    }

    fn parse_fragment<'a>(&mut self, file: &'a str, text: &'a str) -> Option<(Source<'a>, KdlDocument)> {
        let lines = [0].into_iter().chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let source = Source { file, text, lines };
        if text.len() > MAX_FILE_BYTES {
            let place = Location { file: file.to_owned(), ..Location::default() };
            let what = format!("{} bytes, and {MAX_FILE_BYTES} are the most", text.len());
            self.faults.push(Diagnostic {
                location: place,
                problem: what,
                remedy: "cut it into fragments".into(),
            });
            return None;
        }
        match KdlDocument::parse(text) {
            Ok(document) => Some((source, document)),
            Err(e) => {
                for found in e.diagnostics {
                    let what = found.message.or(found.label).unwrap_or_else(|| "not KDL".into());
                    let remedy = found.help.unwrap_or_else(|| "see kdl.dev for the form".into());
                    self.faults.push(Diagnostic {
                        location: source.place(found.span.offset()),
                        problem: what,
                        remedy,
                    });
                }
                None
            }
        }
    }

    /// The properties of a node by name; faults for unknown ones and for those told twice.
    fn properties<'n>(
        &mut self,
        source: &Source<'_>,
        node: &'n KdlNode,
        known: &[&str],
    ) -> BTreeMap<&'n str, &'n KdlEntry> {
        let mut found = BTreeMap::new();
        for entry in node.entries() {
            let Some(name) = entry.name().map(|name| name.value()) else { continue };
            if !known.contains(&name) {
                let remedy = if known.is_empty() {
                    "take it out".into()
                } else {
                    format!("known: {}", known.join(", "))
                };
                self.fault(source, entry, format!("unknown key {name:?}"), &remedy);
            } else if found.insert(name, entry).is_some() {
                self.fault(source, entry, format!("{name:?} is told twice"), "leave one of them");
            }
        }
        found
    }

    fn text<'n>(&mut self, source: &Source<'_>, entry: &'n KdlEntry) -> Option<&'n str> {
        let text = entry.value().as_string().filter(|text| !text.is_empty());
        if text.is_none() {
            self.fault(source, entry, format!("{} is no name", entry.value()), "put a text in quotes here");
        }
        text
    }

    fn number(&mut self, source: &Source<'_>, entry: &KdlEntry, most: u64) -> Option<u64> {
        let number = entry.value().as_integer().and_then(|n| u64::try_from(n).ok()).filter(|n| *n <= most);
        if number.is_none() {
            let remedy = format!("put a whole number from 0 to {most} here");
            self.fault(source, entry, format!("{} can't be used", entry.value()), &remedy);
        }
        number
    }

    /// The one argument of a node that names it, told once in the document.
    fn name(
        &mut self,
        source: &Source<'_>,
        node: &KdlNode,
        what: &'static str,
        within: &str,
    ) -> Option<String> {
        let mut arguments = node.entries().iter().filter(|e| e.name().is_none());
        let Some(first) = arguments.next() else {
            self.fault(source, node, format!("{what} without a name"), "put its name in quotes behind it");
            return None;
        };
        if let Some(more) = arguments.next() {
            self.fault(source, more, format!("{what} with two names"), "leave one of them");
        }
        let name = self.text(source, first)?.to_owned();
        let place = source.place(first.offset());
        if let Some(other) = self.names.insert((what, format!("{within}/{name}")), place) {
            self.fault(
                source,
                first,
                format!("{what} {name:?} stands at {other} already"),
                "give it another name",
            );
        }
        Some(name)
    }

    fn partner(&mut self, source: &Source<'_>, node: &KdlNode) {
        let name = self.name(source, node, "partner", "");
        let mut properties = self.properties(source, node, &["dest"]);
        let dest = match properties.remove("dest") {
            Some(entry) => self.number(source, entry, u64::from(u32::MAX)),
            None => {
                self.fault(source, node, "partner without a destination".into(), "add dest=NUMBER");
                None
            }
        };
        if let Some(other) = dest.and_then(|d| self.routes.partners.iter().find(|p| p.dest == d)) {
            let what = format!("destination {} is {:?} already", other.dest, other.name);
            self.fault(source, node, what, "one partner has one destination");
        }
        let within = name.clone().unwrap_or_default();
        let mut pools = Vec::new();
        for child in node.iter_children() {
            if child.name().value() == "pool" {
                pools.extend(self.pool(source, child, &within));
            } else {
                let what = format!("unknown node {:?} in a partner", child.name().value());
                self.fault(source, child, what, "pool is known");
            }
        }
        // Kept also with faults, so that rules which name it add none of their own.
        let (name, dest) = (within, dest.unwrap_or(u64::MAX));
        self.routes.partners.push(Partner { name, dest, pools });
    }

    fn pool(&mut self, source: &Source<'_>, node: &KdlNode, within: &str) -> Option<Pool> {
        let name = self.name(source, node, "pool", within);
        let properties = self.properties(source, node, &["zone", "kind", "priority", "weight"]);
        let text = |reader: &mut Self, key| {
            properties.get(key).and_then(|e| reader.text(source, e)).map(str::to_owned)
        };
        let (zone, kind) = (text(self, "zone"), text(self, "kind"));
        let mut number = |key, default| {
            let told = properties.get(key).and_then(|e| self.number(source, e, 1_000_000));
            told.and_then(|n| u32::try_from(n).ok()).unwrap_or(default)
        };
        let (priority, weight) = (number("priority", 1), number("weight", 1));
        Some(Pool { name: name?, zone, kind, priority, weight })
    }

    fn addresses(&mut self, source: &Source<'_>, node: &KdlNode) {
        self.properties(source, node, &[]);
        let mut arguments = node.entries().iter().filter(|e| e.name().is_none());
        let Some(first) = arguments.next() else {
            return self.fault(
                source,
                node,
                "addresses without a name".into(),
                "put its name in quotes behind it",
            );
        };
        let name = self.text(source, first).unwrap_or_default().to_owned();
        if let Some(other) = self.names.insert(("addresses", name.clone()), source.place(first.offset())) {
            let what = format!("addresses {name:?} stand at {other} already");
            self.fault(source, first, what, "give them another name");
        }
        let mut nets = Vec::new();
        for entry in arguments {
            let net = entry.value().as_string().and_then(|text| {
                text.parse::<IpNet>().ok().or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))
            });
            match net {
                Some(net) => nets.push(net.trunc()),
                None => {
                    let what = format!("{} is no address", entry.value());
                    self.fault(source, entry, what, "write \"10.1.0.0/16\" or \"2001:db8::1\"");
                }
            }
        }
        if nets.is_empty() {
            self.fault(source, node, format!("addresses {name:?} are empty"), "add one, or take the set out");
        }
        self.routes.address_sets.push(AddressSet { name, networks: nets });
    }

    fn rule(&mut self, source: &Source<'_>, node: &KdlNode) {
        let name = self.name(source, node, "rule", "");
        self.properties(source, node, &[]);
        let (mut when, mut actions) = (Condition::default(), Vec::new());
        for child in node.iter_children() {
            match child.name().value() {
                "match" => self.condition(source, child, &mut when),
                "pool" | "split" | "refuse" => actions.push(child),
                other => {
                    let what = format!("unknown node {other:?} in a rule");
                    self.fault(source, child, what, "match, pool, split and refuse are known");
                }
            }
        }
        let [action] = actions[..] else {
            let what = format!("a rule with {} actions", actions.len());
            return self.fault(source, node, what, "one of pool, split and refuse belongs to it");
        };
        let action = match action.name().value() {
            "refuse" => self.refuse(source, action),
            "pool" => self.chosen(source, action, &when).map(Action::Pool),
            _ => self.split(source, action, &when),
        };
        if let (Some(name), Some(action)) = (name, action) {
            self.routes.rules.push(Rule {
                name,
                condition: when,
                action,
                location: source.place(node.offset()),
            });
        }
    }

    fn condition(&mut self, source: &Source<'_>, node: &KdlNode, when: &mut Condition) {
        if let Some(argument) = node.entries().iter().find(|e| e.name().is_none()) {
            self.fault(source, argument, "a value without a key".into(), "write key=\"value\"");
        }
        for entry in node.entries() {
            let Some(key) = entry.name().map(|name| name.value()) else { continue };
            if key == "least" || key == "most" {
                let Some(bytes) = self.number(source, entry, u64::from(u32::MAX)) else { continue };
                let (least, most) = when.body_bytes.unwrap_or((0, u64::MAX));
                when.body_bytes = Some(if key == "least" { (bytes, most) } else { (least, bytes) });
                continue;
            }
            let Some(text) = self.text(source, entry) else { continue };
            match key {
                "class" => when.classes.push(text.to_owned()),
                "owner" => when.owners.push(text.to_owned()),
                "partner" => match self.routes.partners.iter().position(|p| p.name == text) {
                    Some(partner) => when.partners.push(partner),
                    None => self.fault(
                        source,
                        entry,
                        format!("no partner {text:?}"),
                        "name one that the document has",
                    ),
                },
                "from" => match self.routes.address_sets.iter().position(|s| s.name == text) {
                    Some(set) => when.sources.push(set),
                    None => self.fault(
                        source,
                        entry,
                        format!("no addresses {text:?}"),
                        "name a set that the document has",
                    ),
                },
                "hours" => match hours(text) {
                    Some(_) if when.hours.is_some() => {
                        self.fault(source, entry, "hours are told twice".into(), "leave one of them");
                    }
                    Some(hours) => when.hours = Some(hours),
                    None => {
                        self.fault(source, entry, format!("{text:?} are no hours"), "write \"22:00-06:00\"")
                    }
                },
                "header" => match text.split_once(':') {
                    Some((name, value)) if !name.trim().is_empty() => {
                        when.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                    }
                    _ => self.fault(source, entry, format!("{text:?} is no header"), "write \"name: value\""),
                },
                other => {
                    let known = "known: class, owner, partner, from, hours, header, least, most";
                    self.fault(source, entry, format!("unknown key {other:?}"), known);
                }
            }
        }
        if when.body_bytes.is_some_and(|(least, most)| least > most) {
            self.fault(source, node, "no body is that long".into(), "least is not over most");
        }
    }

    fn refuse(&mut self, source: &Source<'_>, node: &KdlNode) -> Option<Action> {
        let properties = self.properties(source, node, &["wait"]);
        let Some(&entry) = properties.get("wait") else {
            self.fault(source, node, "refused without a wait".into(), "add wait=\"30s\"");
            return None;
        };
        let wait = self.text(source, entry).and_then(span).filter(|wait| *wait <= WAIT_MOST);
        if wait.is_none() {
            self.fault(
                source,
                entry,
                format!("{} is no wait", entry.value()),
                "write \"500ms\", \"30s\", \"5m\" or \"2h\", 24h at most",
            );
        }
        wait.map(Action::Refuse)
    }

    /// The pool that a node names, of the one partner that its rule is for.
    fn chosen(&mut self, source: &Source<'_>, node: &KdlNode, when: &Condition) -> Option<usize> {
        let Some(entry) = node.entries().iter().find(|e| e.name().is_none()) else {
            self.fault(source, node, "a pool without a name".into(), "put its name in quotes behind it");
            return None;
        };
        let name = self.text(source, entry)?;
        let [partner] = when.partners[..] else {
            let what = format!("pool {name:?} of which partner?");
            self.fault(source, node, what, "match exactly one partner in this rule, above the pool");
            return None;
        };
        let found = self.routes.partners[partner].pools.iter().position(|pool| pool.name == name);
        if found.is_none() {
            let what = format!("partner {:?} has no pool {name:?}", self.routes.partners[partner].name);
            self.fault(source, entry, what, "name one that it has");
        }
        found
    }

    fn split(&mut self, source: &Source<'_>, node: &KdlNode, when: &Condition) -> Option<Action> {
        let properties = self.properties(source, node, &["by"]);
        let by = match properties.get("by").map(|e| e.value()) {
            None => Affinity::Key,
            Some(KdlValue::String(by)) if by == "key" => Affinity::Key,
            Some(KdlValue::String(by)) if by == "owner" => Affinity::Owner,
            Some(other) => {
                let what = format!("nothing sticks by {other}");
                self.fault(source, node, what, "by=\"key\" or by=\"owner\"");
                return None;
            }
        };
        let mut parts = Vec::new();
        for child in node.iter_children() {
            if child.name().value() != "pool" {
                let what = format!("unknown node {:?} in a split", child.name().value());
                self.fault(source, child, what, "pool is known");
                continue;
            }
            let properties = self.properties(source, child, &["weight"]);
            let weight = properties.get("weight").map_or(Some(1), |e| self.number(source, e, 1_000_000));
            let pool = self.chosen(source, child, when);
            if let (Some(pool), Some(weight)) = (pool, weight.and_then(|w| u32::try_from(w).ok())) {
                parts.push(WeightedPool { pool, weight });
            }
        }
        if parts.iter().all(|part| part.weight == 0) {
            self.fault(source, node, "the weights sum to 0".into(), "give a pool a weight above 0");
            return None;
        }
        Some(Action::Split { affinity: by, parts })
    }
}

/// "22:00-06:00".
fn hours(text: &str) -> Option<Hours> {
    let minute = |text: &str| {
        let (hours, minutes) = text.trim().split_once(':')?;
        let (hours, minutes): (u16, u16) = (hours.parse().ok()?, minutes.parse().ok()?);
        (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
    };
    let (from, until) = text.split_once('-')?;
    let (from, until) = (minute(from)?, minute(until)?);
    (from != until).then_some(Hours { from, until })
}

/// "500ms", "30s", "5m", "2h".
fn span(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let ms = match unit {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.checked_mul(ms).map(Duration::from_millis)
}
