//! A table of the file that is read key by key. Keys that nothing reads are faults.

use super::source::{Located, Source};
use super::units::{bytes, duration};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::time::Duration;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// What a string has to be, in the fault of one that is not.
const STRING: &str = "a string";

/// A table that is being read.
pub(crate) struct Section<'s, 't> {
    pub source: &'s Source<'t>,
    pub path: String,
    /// The byte of the text at which it starts.
    pub offset: usize,
    table: &'s DeTable<'t>,
    /// The keys that were looked up so far, there or not.
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

    /// The whole file.
    pub fn root(source: &'s Source<'t>, table: &'s DeTable<'t>) -> Section<'s, 't> {
        Section::new(source, String::new(), 0, table)
    }

    /// Records a fault of the whole table.
    pub fn fault(&self, text: impl fmt::Display) {
        self.source.fault(self.offset, &self.path, text);
    }

    /// Gives a value the place of this table.
    pub fn locate<T>(&self, value: T) -> Located<T> {
        Located {
            value,
            offset: self.offset,
            path: self.path.clone(),
        }
    }

    /// Records each key that was never looked up as a fault.
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
                .fault(key.span().start, &self.path_of(key.get_ref()), text);
        }
    }

    /// Whether the key is there.
    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// Whether the key is there; a fault if it is not.
    pub fn require(&self, key: &'static str) -> bool {
        let there = self.has(key);
        if !there {
            self.fault(format!("{key} is missing"));
        }
        there
    }

    /// How many of the keys are there.
    pub fn count_of(&self, keys: [&'static str; 3]) -> usize {
        keys.iter().filter(|key| self.has(key)).count()
    }

    /// Records a fault unless exactly one of the keys is there.
    pub fn require_one_of(&self, keys: [&'static str; 3]) {
        if self.count_of(keys) != 1 {
            let [first, second, third] = keys;
            self.fault(format!(
                "needs exactly one of {first}, {second} and {third}"
            ));
        }
    }

    /// The string at a key.
    pub fn string(&self, key: &'static str) -> Option<Located<String>> {
        self.read(key, STRING, as_string)
    }

    /// One of some named values; the default if the key is not there or wrong.
    pub fn choice<T: Copy>(&self, key: &'static str, default: T, choices: &[(&str, T)]) -> T {
        let Some(text) = self.string(key) else {
            return default;
        };
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text.value) {
            return *value;
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.source
            .fault_at(&text, format!("must be one of {}", names.join(", ")));
        default
    }

    /// A boolean; the default if the key is not there or wrong.
    pub fn boolean(&self, key: &'static str, default: bool) -> bool {
        self.read(key, "true or false", |value| value.as_bool())
            .map_or(default, |read| read.value)
    }

    /// A number within a range; the default if the key is not there or wrong.
    pub fn number(&self, key: &'static str, default: f64, range: Range<f64>) -> f64 {
        let what = format!("a number from {} to less than {}", range.start, range.end);
        let read = |value: &DeValue| as_number(value).filter(|number| range.contains(number));
        self.read(key, &what, read)
            .map_or(default, |read| read.value)
    }

    /// An integer within a range; the default if the key is not there or wrong.
    pub fn integer(&self, key: &'static str, default: u64, range: Range<u64>) -> u64 {
        let what = format!("a whole number from {} to {}", range.start, range.end - 1);
        let read = |value: &DeValue| as_integer(value).filter(|number| range.contains(number));
        self.read(key, &what, read)
            .map_or(default, |read| read.value)
    }

    /// A duration within a range, its end included; the default if the key is not there or wrong.
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
            let read = value.as_str().and_then(duration);
            read.filter(|duration| range.contains(duration) || *duration == range.end)
        };
        self.read(key, &what, read)
            .map_or(default, |read| read.value)
    }

    /// A size in bytes within a range, its end included; the default if the key is not there or
    /// wrong.
    pub fn size(&self, key: &'static str, default: u64, range: Range<u64>) -> u64 {
        let what = format!(
            "a size such as 65536, \"64KiB\" or \"1GiB\", from {} to {}",
            range.start, range.end
        );
        let read = |value: &DeValue| {
            let read = value.as_str().map_or_else(|| as_integer(value), bytes);
            read.filter(|size| range.contains(size) || *size == range.end)
        };
        self.read(key, &what, read)
            .map_or(default, |read| read.value)
    }

    /// The strings of an array.
    pub fn strings(&self, key: &'static str) -> Vec<Located<String>> {
        let items = self.items(key).unwrap_or_default();
        items
            .into_iter()
            .filter_map(|item| read_value(self.source, item, STRING, as_string))
            .collect()
    }

    /// The items of an array; `None` if there is none.
    pub fn items(&self, key: &'static str) -> Option<Vec<Located<&'s DeValue<'t>>>> {
        let value = self.value(key)?;
        let Some(array) = value.value.as_array() else {
            self.source.fault_at(&value, "must be an array");
            return None;
        };
        let locate = |(index, item): (usize, &'s Spanned<DeValue<'t>>)| Located {
            value: item.get_ref(),
            offset: item.span().start,
            path: format!("{}[{index}]", value.path),
        };
        Some(array.iter().enumerate().map(locate).collect())
    }

    /// The tables of an array of tables (`[[key]]`).
    pub fn sections(&self, key: &'static str) -> Vec<Section<'s, 't>> {
        let items = self.items(key).unwrap_or_default();
        items
            .into_iter()
            .filter_map(|item| section(self.source, item))
            .collect()
    }

    /// A table below this one.
    pub fn section(&self, key: &'static str) -> Option<Section<'s, 't>> {
        self.value(key)
            .and_then(|value| section(self.source, value))
    }

    /// All keys with their strings, for a table whose keys are free.
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

/// Reads a value as a table; a fault if it is none.
pub(crate) fn section<'s, 't>(
    source: &'s Source<'t>,
    value: Located<&'s DeValue<'t>>,
) -> Option<Section<'s, 't>> {
    let table = value.value.as_table();
    if table.is_none() {
        source.fault_at(&value, "must be a table");
    }
    table.map(|table| Section::new(source, value.path, value.offset, table))
}

/// Reads a value; a fault that says `what` it must be if that fails.
fn read_value<T>(
    source: &Source,
    value: Located<&DeValue>,
    what: &str,
    read: impl Fn(&DeValue) -> Option<T>,
) -> Option<Located<T>> {
    let result = read(value.value);
    if result.is_none() {
        source.fault_at(&value, format!("must be {what}"));
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
