//! Helpers that the interposed functions use to fail a call or to shorten its transfer.

use crate::control::control;
use fault_control::{Slot, SystemCall};
use libc::{c_int, c_long, size_t, socklen_t};

/// Makes a system call, unless an error is to be injected into it: then the call is not made and fails with
/// that error.
pub(crate) fn fail_or_call(call: SystemCall, make_call: impl FnOnce() -> c_long) -> c_long {
    match injected_error(call) {
        Some(error) => fail(error),
        None => make_call(),
    }
}

/// Makes a system call on a descriptor like [`fail_or_call`], but injects errors only into calls on TCP
/// sockets.
pub(crate) fn fail_or_call_on_tcp(
    call: SystemCall,
    descriptor: c_int,
    make_call: impl FnOnce() -> c_long,
) -> c_long {
    match injected_error(call) {
        Some(error) if is_tcp(descriptor) => fail(error),
        _ => make_call(),
    }
}

/// Returns how many of the `length` requested bytes a call transfers.
///
/// If a short read or write is to be injected, the number is random: at least one, and less than `length`.
pub(crate) fn transfer_length(descriptor: c_int, length: size_t) -> size_t {
    let Some(control) = control() else {
        return length;
    };
    if length > 1 && control.should_inject(Slot::SHORT_IO_RATE) && is_tcp(descriptor) {
        1 + control.random_below(length - 1)
    } else {
        length
    }
}

fn injected_error(call: SystemCall) -> Option<c_int> {
    control()?.injected_error(call)
}

/// Sets the calling thread's `errno` and returns the result of a failed call.
fn fail(error: c_int) -> c_long {
    // SAFETY: the C library returns a valid pointer to the calling thread's `errno`.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns whether a descriptor is a TCP socket over IPv4, as opposed to a pipe inside the process.
///
/// The function takes every IPv4 socket for a TCP socket, because it checks only the address family.
fn is_tcp(descriptor: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: both pointers are to local variables of the types that the option requires.
    let result = unsafe {
        libc::getsockopt(
            descriptor,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            (&raw mut domain).cast(),
            &raw mut length,
        )
    };
    result == 0 && domain == libc::AF_INET
}
