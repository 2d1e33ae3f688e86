//! The wire format of node agents: one JSON object per line, with bodies in base64.
//!
//! The page PROTOCOL defines the keys and verbs. Keys are encoded in alphabetical order.

use super::codec::{
    Codec, DecodeError, DecodeErrorKind, ResponseMessage, WorkerMessage, function_name, json_line,
    remaining_milliseconds,
};
use crate::model::{FunctionId, Time};
use crate::scheduler::{ReportedMetric, RequestPayload, WorkerResponse};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The codec for node agents.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeAgentCodec;

/// A command to a node agent.
#[derive(Serialize)]
struct AgentCommand<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    attrs: Option<Attributes<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
    rid: &'a str,
    verb: CommandVerb,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum CommandVerb {
    /// Execute a request.
    Go,
    /// Cancel a request.
    Halt,
    /// Load instances.
    Stage,
    /// Unload idle instances.
    Purge,
    /// Check the health of the node agent and its process.
    Stat,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Attributes<'a> {
    Request(RequestAttributes<'a>),
    Load(LoadAttributes),
}

#[derive(Serialize)]
struct RequestAttributes<'a> {
    /// Idempotency key.
    #[serde(skip_serializing_if = "Option::is_none")]
    dedupe: Option<&'a str>,
    /// Request class.
    lane: &'a str,
    /// Name of the function.
    name: String,
    /// Time until the deadline, in milliseconds.
    ttl: u64,
}

#[derive(Serialize)]
struct LoadAttributes {
    /// Name of the function.
    name: String,
    /// Minimum number of loaded instances that the node agent is to have.
    replicas: u8,
}

/// Encodes a command that consists only of a verb and a `rid`. The `rid` is a correlation id or, for
/// [`CommandVerb::Purge`], the name of a function.
fn command_without_attributes(verb: CommandVerb, rid: &str) -> Vec<u8> {
    json_line(&AgentCommand {
        attrs: None,
        content: None,
        rid,
        verb,
    })
}

/// A response from a node agent. Most fields are interpreted only after parsing, because they may be numbers
/// or strings, and unknown or invalid attributes are ignored.
#[derive(Deserialize)]
struct AgentResponse {
    verb: Value,
    #[serde(default)]
    rid: Value,
    #[serde(default)]
    attrs: Value,
    #[serde(default)]
    content: Option<String>,
}

enum ResponseVerb {
    Ok,
    Miss,
    Full,
    Error,
    Expired,
    Alive,
    /// The node agent responds, but its worker process accepts no requests.
    Dead,
}

impl ResponseVerb {
    fn from_wire(word: &str) -> Option<ResponseVerb> {
        match word {
            "200" => Some(ResponseVerb::Ok),
            "404" => Some(ResponseVerb::Miss),
            "503" => Some(ResponseVerb::Full),
            "500" => Some(ResponseVerb::Error),
            "504" => Some(ResponseVerb::Expired),
            "alive" => Some(ResponseVerb::Alive),
            "dead" => Some(ResponseVerb::Dead),
            _ => None,
        }
    }
}

/// Key of the number of loaded instances in the attributes of a response.
const INSTANCES_KEY: &str = "replicas";
/// Key of the load report in the attributes of a response.
const LOAD_REPORT_KEY: &str = "rep";

impl Codec for NodeAgentCodec {
    fn encode_request(&self, payload: &RequestPayload, now: Time, deadline: Time) -> Vec<u8> {
        let attributes = RequestAttributes {
            dedupe: payload.key.as_deref(),
            lane: &payload.class,
            name: function_name(payload.function),
            ttl: remaining_milliseconds(now, deadline),
        };
        json_line(&AgentCommand {
            attrs: Some(Attributes::Request(attributes)),
            content: Some(STANDARD.encode(&payload.body)),
            rid: &payload.correlation_id,
            verb: CommandVerb::Go,
        })
    }

    fn encode_cancel(&self, correlation_id: &str) -> Vec<u8> {
        command_without_attributes(CommandVerb::Halt, correlation_id)
    }

    fn encode_load(&self, correlation_id: &str, function: FunctionId, instances: u8) -> Vec<u8> {
        let attributes = LoadAttributes {
            name: function_name(function),
            replicas: instances,
        };
        json_line(&AgentCommand {
            attrs: Some(Attributes::Load(attributes)),
            content: None,
            rid: correlation_id,
            verb: CommandVerb::Stage,
        })
    }

    fn encode_unload(&self, function: FunctionId) -> Vec<u8> {
        command_without_attributes(CommandVerb::Purge, &function_name(function))
    }

    fn encode_health_check(&self, correlation_id: &str) -> Vec<u8> {
        command_without_attributes(CommandVerb::Stat, correlation_id)
    }

    fn decode(&self, line: &[u8]) -> Result<WorkerMessage, DecodeError> {
        let response: AgentResponse = serde_json::from_slice(line)
            .map_err(|_| DecodeError::without_correlation_id(DecodeErrorKind::NotAResponse))?;
        let correlation_id = text_or_number(&response.rid)
            .ok_or_else(|| DecodeError::without_correlation_id(DecodeErrorKind::MissingRid))?;
        interpret(&response, &correlation_id)
            .map_err(|kind| DecodeError::in_response_to(&correlation_id, kind))
    }
}

fn interpret(response: &AgentResponse, correlation_id: &str) -> Result<WorkerMessage, DecodeErrorKind> {
    let verb = text_or_number(&response.verb).ok_or(DecodeErrorKind::InvalidVerb)?;
    let verb = ResponseVerb::from_wire(&verb).ok_or(DecodeErrorKind::UnknownVerb)?;
    let correlation_id = correlation_id.to_owned();
    let worker_response = match verb {
        ResponseVerb::Ok => WorkerResponse::Ok(decode_content(response)?),
        ResponseVerb::Miss => WorkerResponse::Miss,
        ResponseVerb::Full => WorkerResponse::AtCapacity,
        ResponseVerb::Error | ResponseVerb::Dead => WorkerResponse::Error,
        ResponseVerb::Expired => WorkerResponse::Expired,
        ResponseVerb::Alive => return Ok(WorkerMessage::Alive { correlation_id }),
    };
    Ok(WorkerMessage::Response(ResponseMessage {
        correlation_id,
        response: worker_response,
        instances: loaded_instances(&response.attrs),
        load_report: load_report(&response.attrs),
    }))
}

/// Decodes the body of a response, which is empty if the response has no content.
fn decode_content(response: &AgentResponse) -> Result<Vec<u8>, DecodeErrorKind> {
    let content = response.content.as_deref().unwrap_or_default();
    STANDARD
        .decode(content)
        .map_err(|_| DecodeErrorKind::ContentNotBase64)
}

fn loaded_instances(attributes: &Value) -> Option<u32> {
    let text = text_or_number(attributes.get(INSTANCES_KEY)?)?;
    text.parse().ok()
}

/// Returns the metrics of a load report such as `inflight:7;util:0.61`. Metrics that cannot be parsed are
/// left out, so that a malformed load report does not invalidate the whole response.
fn load_report(attributes: &Value) -> Vec<ReportedMetric> {
    let report = attributes
        .get(LOAD_REPORT_KEY)
        .and_then(Value::as_str)
        .unwrap_or_default();
    report.split(';').filter_map(reported_metric).collect()
}

fn reported_metric(pair: &str) -> Option<ReportedMetric> {
    let (name, value) = pair.split_once(':')?;
    Some(ReportedMetric {
        name: name.trim().to_owned(),
        value: load_value(value)?,
    })
}

fn load_value(text: &str) -> Option<f32> {
    let value: f32 = text.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// Returns the text of a field that may be a string or a number.
fn text_or_number(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}
