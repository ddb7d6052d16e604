//! Findings in an input, collected with their location and reported together.

use std::fmt;

/// Where in an input a finding is.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Line in the file, from 1; zero if the input has no lines.
    pub line: usize,
    /// Path of the field, such as `organisation[3].share_milli`.
    pub path: String,
}

/// One thing that is wrong with an input.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where it is.
    pub location: Location,
    /// What is wrong, and what would be right.
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
    /// The findings in the order in which they were met.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Adds a finding at the field that `path` names.
    pub fn add<P, M>(&mut self, path: P, message: M)
    where
        P: Into<String>,
        M: Into<String>,
    {
        let location = Location { line: 0, path: path.into() };
        self.list.push(Finding { location, message: message.into() });
    }

    /// Returns `value` if there is no finding.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() { Ok(value) } else { Err(self) }
    }

    /// The findings as text, one a line.
    pub fn lines(&self) -> Vec<String> {
        self.list.iter().map(Finding::to_string).collect()
    }
}
