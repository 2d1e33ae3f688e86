//! Splits a connection's input into frames and skips those that are too long to be of use.

use crate::frontend::frame_codec::{Frame, FrameError, FrameHeader, decode_frame};
use crate::net::PartialMessage;

/// Largest length of a frame that can be of use: a body and its fields. A longer one is not kept, as hundreds
/// of connections may bring one each: its request has failed once its header is known, and the rest is passed
/// over.
pub(super) const MAX_ACCEPTED_FRAME_LENGTH: usize = 32 << 10;

/// A frame at the start of the input.
pub(super) enum InputFrame<'a> {
    /// All of it is there, and it has been consumed.
    Complete(Frame<'a>),
    /// It is too long to be of use; see [`FrameReader::skip`].
    Oversized(FrameHeader),
}

/// Reads frames from the input of one callback.
pub(super) struct FrameReader<'a> {
    input: &'a [u8],
    /// Bytes used so far.
    consumed: usize,
    /// A frame was consumed, at least its header, so that an incomplete one has only just begun.
    frame_consumed: bool,
    /// Bytes still to come of a frame that is too long; they are skipped.
    bytes_to_skip: usize,
}

/// What a reader leaves.
pub(super) struct ReadProgress {
    /// Bytes that were used.
    pub(super) consumed: usize,
    /// Bytes at the start of the next input that the next reader is to skip.
    pub(super) bytes_to_skip: usize,
    /// What the rest of the input holds of a frame.
    pub(super) partial_frame: PartialMessage,
}

impl<'a> FrameReader<'a> {
    /// A reader that first skips the rest of a frame that was too long.
    pub(super) fn new(input: &'a [u8], bytes_to_skip: usize) -> FrameReader<'a> {
        let skipped = bytes_to_skip.min(input.len());
        FrameReader {
            input,
            consumed: skipped,
            frame_consumed: skipped > 0 && skipped == bytes_to_skip,
            bytes_to_skip: bytes_to_skip - skipped,
        }
    }

    /// The next frame, if enough of it is there.
    ///
    /// # Errors
    ///
    /// Those of [`decode_frame`]. The reader stays where the error occurred.
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

    /// Skips a frame that is too long, also what is still to come of it.
    pub(super) fn skip(&mut self, oversized: &FrameHeader) {
        let available = oversized.encoded_length().min(self.input.len() - self.consumed);
        self.bytes_to_skip = oversized.encoded_length() - available;
        self.advance(available);
    }

    /// Ends the reading of this input.
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
