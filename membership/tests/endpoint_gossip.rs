//! Resolution of an endpoint's status when gossip from other proxies contradicts the proxy's own list.

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

fn listed(endpoint: u64, strictness: u8, started_at_ms: f64) -> ListedEndpoint {
    ListedEndpoint {
        endpoint,
        status: status(strictness, started_at_ms),
    }
}

fn view_at(list_version: u64) -> EndpointView {
    let mut view = EndpointView::default();
    let endpoints = [listed(1, READY, 5.0), listed(2, READY, 0.0)];
    let update = view.update_list(list_version, true, &endpoints);
    assert!(
        update.gossip.is_empty(),
        "the initial list must not be gossiped"
    );
    view
}

#[test]
fn a_stricter_gossiped_status_applies_until_the_own_list_reaches_its_version() {
    let mut view = view_at(10);
    assert!(view.receive(gossip(1, DRAINING, 5.0, 12)));
    assert_eq!(view.status(1), Some(status(DRAINING, 5.0)));
    assert_eq!(view.overridden_count(), 1);
    assert_eq!(view.update_list(11, false, &[]), ListUpdate::default());
    assert_eq!(
        view.status(1),
        Some(status(DRAINING, 5.0)),
        "the own list is still older than the gossip"
    );
    let override_ended = ListUpdate {
        gossip: vec![],
        superseded: vec![1],
    };
    assert_eq!(
        view.update_list(12, false, &[]),
        override_ended,
        "an own list of the same version must take precedence"
    );
    assert_eq!(view.status(1), Some(status(READY, 5.0)));
}

#[test]
fn less_strict_outdated_or_unknown_gossip_is_ignored() {
    let mut view = view_at(10);
    view.update_list(11, false, &[listed(1, DRAINING, 5.0)]);
    assert!(
        !view.receive(gossip(1, READY, 5.0, 20)),
        "a less strict status must not replace the own list's"
    );
    assert_eq!(view.status(1), Some(status(DRAINING, 5.0)));
    assert!(
        !view.receive(gossip(2, REMOVED, 0.0, 11)),
        "gossip as old as the own list must be ignored"
    );
    assert!(
        !view.receive(gossip(9, DRAINING, 0.0, 30)),
        "gossip about an unlisted endpoint must be ignored"
    );
    assert!(view.receive(gossip(2, DRAINING, 0.0, 30)));
    assert!(
        !view.receive(gossip(2, REMOVED, 0.0, 29)),
        "gossip older than previous gossip must be ignored"
    );
    assert!(
        view.receive(gossip(2, READY, 0.0, 31)),
        "newer gossip must withdraw the stricter status"
    );
    assert_eq!(view.status(2), Some(status(READY, 0.0)));
    assert!(
        view.receive(gossip(2, READY, 77.0, 32)),
        "gossip about a restarted endpoint must be accepted"
    );
    assert_eq!(view.status(2), Some(status(READY, 77.0)));
}

#[test]
fn a_change_in_the_own_list_is_gossiped_once() {
    let mut view = view_at(10);
    assert_eq!(
        view.update_list(11, false, &[listed(1, DRAINING, 5.0)])
            .gossip,
        [gossip(1, DRAINING, 5.0, 11)]
    );
    let repeated = view.update_list(12, false, &[listed(1, DRAINING, 5.0)]);
    assert!(repeated.gossip.is_empty());
    let endpoints = [listed(1, READY, 9.0), listed(3, READY, 8.0)];
    assert_eq!(
        view.update_list(13, false, &endpoints).gossip,
        [gossip(1, READY, 9.0, 13), gossip(3, READY, 8.0, 13)]
    );
    assert_eq!(
        view.update_list(14, true, &endpoints).gossip,
        [gossip(2, REMOVED, 0.0, 14)],
        "an endpoint missing from a complete list must be gossiped as removed"
    );
    assert_eq!(view.status(2), None);
}
