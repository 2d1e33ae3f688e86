//! Identifiers of workers, functions, requests, classes, tenants, zones, cells, machine kinds and
//! connections.

use std::fmt;

/// Defines identifiers as newtypes over integers.
macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// Id of a worker, the same for all schedulers and across restarts of the worker's process.
    WorkerId(u64);
    /// Id of a function (or model) that a worker can load.
    FunctionId(u64);
    /// Id that the scheduler assigns to a request; never reused.
    RequestId(u32);
    /// Index of a class in [`Settings::classes`](super::Settings::classes).
    ClassId(u16);
    /// Index of a tenant in [`Settings::tenants`](super::Settings::tenants).
    TenantId(u16);
    /// Index of a zone in [`Site::zones`](super::Site::zones). Requests that cross zones may have a cost.
    ZoneId(u8);
    /// Id of a cell: a small group of workers that drop repeats of each other's requests with an
    /// idempotency key.
    CellId(u16);
    /// Index of a machine kind in
    /// [`LoadingSettings::worker_memory_mb`](super::LoadingSettings::worker_memory_mb) and in
    /// [`Site::kinds`](super::Site::kinds).
    KindId(u8);
    /// Id of a connection to a client or a worker; never reused within a process.
    ConnectionId(u64);
    /// Id that the frontend assigns to a request on its client's connection; never reused on the
    /// connection.
    StreamId(u64);
}

/// Implements `Display` for identifiers, which prints them as plain numbers in the log.
macro_rules! display_as_number {
    ($($name:ident),*) => {$(
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    )*};
}

display_as_number!(RequestId, ConnectionId, StreamId);
