//! The mapped file that says which faults to inject.

use fault_control::{CONTROL_VARIABLE, SEED_SLOT, SLOT_BYTES, SLOTS, SystemCall};
use libc::c_int;
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Mutex, OnceLock};

/// What rates are counted in.
const PER_MILLE: usize = 1000;

/// The mapped file.
pub(crate) struct Control {
    slots: &'static [AtomicI64; SLOTS],
    random: Mutex<fastrand::Rng>,
}

static CONTROL: OnceLock<Option<Control>> = OnceLock::new();

/// The control file, if the environment names one that can be mapped.
pub(crate) fn control() -> Option<&'static Control> {
    CONTROL.get_or_init(map).as_ref()
}

/// The error that this call is to fail with, if it is to fail.
pub(crate) fn fails(call: SystemCall) -> Option<c_int> {
    let control = control()?;
    let error = control.read(call.error_slot());
    (error != 0 && control.happens(call.rate_slot())).then_some(error as c_int)
}

impl Control {
    /// The number in a slot.
    pub(crate) fn read(&self, slot: usize) -> i64 {
        self.slots[slot].load(Ordering::Relaxed)
    }

    /// Draws whether something happens whose rate stands in a slot.
    pub(crate) fn happens(&self, rate_slot: usize) -> bool {
        let rate = self.read(rate_slot);
        rate > 0 && (self.random_below(PER_MILLE) as i64) < rate
    }

    /// A random number below a bound.
    pub(crate) fn random_below(&self, bound: usize) -> usize {
        let mut random = self
            .random
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        random.usize(..bound)
    }
}

/// Maps the file by system calls alone, for the functions of the C library lead back here.
fn map() -> Option<Control> {
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
        let length = SLOTS * SLOT_BYTES;
        let none = std::ptr::null_mut();
        let address = libc::mmap(none, length, libc::PROT_READ, libc::MAP_SHARED, file as c_int, 0);
        libc::syscall(libc::SYS_close, file);
        if address == libc::MAP_FAILED {
            return None;
        }
        let slots = &*address.cast::<[AtomicI64; SLOTS]>();
        let seed = slots[SEED_SLOT].load(Ordering::Relaxed) as u64;
        Some(Control {
            slots,
            random: Mutex::new(fastrand::Rng::with_seed(seed)),
        })
    }
}
