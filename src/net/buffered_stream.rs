//! A stream with input and output buffers, registered with the system for the events that it needs.

use super::Stream;
use crate::model::ConnectionId;
use mio::{Interest, Registry, Token};
use std::io;

#[cfg(test)]
mod tests;

/// Maximum number of bytes read from a socket before other connections get their turn.
const MAX_FILL_BYTES: usize = 16 << 10;
/// Unused capacity in bytes that an input buffer may have. Hundreds of connections have one each.
const SPARE_INPUT_BYTES: usize = 1 << 10;
/// Capacity in bytes above which an empty output buffer is replaced by a smaller one.
const MAX_EMPTY_OUTPUT_BYTES: usize = 16 << 10;
/// Number of written bytes that an output buffer with unsent bytes may keep, unless more are unsent.
const MAX_WRITTEN_BYTES: usize = 16 << 10;
/// Capacity in bytes that an empty output buffer keeps.
const RETAINED_OUTPUT_BYTES: usize = 4096;

/// Limits in bytes on a connection's buffers. While either is exceeded, nothing is read from the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Limit on the input that the connection has not consumed yet.
    pub input: usize,
    /// Limit on the output that the peer has not accepted yet.
    pub output: usize,
}

/// A stream with its input and output buffers.
#[derive(Debug)]
pub struct BufferedStream {
    stream: Stream,
    token: Token,
    connected: bool,
    /// The events that the stream is registered for; `None` before the first registration.
    interest: Option<Interest>,
    /// Bytes that were read and not yet consumed.
    pub input: Vec<u8>,
    /// Whether the input has ended: the peer has closed its sending half, or a reset followed the last input.
    pub input_ended: bool,
    /// Whether the socket may hold input that has not been read.
    may_have_input: bool,
    output: Vec<u8>,
    /// Number of bytes at the start of `output` that have been written.
    written: usize,
    limits: BufferLimits,
}

impl BufferedStream {
    pub(super) fn new(stream: Stream, token: Token, connected: bool, limits: BufferLimits) -> BufferedStream {
        BufferedStream {
            stream,
            token,
            connected,
            interest: None,
            input: Vec::new(),
            input_ended: false,
            may_have_input: false,
            output: Vec::new(),
            written: 0,
            limits,
        }
    }

    /// Returns the connection's id.
    pub fn id(&self) -> ConnectionId {
        ConnectionId(self.token.0 as u64)
    }

    /// Returns whether the stream is connected, as opposed to still connecting.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Checks whether the connect has succeeded. An error means that it has failed.
    pub(super) fn check_connected(&mut self) -> io::Result<bool> {
        self.connected = self.stream.connect_finished()?;
        Ok(self.connected)
    }

    /// Returns the number of output bytes that wait to be written.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Returns the capacity of the output buffer, in bytes.
    pub(super) fn output_capacity(&self) -> usize {
        self.output.capacity()
    }

    /// Appends bytes to the output.
    pub fn enqueue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Removes the first `count` bytes of the input, which have been processed.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
    }

    /// Frees the input buffer's capacity beyond its length, except for [`SPARE_INPUT_BYTES`].
    pub(super) fn trim_input(&mut self) {
        let needed = self.input.len() + SPARE_INPUT_BYTES;
        if self.input.capacity() > needed {
            self.input.shrink_to(needed);
        }
    }

    /// Returns whether reading is paused because a buffer exceeds its limit.
    pub fn reading_paused(&self) -> bool {
        self.unsent_bytes() > self.limits.output || self.input.len() > self.limits.input
    }

    /// Writes as much output as the system accepts. Returns true once all of it is written.
    ///
    /// # Errors
    ///
    /// Returns the stream's error, after which the connection is unusable.
    pub fn flush(&mut self) -> io::Result<bool> {
        while self.connected && self.unsent_bytes() > 0 {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        if self.unsent_bytes() == 0 {
            self.clear_output();
        } else if self.written >= self.unsent_bytes().max(MAX_WRITTEN_BYTES) {
            self.discard_written();
        }
        Ok(self.unsent_bytes() == 0 && self.connected)
    }

    fn clear_output(&mut self) {
        self.output.clear();
        self.written = 0;
        if self.output.capacity() > MAX_EMPTY_OUTPUT_BYTES {
            self.output.shrink_to(RETAINED_OUTPUT_BYTES);
        }
    }

    /// Frees what has been written although more is unsent. A peer that is always behind would otherwise keep all
    /// that it was ever sent.
    fn discard_written(&mut self) {
        self.output.drain(..self.written);
        self.written = 0;
        self.output.shrink_to(self.output.len() + RETAINED_OUTPUT_BYTES);
    }

    /// Shuts down the sending half, so that the peer sees the end of the stream.
    pub(super) fn shutdown_write(&self) {
        self.stream.shutdown_write();
    }

    /// Records that the socket may hold input, as an event has reported.
    pub(super) fn mark_readable(&mut self) {
        self.may_have_input = true;
    }

    /// Returns whether the socket may hold input that has not been read.
    pub(super) fn may_have_input(&self) -> bool {
        self.may_have_input
    }

    /// Returns whether input may be read from the socket now.
    pub(super) fn is_readable(&self) -> bool {
        self.connected && self.may_have_input && !self.reading_paused()
    }

    /// Reads until the socket is empty, a buffer exceeds its limit, or `room` bytes have been read, but at most
    /// [`MAX_FILL_BYTES`]. Returns true if the socket is empty.
    ///
    /// Events are edge-triggered: the system does not report again what is left in the socket.
    pub(super) fn fill(&mut self, room: usize) -> io::Result<bool> {
        let is_empty = self.read_chunks(room.min(MAX_FILL_BYTES))?;
        self.may_have_input = !is_empty;
        Ok(is_empty)
    }

    fn read_chunks(&mut self, max_bytes: usize) -> io::Result<bool> {
        let mut chunk = [0u8; MAX_FILL_BYTES];
        let buffered_before = self.input.len();
        loop {
            if self.input_ended {
                return Ok(true);
            }
            let remaining = max_bytes - (self.input.len() - buffered_before);
            if self.reading_paused() || remaining == 0 {
                return Ok(false);
            }
            match self.stream.read(&mut chunk[..remaining]) {
                Ok(0) => self.input_ended = true,
                Ok(count) => self.append_input(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(true),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Input received before a reset is processed first, as it is before an orderly end.
                Err(_) if self.input.len() > buffered_before => self.input_ended = true,
                Err(error) => return Err(error),
            }
        }
    }

    /// Appends bytes to the input without doubling the capacity of its buffer.
    fn append_input(&mut self, bytes: &[u8]) {
        self.input.reserve_exact(bytes.len().max(SPARE_INPUT_BYTES));
        self.input.extend_from_slice(bytes);
    }

    /// Registers the stream for the events that it needs now.
    ///
    /// # Errors
    ///
    /// Returns the system error. The registration is unchanged then, and must be retried.
    pub(super) fn register(&mut self, registry: &Registry) -> io::Result<()> {
        let required = self.required_interest();
        if self.interest == Some(required) {
            return Ok(());
        }
        match self.interest {
            None => registry.register(self.stream.source(), self.token, required)?,
            Some(_) => registry.reregister(self.stream.source(), self.token, required)?,
        }
        self.interest = Some(required);
        Ok(())
    }

    fn required_interest(&self) -> Interest {
        if !self.connected {
            Interest::WRITABLE
        } else if self.unsent_bytes() > 0 {
            Interest::READABLE | Interest::WRITABLE
        } else {
            Interest::READABLE
        }
    }

    pub(super) fn deregister(&mut self, registry: &Registry) {
        let _ = registry.deregister(self.stream.source());
    }
}
