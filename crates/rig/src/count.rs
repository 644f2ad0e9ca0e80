//! Statistics over the logs that the forwarders of a fleet wrote with `YARROWHILL_LOG=debug`: messages taken,
//! sent, written, ended, given up and refused, by forwarder, destination and second, and messages that seem
//! to break a rule. Logs are read line by line, one after another; of each message only what the rules need
//! is kept in memory.

use crate::log_line::{Effect, Line, effects};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Maximum length of a log line; longer lines are cut off. The forwarder writes none of this length.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum number of suspected breaches that are listed by message id.
const MAX_SUSPECTED_BREACHES: usize = 1000;
/// Time after an answer that returned a wait within which a send may have crossed the answer and is no
/// breach.
const WAIT_GRACE_US: i64 = 100_000;

/// Counters of one forwarder and destination over one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cell {
    /// Messages taken, including those replayed from an earlier process.
    pub taken: u64,
    /// Attempts that the module decided on.
    pub sent: u64,
    /// Calls of which at least one byte was written.
    pub written: u64,
    /// Attempts that delivered the message.
    pub delivered: u64,
    /// Attempts that the destination refused because it was above its limit or closed.
    pub full: u64,
    /// Attempts that had no connection or were not begun.
    pub never_ran: u64,
    /// Attempts that ended in any other way, so that the call may have run.
    pub may_have_run: u64,
    /// Messages that were refused.
    pub refused: u64,
    /// Messages that failed.
    pub failed: u64,
}

impl Cell {
    /// Returns the column names and values, in the order in which a message passes them.
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

    /// Adds the counters of another cell.
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

/// Key of a cell: index of the forwarder, destination, second of Unix time.
pub type CellKey = (usize, u64, i64);

/// A message that seems to break a rule, judged by the logs alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectedBreach {
    /// Id of the message.
    pub id: String,
    /// Time of the log line, in microseconds of Unix time.
    pub at_us: i64,
    /// Index of the forwarder among the logs.
    pub forwarder: usize,
    /// What happened against the rule.
    pub rule: &'static str,
}

/// Statistics over all logs.
#[derive(Debug, Default)]
pub struct Counts {
    /// Names of the forwarders, taken from the file names of their logs.
    pub forwarders: Vec<String>,
    /// Counters by forwarder, destination and second.
    pub cells: BTreeMap<CellKey, Cell>,
    /// Number of distinct messages over all forwarders.
    pub messages: u64,
    /// Number of distinct messages that were delivered at least once.
    pub delivered: u64,
    /// Suspected breaches in the order of the logs, up to a maximum number.
    pub suspected_breaches: Vec<SuspectedBreach>,
    /// Number of suspected breaches by rule, including those beyond the maximum that is listed.
    pub suspected_totals: BTreeMap<&'static str, u64>,
    /// Logs that are missing, empty, truncated, or contain unrecognized lines; their remaining lines are
    /// counted.
    pub log_errors: Vec<(PathBuf, String)>,
}

/// State kept for each message over all logs.
#[derive(Clone, Copy, Debug, Default)]
struct MessageState {
    class: u8,
    /// Attempts in flight that may still run.
    in_flight: u8,
    delivered: u8,
    /// When the first attempt that may have run was sent, in microseconds of Unix time.
    first_risky_us: Option<i64>,
    open: bool,
}

#[derive(Default)]
struct Reader {
    counts: Counts,
    messages: HashMap<u64, MessageState>,
    effects: Vec<Effect>,
}

/// Computes statistics over logs, one log per forwarder.
pub fn count(logs: &[PathBuf]) -> Counts {
    let mut reader = Reader::default();
    for log in logs {
        let number = reader.counts.forwarders.len();
        let name = log.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
        reader.counts.forwarders.push(name);
        if let Err(e) = reader.read_log(number, log) {
            reader.counts.log_errors.push((log.clone(), e.to_string()));
        }
    }
    let Reader { mut counts, messages, .. } = reader;
    counts.messages = messages.len() as u64;
    counts.delivered = messages.values().filter(|k| k.delivered > 0).count() as u64;
    counts
}

/// State kept for one forwarder while its log is read.
#[derive(Default)]
struct ForwarderState {
    /// End of the wait that each destination returned, by destination.
    waits: HashMap<u64, i64>,
    /// Destination of each message, by the hash of the message id.
    dests: HashMap<u64, u64>,
    /// Time at which each attempt was sent, by the hash of the message id and the attempt number.
    sent: HashMap<(u64, u64), i64>,
}

impl Reader {
    fn read_log(&mut self, number: usize, path: &Path) -> io::Result<()> {
        let mut lines = BufReader::new(File::open(path)?);
        let (mut text, mut state) = (Vec::new(), ForwarderState::default());
        let (mut read, mut unrecognized) = (0u64, 0u64);
        loop {
            text.clear();
            let length = io::Read::take(&mut lines, MAX_LINE_BYTES as u64).read_until(b'\n', &mut text)?;
            if length == 0 {
                break;
            }
            let complete = text.ends_with(b"\n");
            let line = String::from_utf8_lossy(&text);
            if !complete {
                self.counts.log_errors.push((path.to_owned(), "the last line is cut off".to_owned()));
            }
            match Line::parse(line.trim_end()) {
                Some(line) => {
                    read += 1;
                    self.read_line(number, &mut state, &line);
                }
                None => unrecognized += u64::from(complete),
            }
        }
        if read == 0 {
            return Err(io::Error::other(if unrecognized == 0 {
                "the log is empty"
            } else {
                "no line was recognized"
            }));
        }
        if unrecognized > 0 {
            let what = format!("{unrecognized} lines were not recognized, {read} were counted");
            self.counts.log_errors.push((path.to_owned(), what));
        }
        Ok(())
    }

    fn cell(&mut self, number: usize, dest: u64, at: i64) -> &mut Cell {
        self.counts.cells.entry((number, dest, at.div_euclid(1_000_000))).or_default()
    }

    fn suspect(&mut self, number: usize, line: &Line<'_>, id: &str, rule: &'static str) {
        *self.counts.suspected_totals.entry(rule).or_default() += 1;
        if self.counts.suspected_breaches.len() < MAX_SUSPECTED_BREACHES {
            let suspect = SuspectedBreach { id: id.to_owned(), at_us: line.at_us, forwarder: number, rule };
            self.counts.suspected_breaches.push(suspect);
        }
    }

    fn read_line(&mut self, number: usize, state: &mut ForwarderState, line: &Line<'_>) {
        let at = line.at_us;
        if line.event == "starts" {
            // A new process: the attempts in flight ended with the previous one.
            self.effects = effects(line.rest);
            state.sent.clear();
            return;
        }
        let Some(id) = line.field("id").or_else(|| line.field("first")) else { return };
        let key = hash(id);
        let known_dest = state.dests.get(&key).copied();
        let dest = line.number("dest").or(known_dest).unwrap_or(0);
        match line.event {
            "taken" => {
                state.dests.insert(key, dest);
                let message = self.messages.entry(key).or_default();
                message.open = true;
                message.class = line.number("class").unwrap_or(0) as u8;
                self.cell(number, dest, at).taken += 1;
            }
            "sent" => {
                self.cell(number, dest, at).sent += 1;
                let attempt = line.number("attempt").unwrap_or(0);
                state.sent.insert((key, attempt), at);
                let message = self.messages.entry(key).or_default();
                let effect = self.effects.get(usize::from(message.class)).copied().unwrap_or(Effect::Safe);
                let breach = match (effect, message.first_risky_us) {
                    (Effect::Unsafe, Some(_)) => Some("unsafe, sent after an attempt that may have run"),
                    (Effect::Keyed(life), Some(first)) if at > first + life => {
                        Some("keyed, sent after its key expired")
                    }
                    _ => None,
                };
                message.in_flight = message.in_flight.saturating_add(1);
                if let Some(rule) = breach {
                    self.suspect(number, line, id, rule);
                }
                if state.waits.get(&dest).is_some_and(|until| at + WAIT_GRACE_US < *until) {
                    self.suspect(number, line, id, "sent within a wait");
                }
            }
            "written" => self.cell(number, dest, at).written += 1,
            "ended" => self.read_ended(number, state, line, id, dest),
            "given up" => {
                let refused = line.field("end") == Some("Refused");
                let cell = self.cell(number, dest, at);
                *(if refused { &mut cell.refused } else { &mut cell.failed }) += 1;
                self.messages.entry(key).or_default().open = false;
            }
            _ => {}
        }
    }

    fn read_ended(
        &mut self,
        number: usize,
        state: &mut ForwarderState,
        line: &Line<'_>,
        id: &str,
        dest: u64,
    ) {
        let (at, key) = (line.at_us, hash(id));
        let attempt = line.number("attempt").unwrap_or(0);
        let sent = state.sent.remove(&(key, attempt)).unwrap_or(at);
        if let Some(wait) = line.wait_us() {
            let until = state.waits.entry(dest).or_insert(0);
            *until = (*until).max(at + wait);
        }
        let outcome = line.field("outcome").unwrap_or("");
        let cell = self.cell(number, dest, at);
        match outcome {
            "Delivered" => cell.delivered += 1,
            "Full" => cell.full += 1,
            "ConnectFailed" | "TooManyConnections" | "NotSent" => cell.never_ran += 1,
            _ => cell.may_have_run += 1,
        }
        let message = self.messages.entry(key).or_default();
        message.in_flight = message.in_flight.saturating_sub(1);
        let mut twice = false;
        match outcome {
            "Delivered" => {
                twice = message.delivered > 0;
                message.delivered = message.delivered.saturating_add(1);
                message.open = false;
                message.first_risky_us.get_or_insert(sent);
            }
            "Full" | "ConnectFailed" | "TooManyConnections" | "NotSent" => {}
            _ => drop(message.first_risky_us.get_or_insert(sent)),
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

#[cfg(test)]
mod tests;
