//! Tests that every status code of the page WIRE is decoded for attempts, load orders and health checks.

use super::decode_events;
use function_scheduler::*;
use std::fmt::Debug;

/// Asserts the status to which `decode` maps each code of the page WIRE.
fn assert_statuses<Status: Debug + PartialEq>(decode: impl Fn(u8) -> Status, expected: [(u8, Status); 9]) {
    for (code, status) in expected {
        assert_eq!(decode(code), status, "code {code}");
    }
}

/// Decodes an `ANSWER` record with the status `code`.
fn attempt_status(code: u8) -> AttemptStatus {
    let answer = format!("05 0000001a 0003 5d3a91c4 0000 0a124a07 1f43 {code:02x} 00000000011a49a0 01 19 00");
    let [Event::AttemptFinished(outcome)] = decode_events([&answer]) else {
        panic!("code {code}")
    };
    outcome.status
}

/// Decodes a `STANDS` record with the status `code`.
fn load_status(code: u8) -> LoadStatus {
    let stands = format!("0b 0000001a 0003 01 0a9011f2 1f6c 000000002625a000 {code:02x} 0000007c55d20a01");
    let [Event::LoadFinished(outcome)] = decode_events([&stands]) else {
        panic!("code {code}")
    };
    outcome.status
}

/// Decodes a `PROBE_RESULT` record with the status `code`.
fn health_check_status(code: u8) -> HealthCheckStatus {
    let probe_result = format!("08 00000011 0003 0000000000155cc0 {code:02x} 0a9011f2 1f6c");
    let [Event::HealthCheckFinished { status, .. }] = decode_events([&probe_result]) else {
        panic!("code {code}")
    };
    status
}

#[test]
fn every_status_code_of_an_attempt_is_decoded() {
    let expected = [
        (0, AttemptStatus::Ok),
        (13, AttemptStatus::Error),
        (8, AttemptStatus::AtCapacity),
        (4, AttemptStatus::Timeout),
        (14, AttemptStatus::ConnectFailed),
        (10, AttemptStatus::Reset),
        (1, AttemptStatus::Cancelled),
        (9, AttemptStatus::Expired),
        (5, AttemptStatus::Miss),
    ];
    assert_statuses(attempt_status, expected);
}

#[test]
fn every_status_code_of_a_load_order_is_decoded() {
    let expected = [
        (0, LoadStatus::Ok),
        (13, LoadStatus::Error),
        (8, LoadStatus::AtCapacity),
        (4, LoadStatus::Timeout),
        (14, LoadStatus::ConnectFailed),
        (10, LoadStatus::Reset),
        (1, LoadStatus::Timeout),
        (9, LoadStatus::NotSent),
        (5, LoadStatus::Timeout),
    ];
    assert_statuses(load_status, expected);
}

#[test]
fn every_status_code_of_a_health_check_is_decoded() {
    let expected = [
        (0, HealthCheckStatus::Alive),
        (13, HealthCheckStatus::Failed),
        (8, HealthCheckStatus::Failed),
        (4, HealthCheckStatus::Timeout),
        (14, HealthCheckStatus::Failed),
        (10, HealthCheckStatus::Failed),
        (1, HealthCheckStatus::Failed),
        (9, HealthCheckStatus::Failed),
        (5, HealthCheckStatus::Failed),
    ];
    assert_statuses(health_check_status, expected);
}
