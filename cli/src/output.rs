//! Output of commands: human-readable text or JSON.

use std::fmt;
use std::io;
use std::io::IsTerminal;
use std::io::Write;

use anstyle::AnsiColor;
use anstyle::Style;
use serde::Serialize;

use crate::arguments::Format;
use crate::error::CliError;

/// Prints one result: `text`, or `value` as one line of JSON.
pub(crate) fn print<T, V>(format: Format, text: T, value: &V) -> Result<(), CliError>
where
    T: fmt::Display,
    V: Serialize,
{
    let mut out = io::stdout().lock();
    match format {
        Format::Text => writeln!(out, "{text}")?,
        Format::Json => {
            serde_json::to_writer(&mut out, value).map_err(io::Error::from)?;
            writeln!(out)?;
        }
    }
    out.flush()?;
    Ok(())
}

/// Prints a line of progress or of an error to standard error. Results go to
/// standard output only.
pub(crate) fn print_diagnostic(line: &str) {
    // Write errors are ignored: a closed standard error must not abort a
    // command that changes the fleet.
    let _ = writeln!(io::stderr(), "{line}");
}

/// Prints an error, its findings, and the next step.
pub(crate) fn print_error(error: &CliError) {
    if let CliError::InvalidFile { path, findings } = error {
        for finding in findings {
            print_diagnostic(&format!("{}: {finding}", path.display()));
        }
    }
    print_diagnostic(&format!("{} {error}", with_colour(AnsiColor::Red, "error:")));
    print_diagnostic(&format!("{} {}", with_colour(AnsiColor::Cyan, "next:"), error.next_step()));
}

/// Formats `text` in colour if standard error is a terminal and NO_COLOR is
/// not set.
fn with_colour(color: AnsiColor, text: &str) -> String {
    if !io::stderr().is_terminal() || std::env::var_os("NO_COLOR").is_some() {
        return text.to_owned();
    }
    let style = Style::new().fg_color(Some(color.into())).bold();
    format!("{style}{text}{style:#}")
}

/// Table of left-aligned columns under a header.
pub(crate) struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    pub(crate) fn new(header: [&str; N]) -> Self {
        Self { rows: vec![header.map(str::to_owned)] }
    }

    pub(crate) fn push(&mut self, row: [String; N]) {
        self.rows.push(row);
    }
}

impl<const N: usize> fmt::Display for Table<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut widths = [0; N];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        for (position, row) in self.rows.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            let mut line = String::new();
            for (width, cell) in widths.iter().zip(row) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            f.write_str(line.trim_end())?;
        }
        Ok(())
    }
}

/// Formats a duration in the most readable unit.
pub(crate) fn format_duration(milliseconds: u64) -> String {
    match milliseconds {
        0..1_000 => format!("{milliseconds} ms"),
        1_000..120_000 => format!("{}.{} s", milliseconds / 1_000, milliseconds % 1_000 / 100),
        120_000..7_200_000 => format!("{} min", milliseconds / 60_000),
        _ => format!("{} h", milliseconds / 3_600_000),
    }
}
