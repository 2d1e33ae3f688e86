//! A temporary folder for a test.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A temporary folder of one test, which is removed on drop.
pub(crate) struct TempFolder {
    path: PathBuf,
}

impl TempFolder {
    /// Creates an empty folder.
    pub(crate) fn new() -> TempFolder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("function-scheduler-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).unwrap();
        TempFolder { path }
    }

    /// Returns the path of a file in the folder.
    pub(crate) fn file(&self, name: impl AsRef<Path>) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
