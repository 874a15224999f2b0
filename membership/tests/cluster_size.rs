//! How many nodes are assumed, whatever is told.

use crankmux_membership::cluster_size::{ClusterSizeEstimate, LoadBasedEstimate, Others};

fn after(count: &mut ClusterSizeEstimate, from: f64, seconds: usize, others: Others) -> f64 {
    (0..seconds)
        .map(|s| count.heard(from + s as f64 * 1000.0, others))
        .last()
        .unwrap()
}

#[test]
fn joins_count_at_once_and_a_cut_changes_nothing() {
    let mut count = ClusterSizeEstimate::new(10.0, 0.0);
    let whole = Others {
        live: 10,
        failed: 0,
        told_by_servers: None,
    };
    assert_eq!(count.heard(1000.0, whole), 10.0);
    assert_eq!(
        count.heard(2000.0, Others { live: 14, ..whole }),
        14.0,
        "at once"
    );
    let cut = Others {
        live: 3,
        failed: 11,
        told_by_servers: None,
    };
    assert_eq!(
        after(&mut count, 3000.0, 600, cut),
        14.0,
        "those beyond a cut may push"
    );
    let seen = Others {
        told_by_servers: Some(13.0),
        ..cut
    };
    assert_eq!(
        after(&mut count, 700_000.0, 600, seen),
        14.0,
        "and servers tell that they do"
    );
}

#[test]
fn the_count_falls_once_servers_tell_that_nobody_else_pushes_and_rises_at_once() {
    let mut count = ClusterSizeEstimate::new(20.0, 0.0);
    let lost = Others {
        live: 5,
        failed: 15,
        told_by_servers: Some(5.4),
    };
    assert_eq!(
        after(&mut count, 0.0, 9, lost),
        20.0,
        "not before it is sure"
    );
    let fallen = after(&mut count, 9000.0, 60, lost);
    assert!((5.0..5.5).contains(&fallen), "{fallen}");
    assert_eq!(
        count.heard(
            70_000.0,
            Others {
                live: 20,
                failed: 0,
                ..lost
            }
        ),
        20.0,
        "all are back"
    );
    let mut count = ClusterSizeEstimate::new(20.0, 0.0);
    after(&mut count, 0.0, 60, lost);
    let again = Others {
        told_by_servers: Some(12.0),
        ..lost
    };
    assert_eq!(
        count.heard(61_000.0, again),
        12.0,
        "somebody pushes beyond the cut, at once"
    );
    after(&mut count, 62_000.0, 60, lost);
    let strays = Others {
        told_by_servers: Some(7.0),
        ..lost
    };
    assert_eq!(
        count.heard(123_000.0, strays),
        7.0,
        "a sample strays, or some push: not all of those gone for that"
    );
    assert!(
        count.heard(123_100.0, lost) > 6.5,
        "and it falls no faster than before"
    );
}

#[test]
fn new_settings_with_fewer_nodes_make_none_freer_at_once() {
    let mut count = ClusterSizeEstimate::new(20.0, 0.0);
    count.renew(5.0);
    assert_eq!(
        count.heard(
            1000.0,
            Others {
                live: 5,
                failed: 0,
                told_by_servers: None
            }
        ),
        20.0
    );
}

#[test]
fn servers_tell_how_many_nodes_push_whether_or_not_they_count_what_they_answer() {
    for itself in [0.0, 1.0] {
        let mut told = LoadBasedEstimate::default();
        assert_eq!(told.nodes(0.0), None, "nothing told yet");
        let mut now = 0.0;
        let mut run = |told: &mut LoadBasedEstimate, nodes: f64, whole: Option<usize>| {
            for n in 0..4000 {
                now += 5.0;
                let own = f64::from(n % 3);
                told.heard(now, nodes * own + itself, own);
                whole.iter().for_each(|live| told.whole(*live));
            }
            told.nodes(now).expect("told")
        };
        assert!((run(&mut told, 8.0, Some(8)) - 8.0).abs() < 0.4);
        assert!(
            (run(&mut told, 2.0, None) - 2.0).abs() < 0.4,
            "six are gone"
        );
        assert!(
            (run(&mut told, 8.0, None) - 8.0).abs() < 0.4,
            "six are back, or were never gone"
        );
    }
    let mut quiet = LoadBasedEstimate::default();
    (0..1000).for_each(|n| quiet.heard(f64::from(n) * 10.0, 5.0, 0.0));
    assert_eq!(
        quiet.nodes(10_000.0),
        None,
        "a node that has nothing under way can tell nothing"
    );
    assert_eq!(
        quiet.nodes(90_000.0),
        None,
        "and what is long past counts for nothing"
    );
}
