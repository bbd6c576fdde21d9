//! Errors of frames, settings and the host process.

use thiserror::Error;

/// A malformed field of a record.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FieldError {
    /// The frame ends inside the field.
    #[error("a field of {bytes} bytes runs past the end")]
    TruncatedField {
        /// Size of the field.
        bytes: usize,
    },
    /// The frame ends inside the list.
    #[error("a list of {entries} entries runs past the end")]
    TruncatedList {
        /// Number of entries that the list claims to have.
        entries: usize,
    },
    /// The slot of an endpoint list is out of range.
    #[error("list number {0} is out of range")]
    InvalidListSlot(u8),
    /// The code belongs to no kind of record.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// The number belongs to no outcome of an attempt.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// The number belongs to no state of an endpoint.
    #[error("unknown endpoint state {0}")]
    UnknownState(u8),
    /// The number belongs to no kind of endpoint list.
    #[error("unknown list kind {0}")]
    UnknownListKind(u8),
}

/// A malformed frame.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// A field of the header is malformed.
    #[error("malformed frame: {0}")]
    Header(#[from] FieldError),
    /// The size in the header is smaller than the header itself.
    #[error("malformed frame: length {size} is shorter than a header")]
    TooShort {
        /// Size of the frame according to its header.
        size: u32,
    },
    /// The body has fewer bytes than records.
    #[error("malformed frame: {records} records cannot fit in {body} bytes")]
    TooManyRecords {
        /// Number of records according to the header.
        records: u32,
        /// Size of the body.
        body: usize,
    },
    /// The clock is infinite or not a number.
    #[error("malformed frame: the clock is not a finite number")]
    InvalidClock,
    /// The size of the frame differs from the size in its header.
    #[error("malformed frame: its header gives a length of {size}, but it has {bytes} bytes")]
    WrongSize {
        /// Size of the frame according to its header.
        size: u32,
        /// Actual size of the frame.
        bytes: usize,
    },
    /// A record is malformed.
    #[error("malformed frame: record {index}: {source}")]
    Record {
        /// Index of the record in the batch, from 0.
        index: u32,
        /// Error of the malformed field.
        source: FieldError,
    },
    /// Bytes follow the last record.
    #[error("malformed frame: {bytes} bytes after the last record")]
    TrailingBytes {
        /// Number of these bytes.
        bytes: usize,
    },
    /// The input ends inside a frame.
    #[error("malformed frame: input ends inside a frame")]
    TruncatedInput,
}

/// An error that ends the host process.
#[derive(Debug, Error)]
pub enum HostError {
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A frame is malformed.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Invalid settings of an instance.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A key is missing, or its value is invalid.
    #[error("settings: {key}: {source}")]
    Key {
        /// Path of the key, such as `Classes[0].Aim`.
        key: String,
        /// Error of the key, with its position in the text.
        source: serde_json::Error,
    },
    /// Text follows the settings.
    #[error("settings: {0}")]
    TrailingText(serde_json::Error),
    /// A list is empty or too long, or the values of two keys are inconsistent. The text names the
    /// keys.
    #[error("settings: {0}")]
    Inconsistent(&'static str),
}
