//! A TCP stream of a stand-in peer whose drop ends the connection at once.

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
