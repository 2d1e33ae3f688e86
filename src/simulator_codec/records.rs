//! Decoding of the event records of a batch, with one function for each kind of record.

use super::batch::{Batch, HEADER_LENGTH};
use super::codes::{AnswerRemark, EventCode};
use super::cursor::FieldCursor;
use super::error::{RecordLocation, WireError};
use super::ids::{InstanceId, ListId};
use crate::{
    AttemptOutcome, CellId, ClassId, Endpoint, EndpointSource, EndpointUpdateKind, Event, FunctionId,
    IncomingRequest, KindId, LoadOutcome, RequestId, Span, TenantId, Time, ZoneId,
};

/// A decoded record of a batch.
#[derive(Debug)]
pub enum Record {
    /// A scheduler instance starts with an empty state.
    OpenInstance {
        /// Instance that starts.
        instance: InstanceId,
        /// Seed of the instance's random number generator.
        seed: u64,
        /// Settings of the instance, as JSON text.
        settings: Vec<u8>,
    },
    /// An instance was killed, and its state is discarded.
    CloseInstance {
        /// Instance that was killed.
        instance: InstanceId,
    },
    /// An endpoint list to which later updates of any instance refer.
    ///
    /// The list replaces an earlier one with the same identifier.
    EndpointList {
        /// Identifier of the list.
        list: ListId,
        /// Endpoints of the list.
        endpoints: Vec<Endpoint>,
    },
    /// Discovery reports an endpoint update, or a failed call, to an instance.
    EndpointUpdate {
        /// Instance that receives the update.
        instance: InstanceId,
        /// Whether the list is a delta or a snapshot, or the call failed.
        kind: EndpointUpdateKind,
        /// The list with the endpoints; meaningless if the call failed.
        list: ListId,
    },
    /// Any other event for an instance.
    Event {
        /// Instance that receives the event.
        instance: InstanceId,
        /// Event that the instance handles.
        event: Event,
    },
    /// A record of an unknown kind, or of a kind that the scheduler does not use.
    Ignored,
}

/// Decodes all records of a batch.
///
/// # Errors
///
/// Returns an error for the first record that is missing, does not match its length or contains an unknown
/// code, and for bytes after the last record.
pub fn read_records(batch: &Batch) -> Result<Vec<Record>, WireError> {
    let location = RecordLocation {
        name: "records",
        position: HEADER_LENGTH,
    };
    let mut input = FieldCursor::new(&batch.records, location);
    let mut records = Vec::new();
    for index in 0..batch.record_count {
        records.push(read_record(&mut input, index)?);
    }
    match input.remaining() {
        0 => Ok(records),
        length => Err(WireError::TrailingBytes {
            length,
            count: batch.record_count,
        }),
    }
}

fn read_record(input: &mut FieldCursor, index: u32) -> Result<Record, WireError> {
    let position = HEADER_LENGTH + input.offset();
    let code = input
        .u8()
        .map_err(|_| WireError::MissingRecord { index, position })?;
    let length = input.u32()? as usize;
    let event = EventCode::from_code(code);
    let name = event.map_or("record", EventCode::name);
    let location = RecordLocation { name, position };
    let fields = input.bytes(length).map_err(|_| WireError::InvalidRecordLength {
        record: location,
        length,
    })?;
    match event {
        Some(event) => decode_record(event, &mut FieldCursor::new(fields, location)),
        None => Ok(Record::Ignored),
    }
}

fn decode_record(event: EventCode, fields: &mut FieldCursor) -> Result<Record, WireError> {
    match event {
        EventCode::OpenInstance => open_instance(fields),
        EventCode::Kill => close_instance(fields),
        EventCode::Roster => endpoint_list(fields),
        EventCode::Sync => endpoint_update(fields),
        EventCode::Accept => instance_event(fields, request_received),
        EventCode::Answer => instance_event(fields, attempt_finished),
        EventCode::CancelledByClient => instance_event(fields, client_disconnected),
        EventCode::Timer => instance_event(fields, |_| Ok(Event::TimerFired)),
        EventCode::ProbeResult => instance_event(fields, health_check_finished),
        EventCode::Stands => instance_event(fields, load_finished),
        EventCode::Started | EventCode::NoteFrom => Ok(Record::Ignored),
    }
}

fn open_instance(fields: &mut FieldCursor) -> Result<Record, WireError> {
    let instance = InstanceId(fields.u16()?);
    let seed = fields.u64()?;
    let settings_length = fields.u32()? as usize;
    let settings = fields.bytes(settings_length)?.to_vec();
    Ok(Record::OpenInstance {
        instance,
        seed,
        settings,
    })
}

fn close_instance(fields: &mut FieldCursor) -> Result<Record, WireError> {
    let instance = InstanceId(fields.u16()?);
    Ok(Record::CloseInstance { instance })
}

fn endpoint_list(fields: &mut FieldCursor) -> Result<Record, WireError> {
    let list = ListId(fields.u16()?);
    let count = fields.u32()?;
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(endpoint(fields)?);
    }
    Ok(Record::EndpointList { list, endpoints })
}

fn endpoint(fields: &mut FieldCursor) -> Result<Endpoint, WireError> {
    // Rust evaluates the fields of a struct literal in the order in which they are written, which is their
    // order on the wire.
    Ok(Endpoint {
        zone: ZoneId(fields.u8()?),
        cell: CellId(fields.u16()?),
        state: fields.code()?,
        source: EndpointSource::Discovery,
        worker: fields.worker()?,
        weight: f64::from(fields.f32()?),
        started_at: Some(Time(fields.u64()?)).filter(|started_at| started_at.0 > 0),
        kind: KindId(fields.u8()?),
    })
}

fn endpoint_update(fields: &mut FieldCursor) -> Result<Record, WireError> {
    let instance = InstanceId(fields.u16()?);
    let _version = fields.u32()?;
    let kind = fields.code()?;
    let list = ListId(fields.u16()?);
    Ok(Record::EndpointUpdate { instance, kind, list })
}

/// Decodes an event record: the instance, then the fields of the event with `decode_event`.
fn instance_event(
    fields: &mut FieldCursor,
    decode_event: fn(&mut FieldCursor) -> Result<Event, WireError>,
) -> Result<Record, WireError> {
    let instance = InstanceId(fields.u16()?);
    let event = decode_event(fields)?;
    Ok(Record::Event { instance, event })
}

fn request_received(fields: &mut FieldCursor) -> Result<Event, WireError> {
    let id = RequestId(fields.u32()?);
    let concurrency = f64::from(fields.f32()?);
    let tenant = TenantId(fields.u16()?);
    let load_time = load_time(fields.f32()?);
    let class = ClassId(fields.u16()?);
    let remaining = Span(fields.u64()?);
    let _estimated_work = fields.u64()?;
    let _flags = fields.u8()?;
    let memory_mb = f64::from(fields.f32()?);
    let function = FunctionId(fields.u64()?);
    Ok(Event::RequestReceived(IncomingRequest {
        id,
        function,
        class,
        tenant,
        remaining,
        memory_mb,
        concurrency,
        load_time,
    }))
}

/// Converts the typical time of a load to a span; zero means that the time is unknown.
fn load_time(milliseconds: f32) -> Option<Span> {
    (milliseconds > 0.0).then_some(Span::from_millis_f64(f64::from(milliseconds)))
}

fn attempt_finished(fields: &mut FieldCursor) -> Result<Event, WireError> {
    let id = RequestId(fields.u32()?);
    let attempt = fields.u16()?;
    let _worker = fields.worker()?;
    let status = fields.code()?;
    let latency = Span(fields.u64()?);
    let request_finished = fields.u8()? != 0;
    let remark = AnswerRemark(fields.u8()?);
    let load_report = load_report(fields)?;
    Ok(Event::AttemptFinished(AttemptOutcome {
        id,
        attempt,
        status,
        latency,
        request_finished,
        instance_state: remark.instance_state(),
        function_in_flight: remark.function_in_flight(),
        load_report,
    }))
}

fn load_report(fields: &mut FieldCursor) -> Result<Vec<f32>, WireError> {
    let count = fields.u8()?;
    (0..count).map(|_| fields.f32()).collect()
}

fn client_disconnected(fields: &mut FieldCursor) -> Result<Event, WireError> {
    let id = RequestId(fields.u32()?);
    Ok(Event::ClientDisconnected(id))
}

fn health_check_finished(fields: &mut FieldCursor) -> Result<Event, WireError> {
    let _latency = fields.u64()?;
    let status = fields.code()?;
    let worker = fields.worker()?;
    Ok(Event::HealthCheckFinished { worker, status })
}

fn load_finished(fields: &mut FieldCursor) -> Result<Event, WireError> {
    let instances = u32::from(fields.u8()?);
    let worker = fields.worker()?;
    let latency = Span(fields.u64()?);
    let status = fields.code()?;
    let function = FunctionId(fields.u64()?);
    Ok(Event::LoadFinished(LoadOutcome {
        worker,
        function,
        instances,
        status,
        latency,
    }))
}
