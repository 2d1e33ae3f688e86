//! The control file, mapped: which faults to inject now.

use fault_control::{CONTROL_VARIABLE, FILE_BYTES, SLOTS, Slot, SystemCall};
use libc::c_int;
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};

/// Rates are given per mille.
const RATE_DENOMINATOR: usize = 1000;

/// The mapped control file, with the generator of the shim's random choices.
pub(crate) struct Control {
    slots: &'static [AtomicI64; SLOTS],
    random: Mutex<fastrand::Rng>,
}

static CONTROL: OnceLock<Option<Control>> = OnceLock::new();

/// The control file, if the environment names one that can be mapped.
pub(crate) fn control() -> Option<&'static Control> {
    CONTROL.get_or_init(map_control_file).as_ref()
}

impl Control {
    /// The number in a slot.
    pub(crate) fn read(&self, slot: Slot) -> i64 {
        self.slots[slot.index()].load(Ordering::Relaxed)
    }

    /// The error that this call has to fail with, if it has to fail.
    pub(crate) fn injected_error(&self, call: SystemCall) -> Option<c_int> {
        let error = self.read(Slot::error_of(call));
        (error != 0 && self.should_inject(Slot::failure_rate_of(call))).then_some(error as c_int)
    }

    /// Draws whether an event happens whose rate is in a slot.
    pub(crate) fn should_inject(&self, rate: Slot) -> bool {
        let rate = self.read(rate);
        rate > 0 && (self.random_below(RATE_DENOMINATOR) as i64) < rate
    }

    /// A random number below a bound.
    pub(crate) fn random_below(&self, bound: usize) -> usize {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.usize(..bound)
    }
}

/// Maps the file with raw system calls, because the C library's functions lead back to this library.
fn map_control_file() -> Option<Control> {
    let path = std::env::var_os(CONTROL_VARIABLE)?;
    let path = CString::new(path.as_bytes()).ok()?;
    // SAFETY: the path ends with a zero byte; the mapping is as long as the file, lasts as long as the process, and
    // is only accessed as atomic numbers.
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
