//! `[log]`: the settings of the log on standard error.

use crate::reader::Section;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of the form `level=info message="..."`.
    Logfmt,
    /// One JSON object per line.
    Json,
}

/// The settings of the log on standard error.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// The format of the lines.
    pub format: LogFormat,
    /// The limit of lines per second. Bursts of up to ten times this number are allowed.
    pub lines_per_s: u32,
    /// Whether individual requests are traced.
    pub trace: bool,
}

/// Reads the section. A missing section gives the defaults.
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
