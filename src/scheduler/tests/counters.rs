//! The printed form of the counters, which operators read.

use super::*;

/// Operators and their tools read the counters by these names, in this order.
#[test]
fn counters_keep_their_printed_names_and_order() {
    let expected = "counters requests_received=0 responses_served=0 responses_rejected=0 responses_failed=0 \
        frontend_rejected=0 frontend_failed=0 requests_overdue=0 requests_cancelled=0 attempts_written=0 \
        attempts_ok=0 attempts_error=0 attempts_at_capacity=0 attempts_timeout=0 attempts_connect_failed=0 \
        attempts_reset=0 attempts_cancelled=0 attempts_expired=0 attempts_not_sent=0 attempts_miss=0 \
        load_orders_written=0 load_orders_rate_limited=0 health_checks=0 health_checks_failed=0 \
        endpoint_updates=0 endpoint_list_stale=0 worker_leases_expired=0 requests_rejected_unconfirmed=0 \
        writes_denied_unconfirmed=0 client_connections_accepted=0 worker_connections_opened=0 \
        client_connections_malformed=0 log_lines_suppressed=0 decode_errors=0 panics=0 \
        vrrp_advertisements_dropped=0 requests_failed_with_connection=0 event_registrations_failed=0 \
        clients_shed=0 clients_rechecked=0 client_messages_rejected=0 violations=0";
    assert_eq!(Counters::default().to_string(), expected);
}

/// Each end of an attempt is counted under the name of its status.
#[test]
fn ends_of_attempts_are_counted_by_status() {
    let cases = [
        (AttemptStatus::Ok, "attempts_ok"),
        (AttemptStatus::Error, "attempts_error"),
        (AttemptStatus::AtCapacity, "attempts_at_capacity"),
        (AttemptStatus::Timeout, "attempts_timeout"),
        (AttemptStatus::ConnectFailed, "attempts_connect_failed"),
        (AttemptStatus::Reset, "attempts_reset"),
        (AttemptStatus::Cancelled, "attempts_cancelled"),
        (AttemptStatus::Expired, "attempts_expired"),
        (AttemptStatus::NotSent, "attempts_not_sent"),
        (AttemptStatus::Miss, "attempts_miss"),
    ];
    for (status, name) in cases {
        let mut counters = Counters::default();
        counters.count_attempt_end(status);
        let counted: Vec<String> = counters.to_string().split(' ').map(str::to_owned).collect();
        let counted: Vec<&String> = counted.iter().filter(|word| word.ends_with("=1")).collect();
        assert_eq!(counted, [&format!("{name}=1")]);
    }
}
