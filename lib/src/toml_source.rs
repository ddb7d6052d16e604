//! Reads TOML text into a generated type and reports all findings of the text
//! together, each with its path and line.
//!
//! A value that cannot be read is reported, taken out, and the rest is read
//! again, so one wrong value does not hide the next. Each element of a list
//! of tables is read by itself, so a retry costs one element.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::DeArray;
use toml::de::DeTable;
use toml::de::DeValue;
use toml::de::Deserializer;

use crate::findings::Finding;
use crate::findings::Findings;
use crate::findings::Location;
use crate::toml_path::LineStarts;
use crate::toml_path::ancestors;
use crate::toml_path::lines_of;
use crate::toml_path::path_at;
use crate::toml_path::remove;

/// A text that was read as far as its findings allow.
pub(crate) struct TomlSource<T> {
    value: T,
    findings: Findings,
    lines: BTreeMap<String, usize>,
    /// Paths from which a value was taken out. What the conversion finds there
    /// follows from that.
    removed: BTreeSet<String>,
    syntax_is_valid: bool,
}

impl<T> TomlSource<T>
where
    T: DeserializeOwned + Default,
{
    /// Reads `text`.
    pub(crate) fn parse(text: &str) -> Self {
        let starts = LineStarts::new(text);
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut table = root.into_inner();
        let mut source = Self {
            value: T::default(),
            findings: Findings::default(),
            lines: lines_of(&table, &starts),
            removed: BTreeSet::new(),
            syntax_is_valid: errors.is_empty(),
        };
        for error in &errors {
            let line = error.span().map_or(1, |span| starts.line(span.start));
            source.report(line, String::new(), error.message());
        }
        if source.syntax_is_valid {
            let original = table.clone();
            source.remove_unreadable(&mut table, &original, &starts);
            match read(&table) {
                Ok(value) => source.value = value,
                Err(error) => source.report(1, String::new(), error.message()),
            }
        }
        source
    }

    /// Converts what was read with `convert`. Returns the checked value, or
    /// the findings of both steps in the order of their lines.
    pub(crate) fn check<C, F>(mut self, convert: F) -> Result<C, Findings>
    where
        F: FnOnce(&T) -> Result<C, Findings>,
    {
        if !self.syntax_is_valid {
            return Err(self.findings);
        }
        match convert(&self.value) {
            Ok(checked) if self.findings.list.is_empty() => return Ok(checked),
            Ok(_) => {}
            Err(findings) => {
                for Finding { location, message } in findings.list {
                    self.report_converted(&location.path, &message);
                }
            }
        }
        self.findings.list.sort();
        self.findings.list.dedup();
        Err(self.findings)
    }

    fn report(&mut self, line: usize, path: String, message: &str) {
        let message = message.lines().next().unwrap_or_default().to_owned();
        self.findings.list.push(Finding { location: Location { line, path }, message });
    }

    fn report_converted(&mut self, path: &str, message: &str) {
        if ancestors(path).any(|ancestor| self.removed.contains(ancestor)) {
            return;
        }
        let line = ancestors(path).find_map(|ancestor| self.lines.get(ancestor).copied());
        self.report(line.unwrap_or(1), path.to_owned(), message);
    }

    fn remove_unreadable(
        &mut self,
        table: &mut DeTable<'_>,
        original: &DeTable<'_>,
        starts: &LineStarts,
    ) {
        for (key, value) in std::mem::take(table) {
            let span = value.span();
            let mut single = DeTable::new();
            let Some(elements) = tables_of(value.get_ref()) else {
                single.insert(key, value);
                self.reduce(&mut single, original, starts);
                table.extend(single);
                continue;
            };
            let mut readable = DeArray::new();
            for element in elements {
                let list = DeValue::Array(DeArray::from_iter([element]));
                single.insert(key.clone(), Spanned::new(span.clone(), list));
                self.reduce(&mut single, original, starts);
                append_elements(&mut readable, &mut single, key.get_ref());
            }
            if !readable.is_empty() {
                table.insert(key, Spanned::new(span, DeValue::Array(readable)));
            }
        }
    }

    /// Takes values out of `table` until it can be read, and reports them with
    /// the paths that they have in `original`.
    fn reduce(&mut self, table: &mut DeTable<'_>, original: &DeTable<'_>, starts: &LineStarts) {
        while let Err(error) = read::<T>(table) {
            let span = error.span().unwrap_or_default();
            let unreadable = path_at(table, &span);
            remove(table, &unreadable.0);
            if unreadable.0.is_empty() {
                table.clear();
            }
            let path = path_at(original, &span);
            let message = error.message().replace("expected struct", "expected a table of type");
            self.report(starts.line(span.start), path.to_string(), &message);
            // Elements after a removed one no longer stand where the text has
            // them, so the whole list counts as removed.
            self.removed.insert(path.list().unwrap_or(path).to_string());
        }
    }
}

/// The elements of a list that holds nothing but tables.
fn tables_of<'i>(value: &DeValue<'i>) -> Option<DeArray<'i>> {
    let elements = value.as_array()?;
    elements.iter().all(|element| element.get_ref().is_table()).then(|| elements.clone())
}

fn append_elements<'i>(list: &mut DeArray<'i>, single: &mut DeTable<'i>, key: &str) {
    let Some(value) = single.remove(key) else { return };
    if let DeValue::Array(elements) = value.into_inner() {
        for element in elements {
            list.push(element);
        }
    }
}

fn read<T>(table: &DeTable<'_>) -> Result<T, toml::de::Error>
where
    T: DeserializeOwned,
{
    T::deserialize(Deserializer::from(Spanned::new(0..0, table.clone())))
}
