//! The client side: two protocols that turn bytes into [`ClientRequest`](crate::scheduler::ClientRequest)s
//! and responses into bytes.
//!
//! Each protocol has a codec and, apart from it, a connection. Binary frames come over TCP, JSON-RPC over a
//! Unix socket.

mod client_connection;
mod conversions;
pub mod frame_codec;
mod frame_connection;
pub mod jsonrpc_codec;
mod jsonrpc_connection;
mod lifecycle;
mod limits;
mod stream_ids;
pub mod unix_socket;

pub use client_connection::{deliver, notify_draining};
pub use frame_connection::FrameConnection;
pub use jsonrpc_connection::JsonRpcConnection;
