//! Codec of the VRRP version 3 advertisement for IPv4 (RFC 9568, section 5).

use crate::model::Span;
use std::net::Ipv4Addr;
use std::ops::Range;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Length of the longest advertisement, in bytes: the header and as many addresses as its count can express.
pub const MAX_MESSAGE_LENGTH: usize = HEADER_LENGTH + ADDRESS_LENGTH * MAX_ADDRESSES;
/// Largest Max Advertise Interval, in centiseconds; the field has 12 bits (RFC 9568, section 5.2.7).
pub const MAX_INTERVAL_CENTISECONDS: u16 = 0x0fff;

/// Protocol version, in the high four bits of the first byte (RFC 9568, section 5.2.1).
const VERSION: u8 = 3;
/// Packet type ADVERTISEMENT, the only one, in the low four bits of the first byte (RFC 9568, section 5.2.2).
const TYPE_ADVERTISEMENT: u8 = 1;
/// Length of the fields before the addresses, in bytes (RFC 9568, section 5.1).
const HEADER_LENGTH: usize = 8;
/// Position of the Checksum field in the message, in bytes (RFC 9568, section 5.1).
const CHECKSUM_FIELD: Range<usize> = 6..8;
/// Length of an IPv4 address, in bytes.
const ADDRESS_LENGTH: usize = 4;
/// Largest IPvX Addr Count; the field has one byte (RFC 9568, section 5.2.5).
const MAX_ADDRESSES: usize = u8::MAX as usize;
const MILLISECONDS_PER_CENTISECOND: u64 = 10;

/// Converts an interval from centiseconds, the unit of Max Advertise Interval.
pub fn interval_from_centiseconds(count: u16) -> Span {
    Span::from_millis(u64::from(count) * MILLISECONDS_PER_CENTISECOND)
}

/// The reason why a datagram is not a valid advertisement (RFC 9568, section 7.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The message is shorter than the header.
    #[error("cut short")]
    TooShort,
    /// The version is not 3.
    #[error("not version 3")]
    UnsupportedVersion,
    /// The type is not ADVERTISEMENT.
    #[error("not an advertisement")]
    UnknownType,
    /// The length of the message does not match IPvX Addr Count.
    #[error("length does not match the address count")]
    AddressCountMismatch,
    /// The message lists no address.
    #[error("no address")]
    NoAddress,
    /// The checksum does not match the message.
    #[error("checksum mismatch")]
    ChecksumMismatch,
    /// The Virtual Rtr ID or the Max Advertise Interval is zero.
    #[error("virtual router id or interval is zero")]
    ZeroField,
}

/// An advertisement that an active router sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// Virtual Router Identifier (VRID): 1 to 255.
    pub virtual_router_id: u8,
    /// Priority of the sender; [`PRIORITY_STOPPED`](super::PRIORITY_STOPPED) if it shuts down.
    pub priority: u8,
    /// Max Advertise Interval, the time between the sender's advertisements, in centiseconds: 1 to
    /// [`MAX_INTERVAL_CENTISECONDS`].
    pub interval_centiseconds: u16,
    /// IPvX Addresses, the 1 to 255 addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

impl Advertisement {
    /// Returns the time between the sender's advertisements.
    pub fn interval(&self) -> Span {
        interval_from_centiseconds(self.interval_centiseconds)
    }

    /// Encodes the message, including its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let [interval_high, interval_low] =
            (self.interval_centiseconds & MAX_INTERVAL_CENTISECONDS).to_be_bytes();
        let mut message = vec![
            VERSION << 4 | TYPE_ADVERTISEMENT,
            self.virtual_router_id,
            self.priority,
            self.addresses.len() as u8,
            interval_high,
            interval_low,
            0,
            0,
        ];
        for address in &self.addresses {
            message.extend(address.octets());
        }
        set_checksum(&mut message);
        message
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is not a valid advertisement; the receiver must drop it (RFC 9568,
    /// section 7.1).
    pub fn decode(message: &[u8]) -> Result<Advertisement, DecodeError> {
        let (header, addresses) = message
            .split_first_chunk::<HEADER_LENGTH>()
            .ok_or(DecodeError::TooShort)?;
        let [
            version_and_type,
            virtual_router_id,
            priority,
            address_count,
            interval @ ..,
            _,
            _,
        ] = *header;
        check_version_and_type(version_and_type)?;
        let addresses = decode_addresses(addresses, address_count)?;
        if internet_checksum(message) != 0 {
            return Err(DecodeError::ChecksumMismatch);
        }
        let interval_centiseconds = u16::from_be_bytes(interval) & MAX_INTERVAL_CENTISECONDS;
        if virtual_router_id == 0 || interval_centiseconds == 0 {
            return Err(DecodeError::ZeroField);
        }
        Ok(Advertisement {
            virtual_router_id,
            priority,
            interval_centiseconds,
            addresses,
        })
    }
}

fn check_version_and_type(version_and_type: u8) -> Result<(), DecodeError> {
    if version_and_type >> 4 != VERSION {
        return Err(DecodeError::UnsupportedVersion);
    }
    if version_and_type & 0x0f != TYPE_ADVERTISEMENT {
        return Err(DecodeError::UnknownType);
    }
    Ok(())
}

fn decode_addresses(bytes: &[u8], count: u8) -> Result<Vec<Ipv4Addr>, DecodeError> {
    let (addresses, rest) = bytes.as_chunks::<ADDRESS_LENGTH>();
    if !rest.is_empty() || addresses.len() != usize::from(count) {
        return Err(DecodeError::AddressCountMismatch);
    }
    if addresses.is_empty() {
        return Err(DecodeError::NoAddress);
    }
    Ok(addresses.iter().map(|octets| Ipv4Addr::from(*octets)).collect())
}

/// Calculates the checksum of a message and writes it to the Checksum field.
fn set_checksum(message: &mut [u8]) {
    message[CHECKSUM_FIELD].fill(0);
    let checksum = internet_checksum(message);
    message[CHECKSUM_FIELD].copy_from_slice(&checksum.to_be_bytes());
}

/// Calculates the Internet checksum (RFC 1071) of a message, without a pseudo-header.
///
/// The result is 0 if the message contains its own correct checksum.
fn internet_checksum(message: &[u8]) -> u16 {
    let mut sum: u32 = 0;
    for pair in message.chunks(2) {
        let high = pair[0];
        let low = pair.get(1).copied().unwrap_or(0);
        sum += u32::from(u16::from_be_bytes([high, low]));
    }
    while sum > u32::from(u16::MAX) {
        sum = (sum & u32::from(u16::MAX)) + (sum >> u16::BITS);
    }
    !(sum as u16)
}
