//! Parser from KDL to the model. It reports all faults of a document at once, and returns routes only if
//! there are none.

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

/// Maximum size of a fragment in bytes.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// Maximum number of rules in a document.
pub const MAX_RULES: usize = 20_000;
/// Maximum number of diagnostics returned; further ones are dropped.
const MAX_DIAGNOSTICS: usize = 1_000;
/// Maximum wait that a rule may ask of a refused client.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3600);

/// Parses a document from its fragments, given in order as pairs of file name and text.
///
/// # Errors
///
/// Returns a diagnostic for every fault of the document, ordered by location.
pub fn parse(fragments: &[(String, String)]) -> Result<Routes, Vec<Diagnostic>> {
    let mut parser = Parser::default();
    let parsed: Vec<_> =
        fragments.iter().filter_map(|(file, text)| parser.parse_fragment(file, text)).collect();
    // Partners and address sets come first: a rule may refer to those of a later fragment.
    for (source, document) in &parsed {
        for node in document.nodes() {
            match node.name().value() {
                "partner" => parser.partner(source, node),
                "addresses" => parser.addresses(source, node),
                "rule" => {}
                other => {
                    let remedy = "use partner, addresses or rule";
                    parser.report(source, node, format!("unknown node {other:?}"), remedy);
                }
            }
        }
    }
    for (source, document) in &parsed {
        document.nodes().iter().filter(|n| n.name().value() == "rule").for_each(|n| parser.rule(source, n));
    }
    if parser.diagnostics.is_empty() && parser.routes.rules.len() > MAX_RULES {
        let problem = format!("too many rules: {}, the maximum is {MAX_RULES}", parser.routes.rules.len());
        parser.diagnostics.push(Diagnostic {
            location: Location::default(),
            problem,
            remedy: "combine some of the rules".into(),
        });
    }
    if parser.diagnostics.is_empty() {
        (parser.routes, parser.diagnostics) = check::find_shadowed_rules(parser.routes);
    }
    parser.diagnostics.sort();
    parser.diagnostics.truncate(MAX_DIAGNOSTICS);
    if parser.diagnostics.is_empty() { Ok(parser.routes) } else { Err(parser.diagnostics) }
}

/// The text of a fragment.
struct Source<'a> {
    file: &'a str,
    text: &'a str,
    /// Byte offsets at which the lines begin.
    line_starts: Vec<usize>,
}

impl Source<'_> {
    fn location(&self, offset: usize) -> Location {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts.get(line.saturating_sub(1)).copied().unwrap_or(0);
        let column = self.text.get(start..offset).map_or(1, |before| before.chars().count() + 1);
        Location { file: self.file.to_owned(), line, column }
    }
}

/// An element of a document with a position.
trait Located {
    fn offset(&self) -> usize;
}

impl Located for KdlNode {
    fn offset(&self) -> usize {
        self.name().span().offset()
    }
}

impl Located for KdlEntry {
    fn offset(&self) -> usize {
        self.span().offset()
    }
}

#[derive(Default)]
struct Parser {
    routes: Routes,
    diagnostics: Vec<Diagnostic>,
    /// Location of each definition, by kind of element and name.
    names: BTreeMap<(&'static str, String), Location>,
}

impl Parser {
    fn report(&mut self, source: &Source<'_>, at: &impl Located, problem: String, remedy: &str) {
        self.diagnostics.push(Diagnostic {
            location: source.location(at.offset()),
            problem,
            remedy: remedy.to_owned(),
        });
    }

    fn parse_fragment<'a>(&mut self, file: &'a str, text: &'a str) -> Option<(Source<'a>, KdlDocument)> {
        let line_starts = [0].into_iter().chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let source = Source { file, text, line_starts };
        if text.len() > MAX_FILE_BYTES {
            let location = Location { file: file.to_owned(), ..Location::default() };
            let problem = format!("file too large: {} bytes, the maximum is {MAX_FILE_BYTES}", text.len());
            self.diagnostics.push(Diagnostic { location, problem, remedy: "split it into fragments".into() });
            return None;
        }
        match KdlDocument::parse(text) {
            Ok(document) => Some((source, document)),
            Err(e) => {
                for error in e.diagnostics {
                    let problem = error.message.or(error.label).unwrap_or_else(|| "invalid KDL".into());
                    let remedy = error.help.unwrap_or_else(|| "see kdl.dev for the syntax".into());
                    self.diagnostics.push(Diagnostic {
                        location: source.location(error.span.offset()),
                        problem,
                        remedy,
                    });
                }
                None
            }
        }
    }

    /// Returns the properties of a node by name, and reports unknown and repeated ones.
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
                    "remove it".into()
                } else {
                    format!("use one of: {}", known.join(", "))
                };
                self.report(source, entry, format!("unknown key {name:?}"), &remedy);
            } else if found.insert(name, entry).is_some() {
                self.report(source, entry, format!("{name:?} is given twice"), "keep one of them");
            }
        }
        found
    }

    fn text<'n>(&mut self, source: &Source<'_>, entry: &'n KdlEntry) -> Option<&'n str> {
        let text = entry.value().as_string().filter(|text| !text.is_empty());
        if text.is_none() {
            self.report(
                source,
                entry,
                format!("expected a non-empty string, found {}", entry.value()),
                "use text in quotes",
            );
        }
        text
    }

    fn number(&mut self, source: &Source<'_>, entry: &KdlEntry, max: u64) -> Option<u64> {
        let number = entry.value().as_integer().and_then(|n| u64::try_from(n).ok()).filter(|n| *n <= max);
        if number.is_none() {
            let remedy = format!("use an integer from 0 to {max}");
            self.report(source, entry, format!("{} is not an allowed number", entry.value()), &remedy);
        }
        number
    }

    /// Returns the name of a node, which is its only argument, and reports a name that was defined before.
    /// `kind` is the kind of element, `within` the name of the element around it.
    fn name(
        &mut self,
        source: &Source<'_>,
        node: &KdlNode,
        kind: &'static str,
        within: &str,
    ) -> Option<String> {
        let mut arguments = node.entries().iter().filter(|e| e.name().is_none());
        let Some(first) = arguments.next() else {
            self.report(
                source,
                node,
                format!("{kind} without a name"),
                "add the name in quotes after the node name",
            );
            return None;
        };
        if let Some(more) = arguments.next() {
            self.report(source, more, format!("{kind} with two names"), "keep one of them");
        }
        let name = self.text(source, first)?.to_owned();
        let location = source.location(first.offset());
        if let Some(other) = self.names.insert((kind, format!("{within}/{name}")), location) {
            self.report(
                source,
                first,
                format!("{kind} {name:?} is already defined at {other}"),
                "choose another name",
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
                self.report(source, node, "partner without a destination".into(), "add dest=NUMBER");
                None
            }
        };
        if let Some(other) = dest.and_then(|d| self.routes.partners.iter().find(|p| p.dest == d)) {
            let problem = format!("destination {} already belongs to partner {:?}", other.dest, other.name);
            self.report(source, node, problem, "give each partner its own destination");
        }
        let within = name.clone().unwrap_or_default();
        let mut pools = Vec::new();
        for child in node.iter_children() {
            if child.name().value() == "pool" {
                pools.extend(self.pool(source, child, &within));
            } else {
                let problem = format!("unknown node {:?} in a partner", child.name().value());
                self.report(source, child, problem, "use pool");
            }
        }
        // Kept even if faulty, so that rules which refer to it are not reported as well.
        let (name, dest) = (within, dest.unwrap_or(u64::MAX));
        self.routes.partners.push(Partner { name, dest, pools });
    }

    fn pool(&mut self, source: &Source<'_>, node: &KdlNode, within: &str) -> Option<Pool> {
        let name = self.name(source, node, "pool", within);
        let properties = self.properties(source, node, &["zone", "kind", "priority", "weight"]);
        let text = |parser: &mut Self, key| {
            properties.get(key).and_then(|e| parser.text(source, e)).map(str::to_owned)
        };
        let (zone, kind) = (text(self, "zone"), text(self, "kind"));
        let mut number = |key, default| {
            let given = properties.get(key).and_then(|e| self.number(source, e, 1_000_000));
            given.and_then(|n| u32::try_from(n).ok()).unwrap_or(default)
        };
        let (priority, weight) = (number("priority", 1), number("weight", 1));
        Some(Pool { name: name?, zone, kind, priority, weight })
    }

    fn addresses(&mut self, source: &Source<'_>, node: &KdlNode) {
        self.properties(source, node, &[]);
        let mut arguments = node.entries().iter().filter(|e| e.name().is_none());
        let Some(first) = arguments.next() else {
            return self.report(
                source,
                node,
                "addresses without a name".into(),
                "add the name in quotes after the node name",
            );
        };
        let name = self.text(source, first).unwrap_or_default().to_owned();
        if let Some(other) = self.names.insert(("addresses", name.clone()), source.location(first.offset())) {
            let problem = format!("addresses {name:?} are already defined at {other}");
            self.report(source, first, problem, "choose another name");
        }
        let mut networks = Vec::new();
        for entry in arguments {
            let network = entry.value().as_string().and_then(|text| {
                text.parse::<IpNet>().ok().or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))
            });
            match network {
                Some(network) => networks.push(network.trunc()),
                None => {
                    let problem = format!("{} is not an IP address or network", entry.value());
                    self.report(
                        source,
                        entry,
                        problem,
                        "write for example \"10.1.0.0/16\" or \"2001:db8::1\"",
                    );
                }
            }
        }
        if networks.is_empty() {
            self.report(
                source,
                node,
                format!("addresses {name:?} are empty"),
                "add an address or remove the set",
            );
        }
        self.routes.address_sets.push(AddressSet { name, networks });
    }

    fn rule(&mut self, source: &Source<'_>, node: &KdlNode) {
        let name = self.name(source, node, "rule", "");
        self.properties(source, node, &[]);
        let (mut condition, mut actions) = (Condition::default(), Vec::new());
        for child in node.iter_children() {
            match child.name().value() {
                "match" => self.condition(source, child, &mut condition),
                "pool" | "split" | "refuse" => actions.push(child),
                other => {
                    let problem = format!("unknown node {other:?} in a rule");
                    self.report(source, child, problem, "use match, pool, split or refuse");
                }
            }
        }
        let [action] = actions[..] else {
            let problem = format!("rule with {} actions", actions.len());
            return self.report(source, node, problem, "use exactly one of pool, split and refuse");
        };
        let action = match action.name().value() {
            "refuse" => self.refuse(source, action),
            "pool" => self.pool_index(source, action, &condition).map(Action::Pool),
            _ => self.split(source, action, &condition),
        };
        if let (Some(name), Some(action)) = (name, action) {
            self.routes.rules.push(Rule {
                name,
                condition,
                action,
                location: source.location(node.offset()),
            });
        }
    }

    fn condition(&mut self, source: &Source<'_>, node: &KdlNode, condition: &mut Condition) {
        if let Some(argument) = node.entries().iter().find(|e| e.name().is_none()) {
            self.report(source, argument, "value without a key".into(), "write key=\"value\"");
        }
        for entry in node.entries() {
            let Some(key) = entry.name().map(|name| name.value()) else { continue };
            if key == "least" || key == "most" {
                let Some(bytes) = self.number(source, entry, u64::from(u32::MAX)) else { continue };
                let (min, max) = condition.body_bytes.unwrap_or((0, u64::MAX));
                condition.body_bytes = Some(if key == "least" { (bytes, max) } else { (min, bytes) });
                continue;
            }
            let Some(text) = self.text(source, entry) else { continue };
            match key {
                "class" => condition.classes.push(text.to_owned()),
                "owner" => condition.owners.push(text.to_owned()),
                "partner" => match self.routes.partners.iter().position(|p| p.name == text) {
                    Some(partner) => condition.partners.push(partner),
                    None => self.report(
                        source,
                        entry,
                        format!("no partner {text:?} in the document"),
                        "use the name of a partner in the document",
                    ),
                },
                "from" => match self.routes.address_sets.iter().position(|s| s.name == text) {
                    Some(set) => condition.sources.push(set),
                    None => self.report(
                        source,
                        entry,
                        format!("no addresses {text:?} in the document"),
                        "use the name of an address set in the document",
                    ),
                },
                "hours" => match hours(text) {
                    Some(_) if condition.hours.is_some() => {
                        self.report(source, entry, "hours are given twice".into(), "keep one of them");
                    }
                    Some(hours) => condition.hours = Some(hours),
                    None => self.report(
                        source,
                        entry,
                        format!("{text:?} are not valid hours"),
                        "write for example \"22:00-06:00\"",
                    ),
                },
                "header" => match text.split_once(':') {
                    Some((name, value)) if !name.trim().is_empty() => {
                        condition.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                    }
                    _ => self.report(
                        source,
                        entry,
                        format!("{text:?} is not a header"),
                        "write \"name: value\"",
                    ),
                },
                other => {
                    let remedy = "use one of: class, owner, partner, from, hours, header, least, most";
                    self.report(source, entry, format!("unknown key {other:?}"), remedy);
                }
            }
        }
        if condition.body_bytes.is_some_and(|(min, max)| min > max) {
            self.report(
                source,
                node,
                "no body length can match: least is greater than most".into(),
                "make least at most as large as most",
            );
        }
    }

    fn refuse(&mut self, source: &Source<'_>, node: &KdlNode) -> Option<Action> {
        let properties = self.properties(source, node, &["wait"]);
        let Some(&entry) = properties.get("wait") else {
            self.report(source, node, "refuse without a wait".into(), "add wait=\"30s\"");
            return None;
        };
        let wait = self.text(source, entry).and_then(duration).filter(|wait| *wait <= MAX_WAIT);
        if wait.is_none() {
            self.report(
                source,
                entry,
                format!("no wait duration in {}", entry.value()),
                "write for example \"500ms\", \"30s\", \"5m\" or \"2h\"; the maximum is 24h",
            );
        }
        wait.map(Action::Refuse)
    }

    /// Returns the index of the pool that a node names, among the pools of the only partner that its rule
    /// matches.
    fn pool_index(&mut self, source: &Source<'_>, node: &KdlNode, condition: &Condition) -> Option<usize> {
        let Some(entry) = node.entries().iter().find(|e| e.name().is_none()) else {
            self.report(
                source,
                node,
                "pool without a name".into(),
                "add the name in quotes after the node name",
            );
            return None;
        };
        let name = self.text(source, entry)?;
        let [partner] = condition.partners[..] else {
            let problem = format!("pool {name:?} without a single partner");
            self.report(source, node, problem, "match exactly one partner in this rule, before the pool");
            return None;
        };
        let found = self.routes.partners[partner].pools.iter().position(|pool| pool.name == name);
        if found.is_none() {
            let problem = format!("partner {:?} has no pool {name:?}", self.routes.partners[partner].name);
            self.report(source, entry, problem, "use the name of a pool of this partner");
        }
        found
    }

    fn split(&mut self, source: &Source<'_>, node: &KdlNode, condition: &Condition) -> Option<Action> {
        let properties = self.properties(source, node, &["by"]);
        let affinity = match properties.get("by").map(|e| e.value()) {
            None => Affinity::Key,
            Some(KdlValue::String(by)) if by == "key" => Affinity::Key,
            Some(KdlValue::String(by)) if by == "owner" => Affinity::Owner,
            Some(other) => {
                let problem = format!("unknown split attribute {other}");
                self.report(source, node, problem, "use by=\"key\" or by=\"owner\"");
                return None;
            }
        };
        let mut parts = Vec::new();
        for child in node.iter_children() {
            if child.name().value() != "pool" {
                let problem = format!("unknown node {:?} in a split", child.name().value());
                self.report(source, child, problem, "use pool");
                continue;
            }
            let properties = self.properties(source, child, &["weight"]);
            let weight = properties.get("weight").map_or(Some(1), |e| self.number(source, e, 1_000_000));
            let pool = self.pool_index(source, child, condition);
            if let (Some(pool), Some(weight)) = (pool, weight.and_then(|w| u32::try_from(w).ok())) {
                parts.push(WeightedPool { pool, weight });
            }
        }
        if parts.iter().all(|part| part.weight == 0) {
            self.report(
                source,
                node,
                "the weights sum to 0".into(),
                "give at least one pool a weight above 0",
            );
            return None;
        }
        Some(Action::Split { affinity, parts })
    }
}

/// Parses a daily period such as "22:00-06:00".
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

/// Parses a duration such as "500ms", "30s", "5m" or "2h".
fn duration(text: &str) -> Option<Duration> {
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
