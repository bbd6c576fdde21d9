//! Whether a request that an endpoint may already have run could be sent again.

use http::Method;

/// Which requests of a class may be retried, as the operator's file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// Requests with a safe method: GET, HEAD, OPTIONS, TRACE.
    SafeMethods,
    /// Requests with an idempotent method: the safe ones, PUT and DELETE.
    IdempotentMethods,
    /// Requests with a safe method, and all others that carry an idempotency key.
    IdempotencyKey,
    /// None.
    Never,
}

/// Where a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// To any endpoint, at any time.
    AnyEndpoint,
    /// To endpoints that drop repeats of its idempotency key, within the deduplication window.
    WithinKeyScope,
    /// Nowhere.
    Never,
}

/// Decides where a request could be sent again.
///
/// Safe methods (RFC 9110, 9.2.1) can be retried unless the rule is [`RetryRule::Never`]. Other
/// idempotent methods (RFC 9110, 9.2.2) need the class's consent, because a late PUT or DELETE can
/// undo a change that was made between the two attempts. All other methods need an idempotency key,
/// and a class whose endpoints drop repeats.
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
