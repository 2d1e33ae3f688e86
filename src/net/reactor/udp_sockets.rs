//! UDP sockets, whose datagrams the reactor's caller receives and sends.

use super::token::EventSource;
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use std::io;
use std::net::SocketAddr;

/// The id of a UDP socket in the reactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UdpSocketId(pub(super) usize);

/// All UDP sockets by id.
#[derive(Default)]
pub(super) struct UdpSockets {
    sockets: Vec<UdpSocket>,
}

impl UdpSockets {
    pub(super) fn bind(
        &mut self,
        address: SocketAddr,
        registry: &Registry,
    ) -> io::Result<(UdpSocketId, SocketAddr)> {
        let mut socket = UdpSocket::bind(address)?;
        let bound = socket.local_addr()?;
        let id = UdpSocketId(self.sockets.len());
        registry.register(
            &mut socket,
            EventSource::UdpSocket(id).token(),
            Interest::READABLE,
        )?;
        self.sockets.push(socket);
        Ok((id, bound))
    }

    pub(super) fn receive(&self, id: UdpSocketId, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.sockets[id.0].recv_from(buffer) {
                Ok(datagram) => return Some(datagram),
                Err(error) if is_transient(&error) => {}
                Err(_) => return None,
            }
        }
    }

    pub(super) fn send(&self, id: UdpSocketId, bytes: &[u8], to: SocketAddr) {
        let _ = self.sockets[id.0].send_to(bytes, to);
    }
}

/// Returns whether further datagrams may follow after an error. A peer that is not listening causes a
/// "connection refused" error.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::Interrupted
    )
}
