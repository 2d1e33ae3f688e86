use super::*;
use crate::frontend::limits::MAX_BODY_BYTES;
use crate::model::{ConnectionId, FunctionId, Span, StreamId, Time};
use crate::scheduler::{Outcome, RequestOrigin};

const ORIGIN: RequestOrigin = RequestOrigin {
    connection: ConnectionId(1),
    stream: StreamId(1),
};

#[test]
fn frames_are_decoded_whole_or_not_at_all() {
    let cancel = encode_frame(FrameType::Cancel, 7, &[]);
    let request = encode_frame(FrameType::Request, 8, &[b"xyz"]);
    let both = [cancel, request].concat();
    for cut in 0..9 {
        assert_eq!(decode_frame(&both[..cut]), Ok(None), "{cut}");
    }
    let first = decode_frame(&both).unwrap().unwrap();
    let expected = Frame {
        frame_type: Some(FrameType::Cancel),
        stream: 7,
        payload: b"",
    };
    assert_eq!((&first, first.encoded_length()), (&expected, 9));
    let second = decode_frame(&both[9..]).unwrap().unwrap();
    let expected = Frame {
        frame_type: Some(FrameType::Request),
        stream: 8,
        payload: b"xyz",
    };
    assert_eq!((&second, second.encoded_length()), (&expected, 12));
    for length in [0u32, 4, 262_145, u32::MAX] {
        assert_eq!(
            decode_frame(&length.to_be_bytes()),
            Err(FrameError::LengthOutOfRange),
            "{length}"
        );
    }
    assert_eq!(decode_frame(&262_144u32.to_be_bytes()), Ok(None));
}

/// The fields of a valid request.
const VALID_FIELDS: [(&str, &str); 5] = [
    ("service", "call"),
    ("ref", "9b1f03aa5c7e2d41"),
    ("allow", "1500"),
    ("lookup", "7f3a9c21e0b4d655"),
    ("spec", "memory_mb:512;lanes:2;load_ms:640"),
];

#[test]
fn requests_are_decoded() {
    let call = decode_request(
        &[encode_fields(&VALID_FIELDS), b"body".to_vec()].concat(),
        ORIGIN,
        Time(0),
    )
    .unwrap()
    .parameters;
    assert_eq!(
        (call.memory_mb, call.concurrency, call.load_time),
        (512.0, 2.0, Some(Span::from_millis(640)))
    );
    assert_eq!(
        (call.deadline, call.body),
        (Time(1_495_000_000), b"body".to_vec())
    );
    assert_eq!(
        (call.function, call.key),
        (FunctionId(0x7f3a_9c21_e0b4_d655), None)
    );
}

#[test]
fn requests_without_usable_fields_are_invalid() {
    let cases = [
        ("service", None),
        ("ref", None),
        ("ref", Some("xyz")),
        ("ref", Some("9b1f03aa5c7e2d4g")),
        ("allow", None),
        ("allow", Some("-1")),
        ("allow", Some("soon")),
        ("allow", Some("+5")),
        ("allow", Some("99999999999999999999999")),
        ("lookup", None),
        ("lookup", Some("+f3a9c21e0b4d655")),
        ("lookup", Some("7f3a9c21e0b4d6551")),
        ("spec", Some("lanes")),
        ("spec", Some("lanes:NaN")),
        ("spec", Some("memory_mb:-1")),
    ];
    for (name, value) in cases {
        let list: Vec<_> = VALID_FIELDS
            .iter()
            .copied()
            .filter(|(n, _)| *n != name)
            .chain(value.map(|v| (name, v)))
            .collect();
        let got = decode_request(&encode_fields(&list), ORIGIN, Time(0));
        assert!(
            matches!(got, Err(RequestError::Invalid(_))),
            "{name} {value:?}: {got:?}"
        );
    }
}

#[test]
fn requests_with_duplicate_fields_or_too_large_a_body_are_invalid() {
    let twice: Vec<_> = VALID_FIELDS.iter().copied().chain([("allow", "9")]).collect();
    let got = decode_request(&encode_fields(&twice), ORIGIN, Time(0)).unwrap_err();
    assert_eq!(got, RequestError::Invalid(InvalidRequest::DuplicateField));
    let large = [encode_fields(&VALID_FIELDS), vec![0; MAX_BODY_BYTES + 1]].concat();
    assert_eq!(
        decode_request(&large, ORIGIN, Time(0)).unwrap_err(),
        RequestError::Invalid(InvalidRequest::BodyTooLarge)
    );
}

#[test]
fn requests_with_truncated_or_binary_fields_are_malformed() {
    let fields = encode_fields(&VALID_FIELDS);
    for cut in 0..fields.len() {
        let got = decode_request(&fields[..cut], ORIGIN, Time(0));
        assert_eq!(
            got.unwrap_err(),
            RequestError::Malformed(FrameError::TruncatedFields),
            "{cut}"
        );
    }
    let got = decode_request(&[1, 1, 0xff, 0, 0], ORIGIN, Time(0));
    assert_eq!(
        got.unwrap_err(),
        RequestError::Malformed(FrameError::FieldNotText)
    );
}

#[test]
fn responses_are_encoded() {
    let cases: Vec<(Outcome, Vec<u8>)> = vec![
        (Outcome::Served(b"ok".to_vec()), vec![79, 0, b'o', b'k']),
        (Outcome::Rejected { retry_after: Span(0) }, vec![66, 0]),
        (
            Outcome::Rejected {
                retry_after: Span(1_000_001),
            },
            [&[66][..], &encode_fields(&[("cooldown", "2")])].concat(),
        ),
        (Outcome::Failed, vec![69, 0]),
    ];
    for (outcome, payload) in cases {
        let bytes = encode_response(5, &outcome);
        let expected = Frame {
            frame_type: Some(FrameType::Response),
            stream: 5,
            payload: &payload,
        };
        let frame = decode_frame(&bytes).unwrap().unwrap();
        assert_eq!(frame, expected, "{outcome:?}");
        assert_eq!(frame.encoded_length(), bytes.len());
    }
}

#[test]
fn frame_types_have_fixed_wire_numbers() {
    let types = [
        (FrameType::Request, 0),
        (FrameType::Response, 1),
        (FrameType::Cancel, 2),
        (FrameType::ReadinessRequest, 6),
        (FrameType::ReadinessResponse, 7),
        (FrameType::GoAway, 9),
    ];
    for (frame_type, number) in types {
        assert_eq!(frame_type.to_wire(), number);
        assert_eq!(FrameType::from_wire(number), Some(frame_type));
    }
    for number in [3, 4, 5, 8, 10, 255] {
        assert_eq!(FrameType::from_wire(number), None, "{number}");
    }
}
