//! Conversions between values as both protocols write them and the scheduler's types.

use super::limits::{MAX_TIMEOUT_MILLIS, RESPONSE_TRANSIT_TIME};
use crate::model::{Span, Time};

/// Digits of an id in hexadecimal.
const HEX_ID_DIGITS: usize = 16;

/// Reads an id of 16 hex digits.
pub(super) fn parse_hex_id(text: &str) -> Option<u64> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != HEX_ID_DIGITS || !is_hex {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// When the response to a request received at `now` must be sent, if its client waits for so many
/// milliseconds.
pub(super) fn response_deadline(now: Time, timeout_millis: u64) -> Time {
    let timeout = Span::from_millis(timeout_millis.min(MAX_TIMEOUT_MILLIS));
    now + Span(timeout.0.saturating_sub(RESPONSE_TRANSIT_TIME.0))
}

/// The time that loading a function takes, from milliseconds; 0 means unknown.
pub(super) fn load_time(millis: f64) -> Option<Span> {
    let span = Span::from_millis_f64(millis);
    (span.0 > 0).then_some(span)
}
