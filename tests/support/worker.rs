//! Stand-in workers: node agents over TCP and JSON-RPC workers over Unix sockets.
//!
//! A stand-in passes each command that it receives to the test, which responds to it.

use super::WAIT_LIMIT;
use super::worker_command::{CommandKind, ReceivedCommand, WorkerReply, kind_of};
use serde_json::Value;
use socket2::Socket;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A stand-in worker with its own listening socket.
pub(crate) struct StandInWorker {
    address: Option<SocketAddr>,
    commands: Receiver<ReceivedCommand>,
}

impl StandInWorker {
    /// Starts a node agent on a TCP port that the system chooses.
    pub(crate) fn node_agent() -> StandInWorker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = Some(listener.local_addr().unwrap());
        let commands = collect_commands(move || listener.accept().unwrap().0);
        StandInWorker { address, commands }
    }

    /// Starts a JSON-RPC worker on a Unix socket at this path.
    pub(crate) fn jsonrpc(path: &Path) -> StandInWorker {
        let listener = UnixListener::bind(path).unwrap();
        let commands = collect_commands(move || listener.accept().unwrap().0);
        StandInWorker {
            address: None,
            commands,
        }
    }

    /// Returns the address of a node agent; panics for a JSON-RPC worker.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.expect("the worker is a node agent")
    }

    /// Waits for the next command.
    pub(crate) fn next_command(&self) -> ReceivedCommand {
        self.commands
            .recv_timeout(WAIT_LIMIT)
            .expect("the worker receives a command")
    }

    /// Waits for the next command, which must have this kind and this request id.
    #[track_caller]
    pub(crate) fn expect_command(&self, kind: CommandKind, request_id: &str) -> ReceivedCommand {
        let command = self.next_command();
        assert_eq!(
            (command.kind(), command.request_id().as_str()),
            (kind, request_id)
        );
        command
    }

    /// Waits for the next request; responds to loads with success and skips other commands.
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

    /// Waits for 1 ms and returns a command if one has been received.
    pub(crate) fn poll_command(&self) -> Option<ReceivedCommand> {
        thread::sleep(Duration::from_millis(1));
        self.commands.try_recv().ok()
    }

    /// Returns whether no command is pending.
    ///
    /// The result covers the commands that the scheduler sent before the response that the caller read last.
    pub(crate) fn is_idle(&self) -> bool {
        self.commands.try_recv().is_err()
    }

    /// Replies to each command with the result of `reply_to` until the test ends, and logs the commands.
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

/// Accepts connections in another thread and returns the channel of their commands.
fn collect_commands<Stream>(accept: impl Fn() -> Stream + Send + 'static) -> Receiver<ReceivedCommand>
where
    OwnedFd: From<Stream>,
{
    let (sender, commands) = channel();
    thread::spawn(move || {
        for connection in 0.. {
            read_commands(OwnedFd::from(accept()), connection, sender.clone());
        }
    });
    commands
}

/// Sends the commands of one connection to the test, in a thread that ends with the connection.
fn read_commands(stream: OwnedFd, connection: usize, sender: Sender<ReceivedCommand>) {
    thread::spawn(move || {
        let stream = Socket::from(stream);
        let responses = stream.try_clone().unwrap();
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { return };
            let message = serde_json::from_str(&line).expect("each line is JSON");
            let stream = responses.try_clone().unwrap();
            let command = ReceivedCommand::new(message, connection, stream);
            if sender.send(command).is_err() {
                return;
            }
        }
    });
}

/// The commands that a worker has received since [`StandInWorker::serve`].
#[derive(Clone, Default)]
pub(crate) struct CommandLog {
    messages: Arc<Mutex<Vec<Value>>>,
}

impl CommandLog {
    /// Returns the message of the first command.
    pub(crate) fn first_message(&self) -> Value {
        self.messages.lock().unwrap()[0].clone()
    }

    /// Returns the number of commands of each kind.
    pub(crate) fn counts(&self) -> BTreeMap<CommandKind, usize> {
        let mut counts = BTreeMap::new();
        for message in self.messages.lock().unwrap().iter() {
            *counts.entry(kind_of(message)).or_default() += 1;
        }
        counts
    }

    /// Returns the number of commands of one kind.
    pub(crate) fn count(&self, kind: CommandKind) -> usize {
        self.counts().get(&kind).copied().unwrap_or(0)
    }
}

/// Returns the reply of a worker that responds to requests with their own body, and to loads with success.
pub(crate) fn echo(command: &ReceivedCommand) -> Option<WorkerReply> {
    match command.kind() {
        CommandKind::Run => Some(WorkerReply::ok(command.body())),
        CommandKind::Load => Some(WorkerReply::ok("")),
        _ => None,
    }
}
