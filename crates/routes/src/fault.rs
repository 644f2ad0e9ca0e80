//! What is wrong with a document, and where.

use std::fmt;

/// Where something stands in a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The file, as it was named to the reader.
    pub file: String,
    /// Counted from 1; 0 for the file as a whole.
    pub line: usize,
    /// In characters, counted from 1; 0 for the file as a whole.
    pub column: usize,
}

impl fmt::Display for Place {
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
pub struct Fault {
    /// Where.
    pub place: Place,
    /// What.
    pub what: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.place, self.what, self.remedy)
    }
}

impl std::error::Error for Fault {}
