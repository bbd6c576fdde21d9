//! Which response answers for a request with several attempts.

use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// What a member does with an attempt.
#[derive(Clone)]
enum Reaction {
    Respond(String),
    CloseConnection,
    Hang,
}

fn not_started() -> Reaction {
    Reaction::Respond(response_with(
        "503 Full",
        "Not-Started: 1\r\n",
        "the queue is full",
    ))
}

/// A rejection that is too long to be buffered, and so is streamed.
fn long_not_started() -> Reaction {
    let body = "x".repeat(200 << 10);
    Reaction::Respond(response_with("503 Full", "Not-Started: 1\r\n", &body))
}

/// Starts an installation with two members. The attempts of all requests get the reactions in
/// turn, whichever member they reach; later ones get the last.
fn installation_reacting(class: &str, reactions: &[Reaction]) -> (Installation, Arc<AtomicUsize>) {
    let attempts: Arc<AtomicUsize> = Arc::default();
    let member = || {
        let (attempts, reactions) = (attempts.clone(), reactions.to_vec());
        Backend::start_unrecorded(move |_, stream| {
            let attempt = attempts.fetch_add(1, Ordering::SeqCst);
            match &reactions[attempt.min(reactions.len() - 1)] {
                Reaction::Respond(text) => stream.write_all(text.as_bytes()).is_ok(),
                Reaction::CloseConnection => false,
                Reaction::Hang => true,
            }
        })
    };
    let members = [member().address, member().address];
    let text = format!(
        "{}class = \"c\"\n[[class]]\nname = \"c\"\n{class}",
        pool(&members)
    );
    (Installation::start(&text), attempts)
}

/// Guards against an order that runs twice: it may have run, was answered with the rejection of a
/// member that an earlier attempt had reached, and was sent again by its client.
#[test]
fn an_earlier_rejection_does_not_answer_for_an_attempt_that_may_have_run() {
    for (last, status) in [(Reaction::CloseConnection, 502), (Reaction::Hang, 504)] {
        let (installation, attempts) = installation_reacting(
            "effect = \"once\"\ndeadline = \"2s\"\n",
            &[not_started(), last],
        );
        let response = installation.call(&post("", "x"));
        assert_eq!(
            (response.status(), response.header("not-started")),
            (status, None)
        );
        assert_eq!(attempts.load(Ordering::SeqCst), 2);
    }
}

/// Guards against the same the other way round: the rejection comes after the attempt that may have
/// run.
#[test]
fn a_later_rejection_does_not_answer_for_an_attempt_that_may_have_run() {
    let broken = Reaction::Respond(response_with("500 Broken", "", "broken"));
    for first in [Reaction::CloseConnection, broken] {
        for rejection in [not_started(), long_not_started()] {
            for (class, request) in [
                (
                    "effect = \"repeatable\"\n",
                    post("", "x").replacen("POST", "PUT", 1),
                ),
                (
                    "effect = \"keyed\"\nscope = \"all\"\nwindow = \"60s\"\n",
                    post("Idempotency-Key: k\r\n", "x"),
                ),
            ] {
                let (installation, attempts) =
                    installation_reacting(class, &[first.clone(), rejection.clone()]);
                let response = installation.call(&request);
                assert_eq!(response.header("not-started"), None, "{}", response.head);
                assert!(attempts.load(Ordering::SeqCst) >= 2, "{request}");
            }
        }
    }
}

#[test]
fn a_rejection_by_all_members_is_relayed() {
    let (installation, _) = installation_reacting("effect = \"once\"\n", &[not_started()]);
    let response = installation.call(&post("", "x"));
    assert_eq!(
        (response.status(), response.header("not-started")),
        (503, Some("1"))
    );
}
