//! Why a frame or settings cannot be read.

use thiserror::Error;

/// Why a field of a record cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FieldError {
    /// The frame ends before the field does.
    #[error("a field of {bytes} bytes runs past the end")]
    PastTheEnd {
        /// Bytes of the field.
        bytes: usize,
    },
    /// The frame ends before the list does.
    #[error("a list of {entries} entries runs past the end")]
    ListPastTheEnd {
        /// Entries that the list claims to have.
        entries: usize,
    },
    /// No list can have this number.
    #[error("list number {0}")]
    ListNumber(u8),
    /// No record has this code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// No outcome has this number.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// No state of an endpoint has this number.
    #[error("unknown backend state {0}")]
    UnknownState(u8),
    /// No form of a list has this number.
    #[error("unknown list form {0}")]
    UnknownListForm(u8),
}

/// Why a frame cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The header cannot be read.
    #[error("malformed frame: {0}")]
    Header(#[from] FieldError),
    /// The size is that of less than a header.
    #[error("malformed frame: length {size} is shorter than a header")]
    TooShort {
        /// The size in the header.
        size: u32,
    },
    /// There is not a byte for each record.
    #[error("malformed frame: {records} records cannot fit in {body} bytes")]
    TooManyRecords {
        /// Records by the header.
        records: u32,
        /// Bytes after the header.
        body: usize,
    },
    /// The clock is infinite or not a number.
    #[error("malformed frame: the clock is not a number")]
    Clock,
    /// The frame is not as long as its header says.
    #[error("malformed frame: length {size} but {bytes} bytes")]
    WrongSize {
        /// The size in the header.
        size: u32,
        /// The size of the frame.
        bytes: usize,
    },
    /// A record cannot be read.
    #[error("malformed frame: record {index}: {source}")]
    Record {
        /// The place of the record, from 0.
        index: u32,
        /// What is wrong with it.
        source: FieldError,
    },
    /// There is more than the records.
    #[error("malformed frame: {bytes} bytes after the last record")]
    TrailingBytes {
        /// How many.
        bytes: usize,
    },
    /// The input ends inside a frame.
    #[error("malformed frame: input ends inside a frame")]
    EndOfInput,
}

/// Why the adapter ends.
#[derive(Debug, Error)]
pub enum HostError {
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A frame cannot be read.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A key is missing, or its value cannot be used.
    #[error("settings: {key}: {source}")]
    Key {
        /// The path of the key.
        key: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// There is text after the settings.
    #[error("settings: {0}")]
    TrailingText(serde_json::Error),
    /// A key and its value do not go with another; both are named.
    #[error("settings: {0}")]
    Contradiction(&'static str),
}
