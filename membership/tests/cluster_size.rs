//! How many proxies are assumed to share the endpoints, by membership and by load reports.

use crankmux_membership::cluster_size::{ClusterObservation, ClusterSizeEstimate};
use crankmux_membership::load_estimate::LoadBasedEstimate;

/// A quarter of the members live, and load reports hardly tell of more.
const MOST_FAILED: ClusterObservation = ClusterObservation {
    live: 5,
    failed: 15,
    load_based: Some(5.4),
};

/// The estimate after an observation once a second, for so many seconds.
fn repeat(
    size: &mut ClusterSizeEstimate,
    from_ms: f64,
    seconds: usize,
    observation: ClusterObservation,
) -> f64 {
    (0..seconds)
        .map(|second| size.update(from_ms + second as f64 * 1000.0, observation))
        .last()
        .unwrap()
}

#[test]
fn joins_count_at_once_and_a_partition_changes_nothing() {
    let mut size = ClusterSizeEstimate::new(10.0, 0.0);
    let whole = ClusterObservation {
        live: 10,
        failed: 0,
        load_based: None,
    };
    assert_eq!(size.update(1000.0, whole), 10.0);
    assert_eq!(
        size.update(2000.0, ClusterObservation { live: 14, ..whole }),
        14.0,
        "at once"
    );
    let partition = ClusterObservation {
        live: 3,
        failed: 11,
        load_based: None,
    };
    assert_eq!(
        repeat(&mut size, 3000.0, 600, partition),
        14.0,
        "those beyond a partition may send"
    );
    let reported = ClusterObservation {
        load_based: Some(13.0),
        ..partition
    };
    assert_eq!(
        repeat(&mut size, 700_000.0, 600, reported),
        14.0,
        "and load reports say that they do"
    );
}

#[test]
fn the_estimate_falls_once_load_reports_confirm_it_and_rises_at_once() {
    let mut size = ClusterSizeEstimate::new(20.0, 0.0);
    let lost = MOST_FAILED;
    assert_eq!(
        repeat(&mut size, 0.0, 9, lost),
        20.0,
        "not before it is confirmed"
    );
    let fallen = repeat(&mut size, 9000.0, 60, lost);
    assert!((5.0..5.5).contains(&fallen), "{fallen}");
    assert_eq!(
        size.update(
            70_000.0,
            ClusterObservation {
                live: 20,
                failed: 0,
                ..lost
            }
        ),
        20.0,
        "all are back"
    );
}

#[test]
fn the_estimate_rises_at_once_with_load_reports_but_not_to_all_that_failed() {
    let lost = MOST_FAILED;
    let mut size = ClusterSizeEstimate::new(20.0, 0.0);
    repeat(&mut size, 0.0, 60, lost);
    let again = ClusterObservation {
        load_based: Some(12.0),
        ..lost
    };
    assert_eq!(
        size.update(61_000.0, again),
        12.0,
        "somebody sends beyond the partition, at once"
    );
    repeat(&mut size, 62_000.0, 60, lost);
    let strays = ClusterObservation {
        load_based: Some(7.0),
        ..lost
    };
    assert_eq!(
        size.update(123_000.0, strays),
        7.0,
        "a sample strays, or some send: not all of those gone for that"
    );
    assert!(
        size.update(123_100.0, lost) > 6.5,
        "and it falls no faster than before"
    );
}

#[test]
fn settings_with_fewer_proxies_do_not_lower_the_estimate_at_once() {
    let mut size = ClusterSizeEstimate::new(20.0, 0.0);
    size.set_configured(5.0);
    assert_eq!(
        size.update(
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
fn load_reports_tell_how_many_proxies_send_whether_or_not_they_count_the_answered_request() {
    for counts_answered in [0.0, 1.0] {
        let mut load = LoadBasedEstimate::default();
        assert_eq!(load.estimate(0.0), None, "nothing reported yet");
        let mut now_ms = 0.0;
        let mut run = |load: &mut LoadBasedEstimate, proxies: f64, whole_cluster: Option<usize>| {
            for n in 0..4000 {
                now_ms += 5.0;
                let own = f64::from(n % 3);
                load.record(now_ms, proxies * own + counts_answered, own);
                if let Some(live) = whole_cluster {
                    load.calibrate(live);
                }
            }
            load.estimate(now_ms).expect("enough reports")
        };
        assert!((run(&mut load, 8.0, Some(8)) - 8.0).abs() < 0.4);
        assert!(
            (run(&mut load, 2.0, None) - 2.0).abs() < 0.4,
            "six are gone"
        );
        assert!(
            (run(&mut load, 8.0, None) - 8.0).abs() < 0.4,
            "six are back, or were never gone"
        );
    }
    let mut quiet = LoadBasedEstimate::default();
    (0..1000).for_each(|n| quiet.record(f64::from(n) * 10.0, 5.0, 0.0));
    assert_eq!(
        quiet.estimate(10_000.0),
        None,
        "a proxy that has nothing in flight can tell nothing"
    );
    assert_eq!(
        quiet.estimate(90_000.0),
        None,
        "and what is long past counts for nothing"
    );
}
