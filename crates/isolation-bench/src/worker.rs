//! Stand-in workers, which answer each request after a fixed time.

use crate::bad_client::UNKNOWN_FUNCTIONS;
use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a request runs.
const EXECUTION_TIME: Duration = Duration::from_millis(20);
/// Responses to exchanges that do not exist, which are sent in one go.
const UNSOLICITED_AT_ONCE: usize = 200;

/// A response and the time at which it is sent.
type ScheduledResponse = (Instant, String);

/// Starts a worker. While `floods` is set, it sends responses to exchanges that do not exist at full speed.
pub(crate) fn start(floods: Arc<AtomicBool>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let floods = Arc::clone(&floods);
            thread::spawn(move || serve(stream, &floods));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream, floods: &Arc<AtomicBool>) {
    let (sender, receiver) = channel();
    let Ok(output) = stream.try_clone() else { return };
    let floods = Arc::clone(floods);
    thread::spawn(move || write_responses(output, &receiver, &floods));
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { return };
        schedule_response(&line, &sender);
    }
}

fn schedule_response(line: &str, sender: &Sender<ScheduledResponse>) {
    let Ok(command) = serde_json::from_str::<Value>(line) else {
        return;
    };
    let id = &command["rid"];
    let now = Instant::now();
    let scheduled = match command["verb"].as_str() {
        Some("go") if is_unknown(&command) => (now, json!({"verb": "500", "rid": id})),
        Some("go") => {
            let response = json!({"verb": "200", "rid": id, "content": command["content"]});
            (now + EXECUTION_TIME, response)
        }
        Some("stage") => {
            let replicas = &command["attrs"]["replicas"];
            (
                now,
                json!({"verb": "200", "rid": id, "attrs": {"replicas": replicas}}),
            )
        }
        Some("ping" | "stat") => (now, json!({"verb": "alive", "rid": id})),
        _ => return,
    };
    // The writer has ended if the connection has.
    let _ = sender.send((scheduled.0, format!("{}\n", scheduled.1)));
}

/// Returns whether a request is for a function that no worker knows.
fn is_unknown(command: &Value) -> bool {
    let name = command["attrs"]["name"].as_str().unwrap_or_default();
    let function = u64::from_str_radix(name, 16).unwrap_or_default();
    function & UNKNOWN_FUNCTIONS == UNKNOWN_FUNCTIONS
}

fn write_responses(mut output: TcpStream, receiver: &Receiver<ScheduledResponse>, floods: &AtomicBool) {
    let unsolicited = "{\"verb\":\"503\",\"rid\":\"0123456789abcdef\"}\n".repeat(UNSOLICITED_AT_ONCE);
    loop {
        let is_flooding = floods.load(Ordering::Relaxed);
        if is_flooding && output.write_all(unsolicited.as_bytes()).is_err() {
            return;
        }
        let wait = if is_flooding {
            Duration::ZERO
        } else {
            EXECUTION_TIME
        };
        match receiver.recv_timeout(wait) {
            Ok((due_at, response)) => {
                thread::sleep(due_at.saturating_duration_since(Instant::now()));
                if output.write_all(response.as_bytes()).is_err() {
                    return;
                }
            }
            Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {}
            Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
        }
    }
}
