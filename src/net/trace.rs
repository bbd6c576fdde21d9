//! The request trace: one event each for an accepted request, an attempt, its outcome and the final
//! response, with the request id. It is off by default; a disabled event costs one comparison.
//! `docs/operate/tracing.md` documents the lines.

/// Emits an event of the request trace. The fields are those of `tracing`.
macro_rules! step {
    ($($field:tt)*) => {
        tracing::debug!(target: dewrun_logging::REQUEST_TRACE_TARGET, $($field)*)
    };
}

pub(crate) use step;
