//! Messages from the event loop to clients: responses and the notification that the server is draining.

use super::client_connection::Client;
use super::{FrameConnection, JsonRpcConnection};
use crate::net::{Connection, ConnectionFlow};
use crate::runtime::{Reactor, RuntimeState};
use crate::scheduler::{RequestOrigin, Response};
use std::any::Any;

/// Passes a response to the client's connection, if it still exists. The caller must let the reactor flush deferred
/// output afterwards.
pub fn deliver(origin: RequestOrigin, response: &Response, reactor: &mut Reactor) {
    reactor.with_connection_deferred(origin.connection, |connection, socket, context| {
        if let Some(client) = as_client(connection) {
            client.deliver(origin.stream, response, socket, context);
        }
        ConnectionFlow::Continue
    });
}

/// Notifies all clients that the server is draining, so that they send no new requests on their connections.
pub fn notify_draining(reactor: &mut Reactor) {
    for id in reactor.connection_ids() {
        reactor.with_connection(id, |connection, socket, _| {
            if let Some(client) = as_client(connection) {
                client.notify_draining(socket);
            }
            ConnectionFlow::Continue
        });
    }
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
