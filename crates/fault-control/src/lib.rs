//! The shared file by which the soak tells the shim inside a process which faults to inject.
//!
//! The file is a sequence of [`SLOTS`] signed 64-bit numbers in the machine's byte order. The shim maps it and reads a
//! slot whenever a call passes; the soak writes slots while the process runs.

/// The environment variable that names the file.
pub const CONTROL_VARIABLE: &str = "FAULT_CONTROL";
/// Numbers in the file.
pub const SLOTS: usize = 64;
/// Bytes of a number.
pub const SLOT_BYTES: usize = 8;
/// Nanoseconds that the wall clock is stepped by.
pub const WALL_CLOCK_SLOT: usize = 0;
/// Of a thousand reads and writes of TCP sockets, so many are cut short.
pub const SHORT_IO_SLOT: usize = 1;
/// Seed of the shim's random choices.
pub const SEED_SLOT: usize = 2;
/// The first slot of the system calls that fail; each has two.
const FIRST_CALL_SLOT: usize = 8;

/// A system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept4`
    Accept,
    /// `connect`
    Connect,
    /// `socket`
    Socket,
    /// `epoll_ctl`, where it adds or changes a registration
    EpollControl,
    /// `epoll_wait`
    EpollWait,
    /// `recv` on a TCP socket
    Receive,
    /// `send` on a TCP socket
    Send,
    /// `open`
    Open,
    /// `write` to standard error
    LogWrite,
}

impl SystemCall {
    /// All of them, in the order of their slots.
    pub const ALL: [SystemCall; 9] = [
        SystemCall::Accept,
        SystemCall::Connect,
        SystemCall::Socket,
        SystemCall::EpollControl,
        SystemCall::EpollWait,
        SystemCall::Receive,
        SystemCall::Send,
        SystemCall::Open,
        SystemCall::LogWrite,
    ];

    /// The slot of the error number that the call fails with; 0 for none.
    pub fn error_slot(self) -> usize {
        FIRST_CALL_SLOT + 2 * self as usize
    }

    /// The slot that says how many of a thousand calls fail.
    pub fn rate_slot(self) -> usize {
        self.error_slot() + 1
    }
}
