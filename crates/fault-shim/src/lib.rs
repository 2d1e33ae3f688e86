//! A library that a process preloads (LD_PRELOAD) so that the soak can inject faults of the operating system into it:
//! a wall clock that is stepped, system calls that fail in documented ways, reads and writes that are cut short.
//!
//! What to inject stands in a file that [`fault_control`] describes and that the process maps. Without that file every
//! call passes unchanged. Each function here stands in for the C library's of the same name and makes the system call
//! itself, so that it needs no look-up of the original.

mod control;

use control::{control, fails};
use fault_control::{SHORT_IO_SLOT, SystemCall, WALL_CLOCK_SLOT};
use libc::{
    c_int, c_long, c_void, clockid_t, epoll_event, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Sets the calling thread's error number and gives the result of a call that failed.
fn failure(error: c_int) -> c_long {
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

/// The number of bytes to ask for, where so many are wanted on this descriptor.
fn shortened(descriptor: c_int, length: size_t) -> size_t {
    let Some(control) = control() else {
        return length;
    };
    if length > 1 && control.happens(SHORT_IO_SLOT) && is_tcp(descriptor) {
        1 + control.random_below(length - 1)
    } else {
        length
    }
}

/// Stands in for the C library's function: the wall clock is off by what the control file says.
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
    let offset = control().map_or(0, |control| control.read(WALL_CLOCK_SLOT));
    // SAFETY: the call has succeeded, so that the pointer is valid.
    let time = unsafe { &mut *time };
    let nanoseconds = time.tv_sec * NANOSECONDS_PER_SECOND + time.tv_nsec + offset;
    time.tv_sec = nanoseconds.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND);
    0
}

/// Stands in for the C library's function.
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
    if let Some(error) = fails(SystemCall::Accept) {
        return failure(error) as c_int;
    }
    // SAFETY: the caller's pointers are passed on.
    unsafe { libc::syscall(libc::SYS_accept4, descriptor, address, length, flags) as c_int }
}

/// Stands in for the C library's function.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(error) = fails(SystemCall::Connect) {
        return failure(error) as c_int;
    }
    // SAFETY: the caller's pointer is passed on.
    unsafe { libc::syscall(libc::SYS_connect, descriptor, address, length) as c_int }
}

/// Stands in for the C library's function.
#[unsafe(no_mangle)]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(error) = fails(SystemCall::Socket) {
        return failure(error) as c_int;
    }
    // SAFETY: the call takes no pointer.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// Stands in for the C library's function.
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
    if operation != libc::EPOLL_CTL_DEL
        && let Some(error) = fails(SystemCall::EpollControl)
    {
        return failure(error) as c_int;
    }
    // SAFETY: the caller's pointer is passed on.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, epoll, operation, descriptor, event) as c_int }
}

/// Stands in for the C library's function.
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
    if let Some(error) = fails(SystemCall::EpollWait) {
        return failure(error) as c_int;
    }
    // SAFETY: the caller's pointer is passed on.
    unsafe { libc::syscall(libc::SYS_epoll_wait, epoll, events, capacity, timeout) as c_int }
}

/// Stands in for the C library's function.
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
    if let Some(error) = fails(SystemCall::Receive)
        && is_tcp(descriptor)
    {
        return failure(error) as ssize_t;
    }
    let length = shortened(descriptor, length);
    let none = std::ptr::null::<c_void>();
    // SAFETY: the caller's buffer is passed on, with its length or less.
    unsafe { libc::syscall(libc::SYS_recvfrom, descriptor, buffer, length, flags, none, none) as ssize_t }
}

/// Stands in for the C library's function.
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
    if let Some(error) = fails(SystemCall::Send)
        && is_tcp(descriptor)
    {
        return failure(error) as ssize_t;
    }
    let length = shortened(descriptor, length);
    let none = std::ptr::null::<c_void>();
    // SAFETY: the caller's buffer is passed on, with its length or less.
    unsafe { libc::syscall(libc::SYS_sendto, descriptor, buffer, length, flags, none, 0) as ssize_t }
}

/// Stands in for the C library's function.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const libc::c_char, flags: c_int, mode: mode_t) -> c_int {
    if let Some(error) = fails(SystemCall::Open) {
        return failure(error) as c_int;
    }
    // SAFETY: the caller's pointer is passed on.
    unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int }
}

/// Stands in for the C library's function.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if descriptor == libc::STDERR_FILENO
        && let Some(error) = fails(SystemCall::LogWrite)
    {
        return failure(error) as ssize_t;
    }
    // SAFETY: the caller's buffer is passed on.
    unsafe { libc::syscall(libc::SYS_write, descriptor, buffer, length) as ssize_t }
}
