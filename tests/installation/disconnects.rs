//! Callers that leave while requests on their connection are unread.

use super::*;
use std::thread;
use std::time::Duration;

/// Guards against an attempt for a caller that has left: so much of what it had sent was unread that
/// its system could not tell of the close.
#[test]
fn no_attempt_begins_for_a_caller_that_left_behind_much_unread() {
    const PAUSE: Duration = Duration::from_millis(500);
    let members = endpoints_that_turn_one_away(PAUSE);
    let request_count = || -> usize { members.iter().map(Backend::request_count).sum() };
    let addresses = members.each_ref().map(|member| member.address);
    let installation = Installation::with_members(&addresses);
    let mut caller = send_request(installation.address, &get("/"));
    fill_connection(&mut caller, &post("", "x"));
    until("the request is in flight", || request_count() == 1);
    drop(caller);
    thread::sleep(2 * PAUSE);
    assert_eq!(request_count(), 1);
}
