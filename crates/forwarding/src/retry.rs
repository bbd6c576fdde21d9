//! Whether a request that an endpoint may already have executed can be retried.

use http::Method;

/// The rule for which requests of a class may be retried, from the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// Requests with a safe method may be retried: GET, HEAD, OPTIONS, TRACE.
    SafeMethods,
    /// Requests with an idempotent method may be retried: the safe methods, PUT and DELETE.
    IdempotentMethods,
    /// Requests with a safe method, and all others with an idempotency key, may be retried.
    IdempotencyKey,
    /// No request may be retried.
    Never,
}

/// Which endpoints a request that may have been executed can be retried at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request can be retried at any endpoint, at any time.
    AnyEndpoint,
    /// The request can be retried at endpoints that deduplicate its idempotency key, within the
    /// deduplication window.
    WithinKeyScope,
    /// The request cannot be retried.
    Never,
}

/// Decides whether and at which endpoints a request can be retried.
///
/// Safe methods (RFC 9110, 9.2.1) can be retried unless the rule is [`RetryRule::Never`]. Other
/// idempotent methods (RFC 9110, 9.2.2) need the rule [`RetryRule::IdempotentMethods`], because a
/// late PUT or DELETE can undo a change that was made between the two attempts. All other requests
/// need an idempotency key and the rule [`RetryRule::IdempotencyKey`], which states that the
/// endpoints deduplicate.
pub fn retry_safety(rule: RetryRule, method: &Method, has_idempotency_key: bool) -> RetrySafety {
    let is_safe = method.is_safe();
    let is_idempotent = is_safe || *method == Method::PUT || *method == Method::DELETE;
    match rule {
        RetryRule::Never => RetrySafety::Never,
        _ if is_safe => RetrySafety::AnyEndpoint,
        RetryRule::IdempotentMethods if is_idempotent => RetrySafety::AnyEndpoint,
        RetryRule::IdempotencyKey if has_idempotency_key => RetrySafety::WithinKeyScope,
        _ => RetrySafety::Never,
    }
}
