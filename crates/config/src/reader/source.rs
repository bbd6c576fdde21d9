//! The text of a file, the faults found in it, and values with their positions.

use std::cell::RefCell;
use std::fmt;
use toml::de::DeTable;
use toml::Spanned;

/// A fault in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the key, such as `pool[2].members[0].address`; empty if the text is not valid
    /// TOML or JSON.
    pub path: String,
    /// The description of the fault.
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

/// A value with its position in the text.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub value: T,
    /// The byte offset of the value in the text.
    pub offset: usize,
    /// The path of the value's key.
    pub path: String,
}

impl<T> Located<T> {
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Located<U> {
        Located {
            value: convert(self.value),
            offset: self.offset,
            path: self.path,
        }
    }
}

/// The text of a file and the faults found in it so far.
pub(crate) struct Source<'t> {
    text: &'t str,
    faults: RefCell<Vec<Fault>>,
}

impl<'t> Source<'t> {
    pub fn new(text: &'t str) -> Source<'t> {
        Source {
            text,
            faults: RefCell::default(),
        }
    }

    /// Records a fault at a byte offset of the text.
    pub fn add_fault(&self, offset: usize, path: &str, text: impl fmt::Display) {
        let mut offset = offset.min(self.text.len());
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &self.text[..offset];
        let line = before.matches('\n').count() + 1;
        let column = before
            .rsplit('\n')
            .next()
            .unwrap_or_default()
            .chars()
            .count()
            + 1;
        let (path, text) = (path.to_string(), text.to_string());
        self.faults.borrow_mut().push(Fault {
            line,
            column,
            path,
            text,
        });
    }

    /// Records a fault at the position of a value.
    pub fn add_fault_at<T>(&self, value: &Located<T>, text: impl fmt::Display) {
        self.add_fault(value.offset, &value.path, text);
    }

    /// Returns whether any fault has been recorded.
    pub fn has_faults(&self) -> bool {
        !self.faults.borrow().is_empty()
    }

    /// Returns the distinct faults in the order of their positions.
    pub fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort();
        faults.dedup();
        faults
    }

    /// Parses the text as TOML. Records syntax errors as faults, and returns the parts that could
    /// be parsed.
    pub fn parse(&self) -> Spanned<DeTable<'t>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            self.add_fault(
                error.span().map_or(0, |span| span.start),
                "",
                error.message(),
            );
        }
        table
    }
}

#[cfg(test)]
mod tests;
