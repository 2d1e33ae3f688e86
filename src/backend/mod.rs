//! Connections to workers.
//!
//! A [`Pool`] holds the address of every worker and selects the connection on which a command is sent. Each
//! connection writes one command at a time: it starts the next one only after the operating system has
//! accepted every byte of the previous one. When a connection closes, it can therefore tell how far each
//! command was written, which determines whether a retry is safe. Immediately before it writes a request or a
//! load order, it asks the scheduler whether the command may still be sent.
//!
//! A [`Codec`] defines how commands and responses are encoded: [`NodeAgentCodec`] for node agents on TCP,
//! [`JsonRpcCodec`] for workers on Unix sockets.

mod address;
mod codec;
mod connection;
mod correlation;
mod jsonrpc_codec;
mod limits;
mod node_agent_codec;
mod pool;
mod retired_id_budget;
#[cfg(test)]
mod tests;
mod worker_command;
mod write_queue;

pub use address::WorkerAddress;
pub use codec::{Codec, DecodeError, DecodeErrorKind, ResponseMessage, WorkerMessage};
pub use jsonrpc_codec::JsonRpcCodec;
pub use limits::Limits;
pub use node_agent_codec::NodeAgentCodec;
pub use pool::Pool;
