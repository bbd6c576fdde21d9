use super::*;

#[test]
fn a_request_is_whole_only_with_its_last_body_byte() {
    let mut written = Written {
        body_left: 3,
        ..Written::default()
    };
    for part in [&b"POST / HTTP/1.1\r\nA: b\r"[..], b"\n\r", b"\nab"] {
        written.add(part);
        assert!(written.matched < HEAD_END.len() || written.body_left > 0);
    }
    written.add(b"c");
    assert_eq!((written.matched, written.body_left), (HEAD_END.len(), 0));
}
