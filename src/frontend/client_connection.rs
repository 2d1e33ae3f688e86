//! What the event loop asks of a client's connection, alike for both protocols.

use super::{FrameConnection, JsonRpcConnection};
use crate::model::{ConnectionId, StreamId};
use crate::net::{BufferedStream, Connection, ConnectionFlow};
use crate::runtime::{Context, Reactor, RuntimeState};
use crate::scheduler::{RequestOrigin, Response};
use std::any::Any;

/// A connection on which a client sends requests.
pub(super) trait ClientConnection {
    /// Sends the response to the request of this stream.
    fn deliver(
        &mut self,
        stream: StreamId,
        response: &Response,
        socket: &mut BufferedStream,
        context: &mut Context,
    ) -> ConnectionFlow;

    /// Notifies the client that the server is draining, so that it sends no new request on this connection, where the
    /// protocol has a message for that.
    fn notify_draining(&mut self, _socket: &mut BufferedStream, _context: &mut Context) -> ConnectionFlow {
        ConnectionFlow::Continue
    }
}

/// Hands a response to the client's connection, if that still exists.
pub fn deliver(origin: RequestOrigin, response: &Response, reactor: &mut Reactor) {
    with_client(origin.connection, reactor, |client, socket, context| {
        client.deliver(origin.stream, response, socket, context)
    });
}

/// Notifies all clients that the server is draining, so that they send no new requests on their connections.
pub fn notify_draining(reactor: &mut Reactor) {
    for connection in reactor.connection_ids() {
        with_client(connection, reactor, |client, socket, context| {
            client.notify_draining(socket, context)
        });
    }
}

/// Calls a connection that has a client at its other end, and does nothing to another.
fn with_client(
    id: ConnectionId,
    reactor: &mut Reactor,
    callback: impl FnOnce(&mut dyn ClientConnection, &mut BufferedStream, &mut Context) -> ConnectionFlow,
) {
    reactor.with_connection(id, |connection, socket, context| match as_client(connection) {
        Some(client) => callback(client, socket, context),
        None => ConnectionFlow::Continue,
    });
}

/// The client's side of a connection, if it is of one of the protocols that clients speak.
fn as_client(connection: &mut dyn Connection<RuntimeState>) -> Option<&mut dyn ClientConnection> {
    let connection: &mut dyn Any = connection;
    if connection.is::<FrameConnection>() {
        return connection
            .downcast_mut::<FrameConnection>()
            .map(|client| client as _);
    }
    connection
        .downcast_mut::<JsonRpcConnection>()
        .map(|client| client as _)
}
