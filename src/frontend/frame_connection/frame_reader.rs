//! Splitting of a connection's input into frames, with oversized frames skipped.

use crate::frontend::frame_codec::{Frame, FrameError, FrameHeader, decode_frame};
use crate::net::PartialMessage;

/// Maximum length of a frame that is buffered, in bytes; it has room for the largest body and its fields.
///
/// A longer frame fails its request as soon as the header is known, and the remaining bytes are skipped. It
/// is not buffered because hundreds of connections may each send one at the same time.
pub(super) const MAX_ACCEPTED_FRAME_LENGTH: usize = 32 << 10;

/// A frame at the start of the input.
pub(super) enum InputFrame<'a> {
    /// A complete frame, which has been consumed.
    Complete(Frame<'a>),
    /// The header of a frame that is too long to be buffered; see [`FrameReader::skip`].
    Oversized(FrameHeader),
}

/// A reader of frames from the input of one callback.
pub(super) struct FrameReader<'a> {
    input: &'a [u8],
    /// Number of bytes consumed so far.
    consumed: usize,
    /// Whether a frame or the header of an oversized frame was consumed, so that an incomplete frame after it
    /// is new.
    frame_consumed: bool,
    /// Number of outstanding bytes of an oversized frame, which are skipped when they arrive.
    bytes_to_skip: usize,
}

/// The state of the input after a reader has finished.
pub(super) struct ReadProgress {
    /// Number of bytes consumed.
    pub(super) consumed: usize,
    /// Number of bytes at the start of the next input that the next reader must skip.
    pub(super) bytes_to_skip: usize,
    /// The incomplete frame, if any, in the remaining input.
    pub(super) partial_frame: PartialMessage,
}

impl<'a> FrameReader<'a> {
    /// Creates a reader that first skips the remaining bytes of an oversized frame.
    pub(super) fn new(input: &'a [u8], bytes_to_skip: usize) -> FrameReader<'a> {
        let skipped = bytes_to_skip.min(input.len());
        FrameReader {
            input,
            consumed: skipped,
            frame_consumed: skipped > 0 && skipped == bytes_to_skip,
            bytes_to_skip: bytes_to_skip - skipped,
        }
    }

    /// Returns the next complete frame, or the header of an oversized frame; `None` if more input is needed.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`decode_frame`]. The reader stays at the frame that caused the error.
    pub(super) fn next_frame(&mut self) -> Result<Option<InputFrame<'a>>, FrameError> {
        if self.bytes_to_skip > 0 {
            return Ok(None);
        }
        let rest = &self.input[self.consumed..];
        if let Some(frame) = decode_frame(rest)? {
            self.advance(frame.encoded_length());
            return Ok(Some(InputFrame::Complete(frame)));
        }
        let header = FrameHeader::decode(rest).filter(|header| header.length > MAX_ACCEPTED_FRAME_LENGTH);
        Ok(header.map(InputFrame::Oversized))
    }

    /// Skips an oversized frame, including the bytes that have not arrived yet.
    pub(super) fn skip(&mut self, oversized: &FrameHeader) {
        let available = oversized.encoded_length().min(self.input.len() - self.consumed);
        self.bytes_to_skip = oversized.encoded_length() - available;
        self.advance(available);
    }

    /// Finishes the reading of this input and returns its state.
    pub(super) fn finish(self) -> ReadProgress {
        let is_incomplete = self.consumed < self.input.len() || self.bytes_to_skip > 0;
        ReadProgress {
            consumed: self.consumed,
            bytes_to_skip: self.bytes_to_skip,
            partial_frame: PartialMessage::after_read(is_incomplete, self.frame_consumed),
        }
    }

    fn advance(&mut self, bytes: usize) {
        self.consumed += bytes;
        self.frame_consumed = true;
    }
}
