//! A stand-in for a node agent.

use crate::json::{self, Json};
use crate::record::Record;
use crate::wire;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long a load takes.
const LOAD_TIME: Duration = Duration::from_millis(100);

/// How a node agent answers a request, given its command.
pub type Run = Arc<dyn Fn(&Json) -> Answer + Send + Sync>;

/// An answer to a request, sent after a delay.
pub struct Answer {
    pub verb: &'static str,
    pub body: Vec<u8>,
    pub after: Duration,
}

/// A node agent at an address of its own.
#[derive(Clone)]
pub struct Agent {
    pub id: u32,
    pub address: SocketAddrV4,
    /// Whether the node agent knows a function, by its name.
    knows: fn(&str) -> bool,
    run: Run,
    /// Whether each command goes into the record.
    is_recorded: bool,
    record: Record,
}

impl Agent {
    pub fn start(record: &Record, id: u32, is_recorded: bool, knows: fn(&str) -> bool, run: Run) -> Agent {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let Ok(SocketAddr::V4(address)) = listener.local_addr() else {
            panic!("not an IPv4 address")
        };
        let record = record.clone();
        let agent = Agent {
            id,
            address,
            knows,
            run,
            is_recorded,
            record,
        };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        agent
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(output) = stream.try_clone() else { return };
        let output = Arc::new(Mutex::new(output));
        let mut input = BufReader::new(stream);
        let mut line = Vec::new();
        while input.read_until(b'\n', &mut line).is_ok_and(|count| count > 0) {
            let Some(command) = json::parse(line.trim_ascii()) else {
                return;
            };
            self.handle(&command, &output);
            line.clear();
        }
    }

    fn handle(&self, command: &Json, output: &Arc<Mutex<TcpStream>>) {
        let (rid, verb) = (command.get("rid").text(), command.get("verb").text());
        if self.is_recorded && verb != "ping" {
            self.record
                .line(&format!("agent s-{:08x}: receives {verb} {rid}", self.id));
        }
        let rid = json::quoted(rid);
        let answer = match verb {
            "go" => (self.run)(command),
            "stage" => return send(output, self.load(command, &rid), LOAD_TIME),
            "ping" => {
                let text = format!("{{\"verb\":\"alive\",\"rid\":{rid}}}\n");
                return send(output, text, Duration::ZERO);
            }
            _ => return,
        };
        if self.is_recorded {
            self.record.line(&format!(
                "agent s-{:08x}: answers {rid} with {}",
                self.id, answer.verb
            ));
        }
        let (verb, body) = (answer.verb, wire::to_base64(&answer.body));
        let text = format!("{{\"verb\":\"{verb}\",\"rid\":{rid},\"content\":\"{body}\"}}\n");
        send(output, text, answer.after);
    }

    /// Returns the answer to an order to load: it fails for a function that the node agent does not know.
    fn load(&self, command: &Json, rid: &str) -> String {
        let attributes = command.get("attrs");
        let (verb, copies) = match (self.knows)(attributes.get("name").text()) {
            true => ("200", attributes.get("replicas").text()),
            false => ("500", "0"),
        };
        format!("{{\"verb\":\"{verb}\",\"rid\":{rid},\"attrs\":{{\"replicas\":{copies}}}}}\n")
    }
}

fn send(output: &Arc<Mutex<TcpStream>>, text: String, after: Duration) {
    if after.is_zero() {
        let _ = output.lock().unwrap().write_all(text.as_bytes());
        return;
    }
    let output = Arc::clone(output);
    thread::spawn(move || {
        thread::sleep(after);
        let _ = output.lock().unwrap().write_all(text.as_bytes());
    });
}
