//! The client side: two protocols that turn bytes into [`ClientRequest`](crate::scheduler::ClientRequest)s
//! and responses into bytes.
//!
//! Each protocol has a codec and, apart from it, a connection. Binary frames come over TCP, JSON-RPC over a
//! Unix socket. What is alike for both protocols is in `client_connection`: when a connection ends, and what
//! becomes of its open requests then.

mod client_connection;
mod connection_timers;
mod conversions;
mod delivery;
pub mod frame_codec;
mod frame_connection;
pub mod jsonrpc_codec;
mod jsonrpc_connection;
mod limits;
mod session;
mod stream_ids;
pub mod unix_socket;

pub use delivery::{deliver, notify_draining};
pub(crate) use frame_connection::FrameConnection;
pub(crate) use jsonrpc_connection::JsonRpcConnection;
