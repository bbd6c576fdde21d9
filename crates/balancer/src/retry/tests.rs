//! Tests of each row of the table of [`is_retry_permitted`].

use super::*;
use crate::EndpointState;

/// Time at which the attempt that may have been executed was sent.
const SENT_AT: Millis = 1_000.0;
/// Length of the deduplication window.
const WINDOW_MS: Millis = 500.0;

fn class(effect: EffectClass, scope: DeduplicationScope) -> Class {
    Class {
        name: String::new(),
        latency_objective_ms: 100.0,
        latency_objective_stretch: 0.0,
        deadline_ms: 1_000.0,
        priority_weight: 1.0,
        late_fraction: 0.0,
        effect,
        scope,
        window_ms: WINDOW_MS,
        streaming: false,
    }
}

fn possibly_executed() -> Execution {
    let endpoint = EndpointInfo {
        id: 1,
        zone: 0,
        kind: 0,
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    };
    Execution::PossiblyExecuted {
        endpoint,
        sent_at: SENT_AT,
    }
}

fn is_permitted(effect: EffectClass, execution: Execution, now: Millis) -> bool {
    is_retry_permitted(&class(effect, DeduplicationScope::Cell), &execution, now)
}

#[test]
fn a_request_that_was_not_executed_can_be_retried() {
    for effect in [
        EffectClass::Idempotent,
        EffectClass::Keyed,
        EffectClass::NonIdempotent,
    ] {
        assert!(is_permitted(effect, Execution::NotExecuted, SENT_AT + 1e6));
    }
}

#[test]
fn an_idempotent_request_can_always_be_retried() {
    assert!(is_permitted(
        EffectClass::Idempotent,
        possibly_executed(),
        SENT_AT + 1e6
    ));
}

#[test]
fn a_keyed_request_can_be_retried_within_its_window() {
    let now = SENT_AT + WINDOW_MS - 1.0;
    assert!(is_permitted(EffectClass::Keyed, possibly_executed(), now));
}

#[test]
fn a_keyed_request_cannot_be_retried_after_its_window() {
    let now = SENT_AT + WINDOW_MS;
    assert!(!is_permitted(EffectClass::Keyed, possibly_executed(), now));
}

#[test]
fn a_non_idempotent_request_cannot_be_retried() {
    assert!(!is_permitted(
        EffectClass::NonIdempotent,
        possibly_executed(),
        SENT_AT
    ));
}

#[test]
fn a_client_can_retry_a_keyed_request_only_if_all_endpoints_deduplicate() {
    for (scope, permitted) in [
        (DeduplicationScope::All, true),
        (DeduplicationScope::Zone, false),
        (DeduplicationScope::Cell, false),
    ] {
        let class = class(EffectClass::Keyed, scope);
        let is_client_permitted =
            |execution| is_client_retry_permitted(&class, &execution, SENT_AT + 1.0);
        assert_eq!(is_client_permitted(possibly_executed()), permitted);
        assert!(is_client_permitted(Execution::NotExecuted));
    }
}
