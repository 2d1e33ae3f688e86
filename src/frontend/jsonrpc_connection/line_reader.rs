//! Splitting of a connection's input into lines, with overlong lines skipped.

use crate::frontend::jsonrpc_codec::RequestError;
use crate::net::PartialMessage;

pub(super) const LINE_FEED: u8 = b'\n';

/// A reader of lines from a connection's input.
pub(super) struct LineReader {
    /// Maximum length of a line without its line feed, in bytes.
    limit: usize,
    /// Whether the input continues an overlong line, which is skipped up to its line feed.
    is_skipping_line: bool,
    /// Whether a line has been completed since the last call of [`LineReader::partial_line`].
    has_completed_line: bool,
    /// Whether the input ended within a line at that call.
    had_partial_line: bool,
}

impl LineReader {
    /// Creates a reader of lines of at most `limit` bytes, without their line feed.
    pub(super) fn new(limit: usize) -> LineReader {
        LineReader {
            limit,
            is_skipping_line: false,
            has_completed_line: false,
            had_partial_line: false,
        }
    }

    /// Removes the next complete line from the input and returns it without its line feed.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::LineTooLong`] if the line exceeds the limit.
    pub(super) fn next_line(&mut self, input: &mut Vec<u8>) -> Option<Result<Vec<u8>, RequestError>> {
        loop {
            let end = input.iter().position(|byte| *byte == LINE_FEED)?;
            let mut line: Vec<u8> = input.drain(..=end).collect();
            self.has_completed_line = true;
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

    /// Discards the start of an incomplete line that already exceeds the limit.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::LineTooLong`] once for each such line.
    pub(super) fn discard_overlong_line(&mut self, input: &mut Vec<u8>) -> Result<(), RequestError> {
        if input.contains(&LINE_FEED) {
            return Ok(());
        }
        if self.is_skipping_line {
            input.clear();
            return Ok(());
        }
        if input.len() <= self.limit {
            return Ok(());
        }
        self.skip_line(input);
        Err(RequestError::LineTooLong)
    }

    /// Discards the start of an incomplete line. What follows is skipped up to its line feed.
    pub(super) fn skip_line(&mut self, input: &mut Vec<u8>) {
        input.clear();
        self.is_skipping_line = true;
    }

    /// Returns the state of the incomplete line, if any, after a read whose complete lines have been taken.
    pub(super) fn partial_line(&mut self, input: &[u8]) -> PartialMessage {
        let is_incomplete = self.is_skipping_line || !input.is_empty() && !input.contains(&LINE_FEED);
        let has_begun = std::mem::take(&mut self.has_completed_line) || !self.had_partial_line;
        self.had_partial_line = is_incomplete;
        PartialMessage::after_read(is_incomplete, has_begun)
    }
}
