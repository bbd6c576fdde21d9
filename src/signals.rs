//! The signals that the program acts on, on the platform and in an installation.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// A signal can't be received.
#[derive(Debug, thiserror::Error)]
#[error("{name}: {source}")]
pub struct SignalError {
    /// The signal's name.
    name: &'static str,
    /// The system's error.
    source: io::Error,
}

/// The receivers of the signals.
pub struct Signals {
    /// SIGHUP.
    pub reload: Signal,
    /// SIGTERM.
    pub terminate: Signal,
    /// SIGINT.
    pub interrupt: Signal,
}

impl Signals {
    /// Receives the signals from now on.
    ///
    /// # Errors
    ///
    /// If the system or the runtime refuses one of them.
    pub fn new() -> Result<Signals, SignalError> {
        let receive = |kind, name| signal(kind).map_err(|source| SignalError { name, source });
        Ok(Signals {
            reload: receive(SignalKind::hangup(), "SIGHUP")?,
            terminate: receive(SignalKind::terminate(), "SIGTERM")?,
            interrupt: receive(SignalKind::interrupt(), "SIGINT")?,
        })
    }
}
