//! Conversions from the values that both protocols encode to the scheduler's types.

use super::limits::{MAX_TIMEOUT_MILLIS, RESPONSE_TRANSIT_TIME};
use crate::model::{Span, Time};

/// Number of hexadecimal digits in an id.
const HEX_ID_DIGITS: usize = 16;

/// Parses an id of 16 hexadecimal digits; returns `None` for any other text.
pub(super) fn parse_hex_id(text: &str) -> Option<u64> {
    let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != HEX_ID_DIGITS || !is_hex {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Returns when the response to a request received at `now` must be sent, given how many milliseconds the
/// client waits for it.
pub(super) fn response_deadline(now: Time, timeout_millis: u64) -> Time {
    let timeout = Span::from_millis(timeout_millis.min(MAX_TIMEOUT_MILLIS));
    now + Span(timeout.0.saturating_sub(RESPONSE_TRANSIT_TIME.0))
}

/// Converts the load time of a function from milliseconds; 0 means unknown and gives `None`.
pub(super) fn load_time(millis: f64) -> Option<Span> {
    let span = Span::from_millis_f64(millis);
    (span.0 > 0).then_some(span)
}
