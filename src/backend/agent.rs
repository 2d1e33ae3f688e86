//! The node agents' wire: JSON objects, one a line, bodies in base64.

use super::{Codec, DecodeError, WorkerMessage};
use crate::model::{FunctionId, Time};
use crate::scheduler::{RequestPayload, WorkerResponse};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

/// See the module's page.
pub struct AgentCodec;

#[derive(Deserialize)]
struct Line {
    verb: Value,
    #[serde(default)]
    rid: Value,
    #[serde(default)]
    attrs: Value,
    #[serde(default)]
    content: Option<String>,
}

fn line(object: &Value) -> Vec<u8> {
    let mut bytes = object.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

/// Fields may be numbers or strings.
fn word(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

/// A load report, as in `inflight:7;util:0.61`. What cannot be read of it is left out: the answer counts.
fn read_load(text: &str) -> Vec<(String, f32)> {
    let pairs = text.split(';').filter_map(|pair| pair.split_once(':'));
    let read = pairs.filter_map(|(name, value)| Some((name.trim().to_owned(), value.trim().parse().ok()?)));
    read.filter(|(_, value): &(String, f32)| value.is_finite() && *value >= 0.0).collect()
}

impl Codec for AgentCodec {
    fn go(&self, work: &RequestPayload, now: Time, deadline: Time) -> Vec<u8> {
        let ttl = super::left_ms(now, deadline);
        let name = format!("{:016x}", work.function.0);
        let mut attrs = json!({"lane": work.class, "name": name, "ttl": ttl});
        if let Some(key) = &work.key {
            attrs["dedupe"] = json!(key);
        }
        let content = STANDARD.encode(&work.body);
        line(&json!({"verb": "go", "rid": work.correlation_id, "attrs": attrs, "content": content}))
    }

    fn halt(&self, correlation_id: &str) -> Vec<u8> {
        line(&json!({"verb": "halt", "rid": correlation_id}))
    }

    fn stage(&self, correlation_id: &str, function: FunctionId, copies: u8) -> Vec<u8> {
        let name = format!("{:016x}", function.0);
        line(&json!({"verb": "stage", "rid": correlation_id, "attrs": {"name": name, "replicas": copies}}))
    }

    fn purge(&self, function: FunctionId) -> Vec<u8> {
        line(&json!({"verb": "purge", "rid": format!("{:016x}", function.0)}))
    }

    fn probe(&self, correlation_id: &str) -> Vec<u8> {
        line(&json!({"verb": "stat", "rid": correlation_id}))
    }

    fn read(&self, line: &[u8]) -> Result<WorkerMessage, DecodeError> {
        let parsed: Line = serde_json::from_slice(line)
            .map_err(|_| DecodeError { correlation_id: None, cause: "not a JSON answer" })?;
        let Some(correlation_id) = word(&parsed.rid) else {
            return Err(DecodeError { correlation_id: None, cause: "no rid" });
        };
        let bad = |cause| DecodeError { correlation_id: Some(correlation_id.clone()), cause };
        let verb = word(&parsed.verb).ok_or_else(|| bad("no verb"))?;
        let reply = match verb.as_str() {
            "200" => {
                let content = parsed.content.unwrap_or_default();
                WorkerResponse::Ok(STANDARD.decode(content).map_err(|_| bad("content is not base64"))?)
            }
            "404" => WorkerResponse::Miss,
            "503" => WorkerResponse::Full,
            "500" => WorkerResponse::Error,
            "504" => WorkerResponse::Expired,
            "alive" => return Ok(WorkerMessage::Alive { correlation_id }),
            // It answers, but its process takes no work.
            "dead" => WorkerResponse::Error,
            _ => return Err(bad("unknown verb")),
        };
        let copies = parsed.attrs.get("replicas").and_then(word).and_then(|text| text.parse().ok());
        let load = parsed.attrs.get("rep").and_then(Value::as_str).map(read_load).unwrap_or_default();
        Ok(WorkerMessage::Response { correlation_id, response: reply, instances: copies, load_report: load })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_read() {
        let loaded = |correlation_id: &str, reply, copies, load| {
            Ok(WorkerMessage::Response {
                correlation_id: correlation_id.into(),
                response: reply,
                instances: copies,
                load_report: load,
            })
        };
        let answer = |correlation_id: &str, reply, copies| loaded(correlation_id, reply, copies, vec![]);
        let bad = |correlation_id: Option<&str>, cause| {
            Err(DecodeError { correlation_id: correlation_id.map(str::to_owned), cause })
        };
        let cases: Vec<(&str, Result<WorkerMessage, DecodeError>)> = vec![
            (
                r#"{"verb":"200","rid":"a1","content":"aGk="}"#,
                answer("a1", WorkerResponse::Ok(b"hi".into()), None),
            ),
            (r#"{"verb":200,"rid":"a1"}"#, answer("a1", WorkerResponse::Ok(vec![]), None)),
            (
                r#"{"verb":"200","rid":7,"attrs":{"replicas":"2"}}"#,
                answer("7", WorkerResponse::Ok(vec![]), Some(2)),
            ),
            (
                r#"{"verb":"200","rid":"a","attrs":{"rep":"inflight:7;util: 0.5;x1:NaN;x1;x1:-1;x1:"}}"#,
                loaded(
                    "a",
                    WorkerResponse::Ok(vec![]),
                    None,
                    vec![("inflight".into(), 7.0), ("util".into(), 0.5)],
                ),
            ),
            (
                r#"{"verb":"503","rid":"l","attrs":{"replicas":1}}"#,
                answer("l", WorkerResponse::Full, Some(1)),
            ),
            (r#"{"verb":"404","rid":"a"}"#, answer("a", WorkerResponse::Miss, None)),
            (r#"{"verb":"500","rid":"a","attrs":null}"#, answer("a", WorkerResponse::Error, None)),
            (r#"{"verb":"504","rid":"a"}"#, answer("a", WorkerResponse::Expired, None)),
            (
                r#"{"verb":"alive","rid":"p","attrs":{"rep":"util:0.5"}}"#,
                Ok(WorkerMessage::Alive { correlation_id: "p".into() }),
            ),
            (r#"{"verb":"dead","rid":"p"}"#, answer("p", WorkerResponse::Error, None)),
            (r#"{"verb":"200","rid":"a","content":"%"}"#, bad(Some("a"), "content is not base64")),
            (r#"{"verb":"207","rid":"a"}"#, bad(Some("a"), "unknown verb")),
            (r#"{"verb":null,"rid":"a"}"#, bad(Some("a"), "no verb")),
            (r#"{"verb":"200"}"#, bad(None, "no rid")),
            (r#"{"verb":"200","rid":"a""#, bad(None, "not a JSON answer")),
            ("[]", bad(None, "not a JSON answer")),
            ("", bad(None, "not a JSON answer")),
        ];
        for (text, expected) in cases {
            assert_eq!(AgentCodec.read(text.as_bytes()), expected, "{text}");
        }
    }

    #[test]
    fn the_other_commands_are_worded() {
        let cases = [
            (AgentCodec.halt("a"), json!({"verb": "halt", "rid": "a"})),
            (
                AgentCodec.stage("t", FunctionId(0x7f), 2),
                json!({"verb": "stage", "rid": "t", "attrs": {"name": "000000000000007f", "replicas": 2}}),
            ),
            (AgentCodec.purge(FunctionId(0x7f)), json!({"verb": "purge", "rid": "000000000000007f"})),
            (AgentCodec.probe("p"), json!({"verb": "stat", "rid": "p"})),
        ];
        for (line, expected) in cases {
            assert_eq!(serde_json::from_slice::<Value>(&line).unwrap(), expected);
        }
    }

    #[test]
    fn a_call_passes_on_its_fields_unchanged() {
        let work = RequestPayload {
            correlation_id: "9b1f03aa5c7e2d41".into(),
            class: "credit-submit".into(),
            function: FunctionId(0x7f),
            key: Some("5c0f".into()),
            body: vec![0, 255],
        };
        let line = AgentCodec.go(&work, Time(5), Time(1_500_000_006));
        let expected = json!({"verb": "go", "rid": "9b1f03aa5c7e2d41", "content": "AP8=",
            "attrs": {"lane": "credit-submit", "name": "000000000000007f", "ttl": 1501, "dedupe": "5c0f"}});
        assert_eq!(line.last(), Some(&b'\n'));
        assert_eq!(serde_json::from_slice::<Value>(&line).unwrap(), expected);
    }
}
