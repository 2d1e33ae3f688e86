//! Stand-in workers: node agents that simulate the execution of requests. Their switches make them misbehave.

mod protocol;

use super::listener;
use super::switches::WorkerSwitches;
use crate::recorder::{Event, Recorder};
use protocol::{Command, CorrelationId, RunCommand, Status};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// Range of the execution time of a request, in milliseconds.
const EXECUTION_TIMES_MS: RangeInclusive<u64> = 5..=60;
/// The time that a function takes to load.
const LOAD_TIME: Duration = Duration::from_millis(30);
/// Delay between a response and its duplicate.
const DUPLICATE_DELAY: Duration = Duration::from_millis(5);
/// How long after its end a fault may still delay messages.
const FAULT_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Percentage of requests that get an error response while the fault `error_responses` is on.
const ERRORS_PERCENT: u8 = 60;
/// Percentage of responses that are corrupt, or are sent twice, while the fault `corrupt_responses` or
/// `duplicate_responses` is on.
const BAD_RESPONSES_PERCENT: u8 = 30;

/// A stand-in worker. Schedulers connect to it through its proxy.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) index: usize,
    pub(crate) switches: WorkerSwitches,
    recorder: Arc<Recorder>,
}

/// The write half of a connection, shared by the requests on that connection.
type Output = Arc<Mutex<OwnedWriteHalf>>;

impl Worker {
    pub(super) fn new(index: usize, recorder: Arc<Recorder>) -> Worker {
        Worker {
            index,
            switches: WorkerSwitches::default(),
            recorder,
        }
    }

    /// Listens on a free address and serves connections until the runtime shuts down.
    pub(super) async fn listen(self: &Arc<Worker>) -> io::Result<SocketAddr> {
        let (listener, address) = listener::bind().await?;
        let worker = Arc::clone(self);
        listener::serve(listener, move |stream| Arc::clone(&worker).serve(stream));
        Ok(address)
    }

    /// Returns whether the worker's process has exited and has not been replaced yet.
    pub(super) fn is_down(&self) -> bool {
        self.switches.process_is_down.load(Ordering::Relaxed)
    }

    /// Returns whether the worker's process rejects new work.
    fn is_draining(&self) -> bool {
        self.switches.process_is_draining.load(Ordering::Relaxed)
    }

    async fn serve(self: Arc<Worker>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (input, output) = stream.into_split();
        let output = Arc::new(Mutex::new(output));
        let mut lines = BufReader::new(input).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let Ok(command) = Command::parse(&line) else {
                return;
            };
            let (worker, output) = (Arc::clone(&self), Arc::clone(&output));
            match command {
                Command::Run(run) => worker.begin_run(run, output),
                Command::Load { id, replicas } => worker.begin_load(id, replicas, output),
                Command::HealthCheck { id } => {
                    let response = protocol::health_check_response(&id);
                    tokio::spawn(async move { write_line(&output, &response).await });
                }
                Command::Other => {}
            }
        }
    }

    /// Returns whether no fault delays messages between the schedulers and this worker.
    fn is_undelayed(&self) -> bool {
        let now = self.recorder.now();
        let delaying = [
            &self.switches.delay,
            &self.switches.fragmentation,
            &self.switches.black_hole,
            &self.switches.resets,
            &self.switches.stall,
        ];
        !delaying
            .iter()
            .any(|switch| switch.was_on(now, FAULT_SETTLE_TIME))
    }

    fn begin_run(self: Arc<Worker>, run: RunCommand, output: Output) {
        let responds_with_error =
            self.switches.error_responses.is_on() && fastrand::u8(..100) < ERRORS_PERCENT;
        let is_draining = self.is_draining();
        let status = if is_draining {
            Status::AtCapacity
        } else if responds_with_error {
            Status::random_error()
        } else {
            Status::Ok
        };
        self.recorder.record(Event::AttemptReceived {
            request: run.request,
            worker: self.index,
            time_limit: run.time_limit,
            is_executed: status.is_executed(),
            is_undelayed: self.is_undelayed(),
        });
        tokio::spawn(async move {
            if status == Status::Ok {
                sleep(Duration::from_millis(fastrand::u64(EXECUTION_TIMES_MS))).await;
            }
            self.respond(&output, &protocol::run_response(&run, status)).await;
        });
    }

    /// Sends a response, which an active fault may corrupt or duplicate.
    async fn respond(&self, output: &Mutex<OwnedWriteHalf>, response: &Value) {
        let is_bad = fastrand::u8(..100) < BAD_RESPONSES_PERCENT;
        if is_bad && self.switches.corrupt_responses.is_on() {
            let line = protocol::random_corrupt_line();
            let _ = output.lock().await.write_all(line).await;
            return;
        }
        write_line(output, response).await;
        if is_bad && self.switches.duplicate_responses.is_on() {
            sleep(DUPLICATE_DELAY).await;
            write_line(output, response).await;
        }
    }

    fn begin_load(self: Arc<Worker>, id: CorrelationId, replicas: Value, output: Output) {
        // A load order for 0 replicas is a query and not new work.
        let is_new_work = replicas.as_u64().is_some_and(|count| count > 0);
        if is_new_work {
            self.recorder.record(Event::LoadOrderReceived {
                worker: self.index,
                is_undelayed: self.is_undelayed(),
            });
        }
        if is_new_work && self.is_draining() {
            let response = protocol::load_rejection(&id);
            tokio::spawn(async move { write_line(&output, &response).await });
            return;
        }
        let response = protocol::load_response(&id, &replicas);
        tokio::spawn(async move {
            sleep(LOAD_TIME).await;
            write_line(&output, &response).await;
        });
    }
}

/// Writes a message as one line.
///
/// Write errors are ignored, since the loop that reads from the connection also notices that it is closed.
async fn write_line(output: &Mutex<OwnedWriteHalf>, message: &Value) {
    let line = format!("{message}\n");
    let _ = output.lock().await.write_all(line.as_bytes()).await;
}
