//! Diagnostics of a routing document, with their locations.

use std::fmt;

/// A position in a routing document.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// File name as passed to [`crate::parse()`].
    pub file: String,
    /// Line number from 1; 0 if the diagnostic concerns the complete file.
    pub line: usize,
    /// Column in characters from 1; 0 if the diagnostic concerns the complete file.
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

/// A fault in a routing document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Position of the fault.
    pub location: Location,
    /// Description of the fault.
    pub problem: String,
    /// Suggested correction.
    pub remedy: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.location, self.problem, self.remedy)
    }
}

impl std::error::Error for Diagnostic {}
