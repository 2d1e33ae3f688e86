//! Wire codec of the endpoint watch: length-prefixed binary frames with big-endian unsigned integers.
//!
//! ```text
//! frame  = length:4 offset:8 kind:1 record*     length of everything after this field
//! record = worker:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8
//! ```
//!
//! The page PROTOCOL, "The event bus", defines the format.

use super::event::{EndpointRecord, WatchEvent, started_at};
use crate::model::{
    CellId, Endpoint, EndpointSource, EndpointState, EndpointUpdateKind, KindId, WorkerId, ZoneId,
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use thiserror::Error;

/// Length of a frame's length field, in bytes.
pub(crate) const LENGTH_FIELD_LENGTH: usize = 4;
/// Largest accepted value of the length field, in bytes: enough for about 38,000 records.
pub(crate) const MAX_FRAME_LENGTH: usize = 1 << 20;
/// Combined length of the offset and kind fields, in bytes: the smallest valid value of the length field.
const HEADER_LENGTH: usize = 9;
/// Length of a record, in bytes.
const RECORD_LENGTH: usize = 27;
/// Value of the weight field that stands for a weight of 1.
const WEIGHT_SCALE: f64 = 1000.0;

/// Offsets of the frame fields, in bytes after the length field.
mod frame_field {
    pub(super) const OFFSET: usize = 0;
    pub(super) const KIND: usize = 8;
}

/// Offsets of the record fields, in bytes.
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

/// Wire values of the frame kind.
mod frame_kind {
    pub(super) const HEARTBEAT: u8 = 0;
    pub(super) const SNAPSHOT: u8 = 1;
    pub(super) const DELTA: u8 = 2;
}

/// Wire values of the worker state in a record.
mod record_state {
    pub(super) const READY: u8 = 0;
    pub(super) const DRAINING: u8 = 1;
    pub(super) const GONE: u8 = 2;
}

/// An error in decoding a frame. The connection cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum DecodeError {
    /// The length field is smaller than the header or exceeds [`MAX_FRAME_LENGTH`].
    #[error("length out of range")]
    LengthOutOfRange,
    /// The frame kind is not defined.
    #[error("unknown kind")]
    UnknownFrameKind,
    /// The frame ends within a record.
    #[error("a record is cut short")]
    TruncatedRecord,
    /// The worker state in a record is not defined.
    #[error("unknown state")]
    UnknownState,
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Frame {
    /// No event has been published since the one with this number; the connection works.
    Heartbeat {
        /// Number of the last event that the service has.
        last_offset: u64,
    },
    /// The endpoint list has changed.
    Event(WatchEvent),
}

/// A decoded frame and its length on the wire.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DecodedFrame {
    /// The content of the frame.
    pub(crate) frame: Frame,
    /// Length of the frame in bytes, including its length field.
    pub(crate) encoded_length: usize,
}

/// Decodes the frame at the start of `buffer`; returns `Ok(None)` if it is incomplete.
///
/// # Errors
///
/// Returns a [`DecodeError`] if no further bytes can complete the buffer to a valid frame.
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

/// Decodes the part of a frame after the length field.
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

/// Returns the `N` bytes of the field at `offset`.
fn bytes_at<const N: usize>(fields: &[u8], offset: usize) -> [u8; N] {
    std::array::from_fn(|index| fields[offset + index])
}
