//! What the interposed functions share: failing a call, and shortening one.

use crate::control::control;
use fault_control::{Slot, SystemCall};
use libc::{c_int, c_long, size_t, socklen_t};

/// Fails with the injected error if this call has to fail, else makes the system call.
pub(crate) fn fail_or_call(call: SystemCall, make_call: impl FnOnce() -> c_long) -> c_long {
    match injected_error(call) {
        Some(error) => fail(error),
        None => make_call(),
    }
}

/// As [`fail_or_call`], but only calls on TCP sockets fail.
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

/// How many bytes to transfer where the caller wants `length`: fewer if a short read or write is due.
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

/// Sets the calling thread's error number and returns the result of a failed call.
fn fail(error: c_int) -> c_long {
    // SAFETY: the C library gives each thread a valid place for its error number.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Whether a descriptor is a TCP socket over IPv4, as opposed to a pipe between parts of the process.
fn is_tcp(descriptor: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: both pointers are to local variables of the sizes that the call expects.
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
