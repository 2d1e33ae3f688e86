//! A library that a process preloads (LD_PRELOAD) so that `fault-soak` can inject faults of the operating system: wall
//! clock steps, system calls that fail in documented ways, short reads and writes.
//!
//! The process maps a file, described by [`fault_control`], that says what to inject. Without that file every call
//! passes unchanged. Each function here interposes the C library's function of the same name and makes the system call
//! itself, so that it needs no lookup of the original.

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

/// Interposes the C library's function: the wall clock is off by the injected offset.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's pointer is passed on.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) } as c_int;
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    let offset = control().map_or(0, |control| control.read(Slot::WALL_CLOCK_OFFSET));
    // SAFETY: the call has succeeded, so that the pointer is valid.
    let time = unsafe { &mut *time };
    let nanoseconds = time.tv_sec * NANOSECONDS_PER_SECOND + time.tv_nsec + offset;
    time.tv_sec = nanoseconds.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND);
    0
}

/// Interposes the C library's function.
///
/// # Safety
///
/// As the C library's.
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

/// Interposes the C library's function.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    fail_or_call(SystemCall::Connect, || {
        // SAFETY: the caller's pointer is passed on.
        unsafe { libc::syscall(libc::SYS_connect, descriptor, address, length) }
    }) as c_int
}

/// Interposes the C library's function.
#[unsafe(no_mangle)]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail_or_call(SystemCall::Socket, || {
        // SAFETY: the call takes no pointer.
        unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) }
    }) as c_int
}

/// Interposes the C library's function: adding or changing a registration may fail, removing one does not.
///
/// # Safety
///
/// As the C library's.
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

/// Interposes the C library's function.
///
/// # Safety
///
/// As the C library's.
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

/// Interposes the C library's function: on TCP sockets it may fail or read less than asked.
///
/// # Safety
///
/// As the C library's.
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

/// Interposes the C library's function: on TCP sockets it may fail or write less than asked.
///
/// # Safety
///
/// As the C library's.
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

/// Interposes the C library's function.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    fail_or_call(SystemCall::Open, || {
        // SAFETY: the caller's pointer is passed on.
        unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) }
    }) as c_int
}

/// Interposes the C library's function: writing to standard error, where the log goes, may fail.
///
/// # Safety
///
/// As the C library's.
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
