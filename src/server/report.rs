//! What the server logs of itself on a signal: counters, the times of the event loop, and the use of memory.

use super::Server;
use crate::logging;
use crate::net::{TimeSummary, TurnPart};
use tracing::info;

impl Server {
    /// Logs the counters, the times of the event loop, and the use of memory.
    pub(super) fn print_counters(&mut self) {
        let counters = self.reactor.shared.scheduler.counters();
        info!(
            log_lines_dropped = logging::log_lines_dropped(),
            log_lines_failed = logging::log_lines_failed(),
            "{counters}"
        );
        self.print_turn_times();
        self.print_memory_use();
    }

    /// Logs how long the turns of the event loop have taken, and their parts.
    fn print_turn_times(&self) {
        let times = self.reactor.turn_times();
        print_time_summary("turn", times.turns());
        for part in TurnPart::ALL {
            print_time_summary(part.name(), times.part(part));
        }
    }

    /// Logs how much each table holds that peers can fill.
    fn print_memory_use(&self) {
        let buffers = self.reactor.buffer_memory();
        let scheduler = self.reactor.shared.scheduler.memory_use();
        info!(
            client_input_bytes = buffers.client_input,
            client_output_bytes = buffers.client_output,
            other_input_bytes = buffers.other_input,
            other_output_bytes = buffers.other_output,
            open_requests = scheduler.open_requests,
            body_bytes = scheduler.body_bytes,
            functions = scheduler.functions,
            hash_orders = scheduler.hash_orders,
            retired_ids = self.pool.retired_id_count(),
            "memory use"
        );
    }
}

/// Logs the distribution of the time of a turn or of one of its parts.
fn print_time_summary(part: &str, summary: TimeSummary) {
    info!(
        part,
        turns = summary.count,
        p50_us = summary.p50_micros,
        p99_us = summary.p99_micros,
        max_us = summary.max_micros,
        "time in the event loop"
    );
}
