//! Why a connection that speaks frames can't go on.

use crate::frontend::frame_codec::FrameError;

/// Why a connection can't go on.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(crate) enum ProtocolError {
    /// Bytes can't be read as a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A request came on a stream that was used before.
    #[error("stream is not new")]
    StreamReused,
    /// A frame has a type that clients don't send.
    #[error("unknown type")]
    UnexpectedType,
    /// A frame is too long to be read and can't be answered either.
    #[error("a long frame that is no request")]
    OversizedFrame,
    /// A frame was not completed in time.
    #[error("a frame without an end")]
    FrameTimedOut,
}
