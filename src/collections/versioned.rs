//! A value that is computed once for each version of its input.

/// A cached value and the version of the input that it was computed from; version 0 is the default value's.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versioned<T> {
    value: T,
    version: u64,
}

impl<T> Versioned<T> {
    /// The value for `version`, computed if the cached one is of another.
    pub(crate) fn get_or_compute(&mut self, version: u64, compute: impl FnOnce() -> T) -> &T {
        if self.version != version {
            self.value = compute();
            self.version = version;
        }
        &self.value
    }
}
