//! Listening sockets of the stand-ins.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, TcpStream};

/// Listens at a free port on loopback.
pub(super) async fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Handles each connection in a task of its own, until the runtime ends.
pub(super) fn serve<Handler, HandlerFuture>(listener: TcpListener, handler: Handler)
where
    Handler: Fn(TcpStream) -> HandlerFuture + Send + 'static,
    HandlerFuture: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(handler(stream));
        }
    });
}
