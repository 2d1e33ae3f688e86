//! Pipes through which other parts of the process, such as signal handlers, wake the reactor.

use super::token::EventSource;
use mio::net::UnixStream;
use mio::{Interest, Registry};
use std::io::{self, Read};
use std::os::unix::net::UnixStream as StdUnixStream;

/// The id of a watched pipe in the reactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PipeId(pub(super) usize);

/// The reading ends of all watched pipes.
#[derive(Default)]
pub(super) struct Pipes {
    pipes: Vec<UnixStream>,
}

impl Pipes {
    pub(super) fn add(&mut self, pipe: StdUnixStream, registry: &Registry) -> io::Result<PipeId> {
        pipe.set_nonblocking(true)?;
        let mut pipe = UnixStream::from_std(pipe);
        let id = PipeId(self.pipes.len());
        registry.register(&mut pipe, EventSource::Pipe(id).token(), Interest::READABLE)?;
        self.pipes.push(pipe);
        Ok(id)
    }

    /// Reads and discards everything that was written to a pipe.
    pub(super) fn drain(&mut self, id: PipeId) {
        let mut bytes = [0; 64];
        let Some(pipe) = self.pipes.get_mut(id.0) else {
            return;
        };
        while matches!(pipe.read(&mut bytes), Ok(count) if count > 0) {}
    }
}
