//! Fields of one line of text, `name=value`, and typed reading of them.

use yarrowhill_policy::api::Micros;

/// Bound on times read from the wire, so that sums of a few of them cannot overflow.
pub const MAX_TIME_US: f64 = (1i64 << 55) as f64;

/// A malformed line, or a setting that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{}{field}: {what}", place(*line))]
pub struct FieldError {
    line: u64,
    field: String,
    what: String,
}

/// Settings from a document have a path in place of a line.
fn place(line: u64) -> String {
    if line == 0 { String::new() } else { format!("line {line}: field ") }
}

/// The fields of one line.
pub struct Fields<'a> {
    /// Number of the line, for errors; 0 where there are no lines.
    pub line: u64,
    /// Name and value, in the order given.
    pub pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Reads `name=value` pairs set apart by spaces.
    pub fn parse(line: u64, rest: &'a str) -> Result<Self, FieldError> {
        let mut pairs = Vec::new();
        for part in rest.split(' ').filter(|p| !p.is_empty()) {
            match part.split_once('=') {
                Some(pair) => pairs.push(pair),
                None => {
                    return Err(FieldError { line, field: part.into(), what: "expected name=value".into() });
                }
            }
        }
        Ok(Fields { line, pairs })
    }

    /// The error that a field of this line is.
    pub fn error(&self, field: &str, what: impl Into<String>) -> FieldError {
        FieldError { line: self.line, field: field.into(), what: what.into() }
    }

    /// The value of a field, if it is there.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// The value of a field that must be there.
    pub fn required(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name).ok_or_else(|| self.error(name, "missing"))
    }

    fn parsed<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, FieldError> {
        self.get(name)
            .map(|v| v.parse().map_err(|_| self.error(name, format!("expected a number, found {v:?}"))))
            .transpose()
    }

    /// A whole number that must be there.
    pub fn required_int(&self, name: &str) -> Result<u64, FieldError> {
        self.parsed(name)?.ok_or_else(|| self.error(name, "missing"))
    }

    /// A finite number.
    pub fn number(&self, name: &str) -> Result<Option<f64>, FieldError> {
        match self.parsed::<f64>(name)? {
            Some(v) if !v.is_finite() => Err(self.error(name, "expected a finite number")),
            v => Ok(v),
        }
    }

    /// A time: milliseconds on the wire, microseconds here, bounded so that sums cannot overflow.
    pub fn time(&self, name: &str) -> Result<Option<Micros>, FieldError> {
        Ok(self.number(name)?.map(|ms| (ms * 1000.0).round().clamp(-MAX_TIME_US, MAX_TIME_US) as Micros))
    }

    /// A bool; absent is false.
    pub fn flag(&self, name: &str) -> Result<bool, FieldError> {
        match self.get(name) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(v) => Err(self.error(name, format!("expected true or false, found {v:?}"))),
        }
    }
}
