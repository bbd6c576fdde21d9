//! Reads TOML by hand, so that all faults of a file are told at once, each with its line, column and key path.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::time::Duration;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Its line, from 1.
    pub line: usize,
    /// Its column in characters, from 1.
    pub column: usize,
    /// The path of its key, as `pool[2].members[0].address`; empty where the text is no TOML or JSON.
    pub path: String,
    /// What is wrong.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.text)
    }
}

impl std::error::Error for Fault {}

/// A text with the faults found in it so far.
pub(crate) struct Source<'t> {
    text: &'t str,
    faults: RefCell<Vec<Fault>>,
}

impl<'t> Source<'t> {
    pub fn new(text: &'t str) -> Source<'t> {
        Source { text, faults: RefCell::default() }
    }

    /// Notes a fault at a byte of the text.
    pub fn fault(&self, at: usize, path: &str, text: impl fmt::Display) {
        let mut at = at.min(self.text.len());
        while !self.text.is_char_boundary(at) {
            at -= 1;
        }
        let before = &self.text[..at];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        let (path, text) = (path.to_string(), text.to_string());
        self.faults.borrow_mut().push(Fault { line, column, path, text });
    }

    /// Whether no fault was found so far.
    pub fn is_good(&self) -> bool {
        self.faults.borrow().is_empty()
    }

    /// The faults in the order of their places.
    pub fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort();
        faults.dedup();
        faults
    }

    /// Parses the text as TOML. What can be read is read, also where there are faults.
    pub fn parse(&self) -> Spanned<DeTable<'t>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            self.fault(error.span().map_or(0, |span| span.start), "", error.message());
        }
        table
    }
}

/// A value with its place.
#[derive(Clone, Debug)]
pub(crate) struct Placed<T> {
    pub value: T,
    pub at: usize,
    pub path: String,
}

impl<T> Placed<T> {
    pub fn map<U>(self, to: impl FnOnce(T) -> U) -> Placed<U> {
        Placed { value: to(self.value), at: self.at, path: self.path }
    }
}

/// A table that is being read. Keys that were never asked for are faults.
pub(crate) struct Section<'s, 't> {
    pub source: &'s Source<'t>,
    pub path: String,
    pub at: usize,
    table: &'s DeTable<'t>,
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'s, 't> Section<'s, 't> {
    pub fn new(source: &'s Source<'t>, path: String, at: usize, table: &'s DeTable<'t>) -> Section<'s, 't> {
        Section { source, path, at, table, known: RefCell::default() }
    }

    fn below(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Notes a fault of the whole table.
    pub fn fault(&self, text: impl fmt::Display) {
        self.source.fault(self.at, &self.path, text);
    }

    pub fn value(&self, key: &'static str) -> Option<Placed<&'s DeValue<'t>>> {
        self.known.borrow_mut().insert(key);
        let value = self.table.get(key)?;
        Some(Placed { value: value.get_ref(), at: value.span().start, path: self.below(key) })
    }

    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// Tells the keys that nothing asked for.
    pub fn finish(self) {
        let known = self.known.borrow();
        for key in self.table.keys().filter(|key| !known.contains(key.get_ref().as_ref())) {
            let names: Vec<&str> = known.iter().copied().collect();
            let text = format!("unknown key; known here: {}", names.join(", "));
            self.source.fault(key.span().start, &self.below(key.get_ref()), text);
        }
    }

    fn read<T>(
        &self,
        key: &'static str,
        what: &str,
        read: impl Fn(&DeValue) -> Option<T>,
    ) -> Option<Placed<T>> {
        self.value(key).and_then(|value| read_value(self.source, value, what, read))
    }

    pub fn string(&self, key: &'static str) -> Option<Placed<String>> {
        self.read(key, "a string", |v| v.as_str().map(str::to_string))
    }

    pub fn boolean(&self, key: &'static str, usual: bool) -> bool {
        self.read(key, "true or false", |v| v.as_bool()).map_or(usual, |b| b.value)
    }

    /// A number within a range; its usual value if it is not there or wrong.
    pub fn number(&self, key: &'static str, usual: f64, range: Range<f64>) -> f64 {
        let what = format!("a number from {} to less than {}", range.start, range.end);
        self.read(key, &what, |v| as_number(v).filter(|n| range.contains(n))).map_or(usual, |n| n.value)
    }

    pub fn whole(&self, key: &'static str, usual: u64, range: Range<u64>) -> u64 {
        let what = format!("a whole number from {} to {}", range.start, range.end - 1);
        self.read(key, &what, |v| as_whole(v).filter(|n| range.contains(n))).map_or(usual, |n| n.value)
    }

    pub fn span(&self, key: &'static str, usual: Duration, range: Range<Duration>) -> Duration {
        let what = format!(
            "a time such as \"250ms\", \"1.5s\" or \"2m\", from {:?} to {:?}",
            range.start, range.end
        );
        let read =
            |v: &DeValue| v.as_str().and_then(duration).filter(|d| range.contains(d) || *d == range.end);
        self.read(key, &what, read).map_or(usual, |d| d.value)
    }

    pub fn size(&self, key: &'static str, usual: u64, range: Range<u64>) -> u64 {
        let what =
            format!("a size such as 65536, \"64KiB\" or \"1GiB\", from {} to {}", range.start, range.end);
        let read = |v: &DeValue| {
            let size = v.as_str().map_or_else(|| as_whole(v), bytes);
            size.filter(|size| range.contains(size) || *size == range.end)
        };
        self.read(key, &what, read).map_or(usual, |size| size.value)
    }

    /// The strings of an array.
    pub fn strings(&self, key: &'static str) -> Vec<Placed<String>> {
        let list = self.items(key).unwrap_or_default();
        let text = |v: &DeValue| v.as_str().map(str::to_string);
        list.into_iter().filter_map(|item| read_value(self.source, item, "a string", text)).collect()
    }

    /// The items of an array; `None` if there is none.
    pub fn items(&self, key: &'static str) -> Option<Vec<Placed<&'s DeValue<'t>>>> {
        let value = self.value(key)?;
        let Some(array) = value.value.as_array() else {
            self.source.fault(value.at, &value.path, "must be an array");
            return None;
        };
        let item = |(i, item): (usize, &'s Spanned<DeValue<'t>>)| Placed {
            value: item.get_ref(),
            at: item.span().start,
            path: format!("{}[{i}]", value.path),
        };
        Some(array.iter().enumerate().map(item).collect())
    }

    /// The tables of an array of tables (`[[key]]`).
    pub fn sections(&self, key: &'static str) -> Vec<Section<'s, 't>> {
        let items = self.items(key).unwrap_or_default();
        items.into_iter().filter_map(|item| section(self.source, item)).collect()
    }

    /// A table below this one.
    pub fn section(&self, key: &'static str) -> Option<Section<'s, 't>> {
        self.value(key).and_then(|value| section(self.source, value))
    }

    /// All keys with their strings, where the keys are free.
    pub fn pairs(&self) -> Vec<(String, Option<Placed<String>>)> {
        let pair = |(key, value): (&Spanned<_>, &'s Spanned<DeValue<'t>>)| {
            let name: &std::borrow::Cow<'_, str> = key.get_ref();
            let placed =
                Placed { value: value.get_ref(), at: value.span().start, path: self.below(name.as_ref()) };
            let text = |v: &DeValue| v.as_str().map(str::to_string);
            (name.to_string(), read_value(self.source, placed, "a string", text))
        };
        self.table.iter().map(pair).collect()
    }
}

pub(crate) fn section<'s, 't>(
    source: &'s Source<'t>,
    value: Placed<&'s DeValue<'t>>,
) -> Option<Section<'s, 't>> {
    let table = value.value.as_table();
    if table.is_none() {
        source.fault(value.at, &value.path, "must be a table");
    }
    table.map(|table| Section::new(source, value.path, value.at, table))
}

fn read_value<T>(
    source: &Source,
    value: Placed<&DeValue>,
    what: &str,
    read: impl Fn(&DeValue) -> Option<T>,
) -> Option<Placed<T>> {
    let got = read(value.value);
    if got.is_none() {
        source.fault(value.at, &value.path, format!("must be {what}"));
    }
    got.map(|got| value.map(|_| got))
}

fn as_whole(value: &DeValue) -> Option<u64> {
    let number = value.as_integer()?;
    u64::from_str_radix(number.as_str(), number.radix()).ok()
}

fn as_number(value: &DeValue) -> Option<f64> {
    let number: f64 = match value.as_float() {
        Some(float) => float.as_str().parse().ok()?,
        None => as_whole(value)? as f64,
    };
    number.is_finite().then_some(number)
}

/// Splits a text into its number and its unit.
fn parts(text: &str) -> Option<(f64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    Some((number, text[end..].trim_start()))
}

/// Reads a span of time: a number with `ms`, `s`, `m` or `h`.
pub(crate) fn duration(text: &str) -> Option<Duration> {
    let (number, unit) = parts(text)?;
    let seconds = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return None,
    };
    // Rounded, so that 250 ms are not 249.999999.
    Duration::try_from_secs_f64(number * seconds)
        .ok()
        .map(|d| Duration::from_micros((d.as_nanos() as u64).div_ceil(1_000)))
}

/// Reads a size: a number with `B`, `KiB`, `MiB` or `GiB`.
pub(crate) fn bytes(text: &str) -> Option<u64> {
    let (number, unit) = parts(text)?;
    let factor = match unit {
        "B" => 1.0,
        "KiB" => 1024.0,
        "MiB" => 1024.0 * 1024.0,
        "GiB" => 1024.0 * 1024.0 * 1024.0,
        _ => return None,
    };
    Some((number * factor) as u64)
}

#[cfg(test)]
mod tests;
