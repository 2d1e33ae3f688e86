//! The guarantee that each request gets exactly one final response.

use super::*;

/// A fault in the policy must not leave a request without a final response.
#[test]
fn a_request_that_the_policy_never_ends_fails_after_its_deadline() {
    let mut scheduler = test_scheduler();
    submit(&mut scheduler, 1, IDEMPOTENT_CLASS);
    scheduler.policy = Policy::new(scheduler.site.settings.clone(), 1);
    scheduler.fire_timers(at_millis(3019));
    assert_eq!(scheduler.open_requests(), 1);
    scheduler.fire_timers(at_millis(3021));
    let failed = Response {
        outcome: Outcome::Failed,
        expired: true,
    };
    assert_eq!(responses(drain_commands(&mut scheduler)), [failed]);
    assert_eq!(scheduler.open_requests(), 0);
    assert_eq!(scheduler.counters().requests_overdue, 1);
}

#[test]
fn a_request_has_one_final_response_whatever_comes_later() {
    let mut scheduler = test_scheduler();
    let first = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS));
    scheduler.attempt_written(at_millis(1), first.id);
    scheduler.fire_timers(at_millis(2999));
    assert_eq!(
        responses(drain_commands(&mut scheduler)).len(),
        1,
        "at its deadline"
    );

    scheduler.attempt_ended(at_millis(3000), first.id, Ok(WorkerResponse::Ok(vec![])));
    let ready = endpoint_in_state(first.worker, EndpointState::Ready);
    update_endpoints(&mut scheduler, at_millis(3000), vec![ready]);
    scheduler.fire_timers(at_millis(9000));
    assert_eq!(responses(drain_commands(&mut scheduler)), []);
    assert_eq!(scheduler.open_requests(), 0);
}

#[test]
fn a_request_of_an_unknown_class_fails_at_once() {
    let mut scheduler = test_scheduler();
    let commands = submit(&mut scheduler, 2, "no such class");
    let is_failure = |response: &Response| response.outcome == Outcome::Failed;
    assert!(matches!(&commands[..], [Command::Respond { response, .. }] if is_failure(response)));
}

/// The client no longer waits for the request, so a response could reach whoever uses the connection next.
#[test]
fn a_cancelled_request_gets_no_final_response() {
    let mut scheduler = test_scheduler();
    let sent = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS));
    scheduler.attempt_written(at_millis(1), sent.id);
    scheduler.cancel(at_millis(2), origin(1));
    scheduler.attempt_ended(at_millis(3), sent.id, Ok(WorkerResponse::Ok(vec![])));
    scheduler.fire_timers(at_millis(9000));
    assert_eq!(responses(drain_commands(&mut scheduler)), []);
    assert_eq!(scheduler.open_requests(), 0);
    assert_eq!(scheduler.counters().requests_cancelled, 1);
}

/// The process may be killed before the deadline of a request.
#[test]
fn each_request_has_its_final_response_by_the_shutdown_deadline() {
    let mut scheduler = test_scheduler();
    let classes = [IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS];
    for (stream, class) in (1..).zip(classes) {
        let sent = sent_attempt(&submit(&mut scheduler, stream, class));
        scheduler.attempt_written(at_millis(1), sent.id);
    }
    scheduler.begin_shutdown(at_millis(500), at_millis(1000));
    scheduler.fire_timers(at_millis(990));
    assert_eq!(responses(drain_commands(&mut scheduler)), []);
    scheduler.fire_timers(at_millis(1000));
    let responses = responses(drain_commands(&mut scheduler));
    let outcomes: Vec<&str> = responses.iter().map(|response| response.outcome.name()).collect();
    assert_eq!(outcomes, ["rejected", "rejected", "failed"]);
    assert_eq!(scheduler.counters().requests_overdue, 0);
    assert_eq!(scheduler.attempts_in_flight(), 0);
}

/// A fault in the policy must not leave a request without a final response when the process exits.
#[test]
fn a_request_that_the_policy_never_ends_fails_after_the_shutdown_deadline() {
    let mut scheduler = test_scheduler();
    submit(&mut scheduler, 1, IDEMPOTENT_CLASS);
    scheduler.policy = Policy::new(scheduler.site.settings.clone(), 1);
    scheduler.begin_shutdown(at_millis(500), at_millis(1000));
    scheduler.fire_timers(at_millis(1019));
    assert_eq!(scheduler.open_requests(), 1);
    scheduler.fire_timers(at_millis(1021));
    assert_eq!(responses(drain_commands(&mut scheduler)).len(), 1);
    assert_eq!(scheduler.counters().requests_overdue, 1);
}

#[test]
fn requests_after_the_shutdown_deadline_are_rejected() {
    let mut scheduler = test_scheduler();
    scheduler.begin_shutdown(at_millis(500), at_millis(1000));
    scheduler.limit_new_requests(at_millis(800));
    scheduler.submit(at_millis(800), client_request(1, IDEMPOTENT_CLASS));
    let responses = responses(drain_commands(&mut scheduler));
    let is_rejection = |response: &Response| matches!(response.outcome, Outcome::Rejected { .. });
    assert!(matches!(&responses[..], [response] if is_rejection(response)));
}
