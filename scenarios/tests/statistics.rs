//! Confidence intervals.

use crankmux_scenarios::statistics::ConfidenceInterval;

#[test]
fn confidence_intervals_follow_students_t_distribution() {
    let interval = ConfidenceInterval::of(&[1.0, 2.0, 3.0]);
    assert!((interval.mean - 2.0).abs() < 1e-12);
    assert!((interval.half_width - 4.303 / 3.0_f64.sqrt()).abs() < 1e-9);
    let single = ConfidenceInterval {
        mean: 7.0,
        half_width: 0.0,
    };
    assert_eq!(ConfidenceInterval::of(&[7.0]), single);
}
