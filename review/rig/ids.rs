//! Case: calls over JSON-RPC without an id of their own, before and after the scheduler is killed.

use crate::agent::{Agent, Answer};
use crate::bus::Bus;
use crate::json::{self, Json};
use crate::platform::{Configuration, Scheduler, free_address};
use crate::record::Record;
use crate::{Verdict, wire};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long node agents discard repeats: `repeatWindowNs` of the settings.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);
/// How long a killed scheduler stays away.
const RESTART: Duration = Duration::from_millis(1_500);
const CONNECTIONS: usize = 4;
const CALLS: usize = 3;

/// The requests that node agents have run, by id, with their answers.
type Runs = Arc<Mutex<HashMap<String, (Instant, Vec<u8>)>>>;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let runs = Runs::default();
    let agents: Vec<Agent> = (1..=3).map(|id| start_agent(record, id, &runs)).collect();
    let bus = Bus::start(record, &agents);
    let socket = folder.join("calls.sock");
    let configuration = Configuration {
        bus: bus.address,
        memory_mb: 192,
        sockets: 256,
        settings: crate::settings("\"dedup\"", "\"load\""),
        operator: Some(format!("[jsonrpc]\nsocket = \"{}\"\n", socket.display())),
    };
    let (home, listen) = (folder.join("n0"), free_address());
    let start = || Scheduler::start(record, home.clone(), listen, &configuration);
    let Some(mut scheduler) = start() else {
        return Verdict::CouldNotRun("the scheduler did not become ready");
    };
    let Some(mut calls) = call_all(record, &socket, "first") else {
        return Verdict::CouldNotRun("no connection to the JSON-RPC frontend");
    };
    if trouble {
        scheduler.kill();
        thread::sleep(RESTART);
        match start() {
            Some(started) => scheduler = started,
            None => {
                return Verdict::Broken("the scheduler did not become ready after its restart".to_owned());
            }
        }
    } else {
        thread::sleep(RESTART);
    }
    let Some(later) = call_all(record, &socket, "second") else {
        return Verdict::CouldNotRun("no connection to the JSON-RPC frontend");
    };
    drop(scheduler);
    calls.extend(later);
    judge(record, &calls)
}

/// Starts a node agent that runs a request once, and answers a repeat, which it discards, like the first.
fn start_agent(record: &Record, id: u32, runs: &Runs) -> Agent {
    let (runs, record_runs) = (Arc::clone(runs), record.clone());
    let run = Arc::new(move |command: &Json| {
        let rid = command.get("rid").text().to_owned();
        let content = wire::from_base64(command.get("content").text());
        let mut runs = runs.lock().unwrap();
        let known = runs.get(&rid).filter(|(at, _)| at.elapsed() < REPEAT_WINDOW);
        let text = String::from_utf8_lossy(&content).into_owned();
        let body = match known {
            Some((_, body)) => {
                record_runs.line(&format!("agent: discards '{text}', a repeat of {rid}"));
                body.clone()
            }
            None => {
                record_runs.line(&format!("agent: runs '{text}' as {rid}"));
                let body = expected_answer(&content);
                runs.insert(rid, (Instant::now(), body.clone()));
                body
            }
        };
        Answer {
            verb: "200",
            body,
            after: Duration::from_millis(20),
        }
    });
    Agent::start(record, id, true, |_| true, run)
}

fn expected_answer(body: &[u8]) -> Vec<u8> {
    [b"the answer to ", body].concat()
}

/// A call, and the body of its answer if it was served.
struct Call {
    body: String,
    answer: Option<Vec<u8>>,
}

/// Makes several calls on several connections, each with another body.
fn call_all(record: &Record, socket: &Path, name: &str) -> Option<Vec<Call>> {
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        let stream = UnixStream::connect(socket).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(3_550))).ok()?;
        clients.push(BufReader::new(stream));
    }
    let mut calls = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        for call in 0..CALLS {
            let body = format!("{name} {number}.{call}");
            let answer = call_once(client, call, &body);
            let shown = answer.as_deref().map(String::from_utf8_lossy);
            record.line(&format!("client: '{body}' is answered with {shown:?}"));
            calls.push(Call { body, answer });
        }
    }
    Some(calls)
}

fn call_once(client: &mut BufReader<UnixStream>, id: usize, body: &str) -> Option<Vec<u8>> {
    let line = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"call\",\"params\":{{\"class\":\"match\",\"function\":\"7f3a9c21e0b4d655\",\
         \"allow_ms\":3000,\"memory_mb\":512,\"lanes\":2,\"load_ms\":640,\"body\":\"{}\"}}}}\n",
        wire::to_base64(body.as_bytes())
    );
    client.get_mut().write_all(line.as_bytes()).ok()?;
    let mut answer = String::new();
    client.read_line(&mut answer).ok()?;
    let answer = json::parse(answer.trim().as_bytes())?;
    match answer.get("result").get("body") {
        Json::Text(text) => Some(wire::from_base64(text)),
        _ => None,
    }
}

fn judge(record: &Record, calls: &[Call]) -> Verdict {
    let served = calls.iter().filter(|call| call.answer.is_some()).count();
    let is_foreign = |call: &&Call| {
        call.answer
            .as_ref()
            .is_some_and(|answer| *answer != expected_answer(call.body.as_bytes()))
    };
    let foreign = calls.iter().filter(is_foreign).count();
    record.verdict(&format!(
        "{} calls, {served} served, {foreign} of them with the answer to another call",
        calls.len()
    ));
    if foreign > 0 {
        return Verdict::Broken(format!(
            "{foreign} callers got the answer to another call, and their own never ran"
        ));
    }
    if served < calls.len() / 2 {
        return Verdict::CouldNotRun("few calls were served");
    }
    Verdict::Held
}
