//! Classification of system errors as transient, and the limits for retrying a start.

use std::io::{self, ErrorKind};
use std::time::Duration;

/// Time for which a start is retried after transient failures. A restarted process must be ready within 30 s
/// (page STANDING).
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between two attempts to start.
pub(super) const START_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Transient error codes that have no [`ErrorKind`] of their own.
const TRANSIENT_CODES: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::EIO];

/// Returns whether the same call may succeed if retried: resources are short, an address is still in use or
/// not yet available, or a disk fails temporarily.
pub(super) fn is_transient(error: &io::Error) -> bool {
    let is_transient_kind = matches!(
        error.kind(),
        ErrorKind::AddrInUse
            | ErrorKind::AddrNotAvailable
            | ErrorKind::Interrupted
            | ErrorKind::NetworkDown
            | ErrorKind::NetworkUnreachable
            | ErrorKind::OutOfMemory
            | ErrorKind::WouldBlock
    );
    let is_transient_code = |code| TRANSIENT_CODES.contains(&code);
    is_transient_kind || error.raw_os_error().is_some_and(is_transient_code)
}
