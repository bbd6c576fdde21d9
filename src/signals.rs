//! The signals that the program handles, on the platform and in an installation.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A signal handler can't be installed.
#[derive(Debug, thiserror::Error)]
#[error("{name}: {source}")]
pub struct SignalError {
    /// The name of the signal.
    name: &'static str,
    /// The error of the operating system.
    source: io::Error,
}

/// The receivers of the signals.
pub struct Signals {
    /// SIGHUP: reload the configuration.
    pub reload: Signal,
    /// SIGTERM: shut down gracefully.
    pub terminate: Signal,
    /// SIGINT: the same as SIGTERM.
    pub interrupt: Signal,
}

impl Signals {
    /// Installs the handlers of the signals.
    ///
    /// # Errors
    ///
    /// If the operating system or the runtime rejects a handler.
    pub fn new() -> Result<Signals, SignalError> {
        let install = |kind, name| signal(kind).map_err(|source| SignalError { name, source });
        Ok(Signals {
            reload: install(SignalKind::hangup(), "SIGHUP")?,
            terminate: install(SignalKind::terminate(), "SIGTERM")?,
            interrupt: install(SignalKind::interrupt(), "SIGINT")?,
        })
    }
}
