//! Which failures of the system are transient, so that what failed is retried, and for how long a start is retried.

use std::io::{self, ErrorKind};
use std::time::Duration;

/// How long a start is retried after transient failures. A process that is restarted has to be ready within 30 s (page
/// STANDING).
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between two attempts of a start.
pub(super) const START_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Errors of the system that [`ErrorKind`] has no name for and that end once resources are freed.
const TRANSIENT_CODES: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::EIO];

/// Whether the same call may succeed a moment later: resources are short, an address is still held or not there yet,
/// a disk fails for a moment.
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
