//! Identifiers of workers, functions, requests, classes, tenants, places and connections.

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
    /// A worker; the same for all schedulers, and kept when its process restarts.
    WorkerId(u64);
    /// A function (or model) that a worker can load.
    FunctionId(u64);
    /// A request as the scheduler numbers it; never used twice.
    RequestId(u32);
    /// Place of a class in [`Settings::classes`](super::Settings::classes).
    ClassId(u16);
    /// Place of a tenant in [`Settings::tenants`](super::Settings::tenants).
    TenantId(u16);
    /// Place of a zone in [`Site::zones`](super::Site::zones). Requests that cross zones may cost something.
    ZoneId(u8);
    /// A cell: a small group of workers that drop repeats of each other's keyed requests.
    CellId(u16);
    /// Place of a machine kind in
    /// [`LoadingSettings::worker_memory_mb`](super::LoadingSettings::worker_memory_mb) and in
    /// [`Site::kinds`](super::Site::kinds).
    KindId(u8);
    /// A connection, to a client or to a worker; never used twice in a process.
    ConnectionId(u64);
    /// A request on its client's connection, as the frontend numbers it; never used twice on a connection.
    StreamId(u64);
}

/// Lets these identifiers stand in the log as plain numbers.
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
