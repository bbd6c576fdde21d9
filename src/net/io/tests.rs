use super::*;

#[test]
fn a_request_is_complete_only_with_its_last_body_byte() {
    let mut written = RequestProgress {
        body_remaining: 3,
        ..RequestProgress::default()
    };
    for part in [&b"POST / HTTP/1.1\r\nA: b\r"[..], b"\n\r", b"\nab"] {
        written.record(part);
        assert!(written.head_end_matched < HEAD_END.len() || written.body_remaining > 0);
    }
    written.record(b"c");
    assert_eq!(
        (written.head_end_matched, written.body_remaining),
        (HEAD_END.len(), 0)
    );
}

/// Guards against a request that is written long after it was permitted because the process was
/// suspended in between.
#[tokio::test]
async fn a_request_whose_first_byte_deadline_has_passed_is_not_written() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("its address");
    let connected = TcpStream::connect(address).await.expect("a connection");
    let socket = TrackedSocket::new(connected);
    let head = b"GET / HTTP/1.1\r\n\r\n";
    let write = || poll_fn(|cx| Pin::new(&mut Io(socket.clone())).poll_write(cx, head));

    socket.begin_request(0, Instant::now(), Counter::default());
    assert_eq!(write().await.unwrap_err().kind(), ErrorKind::TimedOut);
    assert!(socket.is_first_byte_late() && !socket.has_begun_request());

    let in_an_hour = Instant::now() + std::time::Duration::from_secs(3_600);
    socket.begin_request(0, in_an_hour, Counter::default());
    assert_eq!(write().await.expect("it is written"), head.len());
    assert!(!socket.is_first_byte_late() && socket.is_request_written());
}
