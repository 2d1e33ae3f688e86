//! The system call failures that the `system-call-errors` fault can inject.

use fault_control::SystemCall;
use nix::errno::Errno;
use std::fmt;

/// A system call, the error with which it fails, and how often it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SystemCallFailure {
    pub(crate) call: SystemCall,
    pub(crate) error: Errno,
    /// The failure rate, in failed calls per thousand.
    pub(crate) rate_per_mille: u16,
}

const fn failure(call: SystemCall, error: Errno, rate_per_mille: u16) -> SystemCallFailure {
    SystemCallFailure {
        call,
        error,
        rate_per_mille,
    }
}

/// The failures that a fault can inject. The schedule of a seed depends on their number and order.
///
/// `accept4` and `epoll_wait` fail only on some calls, because a scheduler on which every call failed could
/// accept or serve no connection.
const FAILURES: [SystemCallFailure; 17] = [
    failure(SystemCall::Accept, Errno::ECONNABORTED, 900),
    failure(SystemCall::Accept, Errno::ENFILE, 600),
    failure(SystemCall::Accept, Errno::ENOBUFS, 600),
    failure(SystemCall::Connect, Errno::EADDRNOTAVAIL, 700),
    failure(SystemCall::Connect, Errno::ENETUNREACH, 1000),
    failure(SystemCall::Connect, Errno::ENOBUFS, 500),
    failure(SystemCall::Socket, Errno::ENFILE, 1000),
    failure(SystemCall::Socket, Errno::EMFILE, 500),
    failure(SystemCall::EpollControl, Errno::ENOMEM, 300),
    failure(SystemCall::EpollControl, Errno::ENOSPC, 1000),
    failure(SystemCall::EpollWait, Errno::EINTR, 800),
    failure(SystemCall::Receive, Errno::EINTR, 300),
    failure(SystemCall::Send, Errno::EINTR, 300),
    failure(SystemCall::Open, Errno::EMFILE, 1000),
    failure(SystemCall::Open, Errno::EIO, 700),
    failure(SystemCall::LogWrite, Errno::ENOSPC, 1000),
    failure(SystemCall::LogWrite, Errno::EIO, 500),
];

impl SystemCallFailure {
    /// Returns the failure that a fault's variant selects.
    pub(crate) fn of_variant(variant: u64) -> SystemCallFailure {
        FAILURES[variant as usize % FAILURES.len()]
    }
}

impl fmt::Display for SystemCallFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SystemCallFailure {
            call,
            error,
            rate_per_mille,
        } = self;
        write!(formatter, "{call:?} {error:?} {rate_per_mille}/1000")
    }
}
