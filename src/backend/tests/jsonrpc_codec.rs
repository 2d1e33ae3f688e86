//! Tests of the wire format of JSON-RPC workers.

use super::{
    FUNCTION, FUNCTION_NAME, alive, assert_decoded, assert_encoded, decode_error, empty_request, parse,
    request_with_key, response,
};
use crate::backend::{Codec, DecodeErrorKind, JsonRpcCodec};
use crate::model::Time;
use crate::scheduler::{RequestPayload, WorkerResponse};
use serde_json::json;

#[test]
fn commands_are_encoded() {
    let payload = RequestPayload {
        correlation_id: "9b1f".to_owned(),
        class: "c".to_owned(),
        function: FUNCTION,
        key: Some("k".to_owned()),
        body: b"hi".to_vec(),
    };
    let call = json!({"class": "c", "function": FUNCTION_NAME, "ttl_ms": 2, "body": "aGk=", "key": "k"});
    let cases = [
        (
            JsonRpcCodec.encode_request(&payload, Time(5), Time(1_000_006)),
            json!({"id": "9b1f", "method": "call", "params": call}),
        ),
        (
            JsonRpcCodec.encode_cancel("9b1f"),
            json!({"method": "cancel", "params": {"id": "9b1f"}}),
        ),
        (
            JsonRpcCodec.encode_load("t", FUNCTION, 2),
            json!({"id": "t", "method": "load", "params": {"function": FUNCTION_NAME, "copies": 2}}),
        ),
        (
            JsonRpcCodec.encode_unload(FUNCTION),
            json!({"method": "unload", "params": {"function": FUNCTION_NAME}}),
        ),
        (
            JsonRpcCodec.encode_health_check("p"),
            json!({"id": "p", "method": "probe", "params": {}}),
        ),
    ];
    for (line, mut expected) in cases {
        expected["jsonrpc"] = json!("2.0");
        assert_eq!(parse(&line), expected);
    }
}

#[test]
fn commands_are_encoded_byte_for_byte() {
    let cases = [
        (
            JsonRpcCodec.encode_request(&request_with_key(), Time(5), Time(1_000_006)),
            concat!(
                r#"{"id":"9b1f","jsonrpc":"2.0","method":"call","params":{"body":"aGk=","class":"a\"é/","#,
                r#""function":"000000000000007f","key":"k","ttl_ms":2}}"#,
            ),
        ),
        (
            JsonRpcCodec.encode_request(&empty_request(), Time(5), Time(5)),
            concat!(
                r#"{"id":"9b1f","jsonrpc":"2.0","method":"call","params":{"body":"","class":"c","#,
                r#""function":"000000000000007f","ttl_ms":1}}"#,
            ),
        ),
        (
            JsonRpcCodec.encode_cancel("a"),
            r#"{"jsonrpc":"2.0","method":"cancel","params":{"id":"a"}}"#,
        ),
        (
            JsonRpcCodec.encode_load("t", FUNCTION, 2),
            concat!(
                r#"{"id":"t","jsonrpc":"2.0","method":"load","#,
                r#""params":{"copies":2,"function":"000000000000007f"}}"#,
            ),
        ),
        (
            JsonRpcCodec.encode_unload(FUNCTION),
            r#"{"jsonrpc":"2.0","method":"unload","params":{"function":"000000000000007f"}}"#,
        ),
        (
            JsonRpcCodec.encode_health_check("p"),
            r#"{"id":"p","jsonrpc":"2.0","method":"probe","params":{}}"#,
        ),
    ];
    assert_encoded(cases);
}

#[test]
fn valid_responses_are_decoded() {
    assert_decoded(
        &JsonRpcCodec,
        vec![
            (
                r#"{"jsonrpc":"2.0","id":"a","result":{"body":"aGk="}}"#,
                response("a", WorkerResponse::Ok(b"hi".into()), None),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a","result":{"copies":2}}"#,
                response("a", WorkerResponse::Ok(vec![]), Some(2)),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a","result":{"load":{"util":0.5}}}"#,
                alive("a"),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a","error":{"code":-32010}}"#,
                response("a", WorkerResponse::Miss, None),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a","error":{"code":-32011,"data":{"copies":1}}}"#,
                response("a", WorkerResponse::AtCapacity, Some(1)),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a","error":{"code":-32012}}"#,
                response("a", WorkerResponse::Expired, None),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a","error":{"code":-32601}}"#,
                response("a", WorkerResponse::Error, None),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"b","id":"a","result":{"body":"","more":1}}"#,
                response("a", WorkerResponse::Ok(vec![]), None),
            ),
        ],
    );
}

#[test]
fn malformed_responses_are_decode_errors() {
    assert_decoded(
        &JsonRpcCodec,
        vec![
            (
                r#"{"jsonrpc":"2.0","id":"a","error":{}}"#,
                decode_error(Some("a"), DecodeErrorKind::MissingErrorCode),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a","result":{}}"#,
                decode_error(Some("a"), DecodeErrorKind::MissingBody),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a","result":{"body":"%"}}"#,
                decode_error(Some("a"), DecodeErrorKind::BodyNotBase64),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a"}"#,
                decode_error(Some("a"), DecodeErrorKind::NoResultOrError),
            ),
            (
                r#"{"jsonrpc":"2.0","id":"a","result":null,"error":{"code":-32010}}"#,
                decode_error(Some("a"), DecodeErrorKind::NoResultOrError),
            ),
            (
                r#"{"id":"a","result":{"body":""}}"#,
                decode_error(Some("a"), DecodeErrorKind::WrongVersion),
            ),
            (
                r#"{"jsonrpc":"2.0","id":1,"result":{"body":""}}"#,
                decode_error(None, DecodeErrorKind::InvalidId),
            ),
            ("[1]", decode_error(None, DecodeErrorKind::NotAnObject)),
            ("{", decode_error(None, DecodeErrorKind::NotJson)),
        ],
    );
}
