//! How late the soak itself was: times that it sees are off by so much at most.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const TICK: Duration = Duration::from_millis(5);
/// Lateness within this time of an event counts for it.
const NEARBY: Duration = Duration::from_millis(1_000);
/// Lateness below this is the resolution of the timer.
const RESOLUTION: Duration = Duration::from_millis(4);

/// How late ticks were, with their times.
#[derive(Debug, Default)]
pub(crate) struct Lateness {
    late: Mutex<Vec<(Duration, Duration)>>,
}

impl Lateness {
    /// Begins to measure, for as long as the runtime lasts.
    pub(crate) fn measure(start: Instant) -> Arc<Lateness> {
        let lateness = Arc::new(Lateness::default());
        let measured = Arc::clone(&lateness);
        tokio::spawn(async move {
            loop {
                let before = Instant::now();
                sleep(TICK).await;
                let late = before.elapsed().saturating_sub(TICK);
                if late > RESOLUTION {
                    let mut all = measured.late.lock().expect("no task panics here");
                    all.push((start.elapsed(), late));
                }
            }
        });
        lateness
    }

    /// The most that the soak was late around a time.
    pub(crate) fn around(&self, at: Duration) -> Duration {
        let late = self.late.lock().expect("no task panics here");
        let nearby = late.iter().filter(|(when, _)| when.abs_diff(at) < NEARBY);
        nearby.map(|(_, late)| *late).max().unwrap_or_default()
    }

    /// The most that the soak was late at all.
    pub(crate) fn worst(&self) -> Duration {
        let late = self.late.lock().expect("no task panics here");
        late.iter().map(|(_, late)| *late).max().unwrap_or_default()
    }
}
