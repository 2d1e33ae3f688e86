//! Running totals of what the scheduler and the connections round it have done.

use super::Outcome;
use crate::model::AttemptStatus;
use std::fmt;

/// Declares the counters in the order in which they are printed, each under its own name.
macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident,)*) => {
        /// Running totals since the start of the program.
        ///
        /// They are displayed on one line: `counters`, then `name=value` for each.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $field: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("counters")?;
                $(write!(formatter, " {}={}", stringify!($field), self.$field)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests received.
    requests_received,
    /// Final responses 'served'.
    responses_served,
    /// Final responses 'rejected'.
    responses_rejected,
    /// Final responses 'failed'.
    responses_failed,
    /// Requests rejected by their frontend and not submitted: too many open on the connection.
    frontend_rejected,
    /// Requests failed by their frontend and not submitted: fields that cannot be used.
    frontend_failed,
    /// Requests that the scheduler failed itself because the policy had not ended them by their deadline.
    requests_overdue,
    /// Requests cancelled by their clients, explicitly or by closing the connection.
    requests_cancelled,
    /// Attempts written completely to a worker.
    attempts_written,
    /// Attempts that succeeded.
    attempts_ok,
    /// Attempts answered with an error.
    attempts_error,
    /// Attempts rejected by a worker at capacity.
    attempts_at_capacity,
    /// Attempts that ran out of time.
    attempts_timeout,
    /// Attempts whose connection never came up, or that were never written completely.
    attempts_connect_failed,
    /// Attempts whose connection broke after they had been written.
    attempts_reset,
    /// Attempts cancelled by the policy.
    attempts_cancelled,
    /// Attempts that had expired when they reached their worker, which did not run them.
    attempts_expired,
    /// Attempts that never left this process: they were no longer admitted, or no connection could be begun.
    attempts_not_sent,
    /// Attempts that found their function not loaded.
    attempts_miss,
    /// Load orders that passed the last check before they were written.
    load_orders_written,
    /// Load orders held back by the rate limit at that check.
    load_orders_rate_limited,
    /// Health checks of silent workers.
    health_checks,
    /// Health checks that failed or got no response in time.
    health_checks_failed,
    /// Updates of the endpoint list.
    endpoint_updates,
    /// Times that the endpoint list has become stale.
    endpoint_list_stale,
    /// Leases of workers that expired while the endpoint list was stale.
    worker_leases_expired,
    /// Requests rejected because no worker was confirmed to take new work.
    requests_rejected_unconfirmed,
    /// Attempts and load orders held back at the last check before their write, because their worker was not confirmed
    /// to take new work.
    writes_denied_unconfirmed,
    /// Connections of clients accepted.
    client_connections_accepted,
    /// Connections opened to workers.
    worker_connections_opened,
    /// Malformed input of clients: connections of frames closed for it, and JSON-RPC lines and requests answered with an
    /// error.
    client_connections_malformed,
    /// Log lines about clients suppressed because too many came in one second.
    log_lines_suppressed,
    /// Messages of workers or of the discovery service that could not be decoded.
    decode_errors,
    /// Panics caught at a connection.
    panics,
    /// VRRP advertisements dropped as malformed.
    vrrp_advertisements_dropped,
    /// Open requests failed because their client's connection could not go on.
    requests_failed_with_connection,
    /// Times that the system failed to register a connection for events; it is asked again.
    event_registrations_failed,
    /// Clients accepted beyond the descriptors for clients, whose requests are rejected.
    clients_shed,
    /// Invariants found violated at run time; the log has the kind of each.
    violations,
}

impl Counters {
    /// Counts the end of an attempt.
    pub(super) fn count_attempt_end(&mut self, status: AttemptStatus) {
        let counter = match status {
            AttemptStatus::Ok => &mut self.attempts_ok,
            AttemptStatus::Error => &mut self.attempts_error,
            AttemptStatus::AtCapacity => &mut self.attempts_at_capacity,
            AttemptStatus::Timeout => &mut self.attempts_timeout,
            AttemptStatus::ConnectFailed => &mut self.attempts_connect_failed,
            AttemptStatus::Reset => &mut self.attempts_reset,
            AttemptStatus::Cancelled => &mut self.attempts_cancelled,
            AttemptStatus::Expired => &mut self.attempts_expired,
            AttemptStatus::NotSent => &mut self.attempts_not_sent,
            AttemptStatus::Miss => &mut self.attempts_miss,
        };
        *counter += 1;
    }

    /// Counts a final response.
    pub(super) fn count_response(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Served(_) => &mut self.responses_served,
            Outcome::Rejected { .. } => &mut self.responses_rejected,
            Outcome::Failed => &mut self.responses_failed,
        };
        *counter += 1;
    }

    /// Counts a request that its frontend has answered by itself.
    pub(super) fn count_frontend_response(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Rejected { .. } => &mut self.frontend_rejected,
            Outcome::Served(_) | Outcome::Failed => &mut self.frontend_failed,
        };
        *counter += 1;
    }
}
