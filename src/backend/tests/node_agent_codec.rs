//! Tests of the wire format of node agents.

use super::{
    FUNCTION, FUNCTION_NAME, alive, assert_decoded, assert_encoded, decode_error, empty_request, parse,
    request_with_key, response,
};
use crate::backend::{Codec, DecodeErrorKind, NodeAgentCodec, ResponseMessage, WorkerMessage};
use crate::model::Time;
use crate::scheduler::{ReportedMetric, RequestPayload, WorkerResponse};
use serde_json::json;

fn metric(name: &str, value: f32) -> ReportedMetric {
    ReportedMetric {
        name: name.to_owned(),
        value,
    }
}

#[test]
fn valid_responses_are_decoded() {
    assert_decoded(
        &NodeAgentCodec,
        vec![
            (
                r#"{"verb":"200","rid":"a1","content":"aGk="}"#,
                response("a1", WorkerResponse::Ok(b"hi".into()), None),
            ),
            (
                r#"{"verb":200,"rid":"a1"}"#,
                response("a1", WorkerResponse::Ok(vec![]), None),
            ),
            (
                r#"{"verb":"200","rid":7,"attrs":{"replicas":"2"}}"#,
                response("7", WorkerResponse::Ok(vec![]), Some(2)),
            ),
            (
                r#"{"verb":"503","rid":"l","attrs":{"replicas":1}}"#,
                response("l", WorkerResponse::AtCapacity, Some(1)),
            ),
            (
                r#"{"verb":"404","rid":"a"}"#,
                response("a", WorkerResponse::Miss, None),
            ),
            (
                r#"{"verb":"500","rid":"a","attrs":null}"#,
                response("a", WorkerResponse::Error, None),
            ),
            (
                r#"{"verb":"504","rid":"a"}"#,
                response("a", WorkerResponse::Expired, None),
            ),
            (
                r#"{"verb":"alive","rid":"p","attrs":{"rep":"util:0.5"}}"#,
                alive("p"),
            ),
            (
                r#"{"verb":"dead","rid":"p"}"#,
                response("p", WorkerResponse::Error, None),
            ),
        ],
    );
}

#[test]
fn unusable_values_of_a_load_report_are_left_out() {
    let line = r#"{"verb":"200","rid":"a","attrs":{"rep":"inflight:7;util: 0.5;x1:NaN;x1;x1:-1;x1:"}}"#;
    let expected = WorkerMessage::Response(ResponseMessage {
        correlation_id: "a".into(),
        response: WorkerResponse::Ok(vec![]),
        instances: None,
        load_report: vec![metric("inflight", 7.0), metric("util", 0.5)],
    });
    assert_decoded(&NodeAgentCodec, vec![(line, Ok(expected))]);
}

#[test]
fn malformed_responses_are_decode_errors() {
    assert_decoded(
        &NodeAgentCodec,
        vec![
            (
                r#"{"verb":"200","rid":"a","content":"%"}"#,
                decode_error(Some("a"), DecodeErrorKind::ContentNotBase64),
            ),
            (
                r#"{"verb":"207","rid":"a"}"#,
                decode_error(Some("a"), DecodeErrorKind::UnknownVerb),
            ),
            (
                r#"{"verb":null,"rid":"a"}"#,
                decode_error(Some("a"), DecodeErrorKind::InvalidVerb),
            ),
            (
                r#"{"verb":"200"}"#,
                decode_error(None, DecodeErrorKind::MissingRid),
            ),
            (
                r#"{"verb":"200","rid":"a""#,
                decode_error(None, DecodeErrorKind::NotAResponse),
            ),
            ("[]", decode_error(None, DecodeErrorKind::NotAResponse)),
            ("", decode_error(None, DecodeErrorKind::NotAResponse)),
        ],
    );
}

#[test]
fn unusual_responses_are_decoded_unless_a_field_is_duplicated() {
    assert_decoded(
        &NodeAgentCodec,
        vec![
            (
                r#"{"verb":"200","rid":"a","attrs":7,"more":{}}"#,
                response("a", WorkerResponse::Ok(vec![]), None),
            ),
            (
                r#"{"verb":"200","rid":"a","content":null}"#,
                response("a", WorkerResponse::Ok(vec![]), None),
            ),
            (
                r#"{"verb":"404","rid":"a","content":"%"}"#,
                response("a", WorkerResponse::Miss, None),
            ),
            (
                r#"{"verb":"404","rid":"a","attrs":{"replicas":-1}}"#,
                response("a", WorkerResponse::Miss, None),
            ),
            (
                r#"["200","a",null,"aGk="]"#,
                response("a", WorkerResponse::Ok(b"hi".into()), None),
            ),
            (
                r#"{"verb":"200","verb":"200","rid":"a"}"#,
                decode_error(None, DecodeErrorKind::NotAResponse),
            ),
        ],
    );
}

#[test]
fn commands_without_a_body_are_encoded() {
    let cases = [
        (
            NodeAgentCodec.encode_cancel("a"),
            json!({"verb": "halt", "rid": "a"}),
        ),
        (
            NodeAgentCodec.encode_load("t", FUNCTION, 2),
            json!({"verb": "stage", "rid": "t", "attrs": {"name": FUNCTION_NAME, "replicas": 2}}),
        ),
        (
            NodeAgentCodec.encode_unload(FUNCTION),
            json!({"verb": "purge", "rid": FUNCTION_NAME}),
        ),
        (
            NodeAgentCodec.encode_health_check("p"),
            json!({"verb": "stat", "rid": "p"}),
        ),
    ];
    for (line, expected) in cases {
        assert_eq!(parse(&line), expected);
    }
}

#[test]
fn a_request_passes_on_its_fields_unchanged() {
    let payload = RequestPayload {
        correlation_id: "9b1f03aa5c7e2d41".into(),
        class: "credit-submit".into(),
        function: FUNCTION,
        key: Some("5c0f".into()),
        body: vec![0, 255],
    };
    let line = NodeAgentCodec.encode_request(&payload, Time(5), Time(1_500_000_006));
    let expected = json!({"verb": "go", "rid": "9b1f03aa5c7e2d41", "content": "AP8=",
        "attrs": {"lane": "credit-submit", "name": FUNCTION_NAME, "ttl": 1501, "dedupe": "5c0f"}});
    assert_eq!(line.last(), Some(&b'\n'));
    assert_eq!(parse(&line), expected);
}

#[test]
fn commands_are_encoded_byte_for_byte() {
    let cases = [
        (
            NodeAgentCodec.encode_request(&request_with_key(), Time(5), Time(1_000_006)),
            concat!(
                r#"{"attrs":{"dedupe":"k","lane":"a\"é/","name":"000000000000007f","ttl":2},"#,
                r#""content":"aGk=","rid":"9b1f","verb":"go"}"#,
            ),
        ),
        (
            NodeAgentCodec.encode_request(&empty_request(), Time(5), Time(5)),
            concat!(
                r#"{"attrs":{"lane":"c","name":"000000000000007f","ttl":1},"#,
                r#""content":"","rid":"9b1f","verb":"go"}"#,
            ),
        ),
        (NodeAgentCodec.encode_cancel("a"), r#"{"rid":"a","verb":"halt"}"#),
        (
            NodeAgentCodec.encode_load("t", FUNCTION, 2),
            r#"{"attrs":{"name":"000000000000007f","replicas":2},"rid":"t","verb":"stage"}"#,
        ),
        (
            NodeAgentCodec.encode_unload(FUNCTION),
            r#"{"rid":"000000000000007f","verb":"purge"}"#,
        ),
        (
            NodeAgentCodec.encode_health_check("p"),
            r#"{"rid":"p","verb":"stat"}"#,
        ),
    ];
    assert_encoded(cases);
}
