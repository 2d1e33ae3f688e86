//! The TCP listeners of the stand-ins.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, TcpStream};

/// Listens on a free loopback port and returns the listener with its address.
pub(super) async fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections in the background and handles each in its own task, until the runtime shuts down.
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
