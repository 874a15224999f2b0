//! Which status of an endpoint counts where other proxies' lists say something else than the own list.

use crankmux_membership::endpoint_gossip::{
    EndpointStatus, EndpointView, ListUpdate, ListedEndpoint,
};
use crankmux_membership::EndpointGossip;

const READY: u8 = 0;
const DRAINING: u8 = 1;
const REMOVED: u8 = 2;

fn gossip(endpoint: u64, strictness: u8, started_at_ms: f64, list_version: u64) -> EndpointGossip {
    EndpointGossip {
        endpoint,
        strictness,
        started_at_ms,
        list_version,
    }
}

fn status(strictness: u8, started_at_ms: f64) -> EndpointStatus {
    EndpointStatus {
        strictness,
        started_at_ms,
    }
}

fn line(endpoint: u64, strictness: u8, started_at_ms: f64) -> ListedEndpoint {
    ListedEndpoint {
        endpoint,
        status: status(strictness, started_at_ms),
    }
}

fn view_at(list_version: u64) -> EndpointView {
    let mut view = EndpointView::default();
    let lines = [line(1, READY, 5.0), line(2, READY, 0.0)];
    let update = view.update_list(list_version, true, &lines);
    assert!(update.gossip.is_empty(), "a first list is no news");
    view
}

#[test]
fn the_stricter_status_counts_until_the_own_list_has_come_as_far() {
    let mut view = view_at(10);
    assert!(view.receive(gossip(1, DRAINING, 5.0, 12)));
    assert_eq!(view.status(1), Some(status(DRAINING, 5.0)));
    assert_eq!(view.overridden_count(), 1);
    assert_eq!(view.update_list(11, false, &[]), ListUpdate::default());
    assert_eq!(
        view.status(1),
        Some(status(DRAINING, 5.0)),
        "not as far yet"
    );
    let superseding = ListUpdate {
        gossip: vec![],
        superseded: vec![1],
    };
    assert_eq!(
        view.update_list(12, false, &[]),
        superseding,
        "the own list says otherwise, and is as late"
    );
    assert_eq!(view.status(1), Some(status(READY, 5.0)));
}

#[test]
fn gossip_makes_no_proxy_freer_and_late_or_unknown_gossip_changes_nothing() {
    let mut view = view_at(10);
    view.update_list(11, false, &[line(1, DRAINING, 5.0)]);
    assert!(!view.receive(gossip(1, READY, 5.0, 20)), "ready elsewhere");
    assert_eq!(view.status(1), Some(status(DRAINING, 5.0)));
    assert!(
        !view.receive(gossip(2, REMOVED, 0.0, 11)),
        "as old as the own list"
    );
    assert!(
        !view.receive(gossip(9, DRAINING, 0.0, 30)),
        "listed nowhere here"
    );
    assert!(view.receive(gossip(2, DRAINING, 0.0, 30)));
    assert!(
        !view.receive(gossip(2, REMOVED, 0.0, 29)),
        "superseded in transit"
    );
    assert!(view.receive(gossip(2, READY, 0.0, 31)), "taken back");
    assert_eq!(view.status(2), Some(status(READY, 0.0)));
    assert!(view.receive(gossip(2, READY, 77.0, 32)), "a new start");
    assert_eq!(view.status(2), Some(status(READY, 77.0)));
}

#[test]
fn a_change_of_the_own_list_is_gossiped_once() {
    let mut view = view_at(10);
    assert_eq!(
        view.update_list(11, false, &[line(1, DRAINING, 5.0)])
            .gossip,
        [gossip(1, DRAINING, 5.0, 11)]
    );
    let repeated = view.update_list(12, false, &[line(1, DRAINING, 5.0)]);
    assert!(repeated.gossip.is_empty());
    let lines = [line(1, READY, 9.0), line(3, READY, 8.0)];
    assert_eq!(
        view.update_list(13, false, &lines).gossip,
        [gossip(1, READY, 9.0, 13), gossip(3, READY, 8.0, 13)]
    );
    assert_eq!(
        view.update_list(14, true, &lines).gossip,
        [gossip(2, REMOVED, 0.0, 14)],
        "missing from the whole list is removed"
    );
    assert_eq!(view.status(2), None);
}
