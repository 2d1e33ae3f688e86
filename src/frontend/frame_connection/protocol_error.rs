//! Errors that close a connection of the frame protocol.

use crate::frontend::frame_codec::FrameError;

/// The reason why a connection cannot continue.
///
/// Operators search the log for the texts, so they must not change.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(crate) enum ProtocolError {
    /// The input cannot be decoded as a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The stream of a request is reserved or was used before.
    #[error("stream is not new")]
    StreamReused,
    /// A frame has an unknown type or one that clients must not send.
    #[error("unknown type")]
    UnexpectedType,
    /// An oversized frame is not a request on a new stream, so it cannot be answered.
    #[error("a long frame that is no request")]
    OversizedFrame,
    /// A frame was not completed in time.
    #[error("a frame without an end")]
    FrameTimedOut,
}
