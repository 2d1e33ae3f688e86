//! Running totals of what the scheduler and the connections round it have done.

use super::Outcome;
use crate::model::AttemptStatus;
use std::fmt;

/// Declares the counters in the order in which they are printed, each with its printed name.
macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident => $printed_name:literal,)*) => {
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
                $(write!(formatter, " {}={}", $printed_name, self.$field)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests received.
    requests_received => "taken",
    /// Final responses 'served'.
    responses_served => "served",
    /// Final responses 'rejected'.
    responses_rejected => "refused",
    /// Final responses 'failed'.
    responses_failed => "failed",
    /// Requests rejected by their front end and not submitted: too many open on the connection.
    rejected_by_frontend => "turned_away_refused",
    /// Requests failed by their front end and not submitted: fields that cannot be used.
    failed_by_frontend => "turned_away_failed",
    /// Requests that the scheduler failed itself because the policy had not ended them by their deadline.
    overdue => "overdue",
    /// Requests cancelled by their clients, explicitly or by closing the connection.
    cancelled_by_client => "withdrawn",
    /// Attempts written completely to a worker.
    attempts_written => "sent",
    /// Attempts that succeeded.
    attempts_ok => "ok",
    /// Attempts answered with an error.
    attempts_error => "error",
    /// Attempts rejected by a worker for lack of capacity.
    attempts_full => "full",
    /// Attempts that ran out of time.
    attempts_timeout => "timeout",
    /// Attempts whose connection never came up, or that were never written completely.
    attempts_connect_failed => "connect_failed",
    /// Attempts whose connection broke after they had been written.
    attempts_reset => "reset",
    /// Attempts cancelled by the policy.
    attempts_cancelled => "cancelled",
    /// Attempts that were over before they ran.
    attempts_moot => "moot",
    /// Attempts that found their function not loaded.
    attempts_miss => "miss",
    /// Load orders that passed the last check before they were written.
    load_orders_written => "orders",
    /// Load orders held back by the rate limit at that check.
    load_orders_rate_limited => "orders_rationed",
    /// Health checks of silent workers.
    health_checks => "probes",
    /// Health checks that failed or got no response in time.
    health_checks_failed => "probes_unanswered",
    /// Updates of the endpoint list.
    endpoint_updates => "list_events",
    /// Connections accepted from clients.
    accepted => "accepted",
    /// Connections opened to workers.
    opened => "opened",
    /// Client connections closed for malformed input.
    malformed => "malformed",
    /// Log lines about clients suppressed because too many came in one second.
    log_lines_suppressed => "unlogged",
    /// Messages of workers or of the endpoint watch that could not be decoded.
    unreadable => "unreadable",
    /// Panics caught at a connection.
    panics => "panics",
    /// VRRP advertisements dropped as malformed.
    vrrp_dropped => "vrrp_dropped",
    /// Open requests failed because their client's connection could not go on.
    failed_with_connection => "failed_with_connection",
    /// Times that the system refused to report a connection's events; it is asked again.
    registrations_failed => "registrations_failed",
    /// Clients accepted beyond the descriptors for clients, whose requests are rejected.
    clients_shed => "clients_shed",
    /// Promises found broken at run time; the log has the kind of each.
    violations => "violations",
}

impl Counters {
    /// Counts the end of an attempt.
    pub(super) fn count_attempt_end(&mut self, status: AttemptStatus) {
        let counter = match status {
            AttemptStatus::Ok => &mut self.attempts_ok,
            AttemptStatus::Error => &mut self.attempts_error,
            AttemptStatus::AtCapacity => &mut self.attempts_full,
            AttemptStatus::Timeout => &mut self.attempts_timeout,
            AttemptStatus::ConnectFailed => &mut self.attempts_connect_failed,
            AttemptStatus::Reset => &mut self.attempts_reset,
            AttemptStatus::Cancelled => &mut self.attempts_cancelled,
            AttemptStatus::Expired | AttemptStatus::NotSent => &mut self.attempts_moot,
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

    /// Counts a request that its front end has answered by itself.
    pub(super) fn count_frontend_response(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Rejected { .. } => &mut self.rejected_by_frontend,
            Outcome::Served(_) | Outcome::Failed => &mut self.failed_by_frontend,
        };
        *counter += 1;
    }
}
