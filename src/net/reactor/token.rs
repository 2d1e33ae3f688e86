//! The mapping between event sources and poll tokens.

use super::{ListenerId, PipeId, UdpSocketId};
use crate::model::ConnectionId;
use mio::Token;

/// First token of the pipes. The tokens of listeners are below it.
const FIRST_PIPE: usize = 1 << 8;
/// First token of the UDP sockets.
const FIRST_UDP_SOCKET: usize = 1 << 9;
/// First token of the connections, whose ids are their tokens. No id is reused.
pub(super) const FIRST_CONNECTION: ConnectionId = ConnectionId(1 << 10);

/// An event source. Each kind has its own range of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventSource {
    Listener(ListenerId),
    Pipe(PipeId),
    UdpSocket(UdpSocketId),
    Connection(ConnectionId),
}

impl EventSource {
    pub(super) fn from_token(token: Token) -> EventSource {
        let number = token.0;
        if number < FIRST_PIPE {
            EventSource::Listener(ListenerId(number))
        } else if number < FIRST_UDP_SOCKET {
            EventSource::Pipe(PipeId(number - FIRST_PIPE))
        } else if (number as u64) < FIRST_CONNECTION.0 {
            EventSource::UdpSocket(UdpSocketId(number - FIRST_UDP_SOCKET))
        } else {
            EventSource::Connection(ConnectionId(number as u64))
        }
    }

    pub(super) fn token(self) -> Token {
        match self {
            EventSource::Listener(ListenerId(index)) => Token(index),
            EventSource::Pipe(PipeId(index)) => Token(FIRST_PIPE + index),
            EventSource::UdpSocket(UdpSocketId(index)) => Token(FIRST_UDP_SOCKET + index),
            EventSource::Connection(ConnectionId(id)) => Token(id as usize),
        }
    }
}
