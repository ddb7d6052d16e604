//! Paths and line numbers of the values in a TOML text.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;

use toml::Spanned;
use toml::de::DeArray;
use toml::de::DeTable;
use toml::de::DeValue;

/// One segment of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Segment {
    /// The key of a table entry.
    Key(String),
    /// The index of an array element.
    Index(usize),
}

/// Path from the root to a value, displayed as `organisation[3].share_milli`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct TomlPath(pub(crate) Vec<Segment>);

impl TomlPath {
    /// Returns the path of the array if this is the path of an array element.
    pub(crate) fn parent_array(&self) -> Option<Self> {
        match self.0.split_last() {
            Some((Segment::Index(_), array)) => Some(Self(array.to_vec())),
            Some((Segment::Key(_), _)) | None => None,
        }
    }
}

impl fmt::Display for TomlPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, segment) in self.0.iter().enumerate() {
            match segment {
                Segment::Key(key) if position == 0 => f.write_str(key)?,
                Segment::Key(key) => write!(f, ".{key}")?,
                Segment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// Yields `path` and each path above it, up to the root, which is empty.
pub(crate) fn ancestors(path: &str) -> impl Iterator<Item = &str> {
    std::iter::successors(Some(path), |path| {
        let end = path.rfind(['.', '['])?;
        path.get(..end)
    })
    .chain(Some(""))
}

/// Byte offsets at which the lines of a text begin.
pub(crate) struct LineStarts(Vec<usize>);

impl LineStarts {
    pub(crate) fn new(text: &str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self(std::iter::once(0).chain(after_breaks).collect())
    }

    /// Returns the number of the line that contains `offset`, from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.0.partition_point(|start| *start <= offset).max(1)
    }
}

/// Returns the line numbers of all values of `table` by their paths.
pub(crate) fn line_numbers(table: &DeTable<'_>, starts: &LineStarts) -> BTreeMap<String, usize> {
    let mut lines = BTreeMap::new();
    visit_table(table, &mut TomlPath::default(), &mut |path, span| {
        lines.entry(path.to_string()).or_insert_with(|| starts.line(span.start));
    });
    lines
}

/// Returns the path of the innermost entry of `table` with the smallest span
/// that contains `span`. The key and the value of an entry each have a span; a
/// table with a header has the span of its header.
pub(crate) fn path_at(table: &DeTable<'_>, span: &Range<usize>) -> TomlPath {
    let mut found = TomlPath::default();
    let mut smallest = usize::MAX;
    visit_table(table, &mut TomlPath::default(), &mut |path, candidate| {
        let contains = candidate.start <= span.start && span.end <= candidate.end;
        if contains && candidate.len() <= smallest {
            smallest = candidate.len();
            found = path.clone();
        }
    });
    found
}

fn visit_table<F>(table: &DeTable<'_>, path: &mut TomlPath, visit: &mut F)
where
    F: FnMut(&TomlPath, Range<usize>),
{
    for (key, value) in table {
        path.0.push(Segment::Key(key.get_ref().to_string()));
        visit(path, key.span());
        visit_value(value, path, visit);
        path.0.pop();
    }
}

fn visit_value<F>(value: &Spanned<DeValue<'_>>, path: &mut TomlPath, visit: &mut F)
where
    F: FnMut(&TomlPath, Range<usize>),
{
    visit(path, value.span());
    match value.get_ref() {
        DeValue::Table(table) => visit_table(table, path, visit),
        DeValue::Array(elements) => {
            for (index, element) in elements.iter().enumerate() {
                path.0.push(Segment::Index(index));
                visit_value(element, path, visit);
                path.0.pop();
            }
        }
        DeValue::String(_)
        | DeValue::Integer(_)
        | DeValue::Float(_)
        | DeValue::Boolean(_)
        | DeValue::Datetime(_) => {}
    }
}

/// Removes the entry at `path` from `table`.
pub(crate) fn remove(table: &mut DeTable<'_>, path: &[Segment]) {
    let Some((Segment::Key(key), rest)) = path.split_first() else { return };
    if rest.is_empty() {
        table.remove(key.as_str());
    } else if let Some(value) = table.get_mut(key.as_str()) {
        remove_in_value(value.get_mut(), rest);
    }
}

fn remove_in_value(value: &mut DeValue<'_>, path: &[Segment]) {
    match value {
        DeValue::Table(table) => remove(table, path),
        DeValue::Array(elements) => {
            let Some((Segment::Index(index), rest)) = path.split_first() else { return };
            if rest.is_empty() {
                *elements = std::mem::replace(elements, DeArray::new())
                    .into_iter()
                    .enumerate()
                    .filter(|(position, _)| position != index)
                    .map(|(_, element)| element)
                    .collect();
            } else if let Some(element) = elements.get_mut(*index) {
                remove_in_value(element.get_mut(), rest);
            }
        }
        DeValue::String(_)
        | DeValue::Integer(_)
        | DeValue::Float(_)
        | DeValue::Boolean(_)
        | DeValue::Datetime(_) => {}
    }
}
