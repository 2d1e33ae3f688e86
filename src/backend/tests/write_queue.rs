//! Tests of the write queue, above all of the write progress of commands whose connection closes.

use super::{attempt, load_command, send_command};
use crate::backend::correlation::Exchange;
use crate::backend::worker_command::WorkerCommand;
use crate::backend::write_queue::{UnfinishedExchange, WriteQueue};
use crate::model::Time;
use crate::scheduler::{AttemptId, HealthCheckId, LoadOrderId, WriteProgress};

const FIRST_ATTEMPT: AttemptId = attempt(1, 0);
const SECOND_ATTEMPT: AttemptId = attempt(2, 0);
const ORDER: LoadOrderId = LoadOrderId(3);
const CHECK: HealthCheckId = HealthCheckId(4);

fn health_check() -> WorkerCommand {
    WorkerCommand::HealthCheck {
        check: CHECK,
        deadline: Time(1),
    }
}

/// Returns the write progress of each exchange when the connection closes.
fn progress(queue: &WriteQueue, open: &[Exchange], unsent_bytes: usize) -> Vec<(Exchange, WriteProgress)> {
    let unfinished = queue.unfinished(open.iter().copied(), unsent_bytes);
    let pair = |entry: UnfinishedExchange| (entry.exchange, entry.progress);
    unfinished.into_iter().map(pair).collect()
}

#[test]
fn a_command_that_waits_has_not_been_sent() {
    let mut queue = WriteQueue::default();
    queue.push(send_command(FIRST_ATTEMPT));
    queue.push(load_command(ORDER));
    queue.push(health_check());
    let exchanges = [
        Exchange::HealthCheck(CHECK),
        Exchange::LoadOrder(ORDER),
        Exchange::Attempt(FIRST_ATTEMPT),
    ];
    let expected = vec![
        (Exchange::Attempt(FIRST_ATTEMPT), WriteProgress::NotSent),
        (Exchange::LoadOrder(ORDER), WriteProgress::NotSent),
        (Exchange::HealthCheck(CHECK), WriteProgress::NotSent),
    ];
    assert_eq!(
        progress(&queue, &exchanges, 0),
        expected,
        "each once, in the order of the queue"
    );
}

#[test]
fn commands_without_a_response_are_not_reported() {
    let mut queue = WriteQueue::default();
    queue.push(WorkerCommand::Cancel {
        attempt: FIRST_ATTEMPT,
    });
    queue.push(WorkerCommand::Unload {
        function: super::FUNCTION,
    });
    assert_eq!(progress(&queue, &[], 0), vec![]);
    assert_eq!(queue.len(), 2);
}

#[test]
fn a_command_with_unsent_bytes_is_partially_written_and_those_before_it_written() {
    let mut queue = WriteQueue::default();
    let open = [
        Exchange::Attempt(FIRST_ATTEMPT),
        Exchange::Attempt(SECOND_ATTEMPT),
    ];
    queue.begin_write(open[0]);
    assert_eq!(queue.finish_write(), Some(open[0]));
    queue.begin_write(open[1]);
    let expected = vec![
        (open[0], WriteProgress::Written),
        (open[1], WriteProgress::PartiallyWritten),
    ];
    assert_eq!(progress(&queue, &open, 1), expected);
}

#[test]
fn a_command_without_unsent_bytes_is_written_even_before_finish_write() {
    let mut queue = WriteQueue::default();
    let exchange = Exchange::LoadOrder(ORDER);
    queue.begin_write(exchange);
    assert_eq!(
        progress(&queue, &[exchange], 0),
        vec![(exchange, WriteProgress::Written)]
    );
}

#[test]
fn a_health_check_is_never_partially_written() {
    let queue = WriteQueue::default();
    let exchange = Exchange::HealthCheck(CHECK);
    assert_eq!(
        progress(&queue, &[exchange], 1),
        vec![(exchange, WriteProgress::Written)]
    );
}

#[test]
fn only_a_waiting_send_can_be_removed() {
    let mut queue = WriteQueue::default();
    queue.push(send_command(FIRST_ATTEMPT));
    queue.push(send_command(SECOND_ATTEMPT));
    assert!(queue.remove_send(SECOND_ATTEMPT));
    assert!(!queue.remove_send(SECOND_ATTEMPT));
    assert!(queue.pop().is_some(), "the first attempt's command");
    assert!(!queue.remove_send(FIRST_ATTEMPT));
    assert!(queue.pop().is_none());
}

#[test]
fn a_queue_is_idle_when_nothing_waits_or_is_being_written() {
    let mut queue = WriteQueue::default();
    assert!(queue.is_idle());
    queue.push(load_command(ORDER));
    assert!(!queue.is_idle());
    queue.pop();
    queue.begin_write(Exchange::LoadOrder(ORDER));
    assert!(!queue.is_idle());
    queue.finish_write();
    assert!(queue.is_idle());
}
