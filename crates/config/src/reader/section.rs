//! A table of the file that is read one key at a time. Keys that are never read are faults.

use super::source::{Located, Source};
use super::units::{parse_bytes, parse_duration};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::time::Duration;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// The description of a string in the fault of a value that is not one.
const STRING: &str = "a string";

/// A table of the file and the keys that have been read from it.
pub(crate) struct Section<'s, 't> {
    pub source: &'s Source<'t>,
    pub path: String,
    /// The byte offset of the table in the text.
    pub offset: usize,
    table: &'s DeTable<'t>,
    /// The keys that have been looked up, whether or not they are present.
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'s, 't> Section<'s, 't> {
    pub fn new(
        source: &'s Source<'t>,
        path: String,
        offset: usize,
        table: &'s DeTable<'t>,
    ) -> Section<'s, 't> {
        Section {
            source,
            path,
            offset,
            table,
            known: RefCell::default(),
        }
    }

    /// Returns the root table of the file.
    pub fn root(source: &'s Source<'t>, table: &'s DeTable<'t>) -> Section<'s, 't> {
        Section::new(source, String::new(), 0, table)
    }

    /// Records a fault at the position of this table.
    pub fn add_fault(&self, text: impl fmt::Display) {
        self.source.add_fault(self.offset, &self.path, text);
    }

    /// Returns a value with the position of this table.
    pub fn locate<T>(&self, value: T) -> Located<T> {
        Located {
            value,
            offset: self.offset,
            path: self.path.clone(),
        }
    }

    /// Records a fault for each key that has not been looked up.
    pub fn finish(self) {
        let known = self.known.borrow();
        for key in self
            .table
            .keys()
            .filter(|key| !known.contains(key.get_ref().as_ref()))
        {
            let names: Vec<&str> = known.iter().copied().collect();
            let text = format!("unknown key; known here: {}", names.join(", "));
            self.source
                .add_fault(key.span().start, &self.path_of(key.get_ref()), text);
        }
    }

    /// Returns whether the key is present.
    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// Returns whether the key is present, and records a fault if it is not.
    pub fn require(&self, key: &'static str) -> bool {
        let is_present = self.has(key);
        if !is_present {
            self.add_fault(format!("{key} is missing"));
        }
        is_present
    }

    /// Returns the number of the keys that are present.
    pub fn count_present(&self, keys: [&'static str; 3]) -> usize {
        keys.iter().filter(|key| self.has(key)).count()
    }

    /// Records a fault unless exactly one of the keys is present.
    pub fn require_one_of(&self, keys: [&'static str; 3]) {
        if self.count_present(keys) != 1 {
            let [first, second, third] = keys;
            self.add_fault(format!(
                "needs exactly one of {first}, {second} and {third}"
            ));
        }
    }

    /// Reads a string.
    pub fn string(&self, key: &'static str) -> Option<Located<String>> {
        self.read(key, STRING, as_string)
    }

    /// Reads one of several named values; returns the default if the key is missing or invalid.
    pub fn choice<T: Copy>(&self, key: &'static str, default: T, choices: &[(&str, T)]) -> T {
        let Some(text) = self.string(key) else {
            return default;
        };
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text.value) {
            return *value;
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.source
            .add_fault_at(&text, format!("must be one of {}", names.join(", ")));
        default
    }

    /// Reads a boolean; returns the default if the key is missing or invalid.
    pub fn boolean(&self, key: &'static str, default: bool) -> bool {
        self.read(key, "true or false", |value| value.as_bool())
            .map_or(default, |read| read.value)
    }

    /// Reads a number within a range; returns the default if the key is missing or invalid.
    pub fn number(&self, key: &'static str, default: f64, range: Range<f64>) -> f64 {
        let what = format!("a number from {} to less than {}", range.start, range.end);
        let read = |value: &DeValue| as_number(value).filter(|number| range.contains(number));
        self.read(key, &what, read)
            .map_or(default, |read| read.value)
    }

    /// Reads an integer within a range; returns the default if the key is missing or invalid.
    pub fn integer(&self, key: &'static str, default: u64, range: Range<u64>) -> u64 {
        let what = format!("a whole number from {} to {}", range.start, range.end - 1);
        let read = |value: &DeValue| as_integer(value).filter(|number| range.contains(number));
        self.read(key, &what, read)
            .map_or(default, |read| read.value)
    }

    /// Reads a duration within a range that includes its end; returns the default if the key is
    /// missing or invalid.
    pub fn duration(
        &self,
        key: &'static str,
        default: Duration,
        range: Range<Duration>,
    ) -> Duration {
        let what = format!(
            "a time such as \"250ms\", \"1.5s\" or \"2m\", from {:?} to {:?}",
            range.start, range.end
        );
        let read = |value: &DeValue| {
            let read = value.as_str().and_then(parse_duration);
            read.filter(|duration| range.contains(duration) || *duration == range.end)
        };
        self.read(key, &what, read)
            .map_or(default, |read| read.value)
    }

    /// Reads a size in bytes within a range that includes its end; returns the default if the key
    /// is missing or invalid.
    pub fn size(&self, key: &'static str, default: u64, range: Range<u64>) -> u64 {
        let what = format!(
            "a size such as 65536, \"64KiB\" or \"1GiB\", from {} to {}",
            range.start, range.end
        );
        let read = |value: &DeValue| {
            let read = value
                .as_str()
                .map_or_else(|| as_integer(value), parse_bytes);
            read.filter(|size| range.contains(size) || *size == range.end)
        };
        self.read(key, &what, read)
            .map_or(default, |read| read.value)
    }

    /// Reads the strings of an array.
    pub fn strings(&self, key: &'static str) -> Vec<Located<String>> {
        let items = self.items(key).unwrap_or_default();
        items
            .into_iter()
            .filter_map(|item| read_value(self.source, item, STRING, as_string))
            .collect()
    }

    /// Reads the items of an array; returns `None` if the key is missing or not an array.
    pub fn items(&self, key: &'static str) -> Option<Vec<Located<&'s DeValue<'t>>>> {
        let value = self.value(key)?;
        let Some(array) = value.value.as_array() else {
            self.source.add_fault_at(&value, "must be an array");
            return None;
        };
        let locate = |(index, item): (usize, &'s Spanned<DeValue<'t>>)| Located {
            value: item.get_ref(),
            offset: item.span().start,
            path: format!("{}[{index}]", value.path),
        };
        Some(array.iter().enumerate().map(locate).collect())
    }

    /// Reads the tables of an array of tables (`[[key]]`).
    pub fn sections(&self, key: &'static str) -> Vec<Section<'s, 't>> {
        let items = self.items(key).unwrap_or_default();
        items
            .into_iter()
            .filter_map(|item| read_table(self.source, item))
            .collect()
    }

    /// Reads a table within this one.
    pub fn section(&self, key: &'static str) -> Option<Section<'s, 't>> {
        self.value(key)
            .and_then(|value| read_table(self.source, value))
    }

    /// Reads all keys with their strings, for a table with arbitrary keys.
    pub fn strings_by_key(&self) -> Vec<(String, Option<Located<String>>)> {
        let entry = |(key, value): (&Spanned<_>, &'s Spanned<DeValue<'t>>)| {
            let name: &std::borrow::Cow<'_, str> = key.get_ref();
            let located = Located {
                value: value.get_ref(),
                offset: value.span().start,
                path: self.path_of(name.as_ref()),
            };
            (
                name.to_string(),
                read_value(self.source, located, STRING, as_string),
            )
        };
        self.table.iter().map(entry).collect()
    }

    fn value(&self, key: &'static str) -> Option<Located<&'s DeValue<'t>>> {
        self.known.borrow_mut().insert(key);
        let value = self.table.get(key)?;
        Some(Located {
            value: value.get_ref(),
            offset: value.span().start,
            path: self.path_of(key),
        })
    }

    fn read<T>(
        &self,
        key: &'static str,
        what: &str,
        read: impl Fn(&DeValue) -> Option<T>,
    ) -> Option<Located<T>> {
        self.value(key)
            .and_then(|value| read_value(self.source, value, what, read))
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

/// Reads a value as a table. A value that is not a table is a fault.
pub(crate) fn read_table<'s, 't>(
    source: &'s Source<'t>,
    value: Located<&'s DeValue<'t>>,
) -> Option<Section<'s, 't>> {
    let table = value.value.as_table();
    if table.is_none() {
        source.add_fault_at(&value, "must be a table");
    }
    table.map(|table| Section::new(source, value.path, value.offset, table))
}

/// Reads a value. If that fails, records a fault that states what the value must be.
fn read_value<T>(
    source: &Source,
    value: Located<&DeValue>,
    what: &str,
    read: impl Fn(&DeValue) -> Option<T>,
) -> Option<Located<T>> {
    let result = read(value.value);
    if result.is_none() {
        source.add_fault_at(&value, format!("must be {what}"));
    }
    result.map(|result| value.map(|_| result))
}

fn as_string(value: &DeValue) -> Option<String> {
    value.as_str().map(str::to_string)
}

fn as_integer(value: &DeValue) -> Option<u64> {
    let number = value.as_integer()?;
    u64::from_str_radix(number.as_str(), number.radix()).ok()
}

fn as_number(value: &DeValue) -> Option<f64> {
    let number: f64 = match value.as_float() {
        Some(float) => float.as_str().parse().ok()?,
        None => as_integer(value)? as f64,
    };
    number.is_finite().then_some(number)
}
