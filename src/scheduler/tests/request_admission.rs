//! Checks on a request before it is accepted.

use super::*;
use crate::scheduler::request_admission::{RequestDenied, check_request};

/// Returns the reason why a scheduler with an open request on stream 1 denies a second request.
fn denied(site: impl FnOnce(&mut Site), change: impl FnOnce(&mut ClientRequest)) -> RequestDenied {
    let mut scheduler = test_scheduler();
    submit(&mut scheduler, 1, IDEMPOTENT_CLASS);
    site(&mut scheduler.site);
    let mut request = client_request(2, IDEMPOTENT_CLASS);
    change(&mut request);
    check_request(at_millis(1), &request, &scheduler.site, &scheduler.requests).unwrap_err()
}

#[test]
fn each_failed_check_has_its_denial_reason() {
    let unknown_class = denied(|_| {}, |request| request.parameters.class = "none".into());
    assert_eq!(unknown_class, RequestDenied::UnknownClass);
    let duplicate = denied(|_| {}, |request| request.correlation_id = format!("{:016x}", 1));
    assert_eq!(duplicate, RequestDenied::DuplicateCorrelationId);
    let too_late = denied(|_| {}, |request| request.parameters.deadline = at_millis(1));
    assert_eq!(too_late, RequestDenied::DeadlinePassed);
    let too_many = denied(|site| site.max_open_requests = 1, |_| {});
    assert_eq!(too_many, RequestDenied::TooManyOpen);
    let mut scheduler = test_scheduler();
    scheduler.share_open_requests(1);
    submit(&mut scheduler, 1, IDEMPOTENT_CLASS);
    let request = client_request(2, IDEMPOTENT_CLASS);
    let share = check_request(at_millis(1), &request, &scheduler.site, &scheduler.requests).unwrap_err();
    assert_eq!(share, RequestDenied::ShareExceeded);
    let same_stream = denied(|_| {}, |request| request.origin = origin(1));
    assert_eq!(same_stream, RequestDenied::OriginInUse);
}

#[test]
fn each_denial_reason_has_its_response() {
    let retry_after = Span::from_millis(40);
    let rejected = Outcome::Rejected { retry_after };
    let cases = [
        (RequestDenied::UnknownClass, Outcome::Failed, false),
        (RequestDenied::DuplicateCorrelationId, Outcome::Failed, false),
        (RequestDenied::DeadlinePassed, rejected.clone(), true),
        (RequestDenied::TooManyOpen, rejected.clone(), false),
        (RequestDenied::ShareExceeded, rejected.clone(), false),
        (RequestDenied::OriginInUse, rejected, false),
    ];
    for (reason, outcome, expired) in cases {
        assert_eq!(
            reason.response(retry_after),
            Response { outcome, expired },
            "{reason:?}"
        );
    }
}
