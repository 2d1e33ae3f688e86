//! The records of a run, grouped by the request, worker or process that they concern.

use crate::recorder::{DiscoveryEffect, Event, FaultPhase, Incarnation, ProcessEvent, Record};
use crate::request::{ConnectionId, RequestClass, RequestId, ResponseStatus};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The history of a run, derived from its records.
#[derive(Debug, Default)]
pub(super) struct RunHistory {
    requests: BTreeMap<RequestId, RequestHistory>,
    /// The times at which the schedulers closed connections.
    pub(super) closed_connections: HashMap<ConnectionId, Duration>,
    /// The times at which processes were killed.
    pub(super) killed: HashMap<Incarnation, Duration>,
    /// The drains of each worker, in chronological order.
    pub(super) drains: HashMap<usize, Vec<Drain>>,
    /// The starts and ends of the faults that delay endpoint updates, in chronological order.
    pub(super) endpoint_update_faults: Vec<EndpointUpdateFault>,
    /// The outages of the discovery service, in chronological order.
    pub(super) outages: Vec<Outage>,
    /// All attempts and load orders that workers have received, in chronological order.
    pub(super) dispatches: Vec<Dispatch>,
}

/// The history of one request, derived from the records of its run.
#[derive(Clone, Debug)]
pub(super) struct RequestHistory {
    pub(super) id: RequestId,
    /// The request as its client sent it, or `None` if the client has not written the complete request.
    pub(super) sent: Option<SentRequest>,
    pub(super) responses: Vec<Response>,
    pub(super) cancelled_at: Option<Duration>,
    pub(super) attempts: Vec<Attempt>,
}

/// A request, as its client sent it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    pub(super) at: Duration,
    pub(super) class: RequestClass,
    pub(super) timeout: Duration,
    pub(super) connection: ConnectionId,
    pub(super) incarnation: Incarnation,
}

/// A response, as the client received it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Response {
    pub(super) at: Duration,
    pub(super) status: ResponseStatus,
    pub(super) body_matches: bool,
}

/// An attempt, as a worker received it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) at: Duration,
    pub(super) time_limit: Duration,
    pub(super) is_executed: bool,
    pub(super) is_undelayed: bool,
}

/// An attempt or a load order, as a worker received it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Dispatch {
    pub(super) worker: usize,
    pub(super) at: Duration,
    pub(super) is_undelayed: bool,
}

/// A period in which the endpoint list shows a worker as draining or deleted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    pub(super) started_at: Duration,
    /// When the next process at the worker's address was ready, or `None` if that has not happened.
    pub(super) ready_at: Option<Duration>,
}

/// The start or the end of a fault that delays endpoint updates.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointUpdateFault {
    pub(super) at: Duration,
    pub(super) phase: FaultPhase,
}

/// A period in which the discovery service is unreachable.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    pub(super) started_at: Duration,
    /// The latest end of a fault of the outage, or the start of the outage if no fault has ended.
    last_fault_ended_at: Duration,
    /// The number of the outage's faults that are active.
    active_faults: usize,
}

impl Outage {
    /// Returns whether, at the time `at`, the outage had begun and had not ended more than `span` before.
    pub(super) fn includes(&self, at: Duration, span: Duration) -> bool {
        let has_ended = self.active_faults == 0 && at > self.last_fault_ended_at + span;
        self.started_at <= at && !has_ended
    }
}

impl RunHistory {
    /// Groups the records of a run, which are in chronological order.
    pub(super) fn from_records(records: &[Record]) -> RunHistory {
        let mut history = RunHistory::default();
        for record in records {
            history.add(record);
        }
        history
    }

    /// Returns all requests, in the order of their ids.
    pub(super) fn requests(&self) -> impl Iterator<Item = &RequestHistory> {
        self.requests.values()
    }

    fn add(&mut self, record: &Record) {
        let at = record.at;
        match record.event {
            Event::RequestSent { request, .. }
            | Event::ResponseReceived { request, .. }
            | Event::RequestCancelled { request } => self.request(request).add(record),
            Event::AttemptReceived {
                request,
                worker,
                is_undelayed,
                ..
            } => {
                self.request(request).add(record);
                self.add_dispatch(worker, at, is_undelayed);
            }
            Event::LoadOrderReceived { worker, is_undelayed } => {
                self.add_dispatch(worker, at, is_undelayed);
            }
            Event::ConnectionClosed { connection } => {
                self.closed_connections.insert(connection, at);
            }
            Event::WorkerDraining { worker } => self.drains.entry(worker).or_default().push(Drain {
                started_at: at,
                ready_at: None,
            }),
            Event::WorkerReady { worker } => {
                if let Some(drain) = self.drains.entry(worker).or_default().last_mut() {
                    drain.ready_at = Some(at);
                }
            }
            Event::Fault {
                phase,
                discovery_effect,
                ..
            } => match discovery_effect {
                DiscoveryEffect::None => {}
                DiscoveryEffect::DelaysUpdates => self
                    .endpoint_update_faults
                    .push(EndpointUpdateFault { at, phase }),
                DiscoveryEffect::Outage => self.add_outage_fault(at, phase),
            },
            Event::Process {
                incarnation,
                event: ProcessEvent::Killed,
            } => {
                self.killed.insert(incarnation, at);
            }
            Event::Process { .. } => {}
        }
    }

    /// Adds the start or the end of an outage fault. Faults that overlap form one outage.
    fn add_outage_fault(&mut self, at: Duration, phase: FaultPhase) {
        let present = self.outages.last_mut().filter(|outage| outage.active_faults > 0);
        match (present, phase) {
            (Some(outage), FaultPhase::Started) => outage.active_faults += 1,
            (Some(outage), FaultPhase::Ended) => {
                outage.active_faults -= 1;
                outage.last_fault_ended_at = at;
            }
            (None, FaultPhase::Started) => self.outages.push(Outage {
                started_at: at,
                last_fault_ended_at: at,
                active_faults: 1,
            }),
            (None, FaultPhase::Ended) => {}
        }
    }

    fn request(&mut self, id: RequestId) -> &mut RequestHistory {
        self.requests.entry(id).or_insert_with(|| RequestHistory::new(id))
    }

    fn add_dispatch(&mut self, worker: usize, at: Duration, is_undelayed: bool) {
        self.dispatches.push(Dispatch {
            worker,
            at,
            is_undelayed,
        });
    }
}

impl RequestHistory {
    fn new(id: RequestId) -> RequestHistory {
        RequestHistory {
            id,
            sent: None,
            responses: Vec::new(),
            cancelled_at: None,
            attempts: Vec::new(),
        }
    }

    /// Adds a record that concerns this request.
    fn add(&mut self, record: &Record) {
        let at = record.at;
        match record.event {
            Event::RequestSent {
                class,
                timeout,
                connection,
                incarnation,
                ..
            } => {
                self.sent = Some(SentRequest {
                    at,
                    class,
                    timeout,
                    connection,
                    incarnation,
                });
            }
            Event::ResponseReceived {
                status, body_matches, ..
            } => self.responses.push(Response {
                at,
                status,
                body_matches,
            }),
            Event::RequestCancelled { .. } => self.cancelled_at = Some(at),
            Event::AttemptReceived {
                time_limit,
                is_executed,
                is_undelayed,
                ..
            } => self.attempts.push(Attempt {
                at,
                time_limit,
                is_executed,
                is_undelayed,
            }),
            _ => {}
        }
    }

    /// Returns the class of the request, if the request was sent.
    pub(super) fn class(&self) -> Option<RequestClass> {
        self.sent.map(|sent| sent.class)
    }
}

impl SentRequest {
    /// Returns the time at which the request's timeout passes.
    pub(super) fn deadline(&self) -> Duration {
        self.at + self.timeout
    }
}
