//! The client side: two protocols that turn bytes into [`ClientRequest`](crate::scheduler::ClientRequest)s
//! and responses into bytes.
//!
//! For each protocol the codec stands apart from the connection that speaks it. Binary frames come over TCP,
//! JSON-RPC comes over a Unix socket.

pub mod frame_codec;
mod frame_connection;
pub mod jsonrpc_codec;
mod jsonrpc_connection;
mod lifecycle;
mod limits;
mod request_figures;
mod stream_ids;
pub mod unix_socket;

pub use frame_connection::FrameConnection;
pub use jsonrpc_connection::JsonRpcConnection;
