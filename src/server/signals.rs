//! Process signals, delivered to the event loop through pipes.

use super::transient::{START_RETRY_INTERVAL, START_TIMEOUT, is_transient};
use crate::net::PipeId;
use crate::runtime::Reactor;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::thread;
use std::time::{Duration, Instant};

/// An action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    /// Graceful shutdown (SIGTERM, SIGINT).
    Shutdown,
    /// Log line with the counters (SIGUSR1).
    PrintCounters,
    /// Reload of the configuration files (SIGHUP).
    Reload,
}

impl SignalRequest {
    const ALL: [SignalRequest; 3] = [
        SignalRequest::Shutdown,
        SignalRequest::PrintCounters,
        SignalRequest::Reload,
    ];

    /// Returns the signals that request this action.
    fn signals(self) -> &'static [i32] {
        match self {
            SignalRequest::Shutdown => &[SIGTERM, SIGINT],
            SignalRequest::PrintCounters => &[SIGUSR1],
            SignalRequest::Reload => &[SIGHUP],
        }
    }
}

/// The reading end of a pipe to which the handlers of one request's signals write one byte per signal.
#[derive(Debug)]
struct SignalReceiver {
    request: SignalRequest,
    reader: UnixStream,
}

/// The handlers of all signals that the server handles.
///
/// They must be installed before anything else, because a signal without a handler terminates the process.
/// Signals that arrive before the event loop runs are kept in the pipes.
#[derive(Debug)]
pub struct Signals {
    receivers: Vec<SignalReceiver>,
}

impl Signals {
    /// Installs the handlers, retrying after transient failures.
    ///
    /// # Errors
    ///
    /// Returns the system error if a pipe cannot be created or a handler cannot be installed.
    pub fn install() -> io::Result<Signals> {
        let began_at = Instant::now();
        loop {
            match Signals::try_install() {
                Err(error) if is_transient(&error) && began_at.elapsed() < START_TIMEOUT => {
                    thread::sleep(START_RETRY_INTERVAL);
                }
                result => return result,
            }
        }
    }

    fn try_install() -> io::Result<Signals> {
        let mut receivers = Vec::new();
        for request in SignalRequest::ALL {
            let reader = signal_pipe(request.signals())?;
            receivers.push(SignalReceiver { request, reader });
        }
        Ok(Signals { receivers })
    }

    /// Waits until a shutdown is requested or the timeout has passed. Returns whether a shutdown is
    /// requested.
    pub(super) fn wait_for_shutdown(&self, timeout: Duration) -> io::Result<bool> {
        let is_shutdown = |receiver: &&SignalReceiver| receiver.request == SignalRequest::Shutdown;
        let Some(receiver) = self.receivers.iter().find(is_shutdown) else {
            return Ok(false);
        };
        receiver.reader.set_nonblocking(false)?;
        receiver.reader.set_read_timeout(Some(timeout))?;
        Ok((&receiver.reader).read(&mut [0]).is_ok_and(|count| count > 0))
    }

    /// Registers the pipes with the reactor.
    ///
    /// # Errors
    ///
    /// Returns the system error if a pipe cannot be cloned or registered.
    pub(super) fn watch(&self, reactor: &mut Reactor) -> io::Result<SignalPipes> {
        let mut pipes = Vec::new();
        for receiver in &self.receivers {
            let pipe = reactor.watch_pipe(receiver.reader.try_clone()?)?;
            pipes.push(SignalPipe {
                pipe,
                request: receiver.request,
            });
        }
        Ok(SignalPipes { pipes })
    }
}

/// Installs handlers that write one byte per signal to a new pipe, and returns the pipe's reading end.
fn signal_pipe(signals: &[i32]) -> io::Result<UnixStream> {
    let (reader, writer) = UnixStream::pair()?;
    writer.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    Ok(reader)
}

/// A pipe in the reactor and the request that it delivers.
#[derive(Debug)]
struct SignalPipe {
    pipe: PipeId,
    request: SignalRequest,
}

/// The signal pipes that the reactor watches.
#[derive(Debug)]
pub(super) struct SignalPipes {
    pipes: Vec<SignalPipe>,
}

impl SignalPipes {
    /// Returns the request that this pipe delivers, or `None` if it is not a signal pipe.
    pub(super) fn request_of(&self, pipe: PipeId) -> Option<SignalRequest> {
        let signal_pipe = self.pipes.iter().find(|signal_pipe| signal_pipe.pipe == pipe)?;
        Some(signal_pipe.request)
    }
}
