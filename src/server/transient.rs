//! Which failures of the system pass by themselves, so that what failed is worth another try, and for how long a start
//! tries.

use std::io::{self, ErrorKind};
use std::time::Duration;

/// How long a start goes on after failures that pass by themselves. A process that is restarted has to be ready within
/// 30 s (page STANDING).
pub(super) const START_PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two tries of a start.
pub(super) const START_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Errors of the system that [`ErrorKind`] has no name for and that pass once resources are freed.
const TRANSIENT_CODES: [i32; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::EIO];

/// Whether the same call may succeed a moment later: resources are short, an address is still held or not there yet,
/// a disk fails for a moment.
pub(super) fn is_transient(error: &io::Error) -> bool {
    let kind_passes = matches!(
        error.kind(),
        ErrorKind::AddrInUse
            | ErrorKind::AddrNotAvailable
            | ErrorKind::Interrupted
            | ErrorKind::NetworkDown
            | ErrorKind::NetworkUnreachable
            | ErrorKind::OutOfMemory
            | ErrorKind::WouldBlock
    );
    let code_passes = |code| TRANSIENT_CODES.contains(&code);
    kind_passes || error.raw_os_error().is_some_and(code_passes)
}
