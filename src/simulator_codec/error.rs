//! Errors of the simulator's pipe protocol and the positions at which they occur.

use std::fmt;
use std::io;
use thiserror::Error;

/// Error in reading or decoding a batch, or in writing a reply.
#[derive(Debug, Error)]
pub enum WireError {
    /// Reading a batch header from the input failed.
    #[error("batch header: cannot read: {0}")]
    ReadHeader(#[source] io::Error),
    /// Reading the records of a batch from the input failed.
    #[error("batch: cannot read: {0}")]
    ReadRecords(#[source] io::Error),
    /// The input ended inside a batch header.
    #[error("batch header: cut short after {received} of {expected} bytes")]
    HeaderCutShort {
        /// Number of header bytes that arrived.
        received: usize,
        /// Length of a complete header in bytes.
        expected: usize,
    },
    /// The length in a batch header is smaller than the rest of the header.
    #[error("batch header: length {length} at position {position} is too small")]
    InvalidBatchLength {
        /// The length as received.
        length: usize,
        /// Position of the length, in bytes from the start of the batch.
        position: usize,
    },
    /// The input ended inside the records of a batch.
    #[error("batch: cut short after {received} of {expected} bytes of records")]
    RecordsCutShort {
        /// Number of record bytes that arrived.
        received: usize,
        /// Number of record bytes according to the header.
        expected: usize,
    },
    /// The batch contains fewer records than its header states.
    #[error("record {index} at position {position}: missing")]
    MissingRecord {
        /// Index of the missing record in the batch, from 0.
        index: u32,
        /// Position at which the record should start, in bytes from the start of the batch.
        position: usize,
    },
    /// A record extends beyond the end of the batch according to its length.
    #[error("{record}: length {length} exceeds the batch")]
    InvalidRecordLength {
        /// Record that has the invalid length.
        record: RecordLocation,
        /// The length as received.
        length: usize,
    },
    /// A record ends inside one of its fields.
    #[error("{record}: field of {field_length} bytes at offset {offset} exceeds the length {available}")]
    RecordCutShort {
        /// Record that is cut short.
        record: RecordLocation,
        /// Length of the field in bytes.
        field_length: usize,
        /// Position of the field, in bytes from the first field.
        offset: usize,
        /// Length of all fields of the record in bytes.
        available: usize,
    },
    /// A field contains a code that the protocol does not define.
    #[error("{record}: unknown {field} {code} at offset {offset}")]
    UnknownCode {
        /// Record that contains the field.
        record: RecordLocation,
        /// Name of the field.
        field: &'static str,
        /// The code as received.
        code: u8,
        /// Position of the code, in bytes from the first field.
        offset: usize,
    },
    /// The batch contains bytes after the last record that its header counts.
    #[error("batch: {length} bytes left after {count} records")]
    TrailingBytes {
        /// Number of bytes after the last record.
        length: usize,
        /// Number of records according to the header.
        count: u32,
    },
    /// Writing a reply to the output failed.
    #[error("reply: cannot write: {0}")]
    WriteReply(#[source] io::Error),
}

/// Name and position of a record, for error messages.
#[derive(Clone, Copy, Debug)]
pub struct RecordLocation {
    /// Name of the record on the page WIRE, or a general name if the record has none.
    pub(super) name: &'static str,
    /// Position of the first byte of the record, in bytes from the start of the batch.
    pub(super) position: usize,
}

impl fmt::Display for RecordLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} at position {}", self.name, self.position)
    }
}
