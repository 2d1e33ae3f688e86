//! A stream with an input and an output buffer, registered with the system for what it waits for.

use super::Stream;
use crate::model::ConnectionId;
use mio::{Interest, Registry, Token};
use std::io;

#[cfg(test)]
mod tests;

/// Bytes read from a socket at a time; also the free capacity that a buffer may keep.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Capacity in bytes that an emptied output buffer keeps.
const RETAINED_OUTPUT_BYTES: usize = 4096;

/// Sizes in bytes beyond which a connection is not read from until they are fallen below again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Input that the connection has not consumed yet.
    pub input: usize,
    /// Output that the peer has not taken yet.
    pub output: usize,
}

/// A stream with its input and output buffers.
#[derive(Debug)]
pub struct BufferedStream {
    stream: Stream,
    token: Token,
    connected: bool,
    /// What the system was last asked to report; none before the first time.
    interest: Option<Interest>,
    /// Bytes that were read and not yet consumed.
    pub input: Vec<u8>,
    /// The peer has closed its half.
    pub input_ended: bool,
    /// Reading stopped before the socket was empty, so that the system has to be asked for a new event.
    input_left_in_socket: bool,
    output: Vec<u8>,
    /// Bytes at the start of `output` that have been written.
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
            input_left_in_socket: false,
            output: Vec::new(),
            written: 0,
            limits,
        }
    }

    /// The connection's id.
    pub fn id(&self) -> ConnectionId {
        ConnectionId(self.token.0 as u64)
    }

    /// Whether the stream is connected, as opposed to still connecting.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Whether the stream is connected now; an error says that it never will be.
    pub(super) fn check_connected(&mut self) -> io::Result<bool> {
        self.connected = self.stream.connect_finished()?;
        Ok(self.connected)
    }

    /// Bytes of output that wait to be written.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Appends bytes to the output.
    pub fn enqueue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Removes the first bytes of the input, which have been used.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        // Hundreds of connections must not each keep the capacity of their largest message.
        if self.input.capacity() > READ_CHUNK_BYTES + 2 * self.input.len() {
            self.input.shrink_to(self.input.len());
        }
    }

    /// Whether nothing is read until a buffer falls below its limit again.
    pub fn reading_paused(&self) -> bool {
        self.unsent_bytes() > self.limits.output || self.input.len() > self.limits.input
    }

    /// Writes as much output as the system takes; true once all of it is written.
    ///
    /// # Errors
    ///
    /// The stream's error, after which the connection is of no more use.
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
        }
        Ok(self.unsent_bytes() == 0 && self.connected)
    }

    fn clear_output(&mut self) {
        self.output.clear();
        self.written = 0;
        if self.output.capacity() > READ_CHUNK_BYTES {
            self.output.shrink_to(RETAINED_OUTPUT_BYTES);
        }
    }

    /// Shuts down the sending half, so that the peer sees its end.
    pub(super) fn shutdown_write(&self) {
        self.stream.shutdown_write();
    }

    /// Leaves the rest of the input in the socket for now; the next [`BufferedStream::register`] asks for a
    /// new event.
    pub(super) fn leave_input_in_socket(&mut self) {
        self.input_left_in_socket = true;
    }

    /// Reads until the socket is empty or a buffer's limit is passed; true if it is empty.
    pub(super) fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        let buffered_before = self.input.len();
        loop {
            if self.input_ended {
                return Ok(true);
            }
            if self.reading_paused() {
                self.leave_input_in_socket();
                return Ok(false);
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => self.input_ended = true,
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(true),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // What came before a reset is used first, like what comes before an orderly end.
                Err(_) if self.input.len() > buffered_before => self.input_ended = true,
                Err(error) => return Err(error),
            }
        }
    }

    /// Registers with the system the events that are waited for now.
    ///
    /// Events are edge-triggered: input that was left in the socket is reported again only if the
    /// registration is renewed.
    ///
    /// # Errors
    ///
    /// The system's. The registration is then as it was before, and is to be tried again.
    pub(super) fn register(&mut self, registry: &Registry) -> io::Result<()> {
        let wanted = self.wanted_interest();
        let renew = self.input_left_in_socket && !self.reading_paused();
        if self.interest == Some(wanted) && !renew {
            return Ok(());
        }
        match self.interest {
            None => registry.register(self.stream.source(), self.token, wanted)?,
            Some(_) => registry.reregister(self.stream.source(), self.token, wanted)?,
        }
        self.interest = Some(wanted);
        if renew {
            self.input_left_in_socket = false;
        }
        Ok(())
    }

    fn wanted_interest(&self) -> Interest {
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
