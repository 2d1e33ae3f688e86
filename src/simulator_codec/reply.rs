//! Encoding of the reply to a batch: a header followed by action records.

use super::codes::ActionCode;
use super::error::WireError;
use super::ids::InstanceId;
use crate::{Action, WorkerId};
use std::io::Write;

/// Maximum length of the text of a `FAULT` record, in bytes.
const MAX_FAULT_LENGTH: usize = 1000;
/// Value of the field `active` of `TRACK` that subscribes.
const SUBSCRIBE: u8 = 1;
/// Value of the field `mark` of `WAKE_ME`.
///
/// The policy keeps its own timers, so it does not need the mark to tell them apart.
const TIMER_MARK: u32 = 0;
/// Size of the length field of a record, in bytes.
const LENGTH_FIELD_SIZE: usize = 4;

/// Builder of the reply to a batch.
#[derive(Debug, Default)]
pub struct Reply {
    record_count: u32,
    records: Vec<u8>,
}

impl Reply {
    /// Appends the record of an action of `instance`.
    pub fn add_action(&mut self, instance: InstanceId, action: &Action) {
        self.add_record(ActionCode::from(action), instance, |fields| {
            encode_action(fields, action)
        });
    }

    /// Appends a `FAULT` record, which reports that `instance` cannot continue.
    ///
    /// The text is truncated to the maximum length.
    pub fn add_fault(&mut self, instance: InstanceId, text: &str) {
        let length = text.len().min(MAX_FAULT_LENGTH);
        let text = &text.as_bytes()[..length];
        self.add_record(ActionCode::Fault, instance, |fields| {
            fields.u16(length as u16).bytes(text);
        });
    }

    /// Writes the reply to `output` and flushes it.
    ///
    /// # Errors
    ///
    /// Returns an error if writing or flushing fails.
    pub fn write_to(self, output: &mut impl Write) -> Result<(), WireError> {
        let written = output.write_all(&self.into_bytes()).and_then(|()| output.flush());
        written.map_err(WireError::WriteReply)
    }

    /// Returns the encoded reply: the number of records, their total length in bytes, and the records.
    pub fn into_bytes(self) -> Vec<u8> {
        let mut bytes = Vec::new();
        bytes.extend(self.record_count.to_be_bytes());
        bytes.extend((self.records.len() as u32).to_be_bytes());
        bytes.extend(self.records);
        bytes
    }

    fn add_record(
        &mut self,
        code: ActionCode,
        instance: InstanceId,
        encode_fields: impl FnOnce(&mut FieldWriter),
    ) {
        self.record_count += 1;
        self.records.push(code as u8);
        let length_offset = self.records.len();
        let fields_offset = length_offset + LENGTH_FIELD_SIZE;
        self.records.resize(fields_offset, 0);
        let mut fields = FieldWriter {
            bytes: &mut self.records,
        };
        encode_fields(fields.u16(instance.0));
        let length = (self.records.len() - fields_offset) as u32;
        self.records[length_offset..fields_offset].copy_from_slice(&length.to_be_bytes());
    }
}

/// Encodes the fields of an action, except the instance, in their order on the page WIRE.
fn encode_action(fields: &mut FieldWriter, action: &Action) {
    match action {
        Action::Send { id, worker, timeout } => fields.u32(id.0).u64(timeout.0).worker(*worker),
        Action::Cancel { id, attempt } => fields.u32(id.0).u16(*attempt),
        Action::Reject { id, retry_after, .. } => fields.u32(id.0).u64(retry_after.0),
        Action::Fail { id } => fields.u32(id.0),
        Action::Load {
            worker,
            function,
            instances,
        } => fields.worker(*worker).u8(*instances).u64(function.0),
        Action::Unload { worker, function } => fields.worker(*worker).u64(function.0),
        Action::HealthCheck { worker } => fields.worker(*worker),
        Action::SetTimer { delay } => fields.u64(delay.0).u32(TIMER_MARK),
        Action::Subscribe => fields.u8(SUBSCRIBE),
    };
}

/// Appends fields to a record.
struct FieldWriter<'a> {
    bytes: &'a mut Vec<u8>,
}

impl FieldWriter<'_> {
    fn bytes(&mut self, field: &[u8]) -> &mut Self {
        self.bytes.extend_from_slice(field);
        self
    }

    fn u8(&mut self, value: u8) -> &mut Self {
        self.bytes(&value.to_be_bytes())
    }

    fn u16(&mut self, value: u16) -> &mut Self {
        self.bytes(&value.to_be_bytes())
    }

    fn u32(&mut self, value: u32) -> &mut Self {
        self.bytes(&value.to_be_bytes())
    }

    fn u64(&mut self, value: u64) -> &mut Self {
        self.bytes(&value.to_be_bytes())
    }

    /// Appends the address and the port of a worker, which are the low six bytes of its id.
    fn worker(&mut self, worker: WorkerId) -> &mut Self {
        self.bytes(&worker.0.to_be_bytes()[2..])
    }
}
