//! Paths and lines of the values in a TOML text.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;

use toml::Spanned;
use toml::de::DeArray;
use toml::de::DeTable;
use toml::de::DeValue;

/// One step of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// To the value of a key.
    Key(String),
    /// To an element of an array.
    Index(usize),
}

/// Steps from the root to a value, displayed as `organisation[3].share_milli`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Path(pub(crate) Vec<Step>);

impl Path {
    /// The path of the array if this is the path of an element.
    pub(crate) fn list(&self) -> Option<Self> {
        match self.0.split_last() {
            Some((Step::Index(_), list)) => Some(Self(list.to_vec())),
            Some((Step::Key(_), _)) | None => None,
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                Step::Key(key) if position == 0 => f.write_str(key)?,
                Step::Key(key) => write!(f, ".{key}")?,
                Step::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// The path, then each shorter one that it begins with, down to the root.
pub(crate) fn ancestors(path: &str) -> impl Iterator<Item = &str> {
    std::iter::successors(Some(path), |path| {
        let end = path.rfind(['.', '['])?;
        path.get(..end)
    })
    .chain(Some(""))
}

/// Offsets at which the lines of a text begin.
pub(crate) struct LineStarts(Vec<usize>);

impl LineStarts {
    pub(crate) fn new(text: &str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self(std::iter::once(0).chain(after_breaks).collect())
    }

    /// Number of the line that holds `offset`, from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.0.partition_point(|start| *start <= offset).max(1)
    }
}

/// Lines of all values of `table` by their paths.
pub(crate) fn lines_of(table: &DeTable<'_>, starts: &LineStarts) -> BTreeMap<String, usize> {
    let mut lines = BTreeMap::new();
    visit_table(table, &mut Path::default(), &mut |path, span| {
        lines.entry(path.to_string()).or_insert_with(|| starts.line(span.start));
    });
    lines
}

/// Path of the innermost entry of `table` with the smallest span around
/// `span`. An entry has the spans of its key and of its value; the span of a
/// table with a header is the header's.
pub(crate) fn path_at(table: &DeTable<'_>, span: &Range<usize>) -> Path {
    let mut found = Path::default();
    let mut smallest = usize::MAX;
    visit_table(table, &mut Path::default(), &mut |path, candidate| {
        let holds = candidate.start <= span.start && span.end <= candidate.end;
        if holds && candidate.len() <= smallest {
            smallest = candidate.len();
            found = path.clone();
        }
    });
    found
}

fn visit_table<F>(table: &DeTable<'_>, path: &mut Path, visit: &mut F)
where
    F: FnMut(&Path, Range<usize>),
{
    for (key, value) in table {
        path.0.push(Step::Key(key.get_ref().to_string()));
        visit(path, key.span());
        visit_value(value, path, visit);
        path.0.pop();
    }
}

fn visit_value<F>(value: &Spanned<DeValue<'_>>, path: &mut Path, visit: &mut F)
where
    F: FnMut(&Path, Range<usize>),
{
    visit(path, value.span());
    match value.get_ref() {
        DeValue::Table(table) => visit_table(table, path, visit),
        DeValue::Array(elements) => {
            for (index, element) in elements.iter().enumerate() {
                path.0.push(Step::Index(index));
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

/// Takes the entry at `path` out of `table`.
pub(crate) fn remove(table: &mut DeTable<'_>, path: &[Step]) {
    let Some((Step::Key(key), rest)) = path.split_first() else { return };
    if rest.is_empty() {
        table.remove(key.as_str());
    } else if let Some(value) = table.get_mut(key.as_str()) {
        remove_below(value.get_mut(), rest);
    }
}

fn remove_below(value: &mut DeValue<'_>, path: &[Step]) {
    match value {
        DeValue::Table(table) => remove(table, path),
        DeValue::Array(elements) => {
            let Some((Step::Index(index), rest)) = path.split_first() else { return };
            if rest.is_empty() {
                *elements = std::mem::replace(elements, DeArray::new())
                    .into_iter()
                    .enumerate()
                    .filter(|(position, _)| position != index)
                    .map(|(_, element)| element)
                    .collect();
            } else if let Some(element) = elements.get_mut(*index) {
                remove_below(element.get_mut(), rest);
            }
        }
        DeValue::String(_)
        | DeValue::Integer(_)
        | DeValue::Float(_)
        | DeValue::Boolean(_)
        | DeValue::Datetime(_) => {}
    }
}
