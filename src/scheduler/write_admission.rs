//! The last check before the first byte of an attempt or load order is written to a worker.
//!
//! A command may be queued after the policy has decided on it, until its connection is established or behind
//! other commands. Meanwhile its request may end, its worker may begin to drain, the deduplication window of
//! its key or its deadline may pass, or other load orders may use up the rate limit. The backend therefore
//! asks for admission immediately before it writes, and reports a denied command as not sent. It asks again
//! before it writes the rest of an attempt that the operating system accepted only in part.

use super::request_table::OpenRequest;
use super::{AttemptId, LoadOrderId, Scheduler};
use crate::model::{Idempotency, Span, Time, WorkerId};
use crate::policy::WorkerUnavailable;
use thiserror::Error;
use tracing::debug;

/// Minimum time between the write of a keyed request's retry and the end of the deduplication window, after
/// which workers may have forgotten the key.
const DEDUPLICATION_MARGIN: Span = Span::from_millis(50);

/// Maximum time between the first and the last byte of an attempt. The time limit is encoded with the first
/// byte and must not exceed the client's remaining time by more than 150 ms (operators' terms of
/// 2026-12-02).
const MAX_WRITE_TIME: Span = Span::from_millis(100);

/// The reason why an attempt or load order must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum WriteDenied {
    /// The attempt or load order has timed out or been cancelled.
    #[error("the command has ended")]
    CommandEnded,
    /// The deadline has passed, so the response would come too late.
    #[error("its deadline has passed")]
    DeadlinePassed,
    /// The request has its final response, or its client has cancelled it.
    #[error("its request has ended")]
    RequestEnded,
    /// The request is not idempotent, and an earlier attempt may have run.
    #[error("an earlier attempt may have run")]
    MayHaveRun,
    /// An earlier attempt may have run, and the workers may have forgotten the idempotency key.
    #[error("the deduplication window has passed")]
    DeduplicationWindowPassed,
    /// The worker must not be sent new work.
    #[error(transparent)]
    WorkerUnavailable(#[from] WorkerUnavailable),
    /// No client has requested the function recently.
    #[error("its function was not requested recently")]
    FunctionNotRequested,
    /// The rate limit on load orders is used up.
    #[error("the rate limit on load orders is used up")]
    RateLimited,
}

impl Scheduler {
    /// Returns whether an attempt may still be written at `now`. If so, its write counts as begun.
    pub fn admits_write(&mut self, now: Time, attempt: AttemptId) -> bool {
        match self.check_attempt(now, attempt) {
            Ok(()) => {
                self.attempts.begin_write(now, attempt);
                true
            }
            Err(denied) => {
                self.count_denied_write(denied);
                debug!(
                    request = attempt.request.0,
                    attempt = attempt.number,
                    cause = denied.to_string(),
                    "write denied"
                );
                false
            }
        }
    }

    /// Returns whether the rest of a partially written attempt may be written.
    ///
    /// The limits of a new write apply, because the worker starts the request only when it has the last
    /// byte. The one exception is a worker that has begun to drain meanwhile: the first byte was written
    /// before.
    pub fn admits_write_continuation(&self, now: Time, id: AttemptId) -> bool {
        let (Some(attempt), Some(request)) = (self.attempts.get(id), self.requests.get(id.request)) else {
            return false;
        };
        let within_write_time = attempt
            .write_began_at
            .is_none_or(|began_at| now - began_at <= MAX_WRITE_TIME);
        within_write_time && now < attempt.deadline && check_retry(now, request).is_ok()
    }

    /// Returns whether a load order may still be written at `now`. If so, it counts as written.
    pub fn admits_load_order(&mut self, now: Time, order: LoadOrderId) -> bool {
        match self.check_load_order(now, order) {
            Ok(()) => true,
            Err(denied) => {
                self.count_denied_write(denied);
                debug!(order = order.0, cause = denied.to_string(), "load order denied");
                false
            }
        }
    }

    /// Checks whether an attempt may be written.
    pub(super) fn check_attempt(&self, now: Time, id: AttemptId) -> Result<(), WriteDenied> {
        let attempt = self.attempts.get(id).ok_or(WriteDenied::CommandEnded)?;
        if now >= attempt.deadline {
            return Err(WriteDenied::DeadlinePassed);
        }
        let request = self.requests.get(id.request).ok_or(WriteDenied::RequestEnded)?;
        check_retry(now, request)?;
        self.check_worker(now, attempt.worker)
    }

    /// Checks whether a load order may be written. If so, it counts against the rate limit.
    pub(super) fn check_load_order(&mut self, now: Time, id: LoadOrderId) -> Result<(), WriteDenied> {
        let order = self.load_orders.get(id).ok_or(WriteDenied::CommandEnded)?;
        if order.is_query() {
            return Ok(());
        }
        self.check_worker(now, order.worker)?;
        if !self.load_orders.is_for_requested_function(order) {
            return Err(WriteDenied::FunctionNotRequested);
        }
        let limit = self.site.settings.safety_limits.load_rate_limit;
        if !self.load_rate_limiter.try_acquire(now, limit) {
            self.counters.load_orders_rate_limited += 1;
            return Err(WriteDenied::RateLimited);
        }
        self.counters.load_orders_written += 1;
        Ok(())
    }

    /// Checks whether a worker may be sent new work.
    ///
    /// A change of the endpoint list takes effect when it is published, possibly long before it is received
    /// here. Therefore nothing is written once a worker is known to be draining, without a grace period. The
    /// policy also checks whether the worker's lease is still valid, since discovery may be unreachable.
    pub(super) fn check_worker(&self, now: Time, worker: WorkerId) -> Result<(), WriteDenied> {
        Ok(self.policy.check_available(now, worker)?)
    }

    fn count_denied_write(&mut self, denied: WriteDenied) {
        if denied == WriteDenied::WorkerUnavailable(WorkerUnavailable::LeaseExpired) {
            self.counters.writes_denied_unconfirmed += 1;
        }
    }
}

/// Checks whether a request may be written although an earlier attempt may have run. The deduplication
/// window starts at the first such attempt, not at the latest.
fn check_retry(now: Time, request: &OpenRequest) -> Result<(), WriteDenied> {
    let Some(first_written_at) = request.first_written_at() else {
        return Ok(());
    };
    let retry_at = now + DEDUPLICATION_MARGIN;
    if request.idempotency.permits_repeat_at(retry_at, first_written_at) {
        return Ok(());
    }
    match request.idempotency {
        Idempotency::NonIdempotent => Err(WriteDenied::MayHaveRun),
        Idempotency::Idempotent | Idempotency::Keyed { .. } => Err(WriteDenied::DeduplicationWindowPassed),
    }
}
