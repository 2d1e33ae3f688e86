//! Stand-in workers: node agents that serve requests, well or badly, as their switches say.

use crate::recorder::{Event, Recorder};
use crate::switches::WorkerSwitches;
use anyhow::Result;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::sleep;

/// How long a request runs, in milliseconds.
const RUN_TIMES_MS: std::ops::RangeInclusive<u64> = 5..=60;
/// How long a load takes.
const LOAD_TIME: Duration = Duration::from_millis(30);
/// How long a repeated answer follows the first.
const REPEAT_DELAY: Duration = Duration::from_millis(5);
/// A fault of the network may still show for so long after it has ended.
const AFTER_EFFECT: Duration = Duration::from_secs(3);
/// Of a hundred requests, so many get an error while a worker answers errors.
const ERRORS_PERCENT: u8 = 60;
/// Of a hundred answers, so many are spoilt or repeated while a worker does that.
const BAD_ANSWERS_PERCENT: u8 = 30;

/// A worker, which listens behind its proxy.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) index: usize,
    pub(crate) switches: WorkerSwitches,
    recorder: Arc<Recorder>,
}

impl Worker {
    pub(crate) fn new(index: usize, recorder: Arc<Recorder>) -> Worker {
        Worker {
            index,
            switches: WorkerSwitches::default(),
            recorder,
        }
    }

    /// Listens on an address of its own and serves connections until the runtime ends.
    pub(crate) async fn listen(self: &Arc<Worker>) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let worker = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&worker).serve(stream));
            }
        });
        Ok(address)
    }

    async fn serve(self: Arc<Worker>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (input, output) = stream.into_split();
        let output = Arc::new(Mutex::new(output));
        let mut lines = BufReader::new(input).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let Ok(command) = serde_json::from_str::<Value>(&line) else {
                return;
            };
            let worker = Arc::clone(&self);
            let output = Arc::clone(&output);
            match command["verb"].as_str() {
                Some("go") => worker.begin_run(&command, output),
                Some("stage") => worker.begin_load(&command, output),
                Some("ping" | "stat") => {
                    let rid = command["rid"].clone();
                    tokio::spawn(
                        async move { write_line(&output, &json!({"verb": "alive", "rid": rid})).await },
                    );
                }
                _ => {}
            }
        }
    }

    fn is_prompt(&self) -> bool {
        let now = self.recorder.now();
        let network = [
            &self.switches.delays,
            &self.switches.splits,
            &self.switches.silent,
            &self.switches.resets,
            &self.switches.stalls,
        ];
        !network.iter().any(|switch| switch.was_on(now, AFTER_EFFECT))
    }

    fn begin_run(self: Arc<Worker>, command: &Value, output: Arc<Mutex<OwnedWriteHalf>>) {
        let rid = command["rid"].as_str().unwrap_or_default().to_owned();
        let Ok(request) = u64::from_str_radix(&rid, 16) else {
            return;
        };
        let answers_error = self.switches.answers_errors.is_on() && fastrand::u8(..100) < ERRORS_PERCENT;
        let word = if answers_error {
            ["404", "503", "500", "504"][fastrand::usize(..4)]
        } else {
            "200"
        };
        let time_limit = command["attrs"]["ttl"].as_u64().unwrap_or(u64::MAX);
        self.recorder.record(Event::Arrived {
            request,
            worker: self.index,
            time_limit: Duration::from_millis(time_limit),
            runs: matches!(word, "200" | "500"),
            is_prompt: self.is_prompt(),
        });
        let content = command["content"].clone();
        tokio::spawn(async move {
            if !answers_error {
                sleep(Duration::from_millis(fastrand::u64(RUN_TIMES_MS))).await;
            }
            let mut answer = json!({"verb": word, "rid": rid});
            if word == "200" {
                answer["content"] = content;
            }
            self.answer(&output, &answer).await;
        });
    }

    /// Answers, well or badly.
    async fn answer(&self, output: &Mutex<OwnedWriteHalf>, answer: &Value) {
        let is_bad = fastrand::u8(..100) < BAD_ANSWERS_PERCENT;
        if is_bad && self.switches.spoils.is_on() {
            let noise = [&b"{\"verb\":\n"[..], b"\xff\xfe noise\n", b"{\"verb\":\"200\"}\n"];
            let mut output = output.lock().await;
            let _ = output.write_all(noise[fastrand::usize(..noise.len())]).await;
            return;
        }
        write_line(output, answer).await;
        if is_bad && self.switches.repeats.is_on() {
            sleep(REPEAT_DELAY).await;
            write_line(output, answer).await;
        }
    }

    fn begin_load(self: Arc<Worker>, command: &Value, output: Arc<Mutex<OwnedWriteHalf>>) {
        let replicas = command["attrs"]["replicas"].clone();
        if replicas.as_u64().is_some_and(|count| count > 0) {
            self.recorder.record(Event::LoadArrived {
                worker: self.index,
                is_prompt: self.is_prompt(),
            });
        }
        let answer = json!({"verb": "200", "rid": command["rid"], "attrs": {"replicas": replicas}});
        tokio::spawn(async move {
            sleep(LOAD_TIME).await;
            write_line(&output, &answer).await;
        });
    }

    /// Whether a process stands at the worker's address.
    pub(crate) fn is_there(&self) -> bool {
        !self.switches.is_gone.load(Ordering::Relaxed)
    }
}

async fn write_line(output: &Mutex<OwnedWriteHalf>, message: &Value) {
    let line = format!("{message}\n");
    let _ = output.lock().await.write_all(line.as_bytes()).await;
}
