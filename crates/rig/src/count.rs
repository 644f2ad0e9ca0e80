//! Counts over a fleet, from the logs that its forwarders wrote with `YARROWHILL_LOG=debug`: what was taken, sent,
//! written, ended, given up and refused, by forwarder, destination and second, and which messages a rule concerns.
//! Logs are read line by line, one after another; of each message only what the rules need is kept.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

/// A line longer than this is cut off: none of ours is (bytes).
const LINE_MOST: usize = 1 << 20;
/// Messages that a rule concerns are told by their ids, so many.
const SUSPECTS_MOST: usize = 1000;
/// Sends that cross the answer that told of a wait are let through (microseconds).
const WAIT_GRACE: i64 = 100_000;

/// What happened in one second of one forwarder with one destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cell {
    /// Messages that were taken up, those of an earlier process too.
    pub taken: u64,
    /// Attempts that the module decided on.
    pub sent: u64,
    /// Calls of which a byte was written.
    pub written: u64,
    /// Attempts that ended with the message delivered,
    pub delivered: u64,
    /// refused above a limit or at a shut door,
    pub full: u64,
    /// with no connection, or not begun,
    pub never_ran: u64,
    /// or in a way in which they may have run.
    pub may_have_run: u64,
    /// Messages that were refused,
    pub refused: u64,
    /// or failed.
    pub failed: u64,
}

impl Cell {
    /// Names and figures, in the order of a message's way.
    pub fn columns(&self) -> [(&'static str, u64); 9] {
        [
            ("taken", self.taken),
            ("sent", self.sent),
            ("written", self.written),
            ("delivered", self.delivered),
            ("full", self.full),
            ("never-ran", self.never_ran),
            ("may-have-run", self.may_have_run),
            ("refused", self.refused),
            ("failed", self.failed),
        ]
    }

    /// Adds another one's figures.
    pub fn add(&mut self, other: &Cell) {
        self.taken += other.taken;
        self.sent += other.sent;
        self.written += other.written;
        self.delivered += other.delivered;
        self.full += other.full;
        self.never_ran += other.never_ran;
        self.may_have_run += other.may_have_run;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

/// Where a figure belongs: forwarder, destination, second.
pub type CellKey = (usize, u64, i64);

/// A message that a rule concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectedBreach {
    /// Its id.
    pub id: String,
    /// When (microseconds of Unix time, as the log tells it).
    pub at_us: i64,
    /// The forwarder, by its place among the logs.
    pub forwarder: usize,
    /// What.
    pub rule: &'static str,
}

/// What the logs tell together.
#[derive(Debug, Default)]
pub struct Counts {
    /// Forwarders, by their logs' names.
    pub forwarders: Vec<String>,
    /// Figures.
    pub cells: BTreeMap<CellKey, Cell>,
    /// Distinct messages, whoever took them.
    pub messages: u64,
    /// Of these: delivered at least once.
    pub delivered: u64,
    /// Messages that a rule concerns, in the order of the logs.
    pub suspected_breaches: Vec<SuspectedBreach>,
    /// How many there are, those that are not named too.
    pub suspected_totals: BTreeMap<&'static str, u64>,
    /// Logs that are missing, empty, cut off, or hold lines that are not ours; the rest is counted.
    pub log_errors: Vec<(PathBuf, String)>,
}

/// What is remembered of a message.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    class: u8,
    /// Attempts out that may still run.
    out: u8,
    delivered: u8,
    /// The first attempt that may have run, where one did (microseconds).
    risk: Option<i64>,
    open: bool,
}

/// What a class's repeat does, as the settings of the log tell.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    Safe,
    Keyed(i64),
    Unsafe,
}

#[derive(Default)]
struct Reader {
    counts: Counts,
    known: HashMap<u64, Known>,
    effects: Vec<Effect>,
}

/// Counts over logs, each of one forwarder.
pub fn count(logs: &[PathBuf]) -> Counts {
    let mut reader = Reader::default();
    for log in logs {
        let number = reader.counts.forwarders.len();
        let name = log.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
        reader.counts.forwarders.push(name);
        if let Err(e) = reader.log(number, log) {
            reader.counts.log_errors.push((log.clone(), e.to_string()));
        }
    }
    let Reader { mut counts, known, .. } = reader;
    counts.messages = known.len() as u64;
    counts.delivered = known.values().filter(|k| k.delivered > 0).count() as u64;
    counts
}

/// What is remembered of one forwarder while its log is read.
#[derive(Default)]
struct Own {
    /// Destinations' waits, by destination: until when.
    waits: HashMap<u64, i64>,
    /// Where each message goes, by the hash of its id.
    dests: HashMap<u64, u64>,
    /// When each attempt was sent.
    sent: HashMap<(u64, u64), i64>,
}

impl Reader {
    fn log(&mut self, number: usize, path: &Path) -> io::Result<()> {
        let mut lines = BufReader::new(File::open(path)?);
        let (mut text, mut own) = (Vec::new(), Own::default());
        let (mut read, mut strange) = (0u64, 0u64);
        loop {
            text.clear();
            let length = io::Read::take(&mut lines, LINE_MOST as u64).read_until(b'\n', &mut text)?;
            if length == 0 {
                break;
            }
            let whole = text.ends_with(b"\n");
            let line = String::from_utf8_lossy(&text);
            if !whole {
                self.counts.log_errors.push((path.to_owned(), "its last line is cut off".to_owned()));
            }
            match Line::read(line.trim_end()) {
                Some(line) => {
                    read += 1;
                    self.line(number, &mut own, &line);
                }
                None => strange += u64::from(whole),
            }
        }
        if read == 0 {
            return Err(io::Error::other(if strange == 0 { "it is empty" } else { "no line is ours" }));
        }
        if strange > 0 {
            let what = format!("{strange} lines are not ours, {read} were counted");
            self.counts.log_errors.push((path.to_owned(), what));
        }
        Ok(())
    }

    fn cell(&mut self, number: usize, dest: u64, at: i64) -> &mut Cell {
        self.counts.cells.entry((number, dest, at.div_euclid(1_000_000))).or_default()
    }

    fn suspect(&mut self, number: usize, line: &Line<'_>, id: &str, what: &'static str) {
        *self.counts.suspected_totals.entry(what).or_default() += 1;
        if self.counts.suspected_breaches.len() < SUSPECTS_MOST {
            let suspect =
                SuspectedBreach { id: id.to_owned(), at_us: line.at, forwarder: number, rule: what };
            self.counts.suspected_breaches.push(suspect);
        }
    }

    fn line(&mut self, number: usize, own: &mut Own, line: &Line<'_>) {
        let at = line.at;
        if line.what == "starts" {
            // A new process: what was out is over, as far as this forwarder can tell.
            self.effects = effects(line.rest);
            own.sent.clear();
            return;
        }
        let Some(id) = line.field("id").or_else(|| line.field("first")) else { return };
        let key = hash(id);
        let of = own.dests.get(&key).copied();
        let dest = line.number("dest").or(of).unwrap_or(0);
        match line.what {
            "taken" => {
                own.dests.insert(key, dest);
                let known = self.known.entry(key).or_default();
                known.open = true;
                known.class = line.number("class").unwrap_or(0) as u8;
                self.cell(number, dest, at).taken += 1;
            }
            "sent" => {
                self.cell(number, dest, at).sent += 1;
                let attempt = line.number("attempt").unwrap_or(0);
                own.sent.insert((key, attempt), at);
                let known = self.known.entry(key).or_default();
                let effect = self.effects.get(usize::from(known.class)).copied().unwrap_or(Effect::Safe);
                let again = match (effect, known.risk) {
                    (Effect::Unsafe, Some(_)) => Some("unsafe, sent after an attempt that may have run"),
                    (Effect::Keyed(life), Some(first)) if at > first + life => {
                        Some("keyed, sent after its key's life")
                    }
                    _ => None,
                };
                known.out = known.out.saturating_add(1);
                if let Some(what) = again {
                    self.suspect(number, line, id, what);
                }
                if own.waits.get(&dest).is_some_and(|until| at + WAIT_GRACE < *until) {
                    self.suspect(number, line, id, "sent within a wait");
                }
            }
            "written" => self.cell(number, dest, at).written += 1,
            "ended" => self.ended(number, own, line, id, dest),
            "given up" => {
                let refused = line.field("end") == Some("Refused");
                let cell = self.cell(number, dest, at);
                *(if refused { &mut cell.refused } else { &mut cell.failed }) += 1;
                self.known.entry(key).or_default().open = false;
            }
            _ => {}
        }
    }

    fn ended(&mut self, number: usize, own: &mut Own, line: &Line<'_>, id: &str, dest: u64) {
        let (at, key) = (line.at, hash(id));
        let attempt = line.number("attempt").unwrap_or(0);
        let sent = own.sent.remove(&(key, attempt)).unwrap_or(at);
        if let Some(wait) = line.wait() {
            let until = own.waits.entry(dest).or_insert(0);
            *until = (*until).max(at + wait);
        }
        let outcome = line.field("outcome").unwrap_or("");
        let cell = self.cell(number, dest, at);
        match outcome {
            "Delivered" => cell.delivered += 1,
            "Full" => cell.full += 1,
            "ConnectFailed" | "NotSent" => cell.never_ran += 1,
            _ => cell.may_have_run += 1,
        }
        let known = self.known.entry(key).or_default();
        known.out = known.out.saturating_sub(1);
        let mut twice = false;
        match outcome {
            "Delivered" => {
                twice = known.delivered > 0;
                known.delivered = known.delivered.saturating_add(1);
                known.open = false;
                known.risk.get_or_insert(sent);
            }
            "Full" | "ConnectFailed" | "NotSent" => {}
            _ => drop(known.risk.get_or_insert(sent)),
        }
        if twice {
            self.suspect(number, line, id, "delivered more than once");
        }
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Classes in the order of the settings.
fn effects(settings: &str) -> Vec<Effect> {
    let told = settings.split("effect: ").skip(1);
    told.map(|text| match text.split([',', ' ']).next() {
        Some("Unsafe") => Effect::Unsafe,
        Some("Keyed") => {
            let life = text.split("life: ").nth(1).map(|t| t.split([',', ' ']).next().unwrap_or(""));
            Effect::Keyed(life.and_then(|l| l.parse().ok()).unwrap_or(i64::MAX / 2))
        }
        _ => Effect::Safe,
    })
    .collect()
}

/// One line of a log.
#[derive(Debug)]
struct Line<'a> {
    at: i64,
    what: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    /// `2026-12-01T20:00:00.123456Z DEBUG sent id=a attempt=0 dest=7`; a word that whoever kept the log put before each
    /// line is passed over.
    fn read(text: &'a str) -> Option<Self> {
        let (first, after) = text.split_once(' ')?;
        let stamped = |stamp: &str| humantime::parse_rfc3339(stamp).ok();
        let (time, rest) = match stamped(first) {
            Some(time) => (time, after),
            None => {
                let (second, rest) = after.split_once(' ')?;
                (stamped(second)?, rest)
            }
        };
        let time = time.duration_since(UNIX_EPOCH).ok()?;
        let rest = rest.trim_start();
        let (_, rest) = rest.split_once(' ')?;
        // The words before the first field.
        let end = rest.find('=').map_or(rest.len(), |at| rest[..at].rfind(' ').unwrap_or(0));
        Some(Line { at: time.as_micros() as i64, what: rest[..end].trim(), rest: &rest[end..] })
    }

    /// A field's value, up to the next space; without quotes.
    fn field(&self, name: &str) -> Option<&'a str> {
        let mut from = 0;
        while let Some(at) = self.rest[from..].find(name) {
            let start = from + at;
            let before = self.rest[..start].ends_with(' ');
            let after = &self.rest[start + name.len()..];
            if before && after.starts_with('=') {
                return after[1..].split(' ').next().map(|v| v.trim_matches('"'));
            }
            from = start + name.len();
        }
        None
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// A wait that the answer told (microseconds): its own field, or within the outcome.
    fn wait(&self) -> Option<i64> {
        let own = self.field("wait").map(|w| w.trim_start_matches("Some(").trim_end_matches(')'));
        let within = self.rest.split("Full { wait: Some(").nth(1).and_then(|t| t.split(')').next());
        within.or(own)?.parse().ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn log(name: &str, lines: &[&str]) -> PathBuf {
        let path = std::env::temp_dir().join(format!("yarrowhill-count-{name}-{}.log", std::process::id()));
        std::fs::write(&path, lines.join("\n")).expect("written");
        path
    }

    const STARTS: &str = "2026-12-01T20:00:00.000000Z DEBUG starts settings=Settings { classes: [Class { effect: \
                          Unsafe, aim: 1 }, Class { effect: Keyed { life: 2000000, per_zone: false }, aim: 1 }] }";

    #[test]
    fn a_way_is_counted_and_what_a_rule_concerns_is_named() {
        let a = log(
            "a",
            &[
                STARTS,
                "2026-12-01T20:00:01.000000Z DEBUG taken id=m1 class=0 dest=7 left=5 past=Past { attempts: 0 }",
                "2026-12-01T20:00:01.100000Z DEBUG sent id=m1 attempt=0 endpoint=3 dest=7 call=1",
                "2026-12-01T20:00:01.200000Z DEBUG written endpoint=3 first=\"m1\" kept=false",
                "2026-12-01T20:00:02.000000Z DEBUG ended id=\"m1\" attempt=0 outcome=Reset took=9 report=None",
                "2026-12-01T20:00:02.100000Z DEBUG sent id=m1 attempt=1 endpoint=3 dest=7 call=2",
                "2026-12-01T20:00:02.200000Z DEBUG ended id=\"m1\" attempt=1 outcome=Full { wait: Some(3000000) } took=9",
                "2026-12-01T20:00:03.000000Z DEBUG sent id=m1 attempt=2 endpoint=3 dest=7 call=3",
                "2026-12-01T20:00:03.500000Z DEBUG given up id=m1 end=Failed taken_on=true",
                "",
            ],
        );
        let b = log(
            "b",
            &[
                STARTS,
                "1.000 2026-12-01T20:00:01.000000Z DEBUG taken id=m2 class=1 dest=7 left=5 past=Past { attempts: 0 }",
                "2026-12-01T20:00:01.100000Z DEBUG sent id=m2 attempt=0 endpoint=3 dest=7 call=1",
                "2026-12-01T20:00:02.000000Z DEBUG ended id=\"m2\" attempt=0 outcome=TimedOut took=9",
                "2026-12-01T20:00:03.000000Z DEBUG sent id=m2 attempt=1 endpoint=3 dest=7 call=2",
                "2026-12-01T20:00:03.200000Z DEBUG sent id=m2 attempt=2 endpoint=3 dest=7 call=2",
                "2026-12-01T20:00:03.300000Z DEBUG ended id=\"m2\" attempt=2 outcome=Delivered took=9",
                "",
            ],
        );
        let counts = count(&[a, b]);
        assert!(counts.log_errors.is_empty(), "{:?}", counts.log_errors);
        let mut sum = Cell::default();
        counts.cells.values().for_each(|cell| sum.add(cell));
        let wanted = Cell {
            taken: 2,
            sent: 6,
            written: 1,
            delivered: 1,
            full: 1,
            never_ran: 0,
            may_have_run: 2,
            refused: 0,
            failed: 1,
        };
        assert_eq!(sum, wanted);
        assert_eq!((counts.messages, counts.delivered), (2, 1));
        let told: Vec<_> = counts.suspected_breaches.iter().map(|s| (s.id.as_str(), s.rule)).collect();
        assert_eq!(
            told,
            [
                ("m1", "unsafe, sent after an attempt that may have run"),
                ("m1", "unsafe, sent after an attempt that may have run"),
                ("m1", "sent within a wait"),
                ("m2", "keyed, sent after its key's life"),
            ]
        );
    }

    #[test]
    fn a_log_that_is_missing_empty_cut_off_or_strange_is_told_and_the_rest_counted() {
        let cut = log(
            "cut",
            &[
                "2026-12-01T20:00:01.000000Z DEBUG taken id=m1 class=0 dest=7 left=5",
                "2026-12-01T20:00:01.100000Z DEBUG se",
            ],
        );
        let empty = log("empty", &[]);
        let strange = log("strange", &["what is this", "and this", ""]);
        let counts = count(&[cut, empty, strange, PathBuf::from("/nowhere.log")]);
        let told: Vec<_> = counts.log_errors.iter().map(|(_, what)| what.as_str()).collect();
        assert_eq!(told.len(), 4, "{told:?}");
        assert!(told[0].contains("cut off") && told[1].contains("empty") && told[2].contains("no line"));
        assert_eq!(counts.cells.values().map(|c| c.taken).sum::<u64>(), 1);
    }
}
