//! Unit tests of the server's modules that work without sockets.

mod memory_budget;
mod reload;
mod shutdown;
