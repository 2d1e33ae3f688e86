//! A TCP stream of a stand-in peer whose drop ends the connection at once.

use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, TcpStream};
use std::ops::{Deref, DerefMut};

/// A TCP stream whose drop ends the connection at once.
///
/// Closing the descriptor alone may not do so: a child process that a test in another thread starts holds a
/// copy of it until it executes its own program, and the connection stays open for as long.
pub(crate) struct ClosingStream(TcpStream);

impl ClosingStream {
    pub(crate) fn new(stream: TcpStream) -> ClosingStream {
        ClosingStream(stream)
    }

    /// Reads once, and again whenever a signal interrupts the read before it has a result.
    ///
    /// A read with a timeout is interrupted if the test's process is stopped and continued meanwhile.
    pub(crate) fn read_uninterrupted(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.0.read(buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}

impl Drop for ClosingStream {
    fn drop(&mut self) {
        // Fails if the other end has reset the connection before.
        let _ = self.0.shutdown(Shutdown::Write);
    }
}

impl Deref for ClosingStream {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.0
    }
}

impl DerefMut for ClosingStream {
    fn deref_mut(&mut self) -> &mut TcpStream {
        &mut self.0
    }
}
