//! The fleet's document: who should exist, and where. Read whole or refused whole, every fault at its place.
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

/// The longest document (bytes).
const LONGEST: usize = 1 << 20;
/// A probe period (ms) may be this.
const PERIOD: std::ops::RangeInclusive<i128> = 20..=60_000;
/// Without a word in the document (ms).
const PERIOD_USUAL: u64 = 1000;
/// Calls a second that a shared limit may be.
const CALLS: std::ops::RangeInclusive<f64> = 0.001..=1e6;
/// Limits in a document.
const LIMITS_MOST: usize = 10_000;
/// Faults that are told.
const FAULTS_MOST: usize = 100;
/// Fleets up to this size ask for support all the time; larger ones where the document says so.
const CONFIRM_MOST: usize = 64;

/// Something wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where: file, line, column.
    pub location: (String, usize, usize),
    /// What.
    pub problem: String,
    /// What would be right.
    pub remedy: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (file, line, column) = &self.location;
        write!(f, "{file}:{line}:{column}: {}; {}", self.problem, self.remedy)
    }
}

/// What a document says.
#[derive(Clone, Debug)]
pub struct Document {
    /// Who should exist.
    pub roster: Roster,
    /// Where this one listens, UDP and TCP.
    pub listen: SocketAddr,
    /// Where the others are, as this one reaches them.
    pub addresses: BTreeMap<MemberId, SocketAddr>,
    /// The protocol's spans.
    pub timing: Timing,
    /// Limits that all share, by destination; those on attempts beyond the first by [`further_attempts`] of it.
    pub limits: BTreeMap<u64, Limit>,
    /// Whether they tell each other of outages, and come back together.
    pub share_outages: bool,
    /// Duties that one of them holds at a time.
    pub duties: Vec<Duty>,
}

struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    faults: Vec<Diagnostic>,
}

/// Reads a document for the member `me`.
///
/// # Errors
///
/// Everything that is wrong with it.
pub fn parse_document(file: &str, text: &str, me: &str) -> Result<Document, Vec<Diagnostic>> {
    let mut reader = Reader { file, text, faults: Vec::new() };
    let document = reader.document(me);
    reader.faults.truncate(FAULTS_MOST);
    match document {
        Some(document) if reader.faults.is_empty() => Ok(document),
        _ => Err(reader.faults),
    }
}

impl Reader<'_> {
    fn fault(&mut self, offset: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        let before = self.text.get(..offset).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        let location = (self.file.to_owned(), line, column);
        self.faults.push(Diagnostic { location, problem: problem.into(), remedy: remedy.into() });
    }

    fn document(&mut self, me: &str) -> Option<Document> {
        if self.text.len() > LONGEST {
            self.fault(0, format!("{} bytes", self.text.len()), format!("{LONGEST} are the most"));
            return None;
        }
        let parsed: KdlDocument = match self.text.parse() {
            Ok(parsed) => parsed,
            Err(e) => {
                let e: kdl::KdlError = e;
                for d in &e.diagnostics {
                    let what = d.message.clone().unwrap_or_else(|| "cannot be read".to_owned());
                    let remedy = d.help.clone().unwrap_or_else(|| "it is to be KDL".to_owned());
                    self.fault(d.span.offset(), what, remedy);
                }
                return None;
            }
        };
        let mut fleets = parsed.nodes().iter();
        let Some(fleet) = fleets.next().filter(|n| n.name().value() == "fleet") else {
            self.fault(0, "there is no fleet", "begin with `fleet version=1 { ... }`");
            return None;
        };
        for other in fleets {
            self.fault(other.span().offset(), "a second node", "one `fleet` is the whole document");
        }
        self.fleet(fleet, me)
    }

    fn fleet(&mut self, node: &KdlNode, me: &str) -> Option<Document> {
        self.known(node, &["version", "listen", "period-ms", "loopback", "confirm", "returns"]);
        let version = self.number(node, "version", 1..=i128::from(u32::MAX)).unwrap_or(0);
        if node.get("version").is_none() {
            self.fault(node.span().offset(), "no version", "each change of the roster takes the next one");
        }
        let period = self.number(node, "period-ms", PERIOD).unwrap_or(PERIOD_USUAL);
        let loopback = self.flag(node, "loopback").unwrap_or(false);
        let share_outages = self.flag(node, "returns").unwrap_or(true);
        let (mut seats, mut before) = (Vec::new(), Vec::new());
        let mut duties: Vec<Duty> = Vec::new();
        let (mut addresses, mut limits) = (BTreeMap::new(), BTreeMap::new());
        for child in node.children().map(KdlDocument::nodes).unwrap_or_default() {
            match child.name().value() {
                "member" => seats.extend(self.member(child, loopback, &mut addresses)),
                "before" => {
                    self.known(child, &[]);
                    for old in child.children().map(KdlDocument::nodes).unwrap_or_default() {
                        before.extend(self.member(old, loopback, &mut addresses));
                    }
                }
                "limit" => self.limit(child, &mut limits),
                "duty" => self.duty(child, &mut duties),
                other => {
                    let what = format!("unknown node {other:?}");
                    self.fault(child.span().offset(), what, "member, before, limit and duty are known");
                }
            }
        }
        let at = node.span().offset();
        let mut sound = |roster: Result<Roster, _>| match roster {
            Ok(roster) => Some(roster),
            Err(e) => {
                let e: yarrowhill_membership::RosterError = e;
                self.fault(at, e.to_string(), format!("1 to {MAX_MEMBERS} members, each once"));
                None
            }
        };
        let now = sound(Roster::new(version, seats))?;
        let roster = match before.is_empty() {
            true => now,
            false => sound(Roster::new(version.saturating_sub(1), before))?.joint(&now),
        };
        let id = MemberId::from_name(me);
        if !roster.contains(id) {
            self.fault(at, format!("{me:?} is not a member"), "the forwarder's own name must be there");
            return None;
        }
        let own = addresses.get(&id).copied();
        let listen = self.address(node, "listen", loopback).or(own)?;
        addresses.remove(&id);
        let mut timing = Timing::from_period(period * 1000);
        timing.collect_support = self.flag(node, "confirm").unwrap_or(roster.len() <= CONFIRM_MOST);
        Some(Document { roster, listen, addresses, timing, limits, share_outages, duties })
    }

    /// `limit 10 calls=60.0 further=6.0`: calls a second to a destination, for all together, and of these, attempts beyond the
    /// first; `lend=#false` leaves each its even part.
    fn limit(&mut self, node: &KdlNode, limits: &mut BTreeMap<u64, Limit>) {
        self.known(node, &["calls", "further", "lend"]);
        let lend = self.flag(node, "lend").unwrap_or(true);
        let at = node.span().offset();
        let dest = node.get(0).and_then(KdlValue::as_integer).and_then(|n| u64::try_from(n).ok());
        // The upper half of all numbers stands for attempts beyond the first.
        let Some(dest) = dest.filter(|dest| retry_limit_id(*dest) != *dest) else {
            return self.fault(at, "a limit without its destination", "`limit DESTINATION calls=N`");
        };
        let mut any = false;
        for (name, number) in [("calls", dest), ("further", retry_limit_id(dest))] {
            let Some(value) = node.get(name) else { continue };
            any = true;
            let calls = value.as_integer().map(|n| n as f64).or_else(|| value.as_float());
            let Some(calls) = calls.filter(|calls| CALLS.contains(calls)) else {
                let remedy = format!("from {} to {} a second", CALLS.start(), CALLS.end());
                self.fault(at, format!("{name} is {value}"), remedy);
                continue;
            };
            if limits.len() >= LIMITS_MOST {
                self.fault(at, "too many limits", format!("{LIMITS_MOST} are the most"));
            } else if limits.insert(number, Limit { calls: (calls * CALL as f64) as u64, lend }).is_some() {
                self.fault(at, format!("a second limit for {dest}"), "one for each destination");
            }
        }
        if !any {
            self.fault(
                at,
                "a limit without its calls",
                "`limit DESTINATION calls=N further=N`, or one of them",
            );
        }
    }

    /// `duty "bookkeeper" zone="riga"`: one of them holds it at a time, one of the zone before others.
    fn duty(&mut self, node: &KdlNode, duties: &mut Vec<Duty>) {
        self.known(node, &["zone"]);
        let at = node.span().offset();
        let name = node.get(0).and_then(KdlValue::as_string).filter(|n| !n.is_empty() && n.len() <= 64);
        let Some(name) = name else {
            return self.fault(at, "a duty without a name", "`duty \"NAME\"`, up to 64 bytes");
        };
        let zone = node.get("zone").and_then(KdlValue::as_string).map(str::to_owned);
        if duties.iter().any(|duty| duty.name == name) {
            self.fault(at, format!("a second duty {name:?}"), "each once");
        } else if duties.len() >= MAX_DUTIES {
            self.fault(at, "too many duties", format!("{MAX_DUTIES} are the most"));
        } else {
            duties.push(Duty { name: name.to_owned(), zone });
        }
    }

    fn member(
        &mut self,
        node: &KdlNode,
        loopback: bool,
        addresses: &mut BTreeMap<MemberId, SocketAddr>,
    ) -> Option<MemberConfig> {
        self.known(node, &["address", "zone", "votes"]);
        let name = node.get(0).and_then(KdlValue::as_string).map(str::to_owned);
        let at = node.span().offset();
        let Some(name) = name.filter(|n| !n.is_empty() && n.len() <= 64) else {
            self.fault(at, "a member without a name", "`member \"n0\" address=...`, up to 64 bytes");
            return None;
        };
        match self.address(node, "address", loopback) {
            Some(address) => {
                let taken =
                    addresses.iter().any(|(id, a)| *a == address && *id != MemberId::from_name(&name));
                if taken {
                    self.fault(at, format!("{address} is another member's"), "one address each");
                }
                addresses.insert(MemberId::from_name(&name), address);
            }
            None if node.get("address").is_none() => {
                self.fault(at, format!("{name:?} has no address"), "`address=\"IP:PORT\"`");
            }
            None => {}
        }
        let zone = node.get("zone").and_then(KdlValue::as_string).unwrap_or_default().to_owned();
        Some(MemberConfig { name, zone, votes: self.flag(node, "votes") })
    }

    fn known(&mut self, node: &KdlNode, names: &[&str]) {
        let unknown: Vec<String> = node
            .entries()
            .iter()
            .filter_map(|e| e.name().map(|n| n.value().to_owned()))
            .filter(|n| !names.contains(&n.as_str()))
            .collect();
        for name in unknown {
            let remedy = format!("known are: {}", names.join(", "));
            self.fault(node.span().offset(), format!("unknown {name:?}"), remedy);
        }
    }

    fn number(&mut self, node: &KdlNode, name: &str, range: std::ops::RangeInclusive<i128>) -> Option<u64> {
        let value = node.get(name)?;
        match value.as_integer().filter(|n| range.contains(n)) {
            Some(n) => u64::try_from(n).ok(),
            None => {
                let remedy = format!("a whole number from {} to {}", range.start(), range.end());
                self.fault(node.span().offset(), format!("{name} is {value}"), remedy);
                None
            }
        }
    }

    fn flag(&mut self, node: &KdlNode, name: &str) -> Option<bool> {
        let value = node.get(name)?;
        if value.as_bool().is_none() {
            self.fault(node.span().offset(), format!("{name} is {value}"), "#true or #false");
        }
        value.as_bool()
    }

    fn address(&mut self, node: &KdlNode, name: &str, loopback: bool) -> Option<SocketAddr> {
        let value = node.get(name)?;
        let address: Option<SocketAddr> = value.as_string().and_then(|a| a.parse().ok());
        match address {
            Some(a) if a.port() == 0 || a.ip().is_unspecified() => {
                self.fault(node.span().offset(), format!("{a} reaches nobody"), "an IP and a port");
                None
            }
            Some(a) if loopback && !a.ip().is_loopback() => {
                self.fault(node.span().offset(), format!("{a} is not on loopback"), "loopback was asked for");
                None
            }
            Some(a) => Some(a),
            None => {
                self.fault(node.span().offset(), format!("{name} is {value}"), "\"IP:PORT\"");
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn faults(text: &str) -> Vec<String> {
        let faults = parse_document("f", text, "n0").err().unwrap_or_default();
        faults.iter().map(ToString::to_string).collect()
    }

    #[test]
    fn every_fault_is_told_at_its_place() {
        let told = faults(
            "fleet version=0 wrong=1 loopback=#true {\n  member \"n0\" address=\"10.0.0.1:7\"\n  \
             member \"n1\" address=\"nowhere\"\n  member\n  seat \"n2\"\n}",
        );
        for part in
            ["version is 0", "unknown \"wrong\"", "not on loopback", "nowhere", "without a name", "seat"]
        {
            assert!(told.iter().any(|f| f.contains(part)), "{part}: {told:#?}");
        }
        assert!(told.iter().any(|f| f.starts_with("f:3:3:")), "{told:#?}");
    }

    #[test]
    fn duties_are_read_each_once() {
        let text =
            |duties: &str| format!("fleet version=1 {{ member \"n0\" address=\"127.0.0.1:7\"\n{duties}\n}}");
        let sound = parse_document("f", &text("duty \"a\" zone=\"z\"\nduty \"b\""), "n0").expect("sound");
        assert_eq!(sound.duties, [Duty { name: "a".into(), zone: Some("z".into()) }, Duty::new("b")]);
        let told = faults(&text("duty \"a\"\nduty \"a\" room=1\nduty"));
        for part in ["a second duty", "unknown \"room\"", "without a name"] {
            assert!(told.iter().any(|f| f.contains(part)), "{part}: {told:?}");
        }
    }

    #[test]
    fn limits_on_calls_and_on_further_attempts_are_two() {
        let text =
            |limits: &str| format!("fleet version=1 {{ member \"n0\" address=\"127.0.0.1:7\"\n{limits}\n}}");
        let document = parse_document("f", &text("limit 7 calls=10 further=1.5\nlimit 8 further=2"), "n0")
            .expect("sound");
        let calls: Vec<(u64, u64)> = document.limits.iter().map(|(n, l)| (*n, l.calls)).collect();
        let further = [7, 8].map(retry_limit_id);
        assert_eq!(calls, [(7, 10 * CALL), (further[0], 3 * CALL / 2), (further[1], 2 * CALL)]);
        for (limit, told) in [
            ("limit 7", "without its calls"),
            ("limit calls=3", "without its destination"),
            ("limit 9223372036854775815 calls=1", "without its destination"),
            ("limit 7 further=#true", "further is #true"),
            ("limit 7 calls=1\nlimit 7 calls=2", "a second limit"),
        ] {
            assert!(
                faults(&text(limit)).iter().any(|f| f.contains(told)),
                "{limit}: {:?}",
                faults(&text(limit))
            );
        }
    }

    #[test]
    fn a_roster_without_me_or_with_a_name_twice_is_refused() {
        let one = "fleet version=1 { member \"n1\" address=\"127.0.0.1:7\"; }";
        assert!(faults(one)[0].contains("not a member"));
        let twice = "fleet version=1 { member \"n0\" address=\"127.0.0.1:7\"; member \"n0\" address=\"127.0.0.1:8\"; }";
        assert!(faults(twice)[0].contains("twice"), "{:?}", faults(twice));
        let same = "fleet version=1 { member \"n0\" address=\"127.0.0.1:7\"; member \"n1\" address=\"127.0.0.1:7\"; }";
        assert!(faults(same)[0].contains("another member's"));
        assert!(!faults("fleet {").is_empty());
        assert!(!faults("").is_empty());
    }
}
