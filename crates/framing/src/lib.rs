//! Strict validators of the framing of HTTP/1.1 messages (RFC 9112), without I/O.
//!
//! If two readers of one connection disagree on where a request ends, bytes that one reader treats
//! as a body are a request to the other. This is request smuggling. A lenient parser cannot
//! distinguish such a request from a valid one. Neither can the user of a parser that hides
//! ambiguities, such as a `Content-Length` together with a `Transfer-Encoding`.
//!
//! A [`RequestValidator`] therefore processes every byte of a client connection before the HTTP
//! parser does, and a [`ResponseValidator`] every byte of a connection to an endpoint; the proxy puts
//! one between each socket and the parser. A validator buffers a head until the head is complete,
//! checks it, and then follows the body to the start of the next head.
//!
//! A validator guarantees that only complete, unambiguous heads, lines between chunks and trailers
//! are passed on, and that nothing is passed on after the first [`FramingError`]. It assumes that it
//! gets all bytes of one connection in order; their split into calls does not affect the result.
//!
//! [`RequestValidator`] rejects requests that readers are known to interpret differently and that RFC 9112
//! allows a server to reject:
//!
//! | in a request | RFC 9112 |
//! | --- | --- |
//! | a line that ends in a bare LF, or a CR without a following LF | 2.2 |
//! | white space before the first header, a folded line | 2.2, 5.2 |
//! | white space between a header's name and its colon, a name that is not a token, a control byte in a value | 5.1 |
//! | `Content-Length` and `Transfer-Encoding` together | 6.1 |
//! | `Transfer-Encoding` that is not exactly `chunked`, or is repeated, or occurs in HTTP/1.0 | 6.1, 6.3 |
//! | `Content-Length` that is not digits, or is repeated, even with the same value | 6.3 |
//! | a chunk size that is not one to sixteen hexadecimal digits, a chunk without its CRLF, a control byte in an extension | 7.1 |
//! | `Host` repeated, or missing in HTTP/1.1 | 3.2 |
//! | a request line that is not method, target and version separated by single spaces | 3 |
//! | a head or trailers above the configured size | 5.4 (leaves the limit to the server) |
//!
//! [`ResponseValidator`] applies the same rules to responses, whose first line is a status line. A
//! `Content-Length` beside `Transfer-Encoding: chunked` is overridden there (6.3), and a body without
//! either ends with the connection.
//!
//! The memory of a validator is bounded by the maximum size of a head. It is used only while a head
//! or trailers are incomplete.

#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::type_complexity,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::enum_glob_use,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod body;
mod chunk;
mod error;
mod head;
mod head_buffer;
mod length_headers;
mod request_validator;
mod response_head;
mod response_validator;

pub use error::{FramingError, MessagePart, Rejection};
pub use request_validator::RequestValidator;
pub use response_validator::ResponseValidator;
