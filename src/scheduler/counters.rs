//! Counters of the scheduler and of its connections.

use super::Outcome;
use crate::model::AttemptStatus;
use std::fmt;

/// Declares the counters in the order in which they are printed, each under its own name.
macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident,)*) => {
        /// Counts of events since the start of the program.
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
    /// Final responses with the outcome 'served'.
    responses_served,
    /// Final responses with the outcome 'rejected'.
    responses_rejected,
    /// Final responses with the outcome 'failed'.
    responses_failed,
    /// Requests that the frontend rejected without submitting them, because too many were open on the
    /// connection.
    frontend_rejected,
    /// Requests that the frontend failed without submitting them, because of invalid fields.
    frontend_failed,
    /// Requests that the scheduler failed because the policy had not ended them in time.
    requests_overdue,
    /// Requests cancelled by their clients, explicitly or by closing the connection.
    requests_cancelled,
    /// Attempts written completely to a worker.
    attempts_written,
    /// Attempts that succeeded.
    attempts_ok,
    /// Attempts that ended with an error response or an unusable response.
    attempts_error,
    /// Attempts rejected by a worker at capacity.
    attempts_at_capacity,
    /// Attempts that timed out.
    attempts_timeout,
    /// Attempts whose connection was not established, or that were not written completely.
    attempts_connect_failed,
    /// Attempts whose connection broke after they had been written.
    attempts_reset,
    /// Attempts that the policy cancelled.
    attempts_cancelled,
    /// Attempts that a worker did not run because they had expired.
    attempts_expired,
    /// Attempts that were never sent because their write was denied or no connection could be opened.
    attempts_not_sent,
    /// Attempts that a worker did not run because the function was not loaded.
    attempts_miss,
    /// Load orders admitted by the last check before their write.
    load_orders_written,
    /// Load orders denied by the load rate limit at the last check before their write.
    load_orders_rate_limited,
    /// Health checks started for silent workers.
    health_checks,
    /// Health checks that failed or timed out.
    health_checks_failed,
    /// Endpoint updates received.
    endpoint_updates,
    /// Number of times that the endpoint list became stale.
    endpoint_list_stale,
    /// Worker leases that expired while the endpoint list was stale.
    worker_leases_expired,
    /// Requests rejected because no worker was confirmed to accept new work.
    requests_rejected_unconfirmed,
    /// Attempts and load orders denied at the last check before their write because their worker was not
    /// confirmed to accept new work.
    writes_denied_unconfirmed,
    /// Client connections accepted.
    client_connections_accepted,
    /// Worker connections opened.
    worker_connections_opened,
    /// Occurrences of malformed client input: frame connections closed because of it, and JSON-RPC lines and
    /// requests answered with an error.
    client_connections_malformed,
    /// Log lines that clients caused and that the log limiter suppressed.
    log_lines_suppressed,
    /// Messages from workers or the discovery service that could not be decoded.
    decode_errors,
    /// Panics caught in the event loop, while a connection or another part of the work was handled.
    panics,
    /// Malformed VRRP advertisements dropped.
    vrrp_advertisements_dropped,
    /// Open requests failed because their client connection could not continue.
    requests_failed_with_connection,
    /// Failed registrations of a connection for events; each is retried.
    event_registrations_failed,
    /// Client connections accepted beyond the file descriptors reserved for clients; their requests are
    /// rejected.
    clients_shed,
    /// Clients whose connections were read again before an attempt was written, because the last poll was too
    /// old.
    clients_rechecked,
    /// Messages of clients that were rejected before they were complete, for lack of memory for input.
    client_messages_rejected,
    /// Invariant violations at run time; the log has the kind of each.
    violations,
}

impl Counters {
    /// Counts an ended attempt by its status.
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

    /// Counts a final response by its outcome.
    pub(super) fn count_response(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Served(_) => &mut self.responses_served,
            Outcome::Rejected { .. } => &mut self.responses_rejected,
            Outcome::Failed => &mut self.responses_failed,
        };
        *counter += 1;
    }

    /// Counts a request that its frontend answered without submitting it.
    pub(super) fn count_frontend_response(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Rejected { .. } => &mut self.frontend_rejected,
            Outcome::Served(_) | Outcome::Failed => &mut self.frontend_failed,
        };
        *counter += 1;
    }
}
