//! Findings about an input, collected with their locations and reported together.

use std::fmt;

/// Location in an input that a finding refers to.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Line in the file, from 1; zero if the input has no lines.
    pub line: usize,
    /// Path of the field, such as `organisation[3].share_milli`.
    pub path: String,
}

/// One fault of an input.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Location of the fault.
    pub location: Location,
    /// What is wrong, and what is expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.location.line > 0 {
            write!(f, "line {}: ", self.location.line)?;
        }
        if !self.location.path.is_empty() {
            write!(f, "{}: ", self.location.path)?;
        }
        f.write_str(&self.message)
    }
}

/// All findings of one input.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.lines().join("\n"))]
pub struct Findings {
    /// The findings in the order in which they were added.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Adds a finding about the field at `path`.
    pub fn add<P, M>(&mut self, path: P, message: M)
    where
        P: Into<String>,
        M: Into<String>,
    {
        let location = Location { line: 0, path: path.into() };
        self.list.push(Finding { location, message: message.into() });
    }

    /// Returns `value` if there are no findings, and the findings otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() { Ok(value) } else { Err(self) }
    }

    /// Returns a line of text for each finding.
    pub fn lines(&self) -> Vec<String> {
        self.list.iter().map(Finding::to_string).collect()
    }
}
