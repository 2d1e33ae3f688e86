//! Codec of the simulator's pipe: batches of event records in, one reply of action records per batch out.
//!
//! The format is that of the page `WIRE-dykecove.md`. Everything is big-endian and without padding. A record
//! is a code of one byte, the length of its fields in four bytes, and the fields back to back. Names of the
//! page are used in this module only; the adapter around it uses the types of the library's model.

mod batch;
mod codes;
mod cursor;
mod error;
mod ids;
mod records;
mod reply;

pub use batch::{Batch, read_batch};
pub use error::{RecordLocation, WireError};
pub use ids::{InstanceId, ListId};
pub use records::{Record, read_records};
pub use reply::Reply;
