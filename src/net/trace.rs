//! The trace of single requests: what a proxy took, what it tried, how that ended and what it
//! answered, each with the request's id. Off unless asked for; where it is off an event costs one
//! comparison. `docs/operate/tracing.md` has the form of the lines.

/// An event of the trace. The fields are those of `tracing`.
macro_rules! step {
    ($($field:tt)*) => {
        tracing::debug!(target: dewrun_logging::REQUEST_TRACE_TARGET, $($field)*)
    };
}

pub(crate) use step;
