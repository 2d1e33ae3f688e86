//! The layout of the control file, through which `fault-soak` tells `fault-shim` which faults to inject.
//!
//! The file is an array of [`SLOTS`] signed 64-bit integers in native byte order. The shim, which is loaded
//! into the process under test, maps the file and reads slots on each intercepted call; `fault-soak` writes
//! slots while the process runs.

/// The environment variable that holds the path of the control file.
pub const CONTROL_VARIABLE: &str = "FAULT_CONTROL";
/// The number of slots in the control file.
pub const SLOTS: usize = 64;
/// The length of the control file in bytes.
pub const FILE_BYTES: usize = SLOTS * SLOT_BYTES;
/// The length of a slot in bytes.
const SLOT_BYTES: usize = size_of::<i64>();
/// The index of the first slot that belongs to a system call.
const FIRST_CALL_SLOT: usize = 8;
/// The number of slots that each system call has: one for its error and one for its failure rate.
const SLOTS_PER_CALL: usize = 2;

/// The position of one integer in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot(usize);

impl Slot {
    /// The slot of the offset that is added to the wall clock, in nanoseconds.
    pub const WALL_CLOCK_OFFSET: Slot = Slot(0);
    /// The slot of the rate of short reads and writes on TCP sockets, per thousand.
    pub const SHORT_IO_RATE: Slot = Slot(1);
    /// The slot of the seed of the shim's random number generator.
    pub const RANDOM_SEED: Slot = Slot(2);

    /// Returns the slot of the error number (`errno`) that a system call fails with.
    ///
    /// While the slot holds 0, no call fails.
    pub const fn error_of(call: SystemCall) -> Slot {
        Slot(FIRST_CALL_SLOT + SLOTS_PER_CALL * call as usize)
    }

    /// Returns the slot of the failure rate of a system call, per thousand.
    pub const fn failure_rate_of(call: SystemCall) -> Slot {
        Slot(Slot::error_of(call).0 + 1)
    }

    /// Returns the index of the slot in the control file.
    pub const fn index(self) -> usize {
        self.0
    }

    /// Returns the offset of the slot from the start of the control file, in bytes.
    pub const fn byte_offset(self) -> u64 {
        (self.0 * SLOT_BYTES) as u64
    }
}

/// A system call in which failures can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept4`
    Accept,
    /// `connect`
    Connect,
    /// `socket`
    Socket,
    /// `epoll_ctl` that adds or modifies a registration
    EpollControl,
    /// `epoll_wait`
    EpollWait,
    /// `recv` on a TCP socket
    Receive,
    /// `send` on a TCP socket
    Send,
    /// `open64`
    Open,
    /// `write` to standard error
    LogWrite,
}
