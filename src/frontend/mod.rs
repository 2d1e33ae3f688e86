//! Client connections: two protocols that decode requests into
//! [`ClientRequest`](crate::scheduler::ClientRequest)s and encode responses.
//!
//! Clients send binary frames over TCP, or JSON-RPC over a Unix socket. Each protocol has a codec and a
//! separate connection type. The module `client_connection` holds what both protocols share: when a
//! connection closes, and how its open requests end.

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
