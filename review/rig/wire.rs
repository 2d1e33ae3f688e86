//! The frames that clients and schedulers exchange, base64, and random ids.

use std::io::{self, Read};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

pub const REQUEST: u8 = 0;
pub const ANSWER: u8 = 1;
pub const READY: u8 = 6;
pub const READY_ANSWER: u8 = 7;
pub const SERVED: u8 = 79;

/// Encodes a frame.
pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = ((payload.len() + 5) as u32).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Encodes the fields of a payload.
pub fn fields(pairs: &[(&str, &str)]) -> Vec<u8> {
    let mut bytes = vec![pairs.len() as u8];
    for (name, value) in pairs {
        bytes.push(name.len() as u8);
        bytes.extend(name.as_bytes());
        bytes.extend((value.len() as u16).to_be_bytes());
        bytes.extend(value.as_bytes());
    }
    bytes
}

/// A frame that a scheduler has sent.
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

/// Reads one frame.
pub fn read_frame(input: &mut impl Read) -> io::Result<Frame> {
    let mut length = [0; 4];
    input.read_exact(&mut length)?;
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    input.read_exact(&mut bytes)?;
    if bytes.len() < 5 {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let payload = bytes.split_off(5);
    let stream = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
    Ok(Frame {
        kind: bytes[0],
        stream,
        payload,
    })
}

/// Returns the body of an answer: what follows its code and its fields.
pub fn answer_body(payload: &[u8]) -> &[u8] {
    let count = payload.get(1).copied().unwrap_or(0);
    let mut at = 2;
    for _ in 0..count {
        at += 1 + usize::from(payload[at]);
        at += 2 + usize::from(u16::from_be_bytes([payload[at], payload[at + 1]]));
    }
    payload.get(at..).unwrap_or_default()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes base64.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}

/// Decodes base64, ignoring what is not a digit.
pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut held) = (Vec::new(), 0u32, 0);
    for digit in text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
    {
        bits = bits << 6 | digit as u32;
        held += 6;
        if held >= 8 {
            held -= 8;
            bytes.push((bits >> held) as u8);
        }
    }
    bytes
}

/// Returns a random number, different with each call.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(Ordering::Relaxed) == 0 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        STATE.store(now.as_nanos() as u64 | 1, Ordering::Relaxed);
    }
    let mut value = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a random id of 16 hexadecimal digits.
pub fn random_id() -> String {
    format!("{:016x}", random())
}
