//! The shared file by which `fault-soak` tells `fault-shim`, inside a process, which faults to inject.
//!
//! The file is a sequence of [`SLOTS`] signed 64-bit numbers in the machine's byte order. The shim maps the file and
//! reads a slot whenever the process makes a call; `fault-soak` writes slots while the process runs.

/// The environment variable that names the file.
pub const CONTROL_VARIABLE: &str = "FAULT_CONTROL";
/// Slots in the file.
pub const SLOTS: usize = 64;
/// Length of the file in bytes.
pub const FILE_BYTES: usize = SLOTS * SLOT_BYTES;
/// Length of a slot in bytes.
const SLOT_BYTES: usize = size_of::<i64>();
/// The first slot of the system calls that fail.
const FIRST_CALL_SLOT: usize = 8;
/// Each system call has a slot for its error and one for its failure rate.
const SLOTS_PER_CALL: usize = 2;

/// The place of one number in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot(usize);

impl Slot {
    /// Nanoseconds that are added to the wall clock.
    pub const WALL_CLOCK_OFFSET: Slot = Slot(0);
    /// How many of a thousand reads and writes of TCP sockets are short.
    pub const SHORT_IO_RATE: Slot = Slot(1);
    /// Seed of the shim's random choices.
    pub const RANDOM_SEED: Slot = Slot(2);

    /// The error number that a system call fails with; 0 for none.
    pub const fn error_of(call: SystemCall) -> Slot {
        Slot(FIRST_CALL_SLOT + SLOTS_PER_CALL * call as usize)
    }

    /// How many of a thousand system calls of this kind fail.
    pub const fn failure_rate_of(call: SystemCall) -> Slot {
        Slot(Slot::error_of(call).0 + 1)
    }

    /// Its index among the slots.
    pub const fn index(self) -> usize {
        self.0
    }

    /// Its offset in the file in bytes.
    pub const fn byte_offset(self) -> u64 {
        (self.0 * SLOT_BYTES) as u64
    }
}

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
