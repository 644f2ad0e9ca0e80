//! What is wrong with a document, and where.

use std::fmt;

/// Where something stands in a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// The file, as it was named to the reader.
    pub file: String,
    /// Counted from 1; 0 for the file as a whole.
    pub line: usize,
    /// In characters, counted from 1; 0 for the file as a whole.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            f.write_str(&self.file)
        } else {
            write!(f, "{}:{}:{}", self.file, self.line, self.column)
        }
    }
}

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Where.
    pub location: Location,
    /// What.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.location, self.problem, self.remedy)
    }
}

impl std::error::Error for Diagnostic {}
