//! The `name=value` fields of a line of text, and typed access to them.

use yarrowhill_policy::api::Micros;

/// Bound on times read from the wire (microseconds), so that sums of a few of them cannot overflow.
pub const MAX_TIME_US: f64 = (1i64 << 55) as f64;

/// A malformed line, or a missing or malformed setting.
#[derive(Debug, thiserror::Error)]
#[error("{}{field}: {problem}", location(*line))]
pub struct FieldError {
    line: u64,
    field: String,
    problem: String,
}

/// Returns the prefix of an error text. Settings from a document have a path in place of a line.
fn location(line: u64) -> String {
    if line == 0 { String::new() } else { format!("line {line}: field ") }
}

/// The fields of a line.
pub struct Fields<'a> {
    /// Line number for errors; 0 if the fields do not come from a line.
    pub line: u64,
    /// Names and values, in the order given.
    pub pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Parses `name=value` pairs separated by spaces.
    ///
    /// # Errors
    ///
    /// Fails if a part has no `=`.
    pub fn parse(line: u64, rest: &'a str) -> Result<Self, FieldError> {
        let mut pairs = Vec::new();
        for part in rest.split(' ').filter(|p| !p.is_empty()) {
            match part.split_once('=') {
                Some(pair) => pairs.push(pair),
                None => {
                    return Err(FieldError {
                        line,
                        field: part.into(),
                        problem: "expected name=value".into(),
                    });
                }
            }
        }
        Ok(Fields { line, pairs })
    }

    /// Returns an error about a field of this line.
    pub fn error(&self, field: &str, problem: impl Into<String>) -> FieldError {
        FieldError { line: self.line, field: field.into(), problem: problem.into() }
    }

    /// Returns the value of a field, if it is present.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// Returns the value of a required field.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing.
    pub fn required(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name).ok_or_else(|| self.error(name, "missing"))
    }

    fn parsed<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, FieldError> {
        self.get(name)
            .map(|v| v.parse().map_err(|_| self.error(name, format!("expected a number, found {v:?}"))))
            .transpose()
    }

    /// Returns a required non-negative integer.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing or not such a number.
    pub fn required_int(&self, name: &str) -> Result<u64, FieldError> {
        self.parsed(name)?.ok_or_else(|| self.error(name, "missing"))
    }

    /// Returns a finite number, if the field is present.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a finite number.
    pub fn number(&self, name: &str) -> Result<Option<f64>, FieldError> {
        match self.parsed::<f64>(name)? {
            Some(v) if !v.is_finite() => Err(self.error(name, "expected a finite number")),
            v => Ok(v),
        }
    }

    /// Returns a time, if the field is present: milliseconds on the wire, microseconds here, limited to
    /// [`MAX_TIME_US`].
    ///
    /// # Errors
    ///
    /// Fails if the value is not a finite number.
    pub fn time(&self, name: &str) -> Result<Option<Micros>, FieldError> {
        Ok(self.number(name)?.map(|ms| (ms * 1000.0).round().clamp(-MAX_TIME_US, MAX_TIME_US) as Micros))
    }

    /// Returns a boolean; false if the field is absent.
    ///
    /// # Errors
    ///
    /// Fails if the value is neither true nor false.
    pub fn flag(&self, name: &str) -> Result<bool, FieldError> {
        match self.get(name) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(v) => Err(self.error(name, format!("expected true or false, found {v:?}"))),
        }
    }
}
