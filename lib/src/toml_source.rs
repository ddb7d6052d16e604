//! Deserialises TOML text into a generated type and reports all findings of the
//! text together, each with its path and line.
//!
//! A value that cannot be deserialised is reported and removed, and the rest is
//! deserialised again, so that one invalid value does not hide the next. Each
//! element of an array of tables is deserialised separately, so that a retry
//! repeats one element only.

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
use crate::toml_path::line_numbers;
use crate::toml_path::path_at;
use crate::toml_path::remove;

/// Result of reading a TOML text: the value without its invalid parts, and the
/// findings about those.
pub(crate) struct TomlSource<T> {
    value: T,
    findings: Findings,
    lines: BTreeMap<String, usize>,
    /// Paths of removed values. Findings of the conversion at or below these paths
    /// are consequences of the removal and are not reported.
    removed: BTreeSet<String>,
    syntax_is_valid: bool,
}

impl<T> TomlSource<T>
where
    T: DeserializeOwned + Default,
{
    pub(crate) fn parse(text: &str) -> Self {
        let starts = LineStarts::new(text);
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut table = root.into_inner();
        let mut source = Self {
            value: T::default(),
            findings: Findings::default(),
            lines: line_numbers(&table, &starts),
            removed: BTreeSet::new(),
            syntax_is_valid: errors.is_empty(),
        };
        for error in &errors {
            let line = error.span().map_or(1, |span| starts.line(span.start));
            source.report(line, String::new(), error.message());
        }
        if source.syntax_is_valid {
            let original = table.clone();
            source.remove_invalid_values(&mut table, &original, &starts);
            match deserialise(&table) {
                Ok(value) => source.value = value,
                Err(error) => source.report(1, String::new(), error.message()),
            }
        }
        source
    }

    /// Converts the value with `convert`. Returns the validated value, or the
    /// findings of deserialisation and conversion in the order of their lines.
    pub(crate) fn validate<C, F>(mut self, convert: F) -> Result<C, Findings>
    where
        F: FnOnce(&T) -> Result<C, Findings>,
    {
        if !self.syntax_is_valid {
            return Err(self.findings);
        }
        match convert(&self.value) {
            Ok(validated) if self.findings.list.is_empty() => return Ok(validated),
            Ok(_) => {}
            Err(findings) => {
                for Finding { location, message } in findings.list {
                    self.report_conversion_finding(&location.path, &message);
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

    fn report_conversion_finding(&mut self, path: &str, message: &str) {
        if ancestors(path).any(|ancestor| self.removed.contains(ancestor)) {
            return;
        }
        let line = ancestors(path).find_map(|ancestor| self.lines.get(ancestor).copied());
        self.report(line.unwrap_or(1), path.to_owned(), message);
    }

    fn remove_invalid_values(
        &mut self,
        table: &mut DeTable<'_>,
        original: &DeTable<'_>,
        starts: &LineStarts,
    ) {
        for (key, value) in std::mem::take(table) {
            let span = value.span();
            let mut single = DeTable::new();
            let Some(elements) = array_of_tables(value.get_ref()) else {
                single.insert(key, value);
                self.remove_until_valid(&mut single, original, starts);
                table.extend(single);
                continue;
            };
            let mut valid = DeArray::new();
            for element in elements {
                let array = DeValue::Array(DeArray::from_iter([element]));
                single.insert(key.clone(), Spanned::new(span.clone(), array));
                self.remove_until_valid(&mut single, original, starts);
                append_elements(&mut valid, &mut single, key.get_ref());
            }
            if !valid.is_empty() {
                table.insert(key, Spanned::new(span, DeValue::Array(valid)));
            }
        }
    }

    /// Removes values from `table` until it can be deserialised, and reports each
    /// with its path in `original`.
    fn remove_until_valid(
        &mut self,
        table: &mut DeTable<'_>,
        original: &DeTable<'_>,
        starts: &LineStarts,
    ) {
        while let Err(error) = deserialise::<T>(table) {
            let span = error.span().unwrap_or_default();
            let invalid = path_at(table, &span);
            remove(table, &invalid.0);
            if invalid.0.is_empty() {
                table.clear();
            }
            let path = path_at(original, &span);
            let message = error.message().replace("expected struct", "expected a table of type");
            self.report(starts.line(span.start), path.to_string(), &message);
            // The removal of an element shifts the indices of those after it, so
            // the whole array counts as removed.
            self.removed.insert(path.parent_array().unwrap_or(path).to_string());
        }
    }
}

/// Returns the elements of an array that contains only tables.
fn array_of_tables<'i>(value: &DeValue<'i>) -> Option<DeArray<'i>> {
    let elements = value.as_array()?;
    elements.iter().all(|element| element.get_ref().is_table()).then(|| elements.clone())
}

fn append_elements<'i>(array: &mut DeArray<'i>, single: &mut DeTable<'i>, key: &str) {
    let Some(value) = single.remove(key) else { return };
    if let DeValue::Array(elements) = value.into_inner() {
        for element in elements {
            array.push(element);
        }
    }
}

fn deserialise<T>(table: &DeTable<'_>) -> Result<T, toml::de::Error>
where
    T: DeserializeOwned,
{
    T::deserialize(Deserializer::from(Spanned::new(0..0, table.clone())))
}
