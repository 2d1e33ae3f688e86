use super::batches::{BatchId, Batches};
use super::line_reader::LineReader;
use crate::frontend::jsonrpc_codec::RequestError;
use crate::net::PartialMessage;
use serde_json::json;

const BATCH: BatchId = BatchId(1);

#[test]
fn a_reader_gives_complete_lines_and_leaves_the_rest() {
    let mut reader = LineReader::new(4);
    let mut input = b"ab\nlonger\ncd".to_vec();
    assert_eq!(reader.next_line(&mut input), Some(Ok(b"ab".to_vec())));
    assert_eq!(reader.next_line(&mut input), Some(Err(RequestError::LineTooLong)));
    assert_eq!(reader.next_line(&mut input), None);
    assert_eq!(input, b"cd");
    assert_eq!(reader.partial_line(&input), PartialMessage::Begun);
    assert_eq!(reader.partial_line(&input), PartialMessage::Continued);
    assert_eq!(reader.partial_line(b""), PartialMessage::None);
}

#[test]
fn a_long_line_is_reported_once_and_skipped_to_its_end() {
    let mut reader = LineReader::new(4);
    let mut input = b"longer".to_vec();
    assert_eq!(
        reader.discard_overlong_line(&mut input),
        Err(RequestError::LineTooLong)
    );
    assert!(input.is_empty());
    assert_eq!(reader.partial_line(&input), PartialMessage::Begun);
    input.extend_from_slice(b"still more");
    assert_eq!(reader.discard_overlong_line(&mut input), Ok(()));
    input.extend_from_slice(b"end\nab\n");
    assert_eq!(reader.next_line(&mut input), Some(Ok(b"ab".to_vec())));
}

/// Guards against a client that holds its connection by sending a line that never ends: each skipped part began
/// the deadline of the line anew.
#[test]
fn a_line_that_is_skipped_in_parts_has_one_deadline() {
    let mut reader = LineReader::new(4);
    let mut input = b"lon".to_vec();
    assert_eq!(reader.partial_line(&input), PartialMessage::Begun);
    for part in [b"ger line", b"and more", b"and more"] {
        input.extend_from_slice(part);
        let _ = reader.discard_overlong_line(&mut input);
        assert_eq!(reader.partial_line(&input), PartialMessage::Continued);
    }
    input.extend_from_slice(b"end\nnext line");
    assert_eq!(reader.next_line(&mut input), None);
    let _ = reader.discard_overlong_line(&mut input);
    assert_eq!(
        reader.partial_line(&input),
        PartialMessage::Begun,
        "the next line"
    );
}

#[test]
fn a_batch_is_answered_once_its_last_response_has_come() {
    let mut batches = Batches::default();
    batches.begin(BATCH, 2);
    assert_eq!(batches.add_response(BATCH, json!(1)), None);
    assert_eq!(batches.mark_requests_handled(BATCH), None);
    assert_eq!(batches.add_response(BATCH, json!(2)), Some(json!([1, 2])));
    assert_eq!(batches.add_response(BATCH, json!(3)), None, "complete before");
}

#[test]
fn a_batch_is_not_complete_before_all_its_requests_are_handled() {
    let mut batches = Batches::default();
    batches.begin(BATCH, 1);
    assert_eq!(batches.add_response(BATCH, json!(1)), None);
    assert_eq!(batches.mark_requests_handled(BATCH), Some(json!([1])));
    batches.begin(BATCH, 0);
    assert_eq!(batches.mark_requests_handled(BATCH), None, "no responses");
}
