//! Clients that leave while requests on their connection are unread.

use super::*;

const PAUSE: Duration = Duration::from_millis(500);

fn request_count(endpoints: &[Backend]) -> usize {
    endpoints.iter().map(Backend::request_count).sum()
}

/// Guards against an attempt for a client that has left: so much of what it had sent was unread that
/// its system could not tell of the close.
#[test]
fn no_attempt_begins_for_a_client_that_left_behind_much_unread() {
    for class in ["read", "once"] {
        let endpoints = endpoints_that_turn_one_away(PAUSE);
        let (proxy, _discovery) = proxy_for(&endpoints.each_ref());
        let mut client = send_request(proxy.address, &request_text(class, "u0", 8_000, ""));
        fill_connection(&mut client, &request_text("once", "u1", 8_000, "x"));
        until("the request is in flight", || {
            request_count(&endpoints) == 1
        });
        drop(client);
        thread::sleep(2 * PAUSE);
        assert_eq!(request_count(&endpoints), 1, "{class}");
    }
}

/// A client that stays gets its answer, whether or not its close would be seen.
#[test]
fn a_client_that_stays_gets_an_answer_however_much_is_unread() {
    let endpoints = endpoints_that_turn_one_away(PAUSE);
    let (proxy, _discovery) = proxy_for(&endpoints.each_ref());
    let first = request_text("read", "v0", 8_000, "");
    let next = request_text("read", "v1", 8_000, "");
    let few = send_request(proxy.address, &format!("{first}{next}"));
    assert_eq!(read_response(&few).expect("a response").status(), 200);
    let endpoints = endpoints_that_turn_one_away(PAUSE);
    let (proxy, _discovery) = proxy_for(&endpoints.each_ref());
    let mut client = send_request(proxy.address, &first);
    fill_connection(&mut client, &request_text("once", "v2", 8_000, "x"));
    let sent_at = Instant::now();
    // Nothing ran, so the client may repeat it.
    assert_eq!(read_response(&client).expect("a response").status(), 503);
    assert!(sent_at.elapsed() < 2 * PAUSE, "{:?}", sent_at.elapsed());
}
