//! Tests of the cluster's records, with the fixtures that they share.

mod attempts;
mod endpoints;
mod expiry;
mod function_memory;
mod functions;
mod instances;

use super::{Attempt, Cluster};
use crate::model::{
    CellId, ClassId, Endpoint, EndpointSource, EndpointState, EndpointUpdateKind, FunctionId,
    IncomingRequest, KindId, RequestId, Span, TenantId, Time, WorkerId, ZoneId,
};
use crate::stats::DecayingAverage;

const FUNCTION: FunctionId = FunctionId(7);
const SECOND: Span = Span::from_millis(1000);

fn endpoint(worker: u64) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        zone: ZoneId((worker % 2) as u8),
        cell: CellId(0),
        state: EndpointState::Ready,
        source: EndpointSource::Discovery,
        weight: 1.0,
        started_at: Some(Time(1)),
        kind: KindId(0),
    }
}

fn incoming(id: u32) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(id),
        function: FUNCTION,
        class: ClassId(0),
        tenant: TenantId(0),
        remaining: SECOND,
        memory_mb: 100.0,
        concurrency: 2.0,
        load_time: None,
    }
}

/// Creates a cluster of workers 1 to 3 with one class, whose usual latency is half a second.
fn cluster() -> Cluster {
    let mut cluster = Cluster {
        baseline_latency: vec![DecayingAverage::new(0.5)],
        ..Cluster::default()
    };
    cluster.update_endpoints(
        EndpointUpdateKind::Snapshot,
        (1..=3).map(endpoint).collect(),
        Time(10),
    );
    cluster
}

fn workers(cluster: &Cluster) -> Vec<u64> {
    cluster.workers.keys().map(|id| id.0).collect()
}

/// Adds a request and sends it to a worker.
fn send(cluster: &mut Cluster, id: u32, worker: u64, now: Time) -> Attempt {
    cluster.add_request(&incoming(id), SECOND, now);
    assert_eq!(
        cluster.begin_attempt(RequestId(id), WorkerId(worker), true, now),
        SECOND
    );
    cluster
        .attempts_on(WorkerId(worker))
        .last()
        .expect("an attempt")
        .1
}
