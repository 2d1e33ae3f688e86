//! Framing of the input: each batch consists of a header and the bytes of its records.

use super::cursor::FieldCursor;
use super::error::{RecordLocation, WireError};
use crate::Time;
use std::io::{self, Read};

/// Length of a batch header in bytes: the clock, the length field and the number of records.
pub(super) const HEADER_LENGTH: usize = 16;
/// Position of the length field in the header, in bytes; the field counts everything after itself.
const LENGTH_POSITION: usize = 8;
/// Length in bytes of the record count, the part of the header that the length field includes.
const COUNT_LENGTH: usize = 4;

/// A batch of event records that are not decoded yet.
#[derive(Debug)]
pub struct Batch {
    /// Time on the simulator's clock at which all events of the batch happen.
    pub now: Time,
    /// Number of records in `records`.
    pub(super) record_count: u32,
    /// The encoded records, back to back.
    pub(super) records: Vec<u8>,
}

struct Header {
    now: Time,
    records_length: usize,
    record_count: u32,
}

/// Reads the next batch, or returns `None` if the input ends between two batches.
///
/// # Errors
///
/// Returns an error if the input cannot be read or ends inside a batch, or if the length in the header is
/// too small.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let Some(header) = read_header(input)? else {
        return Ok(None);
    };
    let records = read_record_bytes(input, header.records_length)?;
    Ok(Some(Batch {
        now: header.now,
        record_count: header.record_count,
        records,
    }))
}

fn read_header(input: &mut impl Read) -> Result<Option<Header>, WireError> {
    let mut bytes = [0; HEADER_LENGTH];
    match read_until_full(input, &mut bytes).map_err(WireError::ReadHeader)? {
        0 => Ok(None),
        HEADER_LENGTH => decode_header(&bytes).map(Some),
        received => Err(WireError::HeaderCutShort {
            received,
            expected: HEADER_LENGTH,
        }),
    }
}

fn decode_header(bytes: &[u8; HEADER_LENGTH]) -> Result<Header, WireError> {
    let location = RecordLocation {
        name: "batch header",
        position: 0,
    };
    let mut fields = FieldCursor::new(bytes, location);
    let now = Time(fields.u64()?);
    let length = fields.u32()? as usize;
    let record_count = fields.u32()?;
    let Some(records_length) = length.checked_sub(COUNT_LENGTH) else {
        return Err(WireError::InvalidBatchLength {
            length,
            position: LENGTH_POSITION,
        });
    };
    Ok(Header {
        now,
        records_length,
        record_count,
    })
}

/// Reads until the buffer is full or the input ends, and returns the number of bytes read.
fn read_until_full(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..]) {
            Ok(0) => break,
            Ok(count) => received += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(received)
}

/// Reads `expected` bytes.
///
/// The buffer grows with the bytes that arrive, so an incorrect length does not allocate memory in advance.
fn read_record_bytes(input: &mut impl Read, expected: usize) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    let received = input
        .take(expected as u64)
        .read_to_end(&mut bytes)
        .map_err(WireError::ReadRecords)?;
    if received < expected {
        return Err(WireError::RecordsCutShort { received, expected });
    }
    Ok(bytes)
}
