//! Messages from the event loop to clients: responses and the notification that the server is draining.

use super::client_connection::Client;
use super::{FrameConnection, JsonRpcConnection};
use crate::model::ConnectionId;
use crate::net::{BufferedStream, Connection, ConnectionFlow};
use crate::runtime::{Context, Reactor, RuntimeState};
use crate::scheduler::{RequestOrigin, Response};
use std::any::Any;

/// Passes a response to the client's connection, if it still exists.
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

/// Invokes `callback` if the connection is a client connection; does nothing for other connections.
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

/// Returns the connection as a [`Client`] if it speaks one of the client protocols.
fn as_client(connection: &mut dyn Connection<RuntimeState>) -> Option<&mut dyn Client> {
    let connection: &mut dyn Any = connection;
    // `is` comes first because a failed `downcast_mut` would keep the connection borrowed.
    if connection.is::<FrameConnection>() {
        return connection
            .downcast_mut::<FrameConnection>()
            .map(|client| client as _);
    }
    connection
        .downcast_mut::<JsonRpcConnection>()
        .map(|client| client as _)
}
