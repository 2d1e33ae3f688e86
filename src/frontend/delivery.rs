//! What the event loop sends to clients: responses, and the notice that the server is draining.

use super::client_connection::Client;
use super::{FrameConnection, JsonRpcConnection};
use crate::model::ConnectionId;
use crate::net::{BufferedStream, Connection, ConnectionFlow};
use crate::runtime::{Context, Reactor, RuntimeState};
use crate::scheduler::{RequestOrigin, Response};
use std::any::Any;

/// Hands a response to the client's connection, if that still exists.
pub fn deliver(origin: RequestOrigin, response: &Response, reactor: &mut Reactor) {
    with_client(origin.connection, reactor, |client, socket, context| {
        client.deliver(origin.stream, response, socket, context);
    });
}

/// Notifies all clients that the server is draining, so that they send no new requests on their connections.
pub fn notify_draining(reactor: &mut Reactor) {
    for connection in reactor.connection_ids() {
        with_client(connection, reactor, |client, socket, _| {
            client.notify_draining(socket);
        });
    }
}

/// Calls a connection that has a client at its other end, and does nothing to another.
fn with_client(
    id: ConnectionId,
    reactor: &mut Reactor,
    callback: impl FnOnce(&mut dyn Client, &mut BufferedStream, &mut Context),
) {
    reactor.with_connection(id, |connection, socket, context| {
        if let Some(client) = as_client(connection) {
            callback(client, socket, context);
        }
        ConnectionFlow::Continue
    });
}

/// The client's side of a connection, if it is of one of the protocols that clients speak.
fn as_client(connection: &mut dyn Connection<RuntimeState>) -> Option<&mut dyn Client> {
    let connection: &mut dyn Any = connection;
    // Asked first: a downcast that fails would keep the connection borrowed for the second.
    if connection.is::<FrameConnection>() {
        return connection
            .downcast_mut::<FrameConnection>()
            .map(|client| client as _);
    }
    connection
        .downcast_mut::<JsonRpcConnection>()
        .map(|client| client as _)
}
