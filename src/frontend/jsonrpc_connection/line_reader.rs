//! Splits a connection's input into lines and skips those that are too long.

use crate::frontend::jsonrpc_codec::RequestError;
use crate::net::PartialMessage;

pub(super) const LINE_FEED: u8 = b'\n';

/// Reads lines from a connection's input.
pub(super) struct LineReader {
    /// Longest line in bytes.
    limit: usize,
    /// The rest of a line that was too long is skipped.
    is_skipping_line: bool,
}

impl LineReader {
    /// A reader of lines that are no longer than this, without their line feed.
    pub(super) fn new(limit: usize) -> LineReader {
        LineReader {
            limit,
            is_skipping_line: false,
        }
    }

    /// Takes the next line that is complete from the input, without its line feed; an error if it was too long.
    pub(super) fn next_line(&mut self, input: &mut Vec<u8>) -> Option<Result<Vec<u8>, RequestError>> {
        loop {
            let end = input.iter().position(|byte| *byte == LINE_FEED)?;
            let mut line: Vec<u8> = input.drain(..=end).collect();
            if std::mem::take(&mut self.is_skipping_line) {
                continue;
            }
            if end > self.limit {
                return Some(Err(RequestError::LineTooLong));
            }
            line.truncate(end);
            return Some(Ok(line));
        }
    }

    /// Drops the start of a line that is too long already.
    ///
    /// # Errors
    ///
    /// [`RequestError::LineTooLong`], once for each such line.
    pub(super) fn drop_long_line(&mut self, input: &mut Vec<u8>) -> Result<(), RequestError> {
        if input.len() <= self.limit || input.contains(&LINE_FEED) {
            return Ok(());
        }
        input.clear();
        if std::mem::replace(&mut self.is_skipping_line, true) {
            return Ok(());
        }
        Err(RequestError::LineTooLong)
    }

    /// What the rest of the input holds of a line, after a read that began with so many bytes.
    pub(super) fn partial_line(&self, input: &[u8], buffered_before: usize) -> PartialMessage {
        let is_incomplete = self.is_skipping_line || !input.is_empty() && !input.contains(&LINE_FEED);
        PartialMessage::after_read(is_incomplete, input.len() < buffered_before)
    }
}
