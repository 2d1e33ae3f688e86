//! A preloaded library (`LD_PRELOAD`) through which `fault-soak` injects operating system faults into a
//! process.
//!
//! The faults are steps of the wall clock, system calls that fail with documented errors, and short reads and
//! writes.
//!
//! The library reads the faults to inject from the control file, whose layout [`fault_control`] defines.
//! Without that file every call is made unchanged. Each function here interposes the C library's function of
//! the same name and makes the system call itself, so that it does not have to look up the original function.

mod control;
mod injection;

use control::control;
use fault_control::{Slot, SystemCall};
use injection::{fail_or_call, fail_or_call_on_tcp, transfer_length};
use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use std::ptr::null;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Interposes the C library's `clock_gettime` and adds the injected offset to the wall clock.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's pointer is passed on.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) } as c_int;
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    let offset = control().map_or(0, |control| control.read(Slot::WALL_CLOCK_OFFSET));
    // SAFETY: the system call has succeeded, so the pointer is valid.
    let time = unsafe { &mut *time };
    let nanoseconds = time.tv_sec * NANOSECONDS_PER_SECOND + time.tv_nsec + offset;
    time.tv_sec = nanoseconds.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND);
    0
}

/// Interposes the C library's `accept4`, which may fail.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    fail_or_call(SystemCall::Accept, || {
        // SAFETY: the caller's pointers are passed on.
        unsafe { libc::syscall(libc::SYS_accept4, descriptor, address, length, flags) }
    }) as c_int
}

/// Interposes the C library's `connect`, which may fail.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    fail_or_call(SystemCall::Connect, || {
        // SAFETY: the caller's pointer is passed on.
        unsafe { libc::syscall(libc::SYS_connect, descriptor, address, length) }
    }) as c_int
}

/// Interposes the C library's `socket`, which may fail.
#[unsafe(no_mangle)]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail_or_call(SystemCall::Socket, || {
        // SAFETY: the call takes no pointer.
        unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) }
    }) as c_int
}

/// Interposes the C library's `epoll_ctl`, which may fail to add or modify a registration but not to remove
/// one.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    let make_call = || {
        // SAFETY: the caller's pointer is passed on.
        unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll, operation, descriptor, event) }
    };
    let result = if operation == libc::EPOLL_CTL_DEL {
        make_call()
    } else {
        fail_or_call(SystemCall::EpollControl, make_call)
    };
    result as c_int
}

/// Interposes the C library's `epoll_wait`, which may fail.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    capacity: c_int,
    timeout: c_int,
) -> c_int {
    fail_or_call(SystemCall::EpollWait, || {
        // SAFETY: the caller's pointer is passed on.
        unsafe { libc::syscall(libc::SYS_epoll_wait, epoll, events, capacity, timeout) }
    }) as c_int
}

/// Interposes the C library's `recv`, which may fail or read fewer bytes than requested on TCP sockets.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    fail_or_call_on_tcp(SystemCall::Receive, descriptor, || {
        let length = transfer_length(descriptor, length);
        let address = null::<c_void>();
        let address_length = null::<c_void>();
        // SAFETY: the caller's buffer is passed on, with its length or less.
        unsafe {
            libc::syscall(
                libc::SYS_recvfrom,
                descriptor,
                buffer,
                length,
                flags,
                address,
                address_length,
            )
        }
    }) as ssize_t
}

/// Interposes the C library's `send`, which may fail or write fewer bytes than requested on TCP sockets.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    fail_or_call_on_tcp(SystemCall::Send, descriptor, || {
        let length = transfer_length(descriptor, length);
        let address = null::<c_void>();
        // SAFETY: the caller's buffer is passed on, with its length or less.
        unsafe { libc::syscall(libc::SYS_sendto, descriptor, buffer, length, flags, address, 0) }
    }) as ssize_t
}

/// Interposes the C library's `open64`, which may fail.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    fail_or_call(SystemCall::Open, || {
        // SAFETY: the caller's pointer is passed on.
        unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) }
    }) as c_int
}

/// Interposes the C library's `write`, which may fail on standard error, the destination of the log.
///
/// # Safety
///
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let make_call = || {
        // SAFETY: the caller's buffer is passed on.
        unsafe { libc::syscall(libc::SYS_write, descriptor, buffer, length) }
    };
    let result = if descriptor == libc::STDERR_FILENO {
        fail_or_call(SystemCall::LogWrite, make_call)
    } else {
        make_call()
    };
    result as ssize_t
}
