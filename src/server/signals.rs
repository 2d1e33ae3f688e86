//! Process signals, delivered to the event loop through pipes.

use super::transient::{START_RETRY_INTERVAL, START_TIMEOUT, is_transient};
use crate::net::PipeId;
use crate::runtime::Reactor;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::thread;
use std::time::{Duration, Instant};

/// What a signal asks of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    /// SIGTERM, SIGINT: a graceful shutdown.
    Shutdown,
    /// SIGUSR1: a log line with the counters.
    PrintCounters,
    /// SIGHUP: a reload of the configuration files.
    Reload,
}

impl SignalRequest {
    const ALL: [SignalRequest; 3] = [
        SignalRequest::Shutdown,
        SignalRequest::PrintCounters,
        SignalRequest::Reload,
    ];

    /// The signals that stand for this request.
    fn signals(self) -> &'static [i32] {
        match self {
            SignalRequest::Shutdown => &[SIGTERM, SIGINT],
            SignalRequest::PrintCounters => &[SIGUSR1],
            SignalRequest::Reload => &[SIGHUP],
        }
    }
}

/// The reading end of the pipe to which the signals of one request write a byte each.
#[derive(Debug)]
struct SignalReceiver {
    request: SignalRequest,
    reader: UnixStream,
}

/// The handlers of all signals that the server handles.
///
/// They are to be installed before anything else: a signal without a handler ends the process. What arrives before
/// the event loop runs is kept for it.
#[derive(Debug)]
pub struct Signals {
    receivers: Vec<SignalReceiver>,
}

impl Signals {
    /// Installs the handlers, with retries after transient failures.
    ///
    /// # Errors
    ///
    /// The system's, where it provides no pipe or installs no handler.
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

    /// Waits until a shutdown is asked for, or this time has passed; whether one is asked for.
    pub(super) fn wait_for_shutdown(&self, timeout: Duration) -> io::Result<bool> {
        let is_shutdown = |receiver: &&SignalReceiver| receiver.request == SignalRequest::Shutdown;
        let Some(receiver) = self.receivers.iter().find(is_shutdown) else {
            return Ok(false);
        };
        receiver.reader.set_nonblocking(false)?;
        receiver.reader.set_read_timeout(Some(timeout))?;
        Ok((&receiver.reader).read(&mut [0]).is_ok_and(|count| count > 0))
    }

    /// Has the reactor watch the pipes.
    ///
    /// # Errors
    ///
    /// The system's, where a pipe cannot be had or polled.
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

/// The reading end of a pipe to which each of these signals writes a byte.
fn signal_pipe(signals: &[i32]) -> io::Result<UnixStream> {
    let (reader, writer) = UnixStream::pair()?;
    writer.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    Ok(reader)
}

/// The pipe on which one request arrives.
#[derive(Debug)]
struct SignalPipe {
    pipe: PipeId,
    request: SignalRequest,
}

/// The pipes of all signals, as the reactor watches them.
#[derive(Debug)]
pub(super) struct SignalPipes {
    pipes: Vec<SignalPipe>,
}

impl SignalPipes {
    /// What is asked for when this pipe becomes readable; `None` if it is no signal's pipe.
    pub(super) fn request_of(&self, pipe: PipeId) -> Option<SignalRequest> {
        let signal_pipe = self.pipes.iter().find(|signal_pipe| signal_pipe.pipe == pipe)?;
        Some(signal_pipe.request)
    }
}
