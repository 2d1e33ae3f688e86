//! Tests of the wire codec.

use crate::discovery::codec::{DecodeError, DecodedFrame, Frame, MAX_FRAME_LENGTH, decode_frame};
use crate::discovery::event::{EndpointRecord, WatchEvent, started_at};
use crate::model::{
    CellId, Endpoint, EndpointSource, EndpointState, EndpointUpdateKind, KindId, Time, WorkerId, ZoneId,
};

const HEARTBEAT: u8 = 0;
const SNAPSHOT: u8 = 1;
const DELTA: u8 = 2;

fn encode_record(state: u8) -> Vec<u8> {
    let mut bytes = vec![0x00, 0xc4, 0x1f, 0x7a];
    bytes.extend([10, 1, 0, 9]);
    bytes.extend(10_080u16.to_be_bytes());
    bytes.extend([state, 2, 1]);
    bytes.extend(2u16.to_be_bytes());
    bytes.extend(4000u32.to_be_bytes());
    bytes.extend(5u64.to_be_bytes());
    bytes
}

fn encode_frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend((9 + payload.len() as u32).to_be_bytes());
    bytes.extend(41u64.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

#[test]
fn an_event_decodes_to_its_records() {
    let bytes = encode_frame(DELTA, &encode_record(1));
    let endpoint = Endpoint {
        worker: WorkerId(0x00c4_1f7a),
        zone: ZoneId(2),
        cell: CellId(2),
        state: EndpointState::Draining,
        source: EndpointSource::Discovery,
        weight: 4.0,
        started_at: Some(Time(5_000_000)),
        kind: KindId(1),
    };
    let record = EndpointRecord {
        endpoint,
        address: "10.1.0.9:10080".parse().unwrap(),
    };
    let event = WatchEvent {
        offset: 41,
        kind: EndpointUpdateKind::Delta,
        endpoints: vec![record],
    };
    let expected = DecodedFrame {
        frame: Frame::Event(event),
        encoded_length: bytes.len(),
    };
    assert_eq!(decode_frame(&bytes), Ok(Some(expected)));
}

#[test]
fn an_incomplete_frame_decodes_to_none() {
    let bytes = encode_frame(DELTA, &encode_record(1));
    for length in 0..bytes.len() {
        assert_eq!(decode_frame(&bytes[..length]), Ok(None), "{length}");
    }
}

#[test]
fn a_heartbeat_carries_the_number_of_the_last_event_and_no_other() {
    let expected = DecodedFrame {
        frame: Frame::Heartbeat { last_offset: 41 },
        encoded_length: 13,
    };
    assert_eq!(decode_frame(&encode_frame(HEARTBEAT, &[])), Ok(Some(expected)));
}

#[test]
fn a_frame_is_taken_from_the_start_of_a_longer_buffer() {
    let first = encode_frame(SNAPSHOT, &[]);
    let buffer = [first.clone(), encode_frame(DELTA, &encode_record(0))].concat();
    let decoded = decode_frame(&buffer).unwrap().unwrap();
    assert_eq!(decoded.encoded_length, first.len());
    let Frame::Event(event) = decoded.frame else {
        panic!("expected an event, decoded a heartbeat");
    };
    assert_eq!(event.kind, EndpointUpdateKind::Snapshot);
    assert!(event.endpoints.is_empty());
}

#[test]
fn malformed_frames_are_rejected_with_their_cause() {
    let too_long = (MAX_FRAME_LENGTH as u32 + 1).to_be_bytes().to_vec();
    let cases = [
        (
            encode_frame(3, &[]),
            DecodeError::UnknownFrameKind,
            "unknown kind",
        ),
        (
            encode_frame(SNAPSHOT, &encode_record(3)),
            DecodeError::UnknownState,
            "unknown state",
        ),
        (
            encode_frame(SNAPSHOT, &encode_record(0)[..26]),
            DecodeError::TruncatedRecord,
            "a record is cut short",
        ),
        (vec![0; 8], DecodeError::LengthOutOfRange, "length out of range"),
        (vec![255; 8], DecodeError::LengthOutOfRange, "length out of range"),
        (too_long, DecodeError::LengthOutOfRange, "length out of range"),
    ];
    for (bytes, error, text) in cases {
        assert_eq!(decode_frame(&bytes), Err(error), "{bytes:?}");
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn a_start_at_zero_means_long_ago() {
    assert_eq!(started_at(0), None);
    assert_eq!(started_at(5), Some(Time(5_000_000)));
    assert_eq!(started_at(u64::MAX), Some(Time(u64::MAX)));
}
