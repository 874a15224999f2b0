//! Estimates of the number of proxies that share the endpoints, from membership and load reports.

use crankmux_membership::cluster_size::{ClusterObservation, ClusterSizeEstimate};
use crankmux_membership::load_estimate::LoadBasedEstimate;

/// Three quarters of the members have failed, and load reports confirm it.
const MOST_FAILED: ClusterObservation = ClusterObservation {
    live: 5,
    failed: 15,
    load_based: Some(5.4),
};

/// Applies an observation once a second for `seconds` seconds and returns the last estimate.
fn update_every_second(
    estimate: &mut ClusterSizeEstimate,
    from_ms: f64,
    seconds: usize,
    observation: ClusterObservation,
) -> f64 {
    (0..seconds)
        .map(|second| estimate.update(from_ms + second as f64 * 1000.0, observation))
        .last()
        .unwrap()
}

#[test]
fn joins_raise_the_estimate_at_once_and_a_partition_does_not_lower_it() {
    let mut estimate = ClusterSizeEstimate::new(10.0, 0.0);
    let full_membership = ClusterObservation {
        live: 10,
        failed: 0,
        load_based: None,
    };
    assert_eq!(estimate.update(1000.0, full_membership), 10.0);
    assert_eq!(
        estimate.update(
            2000.0,
            ClusterObservation {
                live: 14,
                ..full_membership
            }
        ),
        14.0,
        "new members must count at once"
    );
    let partition = ClusterObservation {
        live: 3,
        failed: 11,
        load_based: None,
    };
    assert_eq!(
        update_every_second(&mut estimate, 3000.0, 600, partition),
        14.0,
        "members across a partition may still be sending"
    );
    let partition_with_reports = ClusterObservation {
        load_based: Some(13.0),
        ..partition
    };
    assert_eq!(
        update_every_second(&mut estimate, 700_000.0, 600, partition_with_reports),
        14.0,
        "load reports show that the members across the partition still send"
    );
}

#[test]
fn the_estimate_falls_only_after_load_reports_confirm_it_and_rises_at_once() {
    let mut estimate = ClusterSizeEstimate::new(20.0, 0.0);
    assert_eq!(
        update_every_second(&mut estimate, 0.0, 9, MOST_FAILED),
        20.0,
        "the estimate must not fall before load reports have confirmed it"
    );
    let fallen = update_every_second(&mut estimate, 9000.0, 60, MOST_FAILED);
    assert!((5.0..5.5).contains(&fallen), "{fallen}");
    assert_eq!(
        estimate.update(
            70_000.0,
            ClusterObservation {
                live: 20,
                failed: 0,
                ..MOST_FAILED
            }
        ),
        20.0,
        "the estimate must rise as soon as all members are live again"
    );
}

#[test]
fn the_estimate_rises_to_the_load_reports_but_does_not_add_all_failed_members() {
    let mut estimate = ClusterSizeEstimate::new(20.0, 0.0);
    update_every_second(&mut estimate, 0.0, 60, MOST_FAILED);
    let more_senders = ClusterObservation {
        load_based: Some(12.0),
        ..MOST_FAILED
    };
    assert_eq!(
        estimate.update(61_000.0, more_senders),
        12.0,
        "load reports of more senders must raise the estimate at once"
    );
    update_every_second(&mut estimate, 62_000.0, 60, MOST_FAILED);
    let slightly_more_senders = ClusterObservation {
        load_based: Some(7.0),
        ..MOST_FAILED
    };
    assert_eq!(
        estimate.update(123_000.0, slightly_more_senders),
        7.0,
        "a small rise in the load reports must not restore all failed members"
    );
    assert!(
        estimate.update(123_100.0, MOST_FAILED) > 6.5,
        "the estimate must not drop abruptly"
    );
}

#[test]
fn a_lower_configured_size_does_not_lower_the_estimate_at_once() {
    let mut estimate = ClusterSizeEstimate::new(20.0, 0.0);
    estimate.set_configured(5.0);
    assert_eq!(
        estimate.update(
            1000.0,
            ClusterObservation {
                live: 5,
                failed: 0,
                load_based: None
            }
        ),
        20.0
    );
}

#[test]
fn the_load_based_estimate_holds_whether_or_not_reports_count_the_answered_request() {
    for answered_request in [0.0, 1.0] {
        let mut load = LoadBasedEstimate::default();
        assert_eq!(
            load.estimate(0.0),
            None,
            "no estimate before the first load report"
        );
        let mut now_ms = 0.0;
        let mut run = |load: &mut LoadBasedEstimate, proxies: f64, live_members: Option<usize>| {
            for n in 0..4000 {
                now_ms += 5.0;
                let own = f64::from(n % 3);
                load.record(now_ms, proxies * own + answered_request, own);
                if let Some(live) = live_members {
                    load.calibrate(live);
                }
            }
            load.estimate(now_ms)
                .expect("there are enough reports for an estimate")
        };
        assert!((run(&mut load, 8.0, Some(8)) - 8.0).abs() < 0.4);
        assert!(
            (run(&mut load, 2.0, None) - 2.0).abs() < 0.4,
            "the estimate must fall when six of eight proxies stop"
        );
        assert!(
            (run(&mut load, 8.0, None) - 8.0).abs() < 0.4,
            "the estimate must rise when the six proxies send again"
        );
    }
    let mut idle = LoadBasedEstimate::default();
    (0..1000).for_each(|n| idle.record(f64::from(n) * 10.0, 5.0, 0.0));
    assert_eq!(
        idle.estimate(10_000.0),
        None,
        "a proxy without requests in flight has no basis for an estimate"
    );
    assert_eq!(idle.estimate(90_000.0), None, "old reports must not count");
}
