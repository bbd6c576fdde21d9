//! Which requests the validator passes on and rejects, independent of the split into reads.

use dewrun_framing::{FramingError, RequestValidator};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns the bytes that are passed on, and the error, if a text is received in pieces of a size.
fn run(text: &[u8], piece: usize) -> (Vec<u8>, Option<FramingError>) {
    let mut validator = RequestValidator::new(1_000);
    let mut out = Vec::new();
    text.chunks(piece)
        .for_each(|piece| validator.push(piece, &mut out));
    (out, validator.rejection().map(|rejection| rejection.error))
}

/// Runs a text in pieces of every size, and checks that the results do not differ.
fn run_in_all_pieces(text: &str) -> (Vec<u8>, Option<FramingError>) {
    let complete = run(text.as_bytes(), text.len().max(1));
    for piece in 1..text.len() {
        assert_eq!(
            run(text.as_bytes(), piece),
            complete,
            "in pieces of {piece}: {text:?}"
        );
    }
    complete
}

#[test]
fn pipelined_valid_requests_pass_unchanged() {
    let text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n\
        POST /x HTTP/1.1\r\nhost:a\r\nContent-Length: 5\r\n\r\nhello\
        POST /y HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\nA;x=\"y\"\r\n0123456789\r\n0\r\n\r\n\
        POST /z HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: 1\r\n\r\n\
        GET / HTTP/1.0\r\n\r\n\
        PUT /e HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nX-Tab: a\tb \r\n\r\n";
    let (out, error) = run_in_all_pieces(text);
    assert_eq!((out.as_slice(), error), (text.as_bytes(), None));
}

#[test]
fn an_empty_line_before_a_request_is_skipped() {
    let (out, error) = run(b"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 1_000);
    assert_eq!(
        (out.as_slice(), error),
        (&b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"[..], None)
    );
}

#[test]
fn ambiguous_requests_are_rejected_and_no_byte_of_them_passes() {
    let good = "GET /before HTTP/1.1\r\nHost: a\r\n\r\n";
    let smuggled = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    let post =
        |headers: &str, body: &str| format!("POST / HTTP/1.1\r\nHost: a\r\n{headers}\r\n{body}");
    for (request, error) in [
        (
            post(
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                "0\r\n\r\n",
            ),
            FramingError::Length,
        ),
        (
            post(
                "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                "0\r\n\r\n",
            ),
            FramingError::Length,
        ),
        (
            post(
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "0\r\n\r\n",
            ),
            FramingError::Length,
        ),
        (
            post(
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n",
                "0\r\n\r\n",
            ),
            FramingError::Length,
        ),
        (
            post("Transfer-Encoding: x, chunked\r\n", "0\r\n\r\n"),
            FramingError::Length,
        ),
        (
            post("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"),
            FramingError::Length,
        ),
        (
            post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
            FramingError::Length,
        ),
        (
            post("Transfer-Encoding:\r\n", "0\r\n\r\n"),
            FramingError::Length,
        ),
        (
            post("Transfer-Encoding: \u{b}chunked\r\n", "0\r\n\r\n"),
            FramingError::Header,
        ),
        (
            post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"),
            FramingError::Header,
        ),
        (
            post("Transfer-Encoding\t: chunked\r\n", "0\r\n\r\n"),
            FramingError::Header,
        ),
        (
            post("X: a\r\n Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
            FramingError::Header,
        ),
        (post("X: a\r\n\tfolded\r\n", ""), FramingError::Header),
        (
            post("X: a\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
            FramingError::LineEnd,
        ),
        (
            post("X: a\rTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
            FramingError::LineEnd,
        ),
        (post("X: a\0b\r\n", ""), FramingError::Header),
        (post("no colon\r\n", ""), FramingError::Header),
        (post(": no name\r\n", ""), FramingError::Header),
        (
            post("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"),
            FramingError::Length,
        ),
        (
            post("Content-Length: 5\r\nContent-Length: 5\r\n", "hello"),
            FramingError::Length,
        ),
        (
            post("Content-Length: 5, 5\r\n", "hello"),
            FramingError::Length,
        ),
        (
            post("Content-Length: +5\r\n", "hello"),
            FramingError::Length,
        ),
        (
            post("Content-Length: -5\r\n", "hello"),
            FramingError::Length,
        ),
        (
            post("Content-Length: 0x5\r\n", "hello"),
            FramingError::Length,
        ),
        (post("Content-Length:\r\n", "hello"), FramingError::Length),
        (
            post("Content-Length: 99999999999999999999\r\n", "hello"),
            FramingError::Length,
        ),
        (post("Host: b\r\n", ""), FramingError::Host),
        ("GET / HTTP/1.1\r\nX: a\r\n\r\n".into(), FramingError::Host),
        ("GET / HTTP/1.1\nHost: a\n\n".into(), FramingError::LineEnd),
        (
            "GET / HTTP/1.1\r\nHost: a\r\n\n".into(),
            FramingError::LineEnd,
        ),
        (
            " GET / HTTP/1.1\r\nHost: a\r\n\r\n".into(),
            FramingError::RequestLine,
        ),
        (
            "GET  / HTTP/1.1\r\nHost: a\r\n\r\n".into(),
            FramingError::RequestLine,
        ),
        (
            "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n".into(),
            FramingError::RequestLine,
        ),
        (
            "GET /\t HTTP/1.1\r\nHost: a\r\n\r\n".into(),
            FramingError::RequestLine,
        ),
        (
            "GET / HTTP/1.2\r\nHost: a\r\n\r\n".into(),
            FramingError::RequestLine,
        ),
        (
            "GET / HTTP/2.0\r\nHost: a\r\n\r\n".into(),
            FramingError::RequestLine,
        ),
        ("GET /\r\n\r\n".into(), FramingError::RequestLine),
        (
            "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(),
            FramingError::Length,
        ),
        (
            format!(
                "GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
                "y".repeat(1_000)
            ),
            FramingError::TooLarge,
        ),
        (
            format!("GET /{}", "y".repeat(1_000)),
            FramingError::TooLarge,
        ),
    ] {
        let text = format!("{good}{request}{smuggled}");
        let (out, actual) = run_in_all_pieces(&text);
        assert_eq!(
            (String::from_utf8_lossy(&out).as_ref(), actual),
            (good, Some(error)),
            "{request:?}"
        );
    }
}

#[test]
fn no_byte_passes_after_a_malformed_chunk() {
    let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (body, error) in [
        ("\r\n", FramingError::Chunk),
        ("x\r\n", FramingError::Chunk),
        ("-1\r\n", FramingError::Chunk),
        ("0x5\r\nhello\r\n", FramingError::Chunk),
        (" 5\r\nhello\r\n", FramingError::Chunk),
        ("5 \r\nhello\r\n", FramingError::Chunk),
        ("5\nhello\r\n", FramingError::Chunk),
        ("5\r\nhelloX\r\n", FramingError::Chunk),
        ("5\r\nhello\n", FramingError::Chunk),
        ("5;a\nb\r\nhello\r\n", FramingError::Chunk),
        ("0;\u{1}", FramingError::Chunk),
        ("0;a=\u{7f}", FramingError::Chunk),
        ("ffffffffff;\0", FramingError::Chunk),
        ("10000000000000000\r\n", FramingError::Chunk),
        ("0\r\nContent-Length: 5\r\n\r\n", FramingError::Length),
        (
            "0\r\nTransfer-Encoding: chunked\r\n\r\n",
            FramingError::Length,
        ),
        ("0\r\nX : a\r\n\r\n", FramingError::Header),
        ("0\r\nX: a\n\r\n", FramingError::LineEnd),
    ] {
        let (out, actual) = run_in_all_pieces(&format!(
            "{head}{body}GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
        ));
        assert_eq!(actual, Some(error), "{body:?}");
        assert!(
            !String::from_utf8_lossy(&out).contains("hidden"),
            "{body:?}"
        );
    }
}

/// Guards against a line that the proxy ends in place of its client: nothing of a malformed line
/// between chunks is passed on.
#[test]
fn no_byte_of_a_malformed_line_between_chunks_passes() {
    let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (good, malformed) in [
        ("", "0;\u{1}"),
        ("", "5;a\nb\r\n"),
        ("5\r\nhello", "\rX"),
        ("5\r\nhello\r\n", "0;\u{7f}"),
        ("5\r\nhello\r\n", "0\rX"),
    ] {
        let (out, error) = run_in_all_pieces(&format!("{head}{good}{malformed}"));
        assert_eq!(error, Some(FramingError::Chunk), "{malformed:?}");
        assert_eq!(
            String::from_utf8_lossy(&out),
            format!("{head}{good}"),
            "{malformed:?}"
        );
    }
}

#[test]
fn chunk_extensions_and_trailers_are_bounded() {
    let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(
        run(format!("{head}5;{}", "x".repeat(300)).as_bytes(), 7).1,
        Some(FramingError::Chunk)
    );
    assert_eq!(
        run(
            format!("{head}0\r\n{}", "X: y\r\n".repeat(300)).as_bytes(),
            7
        )
        .1,
        Some(FramingError::TooLarge)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn the_result_does_not_depend_on_the_split_into_reads(
        parts in prop::collection::vec(prop::sample::select(vec![
            "GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\n", "Host: a\r\n", "Content-Length: 3\r\n",
            "Transfer-Encoding: chunked\r\n", "\r\n", "abc", "3\r\nabc\r\n", "0\r\n\r\n", "\n", " ", "X: y\r\n", "0\r\n", "\r",
        ]), 0..12),
        piece in 1..40_usize,
    ) {
        let text = parts.concat();
        let (complete, error) = run(text.as_bytes(), text.len().max(1));
        prop_assert_eq!(run(text.as_bytes(), piece), (complete.clone(), error));
        // The validator adds no bytes; it only skips empty lines before a request.
        prop_assert!(complete.len() <= text.len());
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), piece in 1..50_usize) {
        let _ = run(&bytes, piece);
    }

    #[test]
    fn a_body_of_arbitrary_bytes_passes_completely(body in prop::collection::vec(any::<u8>(), 0..200), piece in 1..50_usize) {
        let mut text = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        text.extend_from_slice(&body);
        text.extend_from_slice(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        prop_assert_eq!(run(&text, piece), (text.clone(), None));
    }
}
