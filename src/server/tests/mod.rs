//! Unit tests of the server's modules that work without sockets.

mod accept_wait;
mod client_pause;
mod memory_budget;
mod reload;
mod shutdown;
