//! A strict check of how HTTP/1.1 requests are framed (RFC 9112): bytes in, bytes out, no I/O.
//!
//! If two readers of one connection disagree on where a request ends, a body for one reader is a
//! request for the other: request smuggling. A lenient parser cannot tell such a request from a
//! good one, and neither can a parser that hides what it read, such as `Content-Length` beside
//! `Transfer-Encoding`.
//!
//! The [`FramingValidator`] therefore sees every byte of a client connection before the HTTP parser does; the
//! proxy puts one between each client's socket and the parser. A guard holds a request head back
//! until the head is complete, checks it, and follows the body to the start of the next head.
//!
//! It guarantees that only complete, unambiguous heads are passed on, and that nothing is passed on
//! after the first [`FramingError`]. It assumes that the bytes are those of one connection, from
//! its first byte, in order; how they are split into calls makes no difference.
//!
//! Rejected are requests that RFC 9112 allows a server to reject and that readers are known to
//! disagree on:
//!
//! | in a request | RFC 9112 |
//! | --- | --- |
//! | a line that ends in a bare LF, or a CR that no LF follows | 2.2 |
//! | white space before the first header, a folded line | 2.2, 5.2 |
//! | white space between a header's name and its colon, a name that is no token, a control byte in a value | 5.1 |
//! | `Content-Length` and `Transfer-Encoding` together | 6.1 |
//! | `Transfer-Encoding` that is not exactly `chunked`, or stands twice, or in HTTP/1.0 | 6.1, 6.3 |
//! | `Content-Length` that is not digits, or stands twice with whatever value | 6.3 |
//! | a chunk size that is not one to sixteen hexadecimal digits, or a chunk without its CRLF | 7.1 |
//! | `Host` twice, or missing in HTTP/1.1 | 3.2 |
//! | a request line that is not method, target and version with one space between | 3 |
//! | a head, or the trailers, beyond a stated size | 5.4 (a limit of its own) |
//!
//! A guard's memory is bounded by the size of one head, and used only while a head or trailers are
//! incomplete.

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

mod chunk;
mod error;
mod head;
mod validator;

pub use error::FramingError;
pub use validator::FramingValidator;
