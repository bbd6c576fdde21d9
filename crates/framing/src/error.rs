//! The reasons for rejecting a message.

/// A defect in the framing of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// A line ends in a bare LF, or a CR is not followed by an LF.
    #[error("a line does not end in CRLF")]
    LineEnd,
    /// The request line is not `METHOD target HTTP/1.x`.
    #[error("the request line is malformed")]
    RequestLine,
    /// The status line is not `HTTP/1.x status reason`, or switches to a protocol that was not
    /// asked for.
    #[error("the status line is malformed")]
    StatusLine,
    /// A header line is folded, has no colon, a name that is not a token, or a control byte in its
    /// value.
    #[error("a header is malformed")]
    Header,
    /// The body's length is given twice, by two headers, or in an unsupported form.
    #[error(
        "the body length must be given by one Content-Length or by Transfer-Encoding: chunked"
    )]
    Length,
    /// `Host` is given twice, or missing in HTTP/1.1.
    #[error("there must be exactly one Host")]
    Host,
    /// A chunk is malformed.
    #[error("a chunk is malformed")]
    Chunk,
    /// The head or the trailers exceed the limit.
    #[error("the head is too large")]
    TooLarge,
}

/// The part of a request in which a defect was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessagePart {
    /// The head, of which no byte was passed on.
    Head,
    /// The body, whose head was passed on.
    Body,
}

/// The rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The defect.
    pub error: FramingError,
    /// Where it was found.
    pub part: MessagePart,
}
