//! Attempt outcomes that the policy is notified of, and the numbers of exchanges.

use super::*;
use crate::model::LoadMetric;

/// Creates a scheduler with three additional workers, whose settings name two load metrics.
fn scheduler_with_load_metrics() -> Scheduler {
    let mut scheduler = test_scheduler();
    scheduler.site.load_metric_names = vec!["inflight".into(), "util".into()];
    scheduler.site.settings.load_metrics = vec![LoadMetric::InFlight, LoadMetric::Utilization];
    scheduler.policy.configure(scheduler.site.settings.clone());
    let endpoints = (3..6)
        .map(|n| endpoint_in_state(WorkerId(n), EndpointState::Ready))
        .collect();
    update_endpoints(&mut scheduler, at_millis(0), endpoints);
    scheduler
}

fn metric(name: &str, value: f32) -> ReportedMetric {
    ReportedMetric {
        name: name.to_owned(),
        value,
    }
}

/// Guards against load reports being lost between the codec and the policy. In the recording
/// rennes-campus, case4356, a hundred schedulers kept sending to a worker that reported its queue to each of
/// them.
#[test]
fn a_load_report_reaches_the_policy_unless_a_value_is_missing() {
    let cases = [
        (vec![metric("util", 1.0), metric("inflight", 90.0)], true),
        (vec![metric("util", 1.0)], false),
    ];
    for (load_report, is_avoided) in cases {
        let mut scheduler = scheduler_with_load_metrics();
        let first = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS));
        scheduler.attempt_written(at_millis(1), first.id);
        scheduler.record_load_report(first.id, &load_report);
        scheduler.attempt_ended(at_millis(2), first.id, Ok(WorkerResponse::Ok(vec![])));
        let next = sent_attempt(&submit(&mut scheduler, 2, IDEMPOTENT_CLASS));
        assert_eq!(next.worker != first.worker, is_avoided, "{load_report:?}");
    }
}

/// An attempt that the scheduler itself denied does not count against its worker. The policy must not treat
/// the worker like one that refuses connections, which receives no attempts for a while.
#[test]
fn an_attempt_that_was_not_sent_does_not_penalize_its_worker() {
    let mut scheduler = test_scheduler();
    let first = sent_attempt(&submit(&mut scheduler, 1, IDEMPOTENT_CLASS));
    scheduler.attempt_not_sent(at_millis(1), first.id);
    let second = sent_attempt(&drain_commands(&mut scheduler));
    assert_eq!(second.worker, first.worker, "still the function's primary worker");
    scheduler.attempt_ended(at_millis(2), second.id, connection_lost(WriteProgress::NotSent));
    let third = sent_attempt(&drain_commands(&mut scheduler));
    assert_ne!(third.worker, first.worker, "it refused a connection");
}

/// The backend derives correlation ids on the same connections from both numbers, so they must differ.
#[test]
fn load_orders_and_health_checks_are_numbered_in_one_sequence() {
    let mut scheduler = test_scheduler();
    let LoadOrderId(first) = start_load_order(&mut scheduler, at_millis(0));
    scheduler.execute_action(at_millis(0), Action::HealthCheck { worker: WorkerId(1) });
    let Some(Command::HealthCheck { check, .. }) = scheduler.next_command() else {
        panic!("no check")
    };
    assert_eq!(check, HealthCheckId(first.wrapping_add(1)));
    assert_eq!(
        start_load_order(&mut scheduler, at_millis(0)),
        LoadOrderId(first.wrapping_add(2))
    );
}
