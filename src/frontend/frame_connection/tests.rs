use super::ProtocolError;
use super::admission::Admission;
use super::frame_reader::{FrameReader, InputFrame, MAX_ACCEPTED_FRAME_LENGTH};
use crate::frontend::frame_codec::{FrameError, FrameType, encode_frame};
use crate::net::PartialMessage;

/// The error texts must not change, as operators search the log for them.
#[test]
fn errors_keep_their_texts() {
    let texts = [
        (
            ProtocolError::Frame(FrameError::LengthOutOfRange),
            "length out of range",
        ),
        (
            ProtocolError::Frame(FrameError::TruncatedFields),
            "fields cut short",
        ),
        (
            ProtocolError::Frame(FrameError::FieldNotText),
            "a field is not text",
        ),
        (ProtocolError::StreamReused, "stream is not new"),
        (ProtocolError::UnexpectedType, "unknown type"),
        (ProtocolError::OversizedFrame, "a long frame that is no request"),
        (ProtocolError::FrameTimedOut, "a frame without an end"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn only_a_served_connection_admits_requests() {
    let mut admission = Admission::serving();
    assert!(!admission.has_received_frame());
    admission.record_frame();
    assert!(admission.admits_request());
    assert!(admission.has_received_frame());
}

#[test]
fn a_shedding_connection_ends_with_its_first_request_and_not_before() {
    let mut admission = Admission::shedding();
    admission.record_frame();
    assert_ne!(admission, Admission::Shed);
    assert!(!admission.admits_request());
    assert_eq!(admission, Admission::Shed);
    assert!(!admission.admits_request());
    assert!(admission.has_received_frame());
}

#[test]
fn a_reader_gives_complete_frames_and_leaves_the_rest() {
    let mut input = encode_frame(FrameType::Cancel, 7, &[b"ab"]);
    let frame_length = input.len();
    input.extend_from_slice(&encode_frame(FrameType::Cancel, 8, &[])[..5]);
    let mut reader = FrameReader::new(&input, 0);
    let Ok(Some(InputFrame::Complete(frame))) = reader.next_frame() else {
        panic!("no complete frame");
    };
    assert_eq!((frame.stream, frame.payload), (7, b"ab".as_slice()));
    assert!(matches!(reader.next_frame(), Ok(None)));
    let progress = reader.finish();
    assert_eq!((progress.consumed, progress.bytes_to_skip), (frame_length, 0));
    assert_eq!(progress.partial_frame, PartialMessage::Begun);
}

#[test]
fn an_oversized_frame_is_skipped_over_several_reads() {
    let oversized = encode_frame(FrameType::Request, 7, &[&vec![0; MAX_ACCEPTED_FRAME_LENGTH]]);
    let (first, rest) = oversized.split_at(20);
    let mut reader = FrameReader::new(first, 0);
    let Ok(Some(InputFrame::Oversized(header))) = reader.next_frame() else {
        panic!("no oversized frame");
    };
    reader.skip(&header);
    assert!(matches!(reader.next_frame(), Ok(None)));
    let progress = reader.finish();
    assert_eq!((progress.consumed, progress.bytes_to_skip), (20, rest.len()));
    assert_eq!(progress.partial_frame, PartialMessage::Begun);
    let progress = FrameReader::new(&rest[..30], progress.bytes_to_skip).finish();
    assert_eq!((progress.consumed, progress.bytes_to_skip), (30, rest.len() - 30));
    assert_eq!(progress.partial_frame, PartialMessage::Continued);
    let progress = FrameReader::new(&rest[30..], progress.bytes_to_skip).finish();
    assert_eq!((progress.consumed, progress.bytes_to_skip), (rest.len() - 30, 0));
    assert_eq!(progress.partial_frame, PartialMessage::None);
}
