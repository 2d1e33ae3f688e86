//! The share of the open requests that each client connection may have.

use crate::model::ConnectionId;
use crate::scheduler::open_request_share::OpenRequestShare;

const LIMIT: usize = 1024;
/// Maximum number of open requests that the page PROTOCOL lets a client have on a connection.
const OPEN_PER_CONNECTION: usize = 32;

/// Opens requests on a connection as long as its share allows, up to [`OPEN_PER_CONNECTION`] in all.
fn fill(share: &mut OpenRequestShare, connection: ConnectionId, open: &mut usize) {
    while *open < OPEN_PER_CONNECTION && share.allows(connection) {
        share.open(connection);
        *open += 1;
    }
}

/// Guards against clients with many requests that leave none for the others (review, ids that no worker knows).
#[test]
fn a_connection_without_requests_may_open_some_beside_any_number_of_greedy_ones() {
    let mut share = OpenRequestShare::default();
    share.set_limit(LIMIT);
    let mut open = vec![0; 336];
    for (connection, open) in open.iter_mut().enumerate() {
        fill(&mut share, ConnectionId(connection as u64), open);
    }
    assert!(share.allows(ConnectionId(1_000)));
    assert!(
        open.iter().sum::<usize>() <= LIMIT + open.len(),
        "each may have one"
    );
}

#[test]
fn a_few_connections_may_have_all_that_the_protocol_permits() {
    let mut share = OpenRequestShare::default();
    share.set_limit(LIMIT);
    for connection in 0..20 {
        let mut open = 0;
        fill(&mut share, ConnectionId(connection), &mut open);
        assert_eq!(open, OPEN_PER_CONNECTION);
    }
}

#[test]
fn a_request_that_ends_frees_its_place() {
    let mut share = OpenRequestShare::default();
    share.set_limit(1);
    let connection = ConnectionId(1);
    share.open(connection);
    assert!(!share.allows(connection));
    share.close(connection);
    assert!(share.allows(connection));
    share.close(connection);
    assert!(share.allows(connection), "closing it again has no effect");
}

/// Guards against retries of requests that no worker can serve, which use up the capacity that others need
/// (review, ids that no worker knows).
#[test]
fn connections_whose_requests_end_in_errors_share_few_open_requests_until_one_is_served() {
    let mut share = OpenRequestShare::default();
    share.set_limit(LIMIT);
    let connections: Vec<ConnectionId> = (0..100).map(ConnectionId).collect();
    for connection in &connections {
        for _ in 0..20 {
            share.open(*connection);
            share.close(*connection);
            share.record_error(*connection);
        }
    }
    let mut open = 0;
    for connection in &connections {
        if share.allows(*connection) {
            share.open(*connection);
            open += 1;
        }
    }
    assert_eq!(open, 16);
    let other = ConnectionId(1_000);
    assert!(share.allows(other), "it has had no errors");
    share.record_served(connections[99]);
    assert!(share.allows(connections[99]));
    share.forget(connections[0]);
    assert!(share.allows(connections[98]), "a place is free again");
}
