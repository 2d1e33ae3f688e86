//! What can be wrong with the simulator's pipe, and where.

use std::fmt;
use std::io;
use thiserror::Error;

/// Why a batch cannot be decoded, or a reply not be written.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input failed while a header was read.
    #[error("batch header: cannot read: {0}")]
    ReadHeader(#[source] io::Error),
    /// The input failed while the records of a batch were read.
    #[error("batch: cannot read: {0}")]
    ReadRecords(#[source] io::Error),
    /// The input ended inside a header.
    #[error("batch header: cut short after {received} of {expected} bytes")]
    HeaderCutShort {
        /// Bytes of the header that arrived.
        received: usize,
        /// Bytes of a whole header.
        expected: usize,
    },
    /// The length in the header is shorter than the rest of the header.
    #[error("batch header: length {length} at position {position} does not fit")]
    InvalidBatchLength {
        /// The length as received.
        length: usize,
        /// Where the header has it, in bytes from the start of the batch.
        position: usize,
    },
    /// The input ended inside the records of a batch.
    #[error("batch: cut short after {received} of {expected} bytes of records")]
    RecordsCutShort {
        /// Bytes of records that arrived.
        received: usize,
        /// Bytes of records according to the header.
        expected: usize,
    },
    /// The header counts more records than there are.
    #[error("record {index} at position {position}: missing")]
    MissingRecord {
        /// Number of the record in the batch, from 0.
        index: u32,
        /// Where it should start, in bytes from the start of the batch.
        position: usize,
    },
    /// The length of a record reaches beyond the end of the batch.
    #[error("{record}: its length {length} does not fit")]
    InvalidRecordLength {
        /// The record.
        record: RecordLocation,
        /// The length as received.
        length: usize,
    },
    /// A record ends inside one of its fields.
    #[error("{record}: {field_length} bytes wanted at its byte {offset}, it has {available}")]
    RecordCutShort {
        /// The record.
        record: RecordLocation,
        /// Bytes of the field.
        field_length: usize,
        /// Where the field starts, in bytes from the first field.
        offset: usize,
        /// Bytes of all fields of the record.
        available: usize,
    },
    /// The code in a field is not defined by the protocol.
    #[error("{record}: {field} {code} at its byte {offset} is not known")]
    UnknownCode {
        /// The record.
        record: RecordLocation,
        /// The field.
        field: &'static str,
        /// The code as received.
        code: u8,
        /// Where the field is, in bytes from the first field.
        offset: usize,
    },
    /// The batch goes on after the last record that its header counts.
    #[error("batch: {length} bytes left after record {count}")]
    TrailingBytes {
        /// Bytes after the last record.
        length: usize,
        /// Records that the header counts.
        count: u32,
    },
    /// The output failed.
    #[error("reply: cannot write: {0}")]
    WriteReply(#[source] io::Error),
}

/// Where a record is.
#[derive(Clone, Copy, Debug)]
pub struct RecordLocation {
    /// Its name on the wire page.
    pub(super) name: &'static str,
    /// Its first byte, counted from the start of the batch.
    pub(super) position: usize,
}

impl fmt::Display for RecordLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} at position {}", self.name, self.position)
    }
}
