//! Tests of the statistics.

use super::{
    BoundedRatio, DecayingAverage, DecayingSum, LoadEstimate, RatioBounds, ThresholdBounds,
    ThresholdDetector, decay_factor, half_life_factor,
};
use crate::model::{Span, Time};

const SECOND: Span = Span::from_millis(1000);
const BOUNDS: RatioBounds = RatioBounds {
    min: 0.5,
    max: 4.0,
    max_sample: 7.0,
    sample_weight: 0.5,
    half_life: SECOND,
};

#[test]
fn an_average_moves_by_the_weight_of_each_sample() {
    let mut average = DecayingAverage::new(1.0);
    average.update(3.0, 0.5);
    assert_eq!(average.value(), 2.0);
    average.update(8.0, 0.0);
    assert_eq!(average.value(), 2.0, "a sample without weight changes nothing");
    average.update(8.0, 1.0);
    assert_eq!(
        average.value(),
        8.0,
        "a sample of full weight replaces the average"
    );
    assert_eq!(DecayingAverage::default().value(), 0.0);
}

#[test]
fn a_sum_adds_decays_and_is_replaced() {
    let mut sum = DecayingSum::default();
    sum.add(2.0);
    sum.add(4.0);
    sum.scale(0.5);
    assert_eq!(sum.value(), 3.0);
    sum.set(10.0);
    assert_eq!(sum.value(), 10.0);
}

#[test]
fn factors_follow_their_time_constants() {
    assert_eq!(half_life_factor(Span(0), SECOND), 1.0);
    assert_eq!(half_life_factor(SECOND, SECOND), 0.5);
    assert_eq!(half_life_factor(Span::from_millis(3000), SECOND), 0.125);
    assert_eq!(decay_factor(Span(0), SECOND), 1.0);
    assert!((decay_factor(SECOND, SECOND) - (-1.0f64).exp()).abs() < 1e-15);
}

#[test]
fn a_ratio_starts_at_one_and_keeps_its_bounds() {
    let mut ratio = BoundedRatio::default();
    let now = Time(0) + SECOND;
    assert_eq!(ratio.value(now, &BOUNDS), 1.0);
    ratio.update(2.0, now, &BOUNDS);
    assert_eq!(ratio.value(now, &BOUNDS), 1.5);
    ratio.update(100.0, now, &BOUNDS);
    assert_eq!(ratio.value(now, &BOUNDS), 4.0);
    for _ in 0..20 {
        ratio.update(0.0, now, &BOUNDS);
    }
    assert_eq!(ratio.value(now, &BOUNDS), 0.5);
}

#[test]
fn a_ratio_returns_to_one_without_samples() {
    let mut ratio = BoundedRatio::default();
    ratio.update(5.0, Time(0), &BOUNDS);
    assert_eq!(ratio.value(Time(0), &BOUNDS), 3.0);
    assert_eq!(ratio.value(Time(0) + SECOND, &BOUNDS), 2.0);
    assert_eq!(ratio.value(Time(0) + SECOND + SECOND, &BOUNDS), 1.5);
}

#[test]
fn raising_a_ratio_keeps_its_age_and_its_bound() {
    let mut ratio = BoundedRatio::default();
    ratio.update(3.0, Time(0), &BOUNDS);
    ratio.raise(1.5, &BOUNDS);
    assert_eq!(ratio.value(Time(0), &BOUNDS), 3.0);
    assert_eq!(ratio.value(Time(0) + SECOND, &BOUNDS), 2.0);
    ratio.raise(10.0, &BOUNDS);
    assert_eq!(ratio.value(Time(0), &BOUNDS), 4.0);
}

#[test]
fn samples_beyond_their_bound_count_as_the_bound() {
    let mut bounded = BoundedRatio::default();
    let mut far_beyond = BoundedRatio::default();
    let slow = RatioBounds { max: 100.0, ..BOUNDS };
    bounded.update(7.0, Time(0), &slow);
    far_beyond.update(1000.0, Time(0), &slow);
    assert_eq!(bounded.value(Time(0), &slow), far_beyond.value(Time(0), &slow));
}

#[test]
fn a_detector_trips_above_its_threshold_and_resets_to_a_lower_value() {
    let bounds = ThresholdBounds {
        sample_weight: 0.5,
        threshold: 0.7,
        reset_value: 0.25,
        recovery_threshold: 0.125,
    };
    let mut detector = ThresholdDetector::default();
    assert!(detector.is_recovered(&bounds));
    assert!(!detector.record(1.0, &bounds), "0.5");
    assert!(detector.record(1.0, &bounds), "0.75");
    assert!(!detector.is_recovered(&bounds), "0.25 again");
    assert!(
        !detector.record(0.0, &bounds) && detector.is_recovered(&bounds),
        "0.125"
    );
    assert!(!detector.record(1.0, &bounds), "0.5625");
    assert!(detector.record(1.0, &bounds));
}

#[test]
fn a_load_estimate_includes_reported_requests_of_others_until_they_decay() {
    let mut load = LoadEstimate::default();
    load.begin_request();
    load.begin_request();
    load.report(6.0);
    assert_eq!((load.in_flight(), load.total_in_flight()), (2, 6.0));
    load.decay(0.5);
    assert_eq!(load.total_in_flight(), 4.0);
    load.end_request();
    assert_eq!(load.total_in_flight(), 3.0);
    load.report(0.0);
    assert_eq!(
        load.total_in_flight(),
        1.0,
        "the own count takes precedence over a lower report"
    );
    load.end_request();
    load.end_request();
    assert_eq!(load.in_flight(), 0);
}

#[test]
fn an_expected_load_includes_the_new_request_and_the_latency_ratio() {
    let mut load = LoadEstimate::default();
    load.begin_request();
    assert_eq!(load.expected(Time(0), &BOUNDS), 2.0);
    load.record_latency(2.0, Time(0), &BOUNDS);
    assert_eq!(load.expected(Time(0), &BOUNDS), 3.0);
    load.raise_latency(2.0, &BOUNDS);
    assert_eq!(load.expected(Time(0), &BOUNDS), 6.0);
}
