//! The fault kinds. The first sentence of a kind's comment is its description on the command line.

use crate::recorder::DiscoveryEffect;
use clap::ValueEnum;
use std::ops::RangeInclusive;

/// A kind of fault.
///
/// The schedule of a seed depends on the order of the kinds, so new kinds are added at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ValueEnum)]
pub(crate) enum FaultKind {
    /// Sends SIGTERM to a scheduler and starts it again after it has exited.
    Terminate,
    /// Sends SIGKILL to a scheduler and starts it again after a pause.
    Kill,
    /// Moves the discovery service to its other address and sends SIGHUP to every scheduler.
    Reload,
    /// Acts like `reload`, but truncates one scheduler's configuration file and completes it later.
    ReloadTruncatedConfig,
    /// Pauses a scheduler's process with SIGSTOP and resumes it with SIGCONT.
    Pause,
    /// Steps a scheduler's wall clock by up to an hour, and back.
    ClockStep,
    /// Makes some or all invocations of one system call fail in a scheduler.
    SystemCallErrors,
    /// Makes a scheduler's reads and writes on TCP sockets transfer fewer bytes than requested.
    ShortIo,
    /// Stops reading a scheduler's log, so that its standard error pipe fills up.
    LogStall,
    /// Stops reading from the connections to a worker, so that their buffers fill up.
    WorkerStall,
    /// Makes a worker respond to some requests with errors.
    WorkerErrors,
    /// Makes a worker send lines that cannot be parsed in place of some responses.
    WorkerCorruptResponses,
    /// Makes a worker send some responses twice.
    WorkerDuplicateResponses,
    /// Drains a worker, removes it, and starts another process at its address.
    WorkerReplacement,
    /// Delays all bytes to and from a worker.
    NetworkDelay,
    /// Delivers the bytes to and from a worker a few at a time.
    NetworkFragmentation,
    /// Resets some of the connections to a worker.
    NetworkReset,
    /// Keeps the connections to a worker open but delivers nothing on them.
    NetworkBlackHole,
    /// Makes the discovery service close its connections, including new ones.
    DiscoveryDown,
    /// Keeps the connections to the discovery service open but sends nothing on them.
    DiscoveryBlackHole,
    /// Makes clients cancel requests or close connections with requests in flight.
    ClientsAbandonRequests,
    /// Makes clients send malformed frames with requests in flight.
    ClientsMalformedFrames,
    /// Makes clients ignore GOAWAY and send further requests on the connection.
    ClientsIgnoreGoAway,
    /// Opens many client connections that send nothing.
    ClientsIdle,
    /// Causes a discovery outage that outlasts all related timeouts and drains workers early and late in it.
    LongDiscoveryOutage,
    /// Sends a scheduler SIGHUP, SIGUSR1 and SIGTERM in a row, and again while it shuts down.
    SignalSeries,
    /// Makes many additional clients send requests to one scheduler.
    ClientsCrowd,
}

/// The range of the duration of most faults, in milliseconds.
const DURATIONS_MS: RangeInclusive<u64> = 200..=1_500;
/// The range of the duration of a long discovery outage, in milliseconds. Each duration is longer than the
/// maximum notification delay (4 s) and the grace period of a drain together.
const LONG_OUTAGE_DURATIONS_MS: RangeInclusive<u64> = 6_000..=9_000;

impl FaultKind {
    /// Returns the kind's name and description on the command line.
    pub(crate) fn name_and_description(self) -> (String, String) {
        let value = self.to_possible_value().expect("no kind is hidden");
        let description = value.get_help().map(ToString::to_string);
        (value.get_name().to_owned(), description.unwrap_or_default())
    }

    /// Returns the range of the duration of a fault of this kind, in milliseconds.
    pub(super) fn durations_ms(self) -> RangeInclusive<u64> {
        match self {
            FaultKind::LongDiscoveryOutage => LONG_OUTAGE_DURATIONS_MS,
            _ => DURATIONS_MS,
        }
    }

    /// Returns the effect of this kind on endpoint updates.
    pub(crate) fn discovery_effect(self) -> DiscoveryEffect {
        match self {
            FaultKind::DiscoveryDown | FaultKind::DiscoveryBlackHole | FaultKind::LongDiscoveryOutage => {
                DiscoveryEffect::Outage
            }
            FaultKind::Terminate
            | FaultKind::Kill
            | FaultKind::Reload
            | FaultKind::ReloadTruncatedConfig
            | FaultKind::Pause
            | FaultKind::SystemCallErrors
            | FaultKind::ShortIo
            | FaultKind::SignalSeries => DiscoveryEffect::DelaysUpdates,
            _ => DiscoveryEffect::None,
        }
    }
}
