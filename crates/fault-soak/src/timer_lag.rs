//! Measures how late this program's own timers fire, which bounds the error of the times that it records.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The interval of the timer whose lag is measured.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// The lag of a tick applies to all events that are less than this time away from the tick.
const LAG_WINDOW: Duration = Duration::from_millis(1_000);
/// The resolution of the timer. Ticks that are late by no more than this are ignored.
const TIMER_RESOLUTION: Duration = Duration::from_millis(4);

/// The late ticks of this program's own timer.
#[derive(Debug, Default)]
pub(crate) struct TimerLag {
    late_ticks: Mutex<Vec<LateTick>>,
}

/// A tick that was late by `lag`, and the time at which it fired.
#[derive(Debug)]
struct LateTick {
    at: Duration,
    lag: Duration,
}

impl TimerLag {
    /// Starts a task that measures the lag until the runtime ends. `start` is the start of the run.
    pub(crate) fn measure(start: Instant) -> Arc<TimerLag> {
        let timer_lag = Arc::new(TimerLag::default());
        let measured = Arc::clone(&timer_lag);
        tokio::spawn(async move {
            loop {
                let tick_started_at = Instant::now();
                sleep(TICK_INTERVAL).await;
                let lag = tick_started_at.elapsed().saturating_sub(TICK_INTERVAL);
                if lag > TIMER_RESOLUTION {
                    let at = start.elapsed();
                    measured.late_ticks().push(LateTick { at, lag });
                }
            }
        });
        timer_lag
    }

    /// Returns the longest lag within [`LAG_WINDOW`] of a time.
    pub(crate) fn max_near(&self, at: Duration) -> Duration {
        let late_ticks = self.late_ticks();
        let nearby = late_ticks.iter().filter(|tick| tick.at.abs_diff(at) < LAG_WINDOW);
        nearby.map(|tick| tick.lag).max().unwrap_or_default()
    }

    /// Returns the longest lag of the run.
    pub(crate) fn max(&self) -> Duration {
        let late_ticks = self.late_ticks();
        late_ticks.iter().map(|tick| tick.lag).max().unwrap_or_default()
    }

    fn late_ticks(&self) -> MutexGuard<'_, Vec<LateTick>> {
        self.late_ticks
            .lock()
            .expect("no task panics while it holds the lock")
    }
}
