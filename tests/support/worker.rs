//! Stand-in workers: node agents over TCP and JSON-RPC workers over Unix sockets. Every command that they receive
//! is handed to the test, which answers it.

use super::WAIT_LIMIT;
use serde_json::{Value, json};
use socket2::Socket;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a worker is asked to do, in either protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CommandKind {
    Run,
    Cancel,
    Load,
    Unload,
    HealthCheck,
}

/// How a worker ends a request or a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerStatus {
    Ok,
    Miss,
    Full,
    Error,
}

impl WorkerStatus {
    fn agent_verb(self) -> &'static str {
        match self {
            WorkerStatus::Ok => "200",
            WorkerStatus::Miss => "404",
            WorkerStatus::Full => "503",
            WorkerStatus::Error => "500",
        }
    }

    /// The JSON-RPC error code; none for success.
    fn jsonrpc_code(self) -> Option<i32> {
        match self {
            WorkerStatus::Ok => None,
            WorkerStatus::Miss => Some(-32010),
            WorkerStatus::Full => Some(-32011),
            WorkerStatus::Error => Some(-32000),
        }
    }
}

/// An answer that a worker gives by itself.
pub(crate) struct WorkerReply {
    status: WorkerStatus,
    body: String,
}

impl WorkerReply {
    /// Success with a body in base64.
    pub(crate) fn ok(body: &str) -> WorkerReply {
        WorkerReply { status: WorkerStatus::Ok, body: body.to_owned() }
    }

    /// Any other end.
    pub(crate) fn failure(status: WorkerStatus) -> WorkerReply {
        WorkerReply { status, body: String::new() }
    }
}

/// A command that a worker has received, with the connection to answer it on.
pub(crate) struct ReceivedCommand {
    /// The line as it came.
    pub(crate) message: Value,
    /// The number of the connection, counted by the worker from 0.
    pub(crate) connection: usize,
    stream: Socket,
}

impl ReceivedCommand {
    pub(crate) fn kind(&self) -> CommandKind {
        kind_of(&self.message)
    }

    /// The id that an answer has to carry, or that a cancel names.
    pub(crate) fn request_id(&self) -> String {
        let message = &self.message;
        let id = if self.is_jsonrpc() { &message["id"] } else { &message["rid"] };
        id.as_str().expect("the command has an id").to_owned()
    }

    fn is_jsonrpc(&self) -> bool {
        self.message.get("verb").is_none()
    }

    /// The body of a request in base64.
    pub(crate) fn body(&self) -> &str {
        let path = if self.is_jsonrpc() { "/params/body" } else { "/content" };
        let body = self.message.pointer(path).and_then(Value::as_str);
        body.expect("the command has a body")
    }

    /// Writes any bytes on the command's connection.
    pub(crate) fn send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Writes a line on the command's connection.
    pub(crate) fn send_line(&mut self, message: &Value) {
        self.send_bytes(format!("{message}\n").as_bytes());
    }

    /// Ends the command's connection.
    pub(crate) fn close_connection(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Answers with success and a body in base64.
    pub(crate) fn succeed(&mut self, body: &str) {
        self.reply(&WorkerReply::ok(body));
    }

    /// Answers with another status.
    pub(crate) fn fail(&mut self, status: WorkerStatus) {
        self.reply(&WorkerReply::failure(status));
    }

    pub(crate) fn reply(&mut self, reply: &WorkerReply) {
        let line = if self.is_jsonrpc() { self.jsonrpc_reply(reply) } else { self.agent_reply(reply) };
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

fn kind_of(message: &Value) -> CommandKind {
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

/// A worker on a socket of its own.
pub(crate) struct StandInWorker {
    address: Option<SocketAddr>,
    commands: Receiver<ReceivedCommand>,
}

impl StandInWorker {
    /// A node agent on a TCP port of the system's choice.
    pub(crate) fn node_agent() -> StandInWorker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = Some(listener.local_addr().unwrap());
        let (sender, commands) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                read_commands(OwnedFd::from(stream.unwrap()), connection, sender.clone());
            }
        });
        StandInWorker { address, commands }
    }

    /// A JSON-RPC worker on a Unix socket at this path.
    pub(crate) fn jsonrpc(path: &Path) -> StandInWorker {
        let listener = UnixListener::bind(path).unwrap();
        let (sender, commands) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                read_commands(OwnedFd::from(stream.unwrap()), connection, sender.clone());
            }
        });
        StandInWorker { address: None, commands }
    }

    /// The address of a node agent.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.expect("a node agent")
    }

    /// Waits for the next command.
    pub(crate) fn next_command(&self) -> ReceivedCommand {
        self.commands.recv_timeout(WAIT_LIMIT).expect("the worker receives a command")
    }

    /// Waits for the next request; loads and commands without an answer are dealt with on the way.
    pub(crate) fn next_request(&self) -> ReceivedCommand {
        loop {
            let mut command = self.next_command();
            match command.kind() {
                CommandKind::Run => return command,
                CommandKind::Load => command.succeed(""),
                _ => {}
            }
        }
    }

    /// A command, if one has come.
    pub(crate) fn poll_command(&self) -> Option<ReceivedCommand> {
        thread::sleep(Duration::from_millis(1));
        self.commands.try_recv().ok()
    }

    /// Whether no command waits: of all that the scheduler sent before it answered what the caller has just read.
    pub(crate) fn is_idle(&self) -> bool {
        self.commands.try_recv().is_err()
    }

    /// Replies to every command as `reply_to` says, for as long as the test lasts, and logs the commands.
    pub(crate) fn serve(
        self,
        reply_to: impl Fn(&ReceivedCommand) -> Option<WorkerReply> + Send + 'static,
    ) -> CommandLog {
        let log = CommandLog::default();
        let shared_log = log.clone();
        thread::spawn(move || {
            while let Ok(mut command) = self.commands.recv() {
                shared_log.messages.lock().unwrap().push(command.message.clone());
                if let Some(reply) = reply_to(&command) {
                    command.reply(&reply);
                }
            }
        });
        log
    }
}

/// Hands the commands of one connection to the test, in a thread that ends with the connection.
fn read_commands(stream: OwnedFd, connection: usize, sender: Sender<ReceivedCommand>) {
    thread::spawn(move || {
        let stream = Socket::from(stream);
        let answers = stream.try_clone().unwrap();
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { return };
            let message = serde_json::from_str(&line).expect("every line is JSON");
            let stream = answers.try_clone().unwrap();
            if sender.send(ReceivedCommand { message, connection, stream }).is_err() {
                return;
            }
        }
    });
}

/// The commands that a worker has received while it served them by itself.
#[derive(Clone, Default)]
pub(crate) struct CommandLog {
    messages: Arc<Mutex<Vec<Value>>>,
}

impl CommandLog {
    /// The first command as it came.
    pub(crate) fn first_message(&self) -> Value {
        self.messages.lock().unwrap()[0].clone()
    }

    /// The number of commands of each kind.
    pub(crate) fn counts(&self) -> BTreeMap<CommandKind, usize> {
        let mut counts = BTreeMap::new();
        for message in self.messages.lock().unwrap().iter() {
            *counts.entry(kind_of(message)).or_default() += 1;
        }
        counts
    }

    /// The number of commands of one kind.
    pub(crate) fn count(&self, kind: CommandKind) -> usize {
        self.counts().get(&kind).copied().unwrap_or(0)
    }
}

/// Answers requests with the body that they brought, and loads with success.
pub(crate) fn echo(command: &ReceivedCommand) -> Option<WorkerReply> {
    match command.kind() {
        CommandKind::Run => Some(WorkerReply::ok(command.body())),
        CommandKind::Load => Some(WorkerReply::ok("")),
        _ => None,
    }
}
