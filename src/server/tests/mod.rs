//! Unit tests of the server's modules that work without sockets.

mod reload;
mod shutdown;
