//! Streams over TCP or Unix sockets.

use mio::event::Source;
use mio::net::{TcpStream, UnixStream};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::path::Path;

/// A non-blocking stream over a TCP or Unix socket.
#[derive(Debug)]
pub enum Stream {
    /// A TCP stream.
    Tcp(TcpStream),
    /// A Unix stream.
    Unix(UnixStream),
}

impl Stream {
    /// Starts a TCP connection.
    pub(super) fn connect_tcp(address: SocketAddr) -> io::Result<Stream> {
        TcpStream::connect(address).map(Stream::from_tcp)
    }

    /// Starts a connection to a Unix socket.
    pub(super) fn connect_unix(path: &Path) -> io::Result<Stream> {
        UnixStream::connect(path).map(Stream::Unix)
    }

    /// Wraps a TCP stream and disables Nagle's algorithm if possible, because messages are small and
    /// latency-sensitive.
    pub(super) fn from_tcp(stream: TcpStream) -> Stream {
        let _ = stream.set_nodelay(true);
        Stream::Tcp(stream)
    }

    pub(super) fn source(&mut self) -> &mut dyn Source {
        match self {
            Stream::Tcp(stream) => stream,
            Stream::Unix(stream) => stream,
        }
    }

    pub(super) fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.read(buffer),
            Stream::Unix(stream) => stream.read(buffer),
        }
    }

    pub(super) fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.write(bytes),
            Stream::Unix(stream) => stream.write(bytes),
        }
    }

    /// Shuts down the sending half, so that the peer sees the end of the stream.
    pub(super) fn shutdown_write(&self) {
        let _ = match self {
            Stream::Tcp(stream) => stream.shutdown(Shutdown::Write),
            Stream::Unix(stream) => stream.shutdown(Shutdown::Write),
        };
    }

    /// Returns whether a connect has succeeded. `false` means that it is still in progress, and an error
    /// that it has failed.
    pub(super) fn connect_finished(&self) -> io::Result<bool> {
        let (error, peer) = match self {
            Stream::Tcp(stream) => (stream.take_error()?, stream.peer_addr().map(drop)),
            Stream::Unix(stream) => (stream.take_error()?, stream.peer_addr().map(drop)),
        };
        if let Some(error) = error {
            return Err(error);
        }
        match peer {
            Ok(()) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }
}
