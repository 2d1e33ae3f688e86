//! The memory for the bodies of open requests.

use super::*;

/// The largest body (page PROTOCOL), in bytes.
const LARGEST_BODY: usize = 16 << 10;
/// Number of clients that the page PROTOCOL allows with the most descriptors of the page TERMS.
const CLIENTS: u64 = 341;
/// The least memory of the page TERMS, in bytes.
const LEAST_MEMORY: usize = 32 << 20;
/// Number of requests that a client may have open on a connection (page PROTOCOL).
const OPEN_PER_CONNECTION: u64 = 32;

/// Submits a request with the largest body. Returns whether it is accepted.
fn accepts(scheduler: &mut Scheduler, connection: u64, stream: u64) -> bool {
    let number = connection * OPEN_PER_CONNECTION + stream;
    let request = ClientRequest {
        origin: RequestOrigin {
            connection: ConnectionId(connection),
            stream: StreamId(stream),
        },
        correlation_id: format!("{number:016x}"),
        parameters: RequestParameters {
            body: vec![0; LARGEST_BODY],
            ..client_request(stream, IDEMPOTENT_CLASS).parameters
        },
    };
    let origin = request.origin;
    scheduler.submit(at_millis(0), request);
    scheduler.requests.id_at(origin).is_some()
}

fn limited_scheduler() -> Scheduler {
    let mut scheduler = test_scheduler();
    scheduler.set_memory_limit(LEAST_MEMORY);
    scheduler
}

/// Guards against usual clients whose large requests are rejected because bad clients fill the memory for bodies
/// (second review, case 8): whatever any number of greedy clients hold, every other client may have one request with
/// the largest body.
#[test]
fn every_client_may_have_a_largest_body_beside_any_number_of_greedy_ones() {
    for greedy in [0, 1, 5, 10, 25, 60, 150, 340] {
        let mut scheduler = limited_scheduler();
        for _ in 0..OPEN_PER_CONNECTION {
            for connection in 0..greedy {
                let stream = 1 + scheduler.requests.len() as u64;
                accepts(&mut scheduler, connection, stream);
            }
        }
        for connection in greedy..CLIENTS {
            assert!(
                accepts(&mut scheduler, connection, 1_000_000),
                "client {connection} beside {greedy} greedy ones"
            );
        }
        let bytes = scheduler.requests.body_bytes();
        assert!(
            bytes <= LEAST_MEMORY * 2 / 9,
            "{bytes} bytes beside {greedy} greedy ones"
        );
    }
}

#[test]
fn a_few_clients_may_have_all_requests_that_the_protocol_permits() {
    let mut scheduler = limited_scheduler();
    for stream in 1..=OPEN_PER_CONNECTION {
        assert!(accepts(&mut scheduler, 1, stream), "{stream}");
    }
}

#[test]
fn a_request_that_ends_frees_its_body() {
    let mut scheduler = limited_scheduler();
    let mut accepted = 0;
    while accepts(&mut scheduler, 1, accepted + 1) {
        accepted += 1;
    }
    let held = scheduler.requests.body_bytes();
    assert!(held > 0);
    for stream in 1..=accepted {
        let origin = RequestOrigin {
            connection: ConnectionId(1),
            stream: StreamId(stream),
        };
        scheduler.cancel(at_millis(0), origin);
    }
    assert_eq!(scheduler.requests.body_bytes(), 0);
    assert!(accepts(&mut scheduler, 1, 1_000));
}
