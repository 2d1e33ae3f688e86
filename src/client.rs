//! A scheduler embedded in an RPC client: requests are placed on workers in the caller's thread, without the
//! server program.
//!
//! A [`Client`] owns the scheduler, its connections to workers and its clock. It does no work between calls:
//! the embedding program submits requests and calls [`Client::poll`] until their responses have arrived.
//!
//! ```
//! use function_scheduler::backend::WorkerAddress;
//! use function_scheduler::client::{Client, WorkerEndpoint};
//! use function_scheduler::scheduler::{Outcome, RequestParameters};
//! use function_scheduler::{Endpoint, FunctionId, Span, WorkerId, config};
//! use std::io::{BufRead, BufReader, Write};
//!
//! # let folder = std::env::temp_dir().join(format!("function-scheduler-doc-{}", std::process::id()));
//! # std::fs::create_dir(&folder)?;
//! # let path = folder.join("worker.sock");
//! // A worker that answers each request with the same body.
//! let listener = std::os::unix::net::UnixListener::bind(&path)?;
//! std::thread::spawn(move || {
//!     let (mut stream, _) = listener.accept().unwrap();
//!     for line in BufReader::new(stream.try_clone().unwrap()).lines() {
//!         let request: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
//!         let response =
//!             serde_json::json!({"jsonrpc": "2.0", "id": request["id"], "result": {"body": "NCBvZiA1"}});
//!         stream.write_all(format!("{response}\n").as_bytes()).unwrap();
//!     }
//! });
//!
//! let site = config::parse_site(br#"{"fleetSize": 1, "index": 0,
//!   "classes": [{"name": "check", "deadlineNs": 3000000000, "effect": "retryable",
//!                "objectiveNs": 1000000000}],
//!   "bounds": {"mostTries": 3},
//!   "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
//!   "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "loadSpanNs": 0}}"#).unwrap();
//! let mut client = Client::new(site, 7)?;
//! let endpoint = Endpoint { worker: WorkerId(1), weight: 1.0, ..Endpoint::default() };
//! client.set_endpoints(vec![WorkerEndpoint { endpoint, address: WorkerAddress::JsonRpc(path) }]);
//!
//! let deadline = client.now() + Span::from_millis(3000);
//! let request = RequestParameters::new("check", FunctionId(9), deadline, b"my exercise".to_vec());
//! let submitted = client.submit(request);
//! let completed = loop {
//!     if let Some(completed) = client.poll(deadline)?.pop() {
//!         break completed;
//!     }
//! };
//! assert_eq!(completed.request, submitted);
//! assert_eq!(completed.response.outcome, Outcome::Served(b"4 of 5".to_vec()));
//! # std::fs::remove_dir_all(&folder)?;
//! # Ok::<(), std::io::Error>(())
//! ```

use crate::backend::{Limits, Pool, WorkerAddress};
use crate::model::{
    ConnectionId, Endpoint, EndpointState, EndpointUpdateKind, Site, StreamId, Time, WorkerId,
};
use crate::runtime::{self, Reactor};
use crate::scheduler::{
    ClientRequest, Command, Counters, RequestOrigin, RequestParameters, Response, Scheduler,
};
use std::io;

/// Maximum number of connections to workers.
const MAX_CONNECTIONS: usize = 256;
/// Connection id of all requests of the embedding program, which count as coming from one connection.
const CONNECTION: ConnectionId = ConnectionId(0);

/// The id of a submitted request, unique within its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmittedRequestId(pub u64);

/// A worker and its address.
#[derive(Clone, Debug)]
pub struct WorkerEndpoint {
    /// The worker's entry in the endpoint list.
    pub endpoint: Endpoint,
    /// The address at which the worker listens.
    pub address: WorkerAddress,
}

/// A completed request and its response.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// The id of the request.
    pub request: SubmittedRequestId,
    /// The final response to the request.
    pub response: Response,
}

/// A scheduler embedded in a client program. See the [module documentation](self).
pub struct Client {
    /// Owns the scheduler, which all connections share.
    reactor: Reactor,
    pool: Pool,
    last_request: u64,
    completed: Vec<CompletedRequest>,
}

impl Client {
    /// Creates a scheduler without workers. The seed determines how ties are broken and must differ between
    /// clients.
    ///
    /// # Errors
    ///
    /// Returns the system error if the event queue cannot be created.
    pub fn new(site: Site, seed: u64) -> io::Result<Client> {
        Ok(Client {
            pool: Pool::new(Limits::for_site(&site, MAX_CONNECTIONS)),
            reactor: runtime::reactor(Scheduler::new(site, seed))?,
            last_request: 0,
            completed: Vec::new(),
        })
    }

    /// Returns the current time on the clock that deadlines refer to.
    pub fn now(&self) -> Time {
        self.reactor.now()
    }

    /// Replaces the endpoint list, and must be called whenever the list changes. A worker that is not listed
    /// counts as gone.
    pub fn set_endpoints(&mut self, workers: Vec<WorkerEndpoint>) {
        self.update_addresses(&workers);
        let endpoints = workers.into_iter().map(|worker| worker.endpoint).collect();
        let now = self.reactor.now();
        let scheduler = &mut self.reactor.shared.scheduler;
        scheduler.update_endpoints(now, EndpointUpdateKind::Snapshot, endpoints);
        self.run_commands();
    }

    /// Submits a request. [`Client::poll`] returns its single response, unless the request is cancelled
    /// first.
    pub fn submit(&mut self, parameters: RequestParameters) -> SubmittedRequestId {
        self.last_request += 1;
        let id = SubmittedRequestId(self.last_request);
        let request = ClientRequest {
            origin: origin(id),
            correlation_id: self.reactor.shared.scheduler.new_correlation_id(),
            parameters,
        };
        let now = self.reactor.now();
        self.reactor.shared.scheduler.submit(now, request);
        self.run_commands();
        id
    }

    /// Cancels a request. It gets no response, and the worker is notified if it is able to stop the work.
    pub fn cancel(&mut self, request: SubmittedRequestId) {
        let now = self.reactor.now();
        self.reactor.shared.scheduler.cancel(now, origin(request));
        self.completed.retain(|completed| completed.request != request);
        self.run_commands();
    }

    /// Waits until something happens, but no longer than `until`, and returns the requests that have
    /// completed since the last call.
    ///
    /// # Errors
    ///
    /// Returns the system error if waiting for events fails.
    pub fn poll(&mut self, until: Time) -> io::Result<Vec<CompletedRequest>> {
        if self.completed.is_empty() {
            let next_timer = self.reactor.shared.scheduler.next_timer();
            let wake_at = next_timer.map_or(until, |timer| timer.min(until));
            self.reactor.poll(Some(wake_at))?;
            self.run_commands();
        }
        Ok(std::mem::take(&mut self.completed))
    }

    /// Returns the counters since the client was created.
    pub fn counters(&mut self) -> &Counters {
        self.reactor.shared.scheduler.counters()
    }

    /// Updates the pool's addresses from the endpoint list, before the scheduler can send to new workers.
    fn update_addresses(&mut self, workers: &[WorkerEndpoint]) {
        let present = || {
            workers
                .iter()
                .filter(|worker| worker.endpoint.state != EndpointState::Gone)
        };
        let is_present = |id: WorkerId| present().any(|worker| worker.endpoint.worker == id);
        self.pool.retain(is_present);
        for worker in present() {
            let endpoint = &worker.endpoint;
            self.pool
                .set_address(endpoint.worker, worker.address.clone(), endpoint.started_at);
        }
    }

    /// Fires the scheduler's expired timers and executes its commands.
    fn run_commands(&mut self) {
        let now = self.reactor.now();
        self.reactor.shared.scheduler.fire_timers(now);
        self.execute_commands();
        while self.reactor.has_due_writes() {
            self.reactor.run_due_writes();
            self.execute_commands();
        }
        self.pool.remove_ended_attempts(&self.reactor.shared.scheduler);
    }

    fn execute_commands(&mut self) {
        while let Some(command) = self.reactor.shared.scheduler.next_command() {
            match command {
                Command::Respond { origin, response } => {
                    let request = SubmittedRequestId(origin.stream.0);
                    self.completed.push(CompletedRequest { request, response });
                }
                command => self.pool.execute(command, &mut self.reactor),
            }
        }
    }
}

/// Returns the origin that identifies a request in the scheduler's response.
fn origin(request: SubmittedRequestId) -> RequestOrigin {
    RequestOrigin {
        connection: CONNECTION,
        stream: StreamId(request.0),
    }
}
