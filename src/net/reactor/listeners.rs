//! The sockets on which clients are accepted.

use super::token::EventSource;
use crate::net::Stream;
use mio::event::Source;
use mio::net::{TcpListener, UnixListener};
use mio::{Interest, Registry};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixListener as StdUnixListener;

/// The id of a listener in the reactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(pub(super) usize);

enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener),
}

impl Listener {
    fn source(&mut self) -> &mut dyn Source {
        match self {
            Listener::Tcp(listener) => listener,
            Listener::Unix(listener) => listener,
        }
    }

    fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => listener.accept().map(|(stream, _)| Stream::from_tcp(stream)),
            Listener::Unix(listener) => listener.accept().map(|(stream, _)| Stream::Unix(stream)),
        }
    }
}

/// All listeners by id. The slot of a closed listener stays empty.
#[derive(Default)]
pub(super) struct Listeners {
    slots: Vec<Option<Listener>>,
}

impl Listeners {
    pub(super) fn add_tcp(&mut self, address: SocketAddr, registry: &Registry) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        self.add(Listener::Tcp(listener), registry)?;
        Ok(bound)
    }

    pub(super) fn add_unix(
        &mut self,
        listener: StdUnixListener,
        registry: &Registry,
    ) -> io::Result<ListenerId> {
        listener.set_nonblocking(true)?;
        self.add(Listener::Unix(UnixListener::from_std(listener)), registry)
    }

    fn add(&mut self, mut listener: Listener, registry: &Registry) -> io::Result<ListenerId> {
        let id = ListenerId(self.slots.len());
        let token = EventSource::Listener(id).token();
        registry.register(listener.source(), token, Interest::READABLE)?;
        self.slots.push(Some(listener));
        Ok(id)
    }

    pub(super) fn close(&mut self, id: ListenerId, registry: &Registry) {
        if let Some(mut listener) = self.slots.get_mut(id.0).and_then(Option::take) {
            let _ = registry.deregister(listener.source());
        }
    }

    /// Returns the ids of all listeners, including closed ones.
    pub(super) fn ids(&self) -> Vec<ListenerId> {
        (0..self.slots.len()).map(ListenerId).collect()
    }

    pub(super) fn accept(&self, id: ListenerId) -> io::Result<Option<Stream>> {
        let Some(listener) = &self.slots[id.0] else {
            return Ok(None);
        };
        match listener.accept() {
            Ok(stream) => Ok(Some(stream)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }
}
