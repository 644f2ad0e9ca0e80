//! The fleet document: the configured members, their addresses, shared limits and duties. A document is
//! accepted in full or rejected with a diagnostic for every fault.
//!
//! ```
//! let text = r#"
//! fleet version=1 period-ms=500 {
//!     member "n0" address="127.0.0.1:7946" zone="a"
//!     member "n1" address="127.0.0.1:7947" zone="b"
//! }"#;
//! let document = yarrowhill_fleet::parse_document("fleet.kdl", text, "n0").unwrap();
//! assert_eq!(document.roster.len(), 2);
//! assert_eq!(document.listen.port(), 7946);
//! ```

use kdl::{KdlDocument, KdlNode, KdlValue};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use yarrowhill_duties::{Duty, MAX_DUTIES};
use yarrowhill_membership::{MAX_MEMBERS, MemberConfig, MemberId, Roster, Timing};
use yarrowhill_rights::{CALL, Limit, retry_limit_id};

/// Maximum length of a document.
const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Accepted range of the probe period (ms).
const PERIOD_RANGE_MS: std::ops::RangeInclusive<i128> = 20..=60_000;
/// Probe period if the document does not set one.
const DEFAULT_PERIOD_MS: u64 = 1000;
/// Accepted range of a shared limit (calls per second).
const CALL_RATE_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1e6;
/// Maximum number of limits in a document.
const MAX_LIMITS: usize = 10_000;
/// Maximum number of diagnostics that are reported.
const MAX_DIAGNOSTICS: usize = 100;
/// Largest fleet whose members collect support continuously by default; in a larger one only if the document
/// sets `confirm`.
const MAX_MEMBERS_CONFIRM_BY_DEFAULT: usize = 64;

/// A fault in a fleet document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Position of the fault: file, line and column, both from 1.
    pub location: (String, usize, usize),
    /// Description of the fault.
    pub problem: String,
    /// Suggested correction.
    pub remedy: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (file, line, column) = &self.location;
        write!(f, "{file}:{line}:{column}: {}; {}", self.problem, self.remedy)
    }
}

/// The content of a fleet document, as it applies to one member.
#[derive(Clone, Debug)]
pub struct Document {
    /// The configured members.
    pub roster: Roster,
    /// Address on which the local member listens, by UDP and TCP.
    pub listen: SocketAddr,
    /// Addresses of the other members, as reached from the local member.
    pub addresses: BTreeMap<MemberId, SocketAddr>,
    /// Periods and time-outs of the membership protocol.
    pub timing: Timing,
    /// Limits that all members share, by destination; a limit on retries is stored under [`retry_limit_id`]
    /// of the destination.
    pub limits: BTreeMap<u64, Limit>,
    /// Whether members report outages to each other and bring a recovered destination back together.
    pub share_outages: bool,
    /// Duties, each held by at most one member at a time.
    pub duties: Vec<Duty>,
}

struct Parser<'a> {
    file: &'a str,
    text: &'a str,
    diagnostics: Vec<Diagnostic>,
}

/// Parses a document for the member that is named `local`. `file` is the name shown in diagnostics.
///
/// # Errors
///
/// Returns a diagnostic for each fault.
pub fn parse_document(file: &str, text: &str, local: &str) -> Result<Document, Vec<Diagnostic>> {
    let mut parser = Parser { file, text, diagnostics: Vec::new() };
    let document = parser.parse(local);
    parser.diagnostics.truncate(MAX_DIAGNOSTICS);
    match document {
        Some(document) if parser.diagnostics.is_empty() => Ok(document),
        _ => Err(parser.diagnostics),
    }
}

impl Parser<'_> {
    fn report(&mut self, offset: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        let before = self.text.get(..offset).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        let location = (self.file.to_owned(), line, column);
        self.diagnostics.push(Diagnostic { location, problem: problem.into(), remedy: remedy.into() });
    }

    fn parse(&mut self, local: &str) -> Option<Document> {
        if self.text.len() > MAX_DOCUMENT_BYTES {
            self.report(
                0,
                format!("document of {} bytes is too long", self.text.len()),
                format!("at most {MAX_DOCUMENT_BYTES} bytes"),
            );
            return None;
        }
        let parsed: KdlDocument = match self.text.parse() {
            Ok(parsed) => parsed,
            Err(e) => {
                let e: kdl::KdlError = e;
                for diagnostic in &e.diagnostics {
                    let problem = diagnostic.message.clone().unwrap_or_else(|| "syntax error".to_owned());
                    let remedy = diagnostic.help.clone().unwrap_or_else(|| "write valid KDL".to_owned());
                    self.report(diagnostic.span.offset(), problem, remedy);
                }
                return None;
            }
        };
        let mut fleets = parsed.nodes().iter();
        let Some(fleet) = fleets.next().filter(|n| n.name().value() == "fleet") else {
            self.report(0, "no `fleet` node at the start", "begin with `fleet version=1 { ... }`");
            return None;
        };
        for other in fleets {
            self.report(other.span().offset(), "a second top-level node", "a document has one `fleet` node");
        }
        self.parse_fleet(fleet, local)
    }

    fn parse_fleet(&mut self, node: &KdlNode, local: &str) -> Option<Document> {
        self.check_properties(node, &["version", "listen", "period-ms", "loopback", "confirm", "returns"]);
        let version = self.parse_integer(node, "version", 1..=i128::from(u32::MAX)).unwrap_or(0);
        if node.get("version").is_none() {
            self.report(
                node.span().offset(),
                "no version",
                "set `version`, one higher with each change of the roster",
            );
        }
        let period = self.parse_integer(node, "period-ms", PERIOD_RANGE_MS).unwrap_or(DEFAULT_PERIOD_MS);
        let loopback = self.parse_bool(node, "loopback").unwrap_or(false);
        let share_outages = self.parse_bool(node, "returns").unwrap_or(true);
        let (mut members, mut previous) = (Vec::new(), Vec::new());
        let mut duties: Vec<Duty> = Vec::new();
        let (mut addresses, mut limits) = (BTreeMap::new(), BTreeMap::new());
        for child in node.children().map(KdlDocument::nodes).unwrap_or_default() {
            match child.name().value() {
                "member" => members.extend(self.parse_member(child, loopback, &mut addresses)),
                "before" => {
                    self.check_properties(child, &[]);
                    for member in child.children().map(KdlDocument::nodes).unwrap_or_default() {
                        previous.extend(self.parse_member(member, loopback, &mut addresses));
                    }
                }
                "limit" => self.parse_limit(child, &mut limits),
                "duty" => self.parse_duty(child, &mut duties),
                other => {
                    let problem = format!("unknown node {other:?}");
                    self.report(child.span().offset(), problem, "use member, before, limit or duty");
                }
            }
        }
        let offset = node.span().offset();
        let mut checked = |roster: Result<Roster, _>| match roster {
            Ok(roster) => Some(roster),
            Err(e) => {
                let e: yarrowhill_membership::RosterError = e;
                self.report(offset, e.to_string(), format!("list 1 to {MAX_MEMBERS} members, each once"));
                None
            }
        };
        let current = checked(Roster::new(version, members))?;
        let roster = match previous.is_empty() {
            true => current,
            false => checked(Roster::new(version.saturating_sub(1), previous))?.joint(&current),
        };
        let id = MemberId::from_name(local);
        if !roster.contains(id) {
            self.report(offset, format!("{local:?} is not a member"), "list the forwarder's own name");
            return None;
        }
        let local_address = addresses.get(&id).copied();
        let listen = self.parse_address(node, "listen", loopback).or(local_address)?;
        addresses.remove(&id);
        let mut timing = Timing::from_period(period * 1000);
        timing.collect_support =
            self.parse_bool(node, "confirm").unwrap_or(roster.len() <= MAX_MEMBERS_CONFIRM_BY_DEFAULT);
        Some(Document { roster, listen, addresses, timing, limits, share_outages, duties })
    }

    /// Parses `limit 10 calls=60.0 further=6.0`: the calls per second that all members together may send to a
    /// destination, and how many of these may be retries. With `lend=#false` each member keeps its equal
    /// share.
    fn parse_limit(&mut self, node: &KdlNode, limits: &mut BTreeMap<u64, Limit>) {
        self.check_properties(node, &["calls", "further", "lend"]);
        let lend = self.parse_bool(node, "lend").unwrap_or(true);
        let offset = node.span().offset();
        let dest = node.get(0).and_then(KdlValue::as_integer).and_then(|n| u64::try_from(n).ok());
        // The upper half of the ID range is reserved for limits on retries.
        let Some(dest) = dest.filter(|dest| retry_limit_id(*dest) != *dest) else {
            return self.report(offset, "a limit without a destination", "`limit DESTINATION calls=N`");
        };
        let mut has_limit = false;
        for (name, id) in [("calls", dest), ("further", retry_limit_id(dest))] {
            let Some(value) = node.get(name) else { continue };
            has_limit = true;
            let calls = value.as_integer().map(|n| n as f64).or_else(|| value.as_float());
            let Some(calls) = calls.filter(|calls| CALL_RATE_RANGE.contains(calls)) else {
                let remedy = format!(
                    "a number from {} to {}, in calls per second",
                    CALL_RATE_RANGE.start(),
                    CALL_RATE_RANGE.end()
                );
                self.report(offset, format!("{name} is {value}"), remedy);
                continue;
            };
            if limits.len() >= MAX_LIMITS {
                self.report(offset, "too many limits", format!("at most {MAX_LIMITS}"));
            } else if limits.insert(id, Limit { calls: (calls * CALL as f64) as u64, lend }).is_some() {
                self.report(
                    offset,
                    format!("a second limit for {dest}"),
                    "set each limit once per destination",
                );
            }
        }
        if !has_limit {
            self.report(
                offset,
                "a limit without `calls` or `further`",
                "`limit DESTINATION calls=N further=N`, or one of the two",
            );
        }
    }

    /// Parses `duty "bookkeeper" zone="riga"`: a duty that one member holds at a time, preferably one of the
    /// zone.
    fn parse_duty(&mut self, node: &KdlNode, duties: &mut Vec<Duty>) {
        self.check_properties(node, &["zone"]);
        let offset = node.span().offset();
        let name = node.get(0).and_then(KdlValue::as_string).filter(|n| !n.is_empty() && n.len() <= 64);
        let Some(name) = name else {
            return self.report(
                offset,
                "a duty without a name",
                "`duty \"NAME\"`, with a name of up to 64 bytes",
            );
        };
        let zone = node.get("zone").and_then(KdlValue::as_string).map(str::to_owned);
        if duties.iter().any(|duty| duty.name == name) {
            self.report(offset, format!("a second duty {name:?}"), "list each duty once");
        } else if duties.len() >= MAX_DUTIES {
            self.report(offset, "too many duties", format!("at most {MAX_DUTIES}"));
        } else {
            duties.push(Duty { name: name.to_owned(), zone });
        }
    }

    fn parse_member(
        &mut self,
        node: &KdlNode,
        loopback: bool,
        addresses: &mut BTreeMap<MemberId, SocketAddr>,
    ) -> Option<MemberConfig> {
        self.check_properties(node, &["address", "zone", "votes"]);
        let name = node.get(0).and_then(KdlValue::as_string).map(str::to_owned);
        let offset = node.span().offset();
        let Some(name) = name.filter(|n| !n.is_empty() && n.len() <= 64) else {
            self.report(
                offset,
                "a member without a name",
                "`member \"n0\" address=...`, with a name of up to 64 bytes",
            );
            return None;
        };
        match self.parse_address(node, "address", loopback) {
            Some(address) => {
                let is_taken =
                    addresses.iter().any(|(id, a)| *a == address && *id != MemberId::from_name(&name));
                if is_taken {
                    self.report(
                        offset,
                        format!("{address} is another member's address"),
                        "give each member its own address",
                    );
                }
                addresses.insert(MemberId::from_name(&name), address);
            }
            None if node.get("address").is_none() => {
                self.report(offset, format!("{name:?} has no address"), "`address=\"IP:PORT\"`");
            }
            None => {}
        }
        let zone = node.get("zone").and_then(KdlValue::as_string).unwrap_or_default().to_owned();
        Some(MemberConfig { name, zone, votes: self.parse_bool(node, "votes") })
    }

    fn check_properties(&mut self, node: &KdlNode, names: &[&str]) {
        let unknown: Vec<String> = node
            .entries()
            .iter()
            .filter_map(|e| e.name().map(|n| n.value().to_owned()))
            .filter(|n| !names.contains(&n.as_str()))
            .collect();
        for name in unknown {
            let remedy = format!("known properties: {}", names.join(", "));
            self.report(node.span().offset(), format!("unknown property {name:?}"), remedy);
        }
    }

    fn parse_integer(
        &mut self,
        node: &KdlNode,
        name: &str,
        range: std::ops::RangeInclusive<i128>,
    ) -> Option<u64> {
        let value = node.get(name)?;
        match value.as_integer().filter(|n| range.contains(n)) {
            Some(n) => u64::try_from(n).ok(),
            None => {
                let remedy = format!("an integer from {} to {}", range.start(), range.end());
                self.report(node.span().offset(), format!("{name} is {value}"), remedy);
                None
            }
        }
    }

    fn parse_bool(&mut self, node: &KdlNode, name: &str) -> Option<bool> {
        let value = node.get(name)?;
        if value.as_bool().is_none() {
            self.report(node.span().offset(), format!("{name} is {value}"), "#true or #false");
        }
        value.as_bool()
    }

    fn parse_address(&mut self, node: &KdlNode, name: &str, loopback: bool) -> Option<SocketAddr> {
        let value = node.get(name)?;
        let address: Option<SocketAddr> = value.as_string().and_then(|a| a.parse().ok());
        match address {
            Some(a) if a.port() == 0 || a.ip().is_unspecified() => {
                self.report(
                    node.span().offset(),
                    format!("{a} cannot be reached"),
                    "give a specific IP address and a port other than 0",
                );
                None
            }
            Some(a) if loopback && !a.ip().is_loopback() => {
                self.report(
                    node.span().offset(),
                    format!("{a} is not on loopback"),
                    "give a loopback address, as `loopback` is set",
                );
                None
            }
            Some(a) => Some(a),
            None => {
                self.report(node.span().offset(), format!("{name} is {value}"), "\"IP:PORT\"");
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
