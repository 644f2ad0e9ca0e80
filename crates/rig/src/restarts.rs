//! What became of the messages that restarted forwarders found in their journals, read from debug logs. It
//! shows how far each restart was from giving up half of what it found.

use crate::log_line::{Effect, Line, deadlines, effects};
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// A message counts as given up early if at least this part (one N-th) of the time that it had left at the
/// restart remains.
const EARLY_DIVISOR: i64 = 10;

/// Messages of one kind that a restart found, with half of their time left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// Messages that certainly have not run.
    pub untried: u64,
    /// Of these, messages that the new process sent.
    pub untried_sent: u64,
    /// Of these, messages that the new process gave up early without having sent them.
    pub untried_given_up: u64,
    /// Messages whose call was in flight when the earlier process ended, and may have run.
    pub in_flight: u64,
    /// Of these, messages that the new process gave up early without having sent them again.
    pub in_flight_given_up: u64,
}

/// One restart of a forwarder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restart {
    /// When the new process started, in microseconds of Unix time.
    pub at_us: i64,
    /// All messages.
    pub all: Found,
    /// Messages that must never run twice.
    pub unsafe_only: Found,
}

/// A recovered message that the new process has neither sent nor given up yet.
struct Pending {
    is_unsafe: bool,
    is_untried: bool,
    /// Time from which giving it up no longer counts as early, in microseconds of Unix time.
    early_until: i64,
}

/// Reads the restarts of a forwarder from its debug log.
///
/// # Errors
///
/// The log can't be read.
pub fn restarts(log: &Path) -> io::Result<Vec<Restart>> {
    let mut reader = Reader::default();
    for line in BufReader::new(File::open(log)?).split(b'\n') {
        let line = line?;
        if let Some(line) = Line::parse(String::from_utf8_lossy(&line).trim_end()) {
            reader.read(&line);
        }
    }
    Ok(reader.restarts)
}

#[derive(Default)]
struct Reader {
    has_started: bool,
    effects: Vec<Effect>,
    /// Time that a new message has, by class (microseconds).
    deadlines: Vec<i64>,
    pending: HashMap<String, Pending>,
    restarts: Vec<Restart>,
}

impl Reader {
    fn read(&mut self, line: &Line<'_>) {
        match line.event {
            "starts" => self.start(line),
            "taken" if line.rest.contains("was_accepted: true") => self.find(line),
            "sent" => self.end(line, |found, is_untried| found.untried_sent += u64::from(is_untried)),
            "given up" => {
                let at = line.at_us;
                let is_early = |message: &Pending| at < message.early_until;
                if line.field("id").and_then(|id| self.pending.get(id)).is_some_and(is_early) {
                    self.end(line, |found, is_untried| match is_untried {
                        true => found.untried_given_up += 1,
                        false => found.in_flight_given_up += 1,
                    });
                }
            }
            _ => {}
        }
    }

    fn start(&mut self, line: &Line<'_>) {
        (self.effects, self.deadlines) = (effects(line.rest), deadlines(line.rest));
        self.pending.clear();
        if std::mem::replace(&mut self.has_started, true) {
            self.restarts.push(Restart { at_us: line.at_us, ..Restart::default() });
        }
    }

    fn find(&mut self, line: &Line<'_>) {
        let (Some(id), Some(class), Some(left)) = (
            line.field("id"),
            line.number("class").and_then(|class| usize::try_from(class).ok()),
            line.field("left").and_then(|left| left.parse::<i64>().ok()),
        ) else {
            return;
        };
        if self.deadlines.get(class).is_none_or(|deadline| left < deadline / 2) {
            return;
        }
        let message = Pending {
            is_unsafe: self.effects.get(class) == Some(&Effect::Unsafe),
            is_untried: line.rest.contains("first_possible_run: None"),
            early_until: line.at_us + left - left / EARLY_DIVISOR,
        };
        self.count(&message, |found, is_untried| match is_untried {
            true => found.untried += 1,
            false => found.in_flight += 1,
        });
        self.pending.insert(id.to_owned(), message);
    }

    /// Counts the end of a pending message.
    fn end(&mut self, line: &Line<'_>, count: impl Fn(&mut Found, bool)) {
        if let Some(message) = line.field("id").and_then(|id| self.pending.remove(id)) {
            self.count(&message, count);
        }
    }

    fn count(&mut self, message: &Pending, count: impl Fn(&mut Found, bool)) {
        let Some(restart) = self.restarts.last_mut() else { return };
        count(&mut restart.all, message.is_untried);
        if message.is_unsafe {
            count(&mut restart.unsafe_only, message.is_untried);
        }
    }
}

#[cfg(test)]
mod tests;
