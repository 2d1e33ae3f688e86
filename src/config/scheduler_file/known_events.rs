//! Watch events in the platform's file: those that the discovery service had published when the file was
//! written.

use super::document::{EndpointDocument, EventDocument, KnownDocument};
use crate::config::error::ConfigProblem;
use crate::config::worker::parse_worker_id;
use crate::discovery::{EndpointRecord, WatchEvent, started_at};
use crate::model::{CellId, Endpoint, EndpointSource, EndpointState, EndpointUpdateKind, Site};

/// Parses the events and sorts them by offset; the file may list them in any order.
pub(super) fn parse(known: &KnownDocument, site: &Site) -> Result<Vec<WatchEvent>, ConfigProblem> {
    let events = known.events.iter().map(|event| parse_event(event, site));
    let mut events: Vec<WatchEvent> = events.collect::<Result<_, _>>()?;
    events.sort_by_key(|event| event.offset);
    Ok(events)
}

fn parse_event(event: &EventDocument, site: &Site) -> Result<WatchEvent, ConfigProblem> {
    let list = &event.endpoint_list;
    let kind = if list.is_snapshot {
        EndpointUpdateKind::Snapshot
    } else {
        EndpointUpdateKind::Delta
    };
    let endpoints = list
        .endpoints
        .iter()
        .map(|endpoint| parse_endpoint(endpoint, site));
    Ok(WatchEvent {
        offset: event.offset,
        kind,
        endpoints: endpoints.collect::<Result<_, _>>()?,
    })
}

fn parse_endpoint(document: &EndpointDocument, site: &Site) -> Result<EndpointRecord, ConfigProblem> {
    let worker = parse_worker_id(&document.worker).ok_or_else(|| unknown_value("uid", &document.worker))?;
    let endpoint = Endpoint {
        worker,
        zone: site.zone_id(&document.zone),
        cell: CellId(document.cell),
        state: parse_state(&document.state)?,
        source: EndpointSource::Discovery,
        weight: document.weight,
        started_at: started_at(document.started_at_unix_ms),
        kind: site.kind_id(&document.kind),
    };
    Ok(EndpointRecord {
        endpoint,
        address: document.address,
    })
}

fn parse_state(value: &str) -> Result<EndpointState, ConfigProblem> {
    match value {
        "SERVING" => Ok(EndpointState::Ready),
        "DRAINING" => Ok(EndpointState::Draining),
        "DELETED" => Ok(EndpointState::Gone),
        other => Err(unknown_value("state", other)),
    }
}

fn unknown_value(key: &str, value: &str) -> ConfigProblem {
    ConfigProblem::unknown_value(format!("known: {key}"), value)
}
