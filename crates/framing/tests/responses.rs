//! Which responses the validator passes on and rejects, independent of the split into reads.

use dewrun_framing::{FramingError, ResponseValidator};

const MAX_HEAD_BYTES: usize = 1_000;

/// Returns the bytes that are passed on, and the error, if a response is received in pieces of a
/// size.
fn run(text: &str, piece: usize, is_to_head: bool) -> (String, Option<FramingError>) {
    let mut validator = ResponseValidator::new(MAX_HEAD_BYTES);
    validator.expect_response(is_to_head);
    let mut out = Vec::new();
    text.as_bytes()
        .chunks(piece)
        .for_each(|piece| validator.push(piece, &mut out));
    (
        String::from_utf8_lossy(&out).into_owned(),
        validator.error(),
    )
}

/// Runs a response in pieces of every size, and checks that the results do not differ.
fn run_in_all_pieces(text: &str, is_to_head: bool) -> (String, Option<FramingError>) {
    let complete = run(text, text.len(), is_to_head);
    for piece in 1..text.len() {
        assert_eq!(
            run(text, piece, is_to_head),
            complete,
            "in pieces of {piece}: {text:?}"
        );
    }
    complete
}

#[test]
fn valid_responses_pass_unchanged_and_so_does_what_follows_them() {
    let behind = "\0 noise behind it\n";
    for (text, is_to_head) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false),
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true),
        ("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", false),
        ("HTTP/1.1 204 No Content\r\n\r\n", false),
        ("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", false),
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n\
             HTTP/1.1 404 \r\nContent-Length: 1\r\n\r\nx",
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\nA;x=\"y\"\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n",
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
            false,
        ),
        ("HTTP/1.0 200 OK\r\n\r\nbody up to the end of the connection", false),
    ] {
        let text = format!("{text}{behind}");
        assert_eq!(run_in_all_pieces(&text, is_to_head), (text, None));
    }
}

#[test]
fn no_byte_of_a_malformed_head_passes() {
    for (head, error) in [
        ("nonsense\r\n\r\n", FramingError::StatusLine),
        ("\r\nHTTP/1.1 200 OK\r\n\r\n", FramingError::StatusLine),
        ("HTTP/2.0 200 OK\r\n\r\n", FramingError::StatusLine),
        ("HTTP/1.1 20 OK\r\n\r\n", FramingError::StatusLine),
        ("HTTP/1.1 +20 OK\r\n\r\n", FramingError::StatusLine),
        ("HTTP/1.1 099 OK\r\n\r\n", FramingError::StatusLine),
        ("HTTP/1.1  200 OK\r\n\r\n", FramingError::StatusLine),
        ("HTTP/1.1 200 O\0K\r\n\r\n", FramingError::Header),
        (
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
            FramingError::StatusLine,
        ),
        ("HTTP/1.1 200 OK\n\n", FramingError::LineEnd),
        ("HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n", FramingError::LineEnd),
        ("HTTP/1.1 200 OK\r\nX : a\r\n\r\n", FramingError::Header),
        (
            "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
            FramingError::Header,
        ),
        ("HTTP/1.1 200 OK\r\nX: a\0b\r\n\r\n", FramingError::Header),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n",
            FramingError::Length,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
            FramingError::Length,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            FramingError::Length,
        ),
        (
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            FramingError::Length,
        ),
    ] {
        for is_to_head in [false, true] {
            let (out, actual) = run_in_all_pieces(&format!("{head}behind"), is_to_head);
            assert_eq!((out.as_str(), actual), ("", Some(error)), "{head:?}");
        }
    }
    let endless = format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(MAX_HEAD_BYTES));
    assert_eq!(run(&endless, 7, false).1, Some(FramingError::TooLarge));
}

#[test]
fn no_byte_of_a_malformed_line_between_chunks_passes() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (good, malformed, error) in [
        ("", "0;\u{1}", FramingError::Chunk),
        ("", "5 \r\nhello\r\n", FramingError::Chunk),
        ("", "5\nhello\r\n", FramingError::Chunk),
        ("5\r\nhello", "\n0\r\n\r\n", FramingError::Chunk),
        ("5\r\nhello", "X\r\n0\r\n\r\n", FramingError::Chunk),
        ("5\r\nhello\r\n", "0;a\u{7f}\r\n\r\n", FramingError::Chunk),
        ("5\r\nhello\r\n0\r\n", "X: a\n\r\n", FramingError::LineEnd),
        (
            "5\r\nhello\r\n0\r\n",
            "X: a\0\r\n\r\n",
            FramingError::Header,
        ),
        (
            "5\r\nhello\r\n0\r\n",
            "Content-Length: 5\r\n\r\n",
            FramingError::Length,
        ),
    ] {
        let (out, actual) = run_in_all_pieces(&format!("{head}{good}{malformed}"), false);
        let expected = format!("{head}{good}");
        assert_eq!((out, actual), (expected, Some(error)), "{malformed:?}");
    }
}

#[test]
fn bytes_pass_as_they_are_while_no_response_is_expected() {
    let noise = b"HTTP/1.1 20\n\0";
    let mut validator = ResponseValidator::new(MAX_HEAD_BYTES);
    let mut out = Vec::new();
    validator.push(noise, &mut out);
    assert_eq!((out.as_slice(), validator.error()), (&noise[..], None));
}
