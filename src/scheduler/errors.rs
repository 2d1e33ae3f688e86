//! How an exchange with a worker can fail: a command and the response that it is owed, be it for an attempt, a load
//! order or a health check.

use crate::model::{AttemptStatus, LoadStatus};
use thiserror::Error;

/// How far the bytes of a command had come when its exchange failed. This alone decides whether a retry is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// No byte was handed to the operating system.
    NotSent,
    /// Some bytes were, not all: the worker cannot parse what it receives, so the command never ran.
    PartiallyWritten,
    /// All bytes were handed to the operating system: the command may have run.
    Written,
    /// A response came that could not be used: the command may have run.
    Answered,
}

impl WriteProgress {
    /// The status of an attempt that failed at this point.
    pub(super) fn attempt_status(self) -> AttemptStatus {
        match self {
            WriteProgress::NotSent | WriteProgress::PartiallyWritten => AttemptStatus::ConnectFailed,
            WriteProgress::Written => AttemptStatus::Reset,
            WriteProgress::Answered => AttemptStatus::Error,
        }
    }

    /// The status of a load order that failed at this point.
    pub(super) fn load_status(self) -> LoadStatus {
        match self {
            WriteProgress::NotSent | WriteProgress::PartiallyWritten => LoadStatus::ConnectFailed,
            WriteProgress::Written => LoadStatus::Reset,
            WriteProgress::Answered => LoadStatus::Error,
        }
    }
}

/// Why an exchange with a worker ended without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FailureCause {
    /// There was no connection to the worker, and none could be opened.
    #[error("no connection")]
    NoConnection,
    /// The connection closed while the exchange was open.
    #[error("connection closed")]
    ConnectionClosed,
    /// No response came in time.
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
    /// How far the command had been written.
    pub progress: WriteProgress,
    /// What went wrong.
    pub cause: FailureCause,
}
