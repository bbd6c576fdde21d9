//! The text of a file, the faults found in it, and values with their places in it.

use std::cell::RefCell;
use std::fmt;
use toml::de::DeTable;
use toml::Spanned;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Its line, from 1.
    pub line: usize,
    /// Its column in characters, from 1.
    pub column: usize,
    /// The path of its key, as `pool[2].members[0].address`; empty where the text is not valid
    /// TOML or JSON.
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

/// A value with its place in the text.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub value: T,
    /// The byte of the text at which it starts.
    pub offset: usize,
    /// The path of its key.
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

/// A text with the faults found in it so far.
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

    /// Records a fault at a byte of the text.
    pub fn fault(&self, offset: usize, path: &str, text: impl fmt::Display) {
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

    /// Records a fault of a value.
    pub fn fault_at<T>(&self, value: &Located<T>, text: impl fmt::Display) {
        self.fault(value.offset, &value.path, text);
    }

    /// Whether any fault was found so far.
    pub fn has_faults(&self) -> bool {
        !self.faults.borrow().is_empty()
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
            self.fault(
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
