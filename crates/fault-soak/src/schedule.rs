//! Which faults are played when, as a seed gives it.

use clap::ValueEnum;
use fastrand::Rng;
use fault_control::SystemCall;
use std::fmt;
use std::time::Duration;

/// Faults that begin together.
const GROUP_SIZES: std::ops::RangeInclusive<usize> = 2..=3;
/// Time between the beginnings of two groups, in milliseconds.
const GROUP_INTERVALS_MS: std::ops::RangeInclusive<u64> = 500..=1_300;
/// How much later than its group a fault begins, in milliseconds.
const OFFSETS_MS: std::ops::RangeInclusive<u64> = 0..=250;
/// How long a fault lasts, in milliseconds.
const LENGTHS_MS: std::ops::RangeInclusive<u64> = 200..=1_500;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ValueEnum)]
pub(crate) enum FaultKind {
    /// SIGTERM, then a new start.
    Terminate,
    /// SIGKILL, then a new start.
    Kill,
    /// SIGHUP, with discovery at another address.
    Reload,
    /// SIGHUP while the file is half written; it is completed soon.
    ReloadHalfWritten,
    /// SIGSTOP, SIGCONT.
    Pause,
    /// The wall clock is stepped and stepped back.
    ClockStep,
    /// A system call fails now and then.
    SystemCall,
    /// Reads and writes are cut short.
    ShortIo,
    /// Nobody reads the log.
    LogStall,
    /// A worker reads nothing.
    WorkerStall,
    /// A worker answers errors.
    WorkerErrors,
    /// A worker's answers cannot be read.
    WorkerSpoils,
    /// A worker answers twice.
    WorkerRepeats,
    /// A worker drains, goes, and another process takes its address.
    WorkerReplaced,
    /// The network delays what goes to and from a worker.
    NetworkDelay,
    /// The network hands over a few bytes at a time.
    NetworkSplit,
    /// Connections to a worker are reset.
    NetworkReset,
    /// A worker's connections stay open and carry nothing.
    NetworkSilent,
    /// The discovery service closes its connections.
    DiscoveryDown,
    /// The discovery service says nothing.
    DiscoverySilent,
    /// Clients close and cancel with requests open.
    ClientsLeave,
    /// Clients send garbage with requests open.
    ClientsMalformed,
    /// Clients go on sending after they were asked to leave.
    ClientsStubborn,
    /// Clients connect by the dozen and say nothing.
    ClientsIdle,
}

impl FaultKind {
    /// Whether a scheduler may get to know of a change of the endpoint list late.
    pub(crate) fn delays_list(self) -> bool {
        matches!(
            self,
            FaultKind::Terminate
                | FaultKind::Kill
                | FaultKind::Reload
                | FaultKind::ReloadHalfWritten
                | FaultKind::Pause
                | FaultKind::SystemCall
                | FaultKind::ShortIo
                | FaultKind::DiscoveryDown
                | FaultKind::DiscoverySilent
        )
    }
}

/// A fault with its time.
#[derive(Clone, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) kind: FaultKind,
    /// Which scheduler or worker it hits, to be taken modulo their number.
    pub(crate) target: usize,
    pub(crate) begins_at: Duration,
    pub(crate) lasts: Duration,
    /// Chooses the variant of the fault.
    pub(crate) variant: u64,
}

impl PlannedFault {
    /// When it ends.
    pub(crate) fn ends_at(&self) -> Duration {
        self.begins_at + self.lasts
    }

    /// The system call that fails, its error, and how many of a thousand calls do.
    pub(crate) fn failing_call(&self) -> (SystemCall, i32, i64) {
        let cases = [
            (SystemCall::Accept, nix::libc::ECONNABORTED, 900),
            (SystemCall::Accept, nix::libc::ENFILE, 600),
            (SystemCall::Accept, nix::libc::ENOBUFS, 600),
            (SystemCall::Connect, nix::libc::EADDRNOTAVAIL, 700),
            (SystemCall::Connect, nix::libc::ENETUNREACH, 1000),
            (SystemCall::Connect, nix::libc::ENOBUFS, 500),
            (SystemCall::Socket, nix::libc::ENFILE, 1000),
            (SystemCall::Socket, nix::libc::EMFILE, 500),
            (SystemCall::EpollControl, nix::libc::ENOMEM, 300),
            (SystemCall::EpollControl, nix::libc::ENOSPC, 1000),
            (SystemCall::EpollWait, nix::libc::EINTR, 800),
            (SystemCall::Receive, nix::libc::EINTR, 300),
            (SystemCall::Send, nix::libc::EINTR, 300),
            (SystemCall::Open, nix::libc::EMFILE, 1000),
            (SystemCall::Open, nix::libc::EIO, 700),
            (SystemCall::LogWrite, nix::libc::ENOSPC, 1000),
            (SystemCall::LogWrite, nix::libc::EIO, 500),
        ];
        cases[self.variant as usize % cases.len()]
    }
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} target {}", self.kind, self.target)?;
        if self.kind == FaultKind::SystemCall {
            let (call, error, per_mille) = self.failing_call();
            let error = nix::errno::Errno::from_raw(error);
            write!(formatter, " {call:?} {error:?} {per_mille}/1000")?;
        }
        write!(
            formatter,
            " from {:.3} s to {:.3} s",
            self.begins_at.as_secs_f64(),
            self.ends_at().as_secs_f64()
        )
    }
}

/// The faults that a seed gives over a time, in the order of their beginnings; of these kinds, or of all where none is
/// named.
pub(crate) fn schedule(seed: u64, length: Duration, kinds: &[FaultKind]) -> Vec<PlannedFault> {
    let kinds = if kinds.is_empty() {
        FaultKind::value_variants()
    } else {
        kinds
    };
    let mut random = Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut group_at = Duration::from_millis(random.u64(GROUP_INTERVALS_MS));
    while group_at < length {
        // Half of the groups hit one scheduler with all that they have.
        let shared_target = random.bool().then(|| random.usize(..1000));
        for _ in 0..random.usize(GROUP_SIZES) {
            let kind = kinds[random.usize(..kinds.len())];
            faults.push(PlannedFault {
                kind,
                target: shared_target.unwrap_or_else(|| random.usize(..1000)),
                begins_at: group_at + Duration::from_millis(random.u64(OFFSETS_MS)),
                lasts: Duration::from_millis(random.u64(LENGTHS_MS)),
                variant: random.u64(..),
            });
        }
        group_at += Duration::from_millis(random.u64(GROUP_INTERVALS_MS));
    }
    faults.sort_by_key(|fault| fault.begins_at);
    faults
}
