//! Access to the mapped control file, which holds the faults to inject.

use fault_control::{CONTROL_VARIABLE, FILE_BYTES, SLOTS, Slot, SystemCall};
use libc::c_int;
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};

/// The denominator of the rates in the control file, which are per thousand.
const RATE_DENOMINATOR: usize = 1000;

/// The mapped control file and the random number generator that decides which calls are affected.
pub(crate) struct Control {
    slots: &'static [AtomicI64; SLOTS],
    random: Mutex<fastrand::Rng>,
}

static CONTROL: OnceLock<Option<Control>> = OnceLock::new();

/// Returns the control file, or `None` if the environment names none or it cannot be mapped.
///
/// The first call maps the file.
pub(crate) fn control() -> Option<&'static Control> {
    CONTROL.get_or_init(map_control_file).as_ref()
}

impl Control {
    /// Returns the value of a slot.
    pub(crate) fn read(&self, slot: Slot) -> i64 {
        self.slots[slot.index()].load(Ordering::Relaxed)
    }

    /// Returns the error that a call is to fail with, or `None` if the call is to be made.
    pub(crate) fn injected_error(&self, call: SystemCall) -> Option<c_int> {
        let error = self.read(Slot::error_of(call));
        (error != 0 && self.should_inject(Slot::failure_rate_of(call))).then_some(error as c_int)
    }

    /// Decides at random whether to inject a fault whose rate, per thousand, is in the slot `rate`.
    pub(crate) fn should_inject(&self, rate: Slot) -> bool {
        let rate = self.read(rate);
        rate > 0 && (self.random_below(RATE_DENOMINATOR) as i64) < rate
    }

    /// Returns a random number below `bound`.
    pub(crate) fn random_below(&self, bound: usize) -> usize {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.usize(..bound)
    }
}

/// Maps the control file.
///
/// The file is opened with raw system calls, because this library interposes the C library's functions.
fn map_control_file() -> Option<Control> {
    let path = std::env::var_os(CONTROL_VARIABLE)?;
    let path = CString::new(path.as_bytes()).ok()?;
    // SAFETY: the path ends with a zero byte. The mapping is as long as the file, is never unmapped, and is
    // accessed only through atomics.
    unsafe {
        let file = libc::syscall(
            libc::SYS_openat,
            libc::AT_FDCWD,
            path.as_ptr(),
            libc::O_RDONLY | libc::O_CLOEXEC,
        );
        if file < 0 {
            return None;
        }
        let any_address = std::ptr::null_mut();
        let address = libc::mmap(
            any_address,
            FILE_BYTES,
            libc::PROT_READ,
            libc::MAP_SHARED,
            file as c_int,
            0,
        );
        libc::syscall(libc::SYS_close, file);
        if address == libc::MAP_FAILED {
            return None;
        }
        let slots = &*address.cast::<[AtomicI64; SLOTS]>();
        let seed = slots[Slot::RANDOM_SEED.index()].load(Ordering::Relaxed) as u64;
        Some(Control {
            slots,
            random: Mutex::new(fastrand::Rng::with_seed(seed)),
        })
    }
}
