//! The rate limit on load orders.

use super::*;
use crate::model::LoadRateLimit;
use crate::scheduler::load_rate_limiter::LoadRateLimiter;

const WINDOW: Span = Span::from_millis(100);
const LIMIT: Option<LoadRateLimit> = Some(LoadRateLimit {
    burst: 1.0,
    per_request: 0.5,
    window: WINDOW,
});

#[test]
fn requests_in_the_window_allow_further_load_orders() {
    let mut limiter = LoadRateLimiter::default();
    assert!(limiter.try_acquire(at_millis(0), LIMIT), "the burst");
    assert!(!limiter.try_acquire(at_millis(0), LIMIT));
    limiter.record_request(at_millis(1));
    assert!(
        !limiter.try_acquire(at_millis(1), LIMIT),
        "half an order is not enough"
    );
    limiter.record_request(at_millis(1));
    assert!(limiter.try_acquire(at_millis(1), LIMIT));
    assert!(!limiter.try_acquire(at_millis(1), LIMIT));
}

/// A load order that was written exactly one window ago still counts against the limit.
#[test]
fn load_orders_leave_the_window() {
    let mut limiter = LoadRateLimiter::default();
    assert!(limiter.try_acquire(at_millis(0), LIMIT));
    assert!(!limiter.try_acquire(at_millis(100), LIMIT));
    assert!(limiter.try_acquire(at_millis(101), LIMIT));
}

/// A request that was received exactly one window ago no longer allows further load orders.
#[test]
fn requests_leave_the_window() {
    for (now, expected) in [(at_millis(99), 2), (at_millis(100), 1)] {
        let mut limiter = LoadRateLimiter::default();
        limiter.record_request(at_millis(0));
        limiter.record_request(at_millis(0));
        limiter.drop_old_requests(now, LIMIT);
        let written = (0..5).filter(|_| limiter.try_acquire(now, LIMIT)).count();
        assert_eq!(written, expected);
    }
}

/// A new configuration may set a limit, and load orders written before then count against it.
#[test]
fn without_a_limit_load_orders_are_retained_for_a_limited_time() {
    let mut limiter = LoadRateLimiter::default();
    for millis in 0..3 {
        assert!(limiter.try_acquire(at_millis(millis), None));
    }
    assert_eq!(limiter.retained_load_orders(), 3);
    assert!(!limiter.try_acquire(at_millis(10), LIMIT));
    assert!(limiter.try_acquire(at_millis(60_003), None));
    assert_eq!(limiter.retained_load_orders(), 1, "none is kept indefinitely");
}

/// Without a limit there is no window, so nothing would ever drop the requests.
#[test]
fn without_a_limit_requests_are_not_retained() {
    let mut limiter = LoadRateLimiter::default();
    limiter.record_request(at_millis(0));
    limiter.record_request(at_millis(0));
    limiter.drop_old_requests(at_millis(0), None);
    let written = (0..5)
        .filter(|_| limiter.try_acquire(at_millis(0), LIMIT))
        .count();
    assert_eq!(written, 1);
}
