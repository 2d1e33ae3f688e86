//! Codec of the simulator's pipe protocol: decodes batches of event records and encodes one reply of action
//! records per batch.
//!
//! The page `WIRE-dykecove.md` defines the format. All numbers are big-endian and there is no padding. A
//! record consists of a one-byte code, the length of its fields in four bytes, and the fields back to back.
//! Only this module uses the record names of that page; its callers use the types of the library's model.

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
