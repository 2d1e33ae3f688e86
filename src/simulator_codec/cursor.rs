//! Sequential decoding of the fields of a record.

use super::codes::FieldCode;
use super::error::{RecordLocation, WireError};
use crate::WorkerId;

/// Cursor over the fields of a record.
///
/// Each method that reads a field advances the cursor, and returns [`WireError::RecordCutShort`] if the
/// record ends inside the field.
pub(super) struct FieldCursor<'a> {
    bytes: &'a [u8],
    offset: usize,
    location: RecordLocation,
}

impl<'a> FieldCursor<'a> {
    /// Creates a cursor before the first field; `location` identifies the record in errors.
    pub(super) fn new(bytes: &'a [u8], location: RecordLocation) -> FieldCursor<'a> {
        FieldCursor {
            bytes,
            offset: 0,
            location,
        }
    }

    /// Returns the number of bytes read so far.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// Returns the number of bytes not read yet.
    pub(super) fn remaining(&self) -> usize {
        self.bytes.len() - self.offset
    }

    /// Reads the next `count` bytes.
    pub(super) fn bytes(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        let rest = &self.bytes[self.offset..];
        let Some(field) = rest.get(..count) else {
            return Err(WireError::RecordCutShort {
                record: self.location,
                field_length: count,
                offset: self.offset,
                available: self.bytes.len(),
            });
        };
        self.offset += count;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub(super) fn u8(&mut self) -> Result<u8, WireError> {
        self.array().map(u8::from_be_bytes)
    }

    pub(super) fn u16(&mut self) -> Result<u16, WireError> {
        self.array().map(u16::from_be_bytes)
    }

    pub(super) fn u32(&mut self) -> Result<u32, WireError> {
        self.array().map(u32::from_be_bytes)
    }

    pub(super) fn u64(&mut self) -> Result<u64, WireError> {
        self.array().map(u64::from_be_bytes)
    }

    pub(super) fn f32(&mut self) -> Result<f32, WireError> {
        self.array().map(f32::from_be_bytes)
    }

    /// Reads a worker id, which consists of the four-byte address and the two-byte port of the worker.
    pub(super) fn worker(&mut self) -> Result<WorkerId, WireError> {
        let address_and_port: [u8; 6] = self.array()?;
        let mut id = [0; 8];
        id[2..].copy_from_slice(&address_and_port);
        Ok(WorkerId(u64::from_be_bytes(id)))
    }

    /// Reads a one-byte code and returns its value, or [`WireError::UnknownCode`] for an undefined code.
    pub(super) fn code<T: FieldCode>(&mut self) -> Result<T, WireError> {
        let offset = self.offset;
        let code = self.u8()?;
        let unknown = WireError::UnknownCode {
            record: self.location,
            field: T::FIELD_NAME,
            code,
            offset,
        };
        T::from_code(code).ok_or(unknown)
    }
}
