//! Framing of the input: a batch is a header and the bytes of its records.

use super::cursor::FieldCursor;
use super::error::{RecordLocation, WireError};
use crate::Time;
use std::io::{self, Read};

/// Bytes of a batch's header: the clock, the length and the number of records.
pub(super) const HEADER_LENGTH: usize = 16;
/// Where the header has the length of everything after this field.
const LENGTH_POSITION: usize = 8;
/// Bytes of the header that this length includes: the number of records.
const COUNT_LENGTH: usize = 4;

/// One batch of event records, not yet decoded.
#[derive(Debug)]
pub struct Batch {
    /// The simulator's clock, at which all events of the batch happen.
    pub now: Time,
    /// Number of records in `records`.
    pub(super) record_count: u32,
    /// The records, back to back.
    pub(super) records: Vec<u8>,
}

struct Header {
    now: Time,
    records_length: usize,
    record_count: u32,
}

/// Reads the next batch; `None` where the input ends between two batches.
///
/// # Errors
///
/// The input cannot be read, ends inside a batch, or the header's length is too small.
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

/// Fills the buffer as far as the input goes; returns how many bytes were read.
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

/// Reads `expected` bytes. The buffer grows with what is read, so a false length does not reserve memory.
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
