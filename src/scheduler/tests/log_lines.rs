//! The log lines by which an operator traces a request.

use super::*;
use crate::logging::tests::capture::captured_log;

#[test]
fn log_lines_trace_a_request_to_its_response() {
    let mut scheduler = test_scheduler();
    let mut worker = WorkerId(0);
    let log = captured_log(|| {
        let sent = sent_attempt(&submit(&mut scheduler, 5, IDEMPOTENT_CLASS));
        worker = sent.worker;
        scheduler.attempt_written(at_millis(1), sent.id);
        scheduler.attempt_ended(at_millis(2), sent.id, Ok(WorkerResponse::Ok(vec![])));
    });
    let worker = worker.0;
    let expected = [
        "function-scheduler: request accepted request=0 connection=1 stream=5 remaining_ms=3000",
        &format!("function-scheduler: attempt begun request=0 attempt=0 worker={worker:08x}"),
        "function-scheduler: attempt written request=0 attempt=0",
        "function-scheduler: request answered connection=1 stream=5 outcome=served expired=false",
        "function-scheduler: attempt ended request=0 attempt=0 status=Ok",
    ];
    assert_eq!(log.lines().collect::<Vec<_>>(), expected);
}

#[test]
fn denied_requests_and_writes_are_logged_with_their_cause() {
    let mut scheduler = test_scheduler();
    let log = captured_log(|| {
        submit(&mut scheduler, 5, "no such class");
        let sent = sent_attempt(&submit(&mut scheduler, 6, IDEMPOTENT_CLASS));
        scheduler.cancel(at_millis(1), origin(6));
        scheduler.admits_write(at_millis(1), sent.id);
    });
    let lines: Vec<&str> = log.lines().collect();
    let request_denied = "function-scheduler: request denied correlation_id=\"0000000000000005\" cause=\"unknown request class\"";
    assert_eq!(lines.first(), Some(&request_denied));
    let from_cancellation = [
        "function-scheduler: request cancelled request=0",
        "function-scheduler: attempt ended request=0 attempt=0 status=Cancelled",
        "function-scheduler: write denied request=0 attempt=0 cause=\"the command has ended\"",
    ];
    assert_eq!(lines[lines.len() - 3..], from_cancellation);
}

#[test]
fn a_violation_is_logged_with_its_kind_and_ids() {
    let mut scheduler = test_scheduler();
    let log = captured_log(|| {
        let sent = sent_attempt(&submit(&mut scheduler, 5, IDEMPOTENT_CLASS)).id;
        scheduler.cancel(at_millis(1), origin(5));
        scheduler.attempt_written(at_millis(2), sent);
    });
    let violation = "function-scheduler: violation kind=\"written after its end\" request=0 attempt=0";
    assert_eq!(log.lines().last(), Some(violation));
}
