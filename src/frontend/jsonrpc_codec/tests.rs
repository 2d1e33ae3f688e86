use super::*;
use crate::model::Span;
use crate::scheduler::{Outcome, Response};
use serde_json::{Value, json};

/// Returns the error response to a line.
fn error_response(line: &str) -> Value {
    match decode_line(line.as_bytes()) {
        Message::Single(Request::Invalid { id, error }) => encode_error(&id, error),
        other => panic!("{line}: {other:?}"),
    }
}

/// Checks the error code and the id, as JSON text, of the response to a line.
fn assert_error(line: &str, expected: ErrorCode, id: &str) {
    let response = error_response(line);
    assert_eq!(
        response["error"]["code"].as_i64(),
        Some(expected as i64),
        "{line}"
    );
    assert_eq!(response["id"].to_string(), id, "{line}");
}

#[test]
fn invalid_lines_get_their_codes_and_ids() {
    let cases = [
        ("{".to_owned(), ErrorCode::ParseError, "null"),
        ("\u{0}".to_owned(), ErrorCode::ParseError, "null"),
        ("[]".to_owned(), ErrorCode::InvalidRequest, "null"),
        (
            format!("[{}1]", "1,".repeat(MAX_BATCH_LENGTH)),
            ErrorCode::InvalidRequest,
            "null",
        ),
        ("7".to_owned(), ErrorCode::InvalidRequest, "null"),
        (
            r#"{"id":"a","method":"call"}"#.to_owned(),
            ErrorCode::InvalidRequest,
            "\"a\"",
        ),
        (
            r#"{"jsonrpc":"2.0","id":"a"}"#.to_owned(),
            ErrorCode::InvalidRequest,
            "\"a\"",
        ),
        (
            r#"{"jsonrpc":"2.0","id":[],"method":"call"}"#.to_owned(),
            ErrorCode::InvalidRequest,
            "null",
        ),
        (
            r#"{"jsonrpc":"2.0","id":5,"method":"call","params":5}"#.to_owned(),
            ErrorCode::InvalidRequest,
            "5",
        ),
        (
            r#"{"jsonrpc":"2.0","id":1.5,"method":"sing"}"#.to_owned(),
            ErrorCode::MethodNotFound,
            "1.5",
        ),
        (
            r#"{"jsonrpc":"2.0","id":null,"method":"call"}"#.to_owned(),
            ErrorCode::InvalidParams,
            "null",
        ),
        (
            r#"{"jsonrpc":"2.0","id":2,"method":"cancel","params":{"id":1}}"#.to_owned(),
            ErrorCode::InvalidRequest,
            "2",
        ),
    ];
    for (line, expected, id) in cases {
        assert_error(&line, expected, id);
    }
}

#[test]
fn calls_with_invalid_params_get_their_code_and_id() {
    let call = r#"{"jsonrpc":"2.0","id":1,"method":"call","params":"#;
    let lines = [
        format!("{call}[1]}}"),
        format!(r#"{call}{{"class":"c","function":"7f","allow_ms":1}}}}"#),
        format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655"}}}}"#),
        format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655","allow_ms":-1}}}}"#),
        format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655","allow_ms":9,"body":"%"}}}}"#),
        format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655","allow_ms":9,"ref":"x"}}}}"#),
        format!(r#"{call}{{"class":"c","function":"7f3a9c21e0b4d655","allow_ms":9,"lanes":1e999}}}}"#),
    ];
    for line in lines {
        assert_error(&line, ErrorCode::InvalidParams, "1");
    }
}

#[test]
fn valid_lines_are_decoded() {
    let text = concat!(
        r#"{"jsonrpc":"2.0","id":"a","method":"call","params":{"class":"c","function":"7f3a9c21e0b4d655","#,
        r#""allow_ms":1500,"key":"k","lanes":2,"body":"aGk="}}"#
    );
    let Message::Single(Request::Call { id, params }) = decode_line(text.as_bytes()) else {
        panic!("a call")
    };
    assert_eq!(
        (id, params.timeout_millis, params.concurrency),
        (json!("a"), 1500, 2.0)
    );
    assert_eq!((params.key.as_deref(), &params.body[..]), (Some("k"), &b"hi"[..]));
    let cases = [
        (CANCEL_NOTIFICATION, Request::Cancel { call: json!(7) }),
        (r#"{"jsonrpc":"2.0","method":"cancel"}"#, Request::Ignored),
        (
            r#"{"jsonrpc":"2.0","method":"call","params":{}}"#,
            Request::Ignored,
        ),
        (r#"{"jsonrpc":"2.0","method":"sing"}"#, Request::Ignored),
        (
            r#"{"jsonrpc":"2.0","id":0,"method":"ready"}"#,
            Request::Ready { id: json!(0) },
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(decode_line(text.as_bytes()), Message::Single(expected), "{text}");
    }
    let batch = format!("[{},1]", CANCEL_NOTIFICATION);
    let Message::Batch(requests) = decode_line(batch.as_bytes()) else {
        panic!("a batch")
    };
    assert_eq!(
        (
            requests.len(),
            requests[0].has_response(),
            requests[1].has_response()
        ),
        (2, false, true)
    );
}

const CANCEL_NOTIFICATION: &str = r#"{"jsonrpc":"2.0","method":"cancel","params":{"id":7}}"#;

#[test]
fn responses_are_encoded() {
    let rejected = Outcome::Rejected {
        retry_after: Span::from_millis(250),
    };
    let cases = [
        (
            Outcome::Served(b"hi".to_vec()),
            false,
            json!({"result": {"body": "aGk="}}),
        ),
        (
            rejected.clone(),
            false,
            json!({"error": {"code": -32001, "message": "refused", "data": {"cooldown_ms": 250}}}),
        ),
        (
            rejected,
            true,
            json!({"error": {"code": -32003, "message": "deadline passed",
            "data": {"outcome": "refused", "cooldown_ms": 250}}}),
        ),
        (
            Outcome::Failed,
            false,
            json!({"error": {"code": -32002, "message": "failed"}}),
        ),
        (
            Outcome::Failed,
            true,
            json!({"error": {"code": -32003, "message": "deadline passed", "data": {"outcome": "failed"}}}),
        ),
    ];
    for (outcome, expired, mut expected) in cases {
        expected["jsonrpc"] = json!("2.0");
        expected["id"] = json!("7");
        assert_eq!(
            encode_response(&json!("7"), &Response { outcome, expired }),
            expected
        );
    }
}

/// The texts and codes of errors are sent to clients.
#[test]
fn errors_of_requests_keep_their_texts_and_codes() {
    let errors = [
        (RequestError::NotJson, -32700, "not JSON"),
        (RequestError::IncompleteLine, -32700, "incomplete line"),
        (RequestError::LineTooLong, -32600, "line too long"),
        (RequestError::EmptyBatch, -32600, "empty batch"),
        (RequestError::BatchTooLarge, -32600, "batch too large"),
        (RequestError::NotAnObject, -32600, "request is not an object"),
        (
            RequestError::InvalidId,
            -32600,
            "id is neither a string, a number nor null",
        ),
        (RequestError::UnknownVersion, -32600, "not JSON-RPC 2.0"),
        (
            RequestError::MissingMethod,
            -32600,
            "method is missing or not a string",
        ),
        (
            RequestError::InvalidParamsType,
            -32600,
            "params are neither an object nor an array",
        ),
        (
            RequestError::CancelWithId,
            -32600,
            "cancel must be a notification",
        ),
        (RequestError::IdInUse, -32600, "id is in use"),
        (RequestError::UnknownMethod, -32601, "no such method"),
    ];
    assert_texts_and_codes(&errors);
    assert_eq!(encode_cancelled(&json!(7))["error"]["code"], json!(-32004));
}

#[test]
fn errors_of_params_keep_their_texts_and_codes() {
    let errors = [
        (
            ParamsError::Positional.into(),
            -32602,
            "params must be passed by name",
        ),
        (ParamsError::Missing("class").into(), -32602, "class is missing"),
        (ParamsError::NotText("key").into(), -32602, "key is not a string"),
        (
            ParamsError::NotAnId("ref").into(),
            -32602,
            "ref is not 16 hex digits",
        ),
        (
            ParamsError::NotWholeNumber("allow_ms").into(),
            -32602,
            "allow_ms is missing or not a non-negative integer",
        ),
        (
            ParamsError::InvalidNumber("lanes").into(),
            -32602,
            "lanes is not a non-negative number",
        ),
        (ParamsError::BodyNotBase64.into(), -32602, "body is not base64"),
        (ParamsError::BodyTooLarge.into(), -32602, "body too large"),
    ];
    assert_texts_and_codes(&errors);
}

fn assert_texts_and_codes(errors: &[(RequestError, i64, &str)]) {
    for (error, code, text) in errors {
        let expected = json!({"jsonrpc": "2.0", "id": 7, "error": {"code": code, "message": text}});
        assert_eq!(encode_error(&json!(7), *error), expected);
    }
}
