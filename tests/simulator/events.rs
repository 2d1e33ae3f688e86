//! Tests that event records in the format of the page WIRE are decoded.

use super::support::simulator_wire::ACCEPT;
use super::{FUNCTION, INSTANCE, OTHER_REQUEST, OTHER_WORKER, decode_events, decode_records};
use function_scheduler::simulator_codec::{ListId, Record};
use function_scheduler::*;

#[test]
fn endpoint_records_are_decoded_from_the_wire_format() {
    let roster = "0c 00000034 0000 00000002 00 0000 00 0a124a07 1f43 3f800000 0000000000000000 00 \
         01 0000 00 0a9011f2 1f6c 3fc00000 000000016b969d00 00";
    let sync = "02 00000009 0003 00000029 02 0000";
    let [
        Record::EndpointList {
            list: ListId(0),
            endpoints,
        },
        Record::EndpointUpdate { instance, kind, list },
    ] = decode_records([roster, sync])
    else {
        panic!("unexpected records")
    };
    assert_eq!(endpoints.len(), 2);
    assert_eq!(endpoints[0].started_at, None);
    assert_eq!(endpoints[1].zone, ZoneId(1));
    assert_eq!(endpoints[1].weight, 1.5);
    assert_eq!(endpoints[1].worker, OTHER_WORKER);
    assert_eq!(instance, INSTANCE);
    assert_eq!(kind, EndpointUpdateKind::CachedSnapshot);
    assert_eq!(list, ListId(0));
}

#[test]
fn request_and_outcome_records_are_decoded_from_the_wire_format() {
    let answer = "05 0000001a 0003 5d3a91c4 0000 0a124a07 1f43 00 00000000011a49a0 01 19 00";
    let probe_result = "08 0000001e 0003 0000000000155cc0 04 0a9011f2 1f6c 03 3f1eb8523ecccccd3fa00000";
    let [
        Event::RequestReceived(request),
        Event::AttemptFinished(outcome),
        Event::HealthCheckFinished { worker, status },
    ] = decode_events([ACCEPT, answer, probe_result])
    else {
        panic!("unexpected events")
    };
    assert_eq!(request.concurrency, 2.0);
    assert_eq!(request.memory_mb, 384.0);
    assert_eq!(request.load_time, None);
    assert_eq!(request.remaining, Span(240_000_000));
    assert_eq!(request.function, FUNCTION);
    assert_eq!(outcome.instance_state, InstanceState::Loaded);
    assert_eq!(outcome.function_in_flight, 3);
    assert!(outcome.request_finished);
    assert_eq!(worker, OTHER_WORKER);
    assert_eq!(status, HealthCheckStatus::Timeout);
}

#[test]
fn timer_client_and_load_records_are_decoded_from_the_wire_format() {
    let timer = "07 00000006 0003 0000004d";
    let cancelled_by_client = "06 00000006 0003 0e6f2b19";
    let stands = "0b 0000001a 0003 01 0a9011f2 1f6c 000000002625a000 00 0000007c55d20a01";
    let [
        Event::TimerFired,
        Event::ClientDisconnected(disconnected),
        Event::LoadFinished(outcome),
    ] = decode_events([timer, cancelled_by_client, stands])
    else {
        panic!("unexpected events")
    };
    assert_eq!(disconnected, OTHER_REQUEST);
    assert_eq!(outcome.instances, 1);
    assert_eq!(outcome.worker, OTHER_WORKER);
    assert_eq!(outcome.latency, Span(640_000_000));
    assert_eq!(outcome.status, LoadStatus::Ok);
    assert_eq!(outcome.function, FUNCTION);
}

#[test]
fn a_record_of_an_unknown_kind_is_ignored() {
    let [unknown, known] = decode_records(["63 00000001 ff", ACCEPT]);
    assert!(matches!(unknown, Record::Ignored));
    assert!(matches!(
        known,
        Record::Event {
            instance: INSTANCE,
            ..
        }
    ));
}
