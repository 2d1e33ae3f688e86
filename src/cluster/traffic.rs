//! Records of received requests, and of attempts from their sending to their end.

use super::{Attempt, AttemptId, Cluster, Request};
use crate::model::{FunctionId, IncomingRequest, RequestId, Span, Time, WorkerId};

impl Cluster {
    /// Adds a request and counts it for its function.
    pub(crate) fn add_request(&mut self, incoming: &IncomingRequest, latency_objective: Span, now: Time) {
        self.functions
            .entry(incoming.function)
            .or_default()
            .count_request(incoming);
        self.requests
            .insert(incoming.id, Request::new(incoming, latency_objective, now));
    }

    /// Returns a request if it has no attempt in flight.
    pub(crate) fn request_without_attempt(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests
            .get_mut(&id)
            .filter(|request| request.in_flight().is_none())
    }

    /// Returns the requests of a function that wait for a load order to end.
    pub(crate) fn requests_awaiting(&self, function: FunctionId) -> Vec<RequestId> {
        let requests = self.requests.iter();
        let awaiting = requests.filter(|(_, request)| request.awaits_load && request.function == function);
        awaiting.map(|(id, _)| *id).collect()
    }

    /// Records that an attempt is sent to a worker and returns the time left until the request's deadline.
    ///
    /// # Panics
    ///
    /// Panics if the request or the worker is unknown.
    pub(crate) fn begin_attempt(
        &mut self,
        id: RequestId,
        worker: WorkerId,
        expected_warm: bool,
        now: Time,
    ) -> Span {
        let request = self.requests.get_mut(&id).expect("the request should be known");
        let worker = self
            .workers
            .get_mut(&worker)
            .expect("the worker should be listed");
        let number = request.begin_attempt();
        let attempt = Attempt {
            sent_at: now,
            endpoint: worker.endpoint,
            function: request.function,
            class: request.class,
            latency_objective: request.latency_objective,
            expected_warm,
        };
        self.attempts.insert(AttemptId { request: id, number }, attempt);
        worker.load.begin_request();
        worker.acceptance.record_sent(now);
        worker.instance_mut(request.function).in_flight += 1;
        let work = self.baseline_latency[request.class].value();
        self.send_history
            .entry(worker.endpoint.worker)
            .or_default()
            .record(now, work);
        request.deadline - now
    }

    /// Removes an attempt that has ended and returns it.
    pub(crate) fn end_attempt(&mut self, request: RequestId, number: u16) -> Option<Attempt> {
        self.attempts.remove(&AttemptId { request, number })
    }

    /// Returns all attempts that have not ended.
    pub(crate) fn attempts_in_flight(&self) -> Vec<Attempt> {
        self.attempts.values().copied().collect()
    }

    /// Returns the attempts on a worker that requests still wait for.
    pub(crate) fn attempts_on(&self, worker: WorkerId) -> Vec<(AttemptId, Attempt)> {
        let on_worker = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.endpoint.worker == worker);
        let is_awaited = |id: &AttemptId| {
            let request = self.requests.get(&id.request);
            request.is_some_and(|request| request.in_flight() == Some(id.number))
        };
        on_worker
            .filter(|(id, _)| is_awaited(id))
            .map(|(id, attempt)| (*id, *attempt))
            .collect()
    }
}
