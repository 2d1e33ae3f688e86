//! The last check before the first byte of an attempt or load order goes to a worker.
//!
//! The policy decides now, but a command may wait: for its connection to come up, or behind others on it.
//! Meanwhile its request may end, its worker may begin to drain, the deduplication window of its key may
//! pass, its deadline may come, or other load orders may use up the rate limit. So the backend asks here
//! immediately before it writes, and reports a command that is denied as not sent. It asks again before it writes the
//! rest of an attempt that the system did not take at once.

use super::request_table::OpenRequest;
use super::{AttemptId, LoadOrderId, Scheduler};
use crate::model::{Idempotency, Span, Time, WorkerId};
use crate::policy::WorkerUnavailable;
use thiserror::Error;
use tracing::debug;

/// The retry of a keyed request must be written this long before its workers forget the key.
const DEDUPLICATION_MARGIN: Span = Span::from_millis(50);

/// The last byte of an attempt must follow its first within this time: its time limit was encoded with the first, and
/// must not exceed what the client has left by more than 150 ms (terms of 2026-12-02).
const MAX_WRITE_TIME: Span = Span::from_millis(100);

/// Why an attempt or load order must not be written any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum WriteDenied {
    /// The attempt or load order has ended: it ran out of time, or the policy cancelled it.
    #[error("the command has ended")]
    CommandEnded,
    /// Its response would come too late.
    #[error("its deadline has passed")]
    DeadlinePassed,
    /// The request has its final response, or its client has left.
    #[error("its request has ended")]
    RequestEnded,
    /// The request is not idempotent and an earlier attempt may have run.
    #[error("an earlier attempt may have run")]
    MayHaveRun,
    /// An earlier attempt may have run and the workers may have forgotten its key.
    #[error("the deduplication window has passed")]
    DeduplicationWindowPassed,
    /// The worker must not be given new work.
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
    /// Whether an attempt may still be written at `now`; if so, its write has begun.
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

    /// Whether the write of an attempt may go on, of which the operating system did not take all at once. The same
    /// limits hold as for a new write, because the worker begins with the last byte. Only that its worker is draining
    /// by now does not count: the first byte came before that.
    pub fn admits_write_continuation(&self, now: Time, id: AttemptId) -> bool {
        let (Some(attempt), Some(request)) = (self.attempts.get(id), self.requests.get(id.request)) else {
            return false;
        };
        let within_write_time = attempt
            .write_began_at
            .is_none_or(|began_at| now - began_at <= MAX_WRITE_TIME);
        within_write_time && now < attempt.deadline && check_retry(now, request).is_ok()
    }

    /// Whether a load order may still be written at `now`; if so, it counts as written.
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

    /// Whether an attempt may be written, and why not.
    pub(super) fn check_attempt(&self, now: Time, id: AttemptId) -> Result<(), WriteDenied> {
        let attempt = self.attempts.get(id).ok_or(WriteDenied::CommandEnded)?;
        if now >= attempt.deadline {
            return Err(WriteDenied::DeadlinePassed);
        }
        let request = self.requests.get(id.request).ok_or(WriteDenied::RequestEnded)?;
        check_retry(now, request)?;
        self.check_worker(now, attempt.worker)
    }

    /// Whether a load order may be written, and why not. If it may, it is counted against the rate limit.
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

    /// A change of the endpoint list holds from the moment it was published, which may be long before it
    /// arrived here. So no grace period applies: nothing is written once a worker is known to drain. Since discovery
    /// may be out of reach, the policy is asked again whether what is known of the worker still holds.
    pub(super) fn check_worker(&self, now: Time, worker: WorkerId) -> Result<(), WriteDenied> {
        Ok(self.policy.check_available(now, worker)?)
    }

    fn count_denied_write(&mut self, denied: WriteDenied) {
        if denied == WriteDenied::WorkerUnavailable(WorkerUnavailable::LeaseExpired) {
            self.counters.writes_denied_unconfirmed += 1;
        }
    }
}

/// Whether a request may be written again if an earlier attempt may have run. The deduplication window counts
/// from the first such attempt, not from the latest.
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
