//! Failures of exchanges with workers. An exchange is a command and its response, for an attempt, a load
//! order or a health check.

use crate::model::{AttemptStatus, LoadStatus};
use thiserror::Error;

/// How much of a command had been written when its exchange failed. Only this decides whether a retry is
/// safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// No byte was handed to the operating system.
    NotSent,
    /// Some but not all bytes were handed to the operating system. The worker cannot parse a partial
    /// command, so it never ran.
    PartiallyWritten,
    /// All bytes were handed to the operating system; the command may have run.
    Written,
    /// An unusable response was received; the command may have run.
    Answered,
}

impl WriteProgress {
    /// Returns the status of an attempt that failed at this point.
    pub(super) fn attempt_status(self) -> AttemptStatus {
        match self {
            WriteProgress::NotSent | WriteProgress::PartiallyWritten => AttemptStatus::ConnectFailed,
            WriteProgress::Written => AttemptStatus::Reset,
            WriteProgress::Answered => AttemptStatus::Error,
        }
    }

    /// Returns the status of a load order that failed at this point.
    pub(super) fn load_status(self) -> LoadStatus {
        match self {
            WriteProgress::NotSent | WriteProgress::PartiallyWritten => LoadStatus::ConnectFailed,
            WriteProgress::Written => LoadStatus::Reset,
            WriteProgress::Answered => LoadStatus::Error,
        }
    }
}

/// The reason why an exchange with a worker ended without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FailureCause {
    /// The worker had no open connection, and none could be opened.
    #[error("no connection")]
    NoConnection,
    /// The connection closed while the exchange was open.
    #[error("connection closed")]
    ConnectionClosed,
    /// The exchange timed out.
    #[error("no response")]
    NoResponse,
    /// The response could not be decoded.
    #[error("response cannot be decoded")]
    UndecodableResponse,
    /// The response to a health check did not say that the worker is alive.
    #[error("not alive")]
    NotAlive,
}

/// The failure of an exchange: the attempt, load order or health check ended without a usable response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{cause}")]
pub struct ExchangeError {
    /// How much of the command had been written.
    pub progress: WriteProgress,
    /// Why the exchange failed.
    pub cause: FailureCause,
}
