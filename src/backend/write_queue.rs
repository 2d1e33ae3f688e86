//! The commands that wait on a connection, and how far each command has been written.

use super::correlation::Exchange;
use super::worker_command::WorkerCommand;
use crate::scheduler::{AttemptId, WriteProgress};
use std::collections::{HashSet, VecDeque};

/// An exchange that was open when its connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnfinishedExchange {
    pub(super) exchange: Exchange,
    pub(super) progress: WriteProgress,
}

/// The commands that wait on a connection. At most one is being written at a time.
#[derive(Default)]
pub(super) struct WriteQueue {
    waiting: VecDeque<WorkerCommand>,
    /// The attempt or load order whose bytes the operating system may not all have taken. Health checks
    /// are not tracked: they may be repeated however far they were written.
    writing: Option<Exchange>,
}

impl WriteQueue {
    /// Appends a command.
    pub(super) fn push(&mut self, command: WorkerCommand) {
        self.waiting.push_back(command);
    }

    /// Takes the next command. It may only be written once the one before has been written completely.
    pub(super) fn pop(&mut self) -> Option<WorkerCommand> {
        self.waiting.pop_front()
    }

    /// Removes the command that starts an attempt, if it still waits.
    pub(super) fn remove_send(&mut self, attempt: AttemptId) -> bool {
        let sends_attempt = |command: &WorkerCommand| command.exchange() == Some(Exchange::Attempt(attempt));
        let position = self.waiting.iter().position(sends_attempt);
        position
            .and_then(|position| self.waiting.remove(position))
            .is_some()
    }

    /// Notes that the command of this exchange is being written from now on.
    pub(super) fn begin_write(&mut self, exchange: Exchange) {
        self.writing = Some(exchange);
    }

    /// The exchange whose command the system may not have taken completely.
    pub(super) fn writing(&self) -> Option<Exchange> {
        self.writing
    }

    /// Notes that everything has been handed to the operating system; returns the exchange whose command was
    /// being written.
    pub(super) fn finish_write(&mut self) -> Option<Exchange> {
        self.writing.take()
    }

    /// Number of commands that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no command waits or is being written.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.writing.is_none()
    }

    /// How far each exchange had come when the connection closed with `unsent_bytes` left in its buffer:
    ///
    /// - [`WriteProgress::NotSent`] if its command still waited;
    /// - [`WriteProgress::PartiallyWritten`] if its command was being written and bytes of it are left: the
    ///   line that the worker has received has no end, so that it cannot have been executed;
    /// - [`WriteProgress::Written`] otherwise.
    ///
    /// The commands that waited come first, in their order.
    pub(super) fn unfinished(
        &self,
        open_exchanges: impl Iterator<Item = Exchange>,
        unsent_bytes: usize,
    ) -> Vec<UnfinishedExchange> {
        let waiting: Vec<Exchange> = self.waiting.iter().filter_map(WorkerCommand::exchange).collect();
        let not_sent = waiting.iter().map(|exchange| UnfinishedExchange {
            exchange: *exchange,
            progress: WriteProgress::NotSent,
        });
        let waiting_set: HashSet<Exchange> = waiting.iter().copied().collect();
        let sent = open_exchanges
            .filter(|exchange| !waiting_set.contains(exchange))
            .map(|exchange| UnfinishedExchange {
                exchange,
                progress: self.progress_of_sent(exchange, unsent_bytes),
            });
        not_sent.chain(sent).collect()
    }

    fn progress_of_sent(&self, exchange: Exchange, unsent_bytes: usize) -> WriteProgress {
        if self.writing == Some(exchange) && unsent_bytes > 0 {
            WriteProgress::PartiallyWritten
        } else {
            WriteProgress::Written
        }
    }
}
