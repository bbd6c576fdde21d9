//! `[log]`: the log, on standard error.

use crate::reader::Section;

/// The format of a line of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// `level=info message="..."`
    Logfmt,
    /// A JSON object a line.
    Json,
}

/// The log, on standard error.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// The format of its lines.
    pub format: LogFormat,
    /// Lines a second over time; ten seconds' worth may come at once.
    pub lines_per_s: u32,
    /// Whether single requests are traced.
    pub trace: bool,
}

/// Reads the section.
pub(super) fn read(root: &Section) -> Log {
    let default = Log {
        format: LogFormat::Logfmt,
        lines_per_s: 10,
        trace: false,
    };
    let Some(section) = root.section("log") else {
        return default;
    };
    let formats = [("logfmt", LogFormat::Logfmt), ("json", LogFormat::Json)];
    let log = Log {
        format: section.choice("format", default.format, &formats),
        lines_per_s: section.integer("lines_per_s", default.lines_per_s.into(), 1..10_001) as u32,
        trace: section.boolean("trace", default.trace),
    };
    section.finish();
    log
}
