//! The lines of a forwarder's debug log.

use std::time::UNIX_EPOCH;

/// Effect of a repeated call, by the class settings in the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Effect {
    Safe,
    Keyed(i64),
    Unsafe,
}

/// Parses the effects of the classes, in the order of the settings.
pub(crate) fn effects(settings: &str) -> Vec<Effect> {
    let classes = settings.split("effect: ").skip(1);
    classes
        .map(|text| match text.split([',', ' ']).next() {
            Some("Unsafe") => Effect::Unsafe,
            Some("Keyed") => {
                let life = text.split("life: ").nth(1).map(|t| t.split([',', ' ']).next().unwrap_or(""));
                Effect::Keyed(life.and_then(|l| l.parse().ok()).unwrap_or(i64::MAX / 2))
            }
            _ => Effect::Safe,
        })
        .collect()
}

/// Parses the time that a new message of each class has (microseconds), in the order of the settings.
pub(crate) fn deadlines(settings: &str) -> Vec<i64> {
    let classes = settings.split(", deadline: ").skip(1);
    classes.filter_map(|text| text.split([',', ' ']).next()?.parse().ok()).collect()
}

/// A parsed line of a debug log.
#[derive(Debug)]
pub(crate) struct Line<'a> {
    /// Time of the entry, in microseconds of Unix time.
    pub(crate) at_us: i64,
    /// Text of the event.
    pub(crate) event: &'a str,
    /// The fields.
    pub(crate) rest: &'a str,
}

impl<'a> Line<'a> {
    /// Parses a line such as `2026-12-01T20:00:00.123456Z DEBUG sent id=a attempt=0 dest=7`. One word before
    /// the time stamp is skipped, as log collectors add one to each line.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
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
        // The event text ends before the first field.
        let end = rest.find('=').map_or(rest.len(), |at| rest[..at].rfind(' ').unwrap_or(0));
        Some(Line { at_us: time.as_micros() as i64, event: rest[..end].trim(), rest: &rest[end..] })
    }

    /// Returns the value of a field up to the next space, without quotes.
    pub(crate) fn field(&self, name: &str) -> Option<&'a str> {
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

    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns the wait that the answer returned, in microseconds: from the outcome or from the field `wait`.
    pub(crate) fn wait_us(&self) -> Option<i64> {
        let field = self.field("wait").map(|w| w.trim_start_matches("Some(").trim_end_matches(')'));
        let in_outcome = self.rest.split("Full { wait: Some(").nth(1).and_then(|t| t.split(')').next());
        in_outcome.or(field)?.parse().ok()
    }
}
