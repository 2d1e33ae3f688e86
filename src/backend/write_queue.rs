//! The queue of commands to be written on a connection, and the write progress of each command.

use super::correlation::Exchange;
use super::worker_command::WorkerCommand;
use crate::model::{Span, Time};
use crate::scheduler::{AttemptId, WriteProgress};
use std::collections::{HashSet, VecDeque};

/// An exchange that was open when its connection closed, and how far its command had been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnfinishedExchange {
    pub(super) exchange: Exchange,
    pub(super) progress: WriteProgress,
}

/// A command that waits to be written.
struct WaitingCommand {
    command: WorkerCommand,
    /// When the command was first postponed in favour of those behind it.
    postponed_since: Option<Time>,
}

/// The queue of commands to be written on a connection. At most one command is being written at a time.
#[derive(Default)]
pub(super) struct WriteQueue {
    waiting: VecDeque<WaitingCommand>,
    /// The attempt or load order whose command the operating system may not have accepted completely. Health
    /// checks are not tracked, because they can be repeated safely however far they were written.
    writing: Option<Exchange>,
}

impl WriteQueue {
    /// Appends a command to the queue.
    pub(super) fn push(&mut self, command: WorkerCommand) {
        self.waiting.push_back(WaitingCommand {
            command,
            postponed_since: None,
        });
    }

    /// Returns the next command.
    pub(super) fn front(&self) -> Option<&WorkerCommand> {
        self.waiting.front().map(|waiting| &waiting.command)
    }

    /// Moves the next command to the end of the queue. Returns for how long it has been postponed.
    pub(super) fn postpone_front(&mut self, now: Time) -> Span {
        let Some(mut waiting) = self.waiting.pop_front() else {
            return Span(0);
        };
        let since = *waiting.postponed_since.get_or_insert(now);
        self.waiting.push_back(waiting);
        now - since
    }

    /// Removes and returns the next command. It may be written only after the previous one has been written
    /// completely.
    pub(super) fn pop(&mut self) -> Option<WorkerCommand> {
        self.waiting.pop_front().map(|waiting| waiting.command)
    }

    /// Removes the command that starts an attempt, if it is still queued. Returns whether it was queued.
    pub(super) fn remove_send(&mut self, attempt: AttemptId) -> bool {
        let sends_attempt =
            |waiting: &WaitingCommand| waiting.command.exchange() == Some(Exchange::Attempt(attempt));
        let position = self.waiting.iter().position(sends_attempt);
        position
            .and_then(|position| self.waiting.remove(position))
            .is_some()
    }

    /// Records that the command of this exchange is being written.
    pub(super) fn begin_write(&mut self, exchange: Exchange) {
        self.writing = Some(exchange);
    }

    /// Returns the exchange whose command the operating system may not have accepted completely.
    pub(super) fn writing(&self) -> Option<Exchange> {
        self.writing
    }

    /// Records that the operating system has accepted all bytes. Returns the exchange whose command was being
    /// written.
    pub(super) fn finish_write(&mut self) -> Option<Exchange> {
        self.writing.take()
    }

    /// Returns the number of queued commands.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no command is queued or being written.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.writing.is_none()
    }

    /// Returns the write progress of each open exchange of a connection that closed with `unsent_bytes` in
    /// its buffer:
    ///
    /// - [`WriteProgress::NotSent`] if its command was still queued;
    /// - [`WriteProgress::PartiallyWritten`] if its command was being written and some of its bytes were
    ///   unsent: the worker received an incomplete line and cannot have executed it;
    /// - [`WriteProgress::Written`] otherwise.
    ///
    /// The exchanges of queued commands come first, in the order of the queue.
    pub(super) fn unfinished(
        &self,
        open_exchanges: impl Iterator<Item = Exchange>,
        unsent_bytes: usize,
    ) -> Vec<UnfinishedExchange> {
        let commands = self.waiting.iter().map(|waiting| &waiting.command);
        let waiting: Vec<Exchange> = commands.filter_map(WorkerCommand::exchange).collect();
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
