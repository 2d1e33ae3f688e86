//! The commands that a stand-in worker receives and the responses that it sends, in the node agent protocol
//! and in JSON-RPC.

use serde_json::{Value, json};
use socket2::Socket;
use std::io::Write;
use std::net::Shutdown;

/// The kind of a command, in either protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CommandKind {
    Run,
    Cancel,
    Load,
    Unload,
    HealthCheck,
}

/// The status of a worker's response to a request or a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerStatus {
    Ok,
    Miss,
    AtCapacity,
    Error,
}

impl WorkerStatus {
    fn agent_verb(self) -> &'static str {
        match self {
            WorkerStatus::Ok => "200",
            WorkerStatus::Miss => "404",
            WorkerStatus::AtCapacity => "503",
            WorkerStatus::Error => "500",
        }
    }

    /// Returns the JSON-RPC error code, or `None` for success.
    fn jsonrpc_code(self) -> Option<i32> {
        match self {
            WorkerStatus::Ok => None,
            WorkerStatus::Miss => Some(-32010),
            WorkerStatus::AtCapacity => Some(-32011),
            WorkerStatus::Error => Some(-32000),
        }
    }
}

/// The response of a stand-in worker to a command.
pub(crate) struct WorkerReply {
    status: WorkerStatus,
    body: String,
}

impl WorkerReply {
    /// Creates a success response with a body in base64.
    pub(crate) fn ok(body: &str) -> WorkerReply {
        WorkerReply {
            status: WorkerStatus::Ok,
            body: body.to_owned(),
        }
    }

    /// Creates a response with another status and an empty body.
    pub(crate) fn failure(status: WorkerStatus) -> WorkerReply {
        WorkerReply {
            status,
            body: String::new(),
        }
    }
}

/// A command that a worker has received, with the connection for the response.
pub(crate) struct ReceivedCommand {
    /// The JSON message of the command.
    pub(crate) message: Value,
    /// The number of the connection, which the worker counts from 0.
    pub(crate) connection: usize,
    stream: Socket,
}

impl ReceivedCommand {
    /// Creates a command that was received on this stream, which is the worker's connection with this number.
    pub(super) fn new(message: Value, connection: usize, stream: Socket) -> ReceivedCommand {
        ReceivedCommand {
            message,
            connection,
            stream,
        }
    }

    /// Returns the kind of the command.
    pub(crate) fn kind(&self) -> CommandKind {
        kind_of(&self.message)
    }

    /// Returns the id that a response to the command must carry, or that a cancel refers to.
    pub(crate) fn request_id(&self) -> String {
        let message = &self.message;
        let id = if self.is_jsonrpc() {
            &message["id"]
        } else {
            &message["rid"]
        };
        id.as_str().expect("the command has an id").to_owned()
    }

    fn is_jsonrpc(&self) -> bool {
        self.message.get("verb").is_none()
    }

    /// Returns the body of a request in base64.
    pub(crate) fn body(&self) -> &str {
        let path = if self.is_jsonrpc() {
            "/params/body"
        } else {
            "/content"
        };
        let body = self.message.pointer(path).and_then(Value::as_str);
        body.expect("the command has a body")
    }

    /// Writes bytes on the command's connection and ignores errors.
    pub(crate) fn send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Writes a message and a line end on the command's connection.
    pub(crate) fn send_line(&mut self, message: &Value) {
        self.send_bytes(format!("{message}\n").as_bytes());
    }

    /// Closes the command's connection in both directions.
    pub(crate) fn close_connection(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Responds with success and a body in base64.
    pub(crate) fn succeed(&mut self, body: &str) {
        self.reply(&WorkerReply::ok(body));
    }

    /// Responds with another status and an empty body.
    pub(crate) fn fail(&mut self, status: WorkerStatus) {
        self.reply(&WorkerReply::failure(status));
    }

    /// Sends a response in the protocol of the command.
    pub(crate) fn reply(&mut self, reply: &WorkerReply) {
        let line = if self.is_jsonrpc() {
            self.jsonrpc_reply(reply)
        } else {
            self.agent_reply(reply)
        };
        self.send_line(&line);
    }

    fn agent_reply(&self, reply: &WorkerReply) -> Value {
        json!({
            "verb": reply.status.agent_verb(),
            "rid": self.request_id(),
            "content": reply.body,
            "attrs": {"replicas": 1},
        })
    }

    fn jsonrpc_reply(&self, reply: &WorkerReply) -> Value {
        let id = self.request_id();
        if let Some(code) = reply.status.jsonrpc_code() {
            let message = reply.status.agent_verb();
            return json!({"jsonrpc": "2.0", "id": id, "error": {"code": code, "message": message}});
        }
        let result = match self.kind() {
            CommandKind::Load => json!({"copies": 1}),
            _ => json!({"body": reply.body}),
        };
        json!({"jsonrpc": "2.0", "id": id, "result": result})
    }
}

/// Returns the kind of a command in either protocol; panics if the command is unknown.
pub(super) fn kind_of(message: &Value) -> CommandKind {
    if let Some(method) = message.get("method") {
        return match method.as_str() {
            Some("call") => CommandKind::Run,
            Some("cancel") => CommandKind::Cancel,
            Some("load") => CommandKind::Load,
            Some("unload") => CommandKind::Unload,
            Some("probe") => CommandKind::HealthCheck,
            _ => panic!("unknown method {method}"),
        };
    }
    match message["verb"].as_str() {
        Some("go") => CommandKind::Run,
        Some("halt") => CommandKind::Cancel,
        Some("stage") => CommandKind::Load,
        Some("purge") => CommandKind::Unload,
        Some("stat") => CommandKind::HealthCheck,
        _ => panic!("unknown verb in {message}"),
    }
}
