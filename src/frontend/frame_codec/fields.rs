//! The fields of a payload: `count:1`, then for each field `size:1 name size:2 value`.

use super::{FrameError, InvalidRequest};
use crate::frontend::conversions::parse_hex_id;

/// The fields at the start of a payload, and the bytes that follow them.
#[derive(Debug)]
pub struct Fields<'a> {
    /// The names and values in the order of the payload.
    pub pairs: Vec<(&'a str, &'a str)>,
    /// The bytes after the fields.
    pub rest: &'a [u8],
}

impl<'a> Fields<'a> {
    /// Returns the value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let field = self.pairs.iter().find(|(other, _)| *other == name);
        field.map(|(_, value)| *value)
    }

    pub(super) fn require(&self, name: &'static str) -> Result<&'a str, InvalidRequest> {
        self.get(name).ok_or(InvalidRequest::MissingField(name))
    }

    pub(super) fn require_id(&self, name: &'static str) -> Result<u64, InvalidRequest> {
        parse_hex_id(self.require(name)?).ok_or(InvalidRequest::InvalidId(name))
    }

    /// Returns whether a name occurs more than once. A frame may hold hundreds of names, so they are sorted rather
    /// than compared with each other.
    pub(super) fn has_duplicate_names(&self) -> bool {
        let mut names: Vec<&str> = self.pairs.iter().map(|(name, _)| *name).collect();
        names.sort_unstable();
        names.windows(2).any(|pair| pair[0] == pair[1])
    }
}

/// Splits `count` bytes off the start of a slice; fails if the slice is shorter.
fn take<'a>(bytes: &mut &'a [u8], count: usize) -> Result<&'a [u8], FrameError> {
    let (part, rest) = bytes.split_at_checked(count).ok_or(FrameError::TruncatedFields)?;
    *bytes = rest;
    Ok(part)
}

fn take_u8(bytes: &mut &[u8]) -> Result<usize, FrameError> {
    let part = take(bytes, 1)?;
    Ok(usize::from(part[0]))
}

fn take_u16(bytes: &mut &[u8]) -> Result<usize, FrameError> {
    let part = take(bytes, 2)?;
    Ok(usize::from(u16::from_be_bytes([part[0], part[1]])))
}

fn take_text<'a>(bytes: &mut &'a [u8], count: usize) -> Result<&'a str, FrameError> {
    let part = take(bytes, count)?;
    std::str::from_utf8(part).map_err(|_| FrameError::FieldNotText)
}

/// Decodes the fields at the start of a payload.
///
/// # Errors
///
/// Returns [`FrameError::TruncatedFields`] if the payload ends within the fields, and
/// [`FrameError::FieldNotText`] if a name or value is not UTF-8.
pub fn decode_fields(payload: &[u8]) -> Result<Fields<'_>, FrameError> {
    let mut rest = payload;
    let count = take_u8(&mut rest)?;
    let mut pairs = Vec::with_capacity(count);
    for _ in 0..count {
        let name_length = take_u8(&mut rest)?;
        let name = take_text(&mut rest, name_length)?;
        let value_length = take_u16(&mut rest)?;
        let value = take_text(&mut rest, value_length)?;
        pairs.push((name, value));
    }
    Ok(Fields { pairs, rest })
}

/// Encodes fields with these names and values.
///
/// The format allows at most 255 fields, names of at most 255 bytes and values of at most 65,535 bytes.
pub fn encode_fields(pairs: &[(&str, &str)]) -> Vec<u8> {
    let mut bytes = vec![pairs.len() as u8];
    for (name, value) in pairs {
        bytes.push(name.len() as u8);
        bytes.extend(name.as_bytes());
        bytes.extend((value.len() as u16).to_be_bytes());
        bytes.extend(value.as_bytes());
    }
    bytes
}
