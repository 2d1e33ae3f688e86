//! Wire codec of the endpoint watch: length-prefixed binary frames, all numbers big-endian and unsigned.
//!
//! ```text
//! frame  = length:4 offset:8 kind:1 record*     length counts all that follows it
//! record = worker:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8
//! ```
//!
//! The format is that of "The event bus" in the platform's protocol page.

use super::event::{EndpointRecord, WatchEvent, started_at};
use crate::model::{
    CellId, Endpoint, EndpointSource, EndpointState, EndpointUpdateKind, KindId, WorkerId, ZoneId,
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use thiserror::Error;

/// Length of a frame's length field, in bytes.
pub(crate) const LENGTH_FIELD_LENGTH: usize = 4;
/// Largest value of the length field that is accepted, in bytes: enough for some 38,000 records.
pub(crate) const MAX_FRAME_LENGTH: usize = 1 << 20;
/// Length of the fields offset and kind together, in bytes: the smallest value of the length field.
const HEADER_LENGTH: usize = 9;
/// Length of a record, in bytes.
const RECORD_LENGTH: usize = 27;
/// The weight field counts in these parts of one.
const WEIGHT_SCALE: f64 = 1000.0;

/// Where the fields of a frame begin, in bytes after the length field.
mod frame_field {
    pub(super) const OFFSET: usize = 0;
    pub(super) const KIND: usize = 8;
}

/// Where the fields of a record begin, in bytes.
mod record_field {
    pub(super) const WORKER: usize = 0;
    pub(super) const ADDRESS: usize = 4;
    pub(super) const PORT: usize = 8;
    pub(super) const STATE: usize = 10;
    pub(super) const ZONE: usize = 11;
    pub(super) const KIND: usize = 12;
    pub(super) const CELL: usize = 13;
    pub(super) const WEIGHT: usize = 15;
    pub(super) const STARTED_AT: usize = 19;
}

/// Wire values of a frame's kind.
mod frame_kind {
    pub(super) const HEARTBEAT: u8 = 0;
    pub(super) const SNAPSHOT: u8 = 1;
    pub(super) const DELTA: u8 = 2;
}

/// Wire values of a record's state.
mod record_state {
    pub(super) const READY: u8 = 0;
    pub(super) const DRAINING: u8 = 1;
    pub(super) const GONE: u8 = 2;
}

/// Why received bytes are not a frame. The connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum DecodeError {
    /// The length field is shorter than a header or above [`MAX_FRAME_LENGTH`].
    #[error("length out of range")]
    LengthOutOfRange,
    /// The frame's kind has no meaning.
    #[error("unknown kind")]
    UnknownFrameKind,
    /// The frame's end lies within a record.
    #[error("a record is cut short")]
    TruncatedRecord,
    /// A record's state has no meaning.
    #[error("unknown state")]
    UnknownState,
}

/// What a frame says.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Frame {
    /// Nothing has changed since the event of this number; the connection works.
    Heartbeat {
        /// The number of the last event that the service has.
        last_offset: u64,
    },
    /// The endpoint list has changed.
    Event(WatchEvent),
}

/// A frame and its length on the wire.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DecodedFrame {
    /// The frame.
    pub(crate) frame: Frame,
    /// Length of the frame in bytes, with its length field.
    pub(crate) encoded_length: usize,
}

/// Decodes the frame at the start of a buffer; `Ok(None)` while it is incomplete.
///
/// # Errors
///
/// [`DecodeError`] where the bytes can't become a frame whatever follows them.
pub(crate) fn decode_frame(buffer: &[u8]) -> Result<Option<DecodedFrame>, DecodeError> {
    let Some((length_field, rest)) = buffer.split_first_chunk() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length_field) as usize;
    if !(HEADER_LENGTH..=MAX_FRAME_LENGTH).contains(&length) {
        return Err(DecodeError::LengthOutOfRange);
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let (header, records) = body.split_first_chunk().ok_or(DecodeError::LengthOutOfRange)?;
    Ok(Some(DecodedFrame {
        frame: decode_body(header, records)?,
        encoded_length: LENGTH_FIELD_LENGTH + length,
    }))
}

/// Decodes what follows the length field.
fn decode_body(header: &[u8; HEADER_LENGTH], records: &[u8]) -> Result<Frame, DecodeError> {
    let offset = u64::from_be_bytes(bytes_at(header, frame_field::OFFSET));
    let kind = match header[frame_field::KIND] {
        frame_kind::HEARTBEAT => return Ok(Frame::Heartbeat { last_offset: offset }),
        frame_kind::SNAPSHOT => EndpointUpdateKind::Snapshot,
        frame_kind::DELTA => EndpointUpdateKind::Delta,
        _ => return Err(DecodeError::UnknownFrameKind),
    };
    let (records, remainder) = records.as_chunks();
    if !remainder.is_empty() {
        return Err(DecodeError::TruncatedRecord);
    }
    Ok(Frame::Event(WatchEvent {
        offset,
        kind,
        endpoints: records.iter().map(decode_record).collect::<Result<_, _>>()?,
    }))
}

fn decode_record(record: &[u8; RECORD_LENGTH]) -> Result<EndpointRecord, DecodeError> {
    let state = match record[record_field::STATE] {
        record_state::READY => EndpointState::Ready,
        record_state::DRAINING => EndpointState::Draining,
        record_state::GONE => EndpointState::Gone,
        _ => return Err(DecodeError::UnknownState),
    };
    let worker = u32::from_be_bytes(bytes_at(record, record_field::WORKER));
    let weight = u32::from_be_bytes(bytes_at(record, record_field::WEIGHT));
    let endpoint = Endpoint {
        worker: WorkerId(u64::from(worker)),
        zone: ZoneId(record[record_field::ZONE]),
        cell: CellId(u16::from_be_bytes(bytes_at(record, record_field::CELL))),
        state,
        source: EndpointSource::Discovery,
        weight: f64::from(weight) / WEIGHT_SCALE,
        started_at: started_at(u64::from_be_bytes(bytes_at(record, record_field::STARTED_AT))),
        kind: KindId(record[record_field::KIND]),
    };
    let host = Ipv4Addr::from(bytes_at::<4>(record, record_field::ADDRESS));
    let port = u16::from_be_bytes(bytes_at(record, record_field::PORT));
    Ok(EndpointRecord {
        endpoint,
        address: SocketAddr::V4(SocketAddrV4::new(host, port)),
    })
}

/// The `N` bytes of a field that begins at `offset`.
fn bytes_at<const N: usize>(fields: &[u8], offset: usize) -> [u8; N] {
    std::array::from_fn(|index| fields[offset + index])
}
