//! The reasons for rejecting a request.

/// A defect in the framing of a request. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// A line ends in a bare LF, or a CR is not followed by an LF.
    #[error("a line does not end in CRLF")]
    LineEnd,
    /// The request line is not `METHOD target HTTP/1.x`.
    #[error("the request line is malformed")]
    RequestLine,
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
