//! Tests of the server's parts that need no sockets.

mod reload;
mod shutdown;
