//! The backend: connections to workers.
//!
//! A [`Pool`] knows the address of every worker and chooses the connection that a command takes. Each
//! connection writes one command at a time, and only once the one before has been handed to the operating
//! system completely. That way it knows for every attempt how far its command had been written when the
//! connection closed, on which it depends whether a retry is safe. Right before the first byte of a command
//! it asks the scheduler whether the command may still be sent.
//!
//! What the lines of commands and responses look like is up to a [`Codec`]: [`NodeAgentCodec`] for node agents
//! on TCP, [`JsonRpcCodec`] for workers on Unix sockets.

mod address;
mod codec;
mod connection;
mod correlation;
mod jsonrpc_codec;
mod limits;
mod node_agent_codec;
mod pool;
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
