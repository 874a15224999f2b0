//! Endpoint gossip between members, and rejection of invalid datagrams.

use crate::simulation::{address, member_id, Datagram, Simulation, KEY};
use crankmux_membership::{EndpointGossip, Membership, MembershipEvent};

#[test]
fn endpoint_gossip_reaches_every_other_member_exactly_once() {
    let mut net = Simulation::discovered(12, 11);
    net.members
        .get_mut(&7)
        .unwrap()
        .gossip_endpoint(EndpointGossip {
            endpoint: 4711,
            strictness: 1,
            started_at_ms: 5.0,
            list_version: 9,
        });
    let gossiped_at_ms = net.now_ms;
    net.run_for(2000.0);
    let is_update = |event: &MembershipEvent| {
        matches!(
            event,
            MembershipEvent::EndpointUpdate(_, EndpointGossip { endpoint: 4711, .. })
        )
    };
    let received: Vec<_> = net
        .events
        .iter()
        .filter(|reported| is_update(&reported.event))
        .collect();
    assert_eq!(
        received.len(),
        11,
        "every other member must receive the update exactly once"
    );
    assert!(received
        .iter()
        .all(|reported| reported.at_ms - gossiped_at_ms < 1500.0));
}

#[test]
fn corrupted_replayed_and_foreign_datagrams_are_rejected() {
    let mut net = Simulation::discovered(6, 12);
    let delivered = net.delivered.clone();
    let now_ms = net.now_ms + 60_000.0;
    let before = net.members_seen_by(0);
    let member = net.members.get_mut(&0).unwrap();
    for Datagram { from, to, bytes } in delivered {
        if to == 0 {
            assert!(
                member.receive(now_ms, address(from), &bytes).is_err(),
                "a datagram replayed after a minute must be rejected"
            );
        }
        for (index, mask) in [(0, 1u8), (30, 8), (bytes.len() - 1, 64)] {
            let mut corrupted = bytes.clone();
            corrupted[index] ^= mask;
            assert!(member.receive(now_ms, address(from), &corrupted).is_err());
        }
        assert!(member
            .receive(now_ms, address(from), &bytes[..bytes.len() / 2])
            .is_err());
    }
    let mut foreign_member = Membership::new(
        member_id(40, 1),
        &[address(0)],
        &["shared key of another cluster"],
        1,
        now_ms,
    )
    .unwrap();
    foreign_member.handle_timers(now_ms);
    let sent = foreign_member.take_datagrams();
    assert!(!sent.is_empty());
    assert!(sent
        .iter()
        .all(|(_, datagram)| member.receive(now_ms, address(40), datagram).is_err()));
    assert_eq!(
        net.members_seen_by(0),
        before,
        "rejected datagrams must not change the member list"
    );
}

#[test]
fn a_member_with_an_additional_key_joins_a_running_cluster() {
    let mut net = Simulation::start(4, 13);
    net.run_for(5000.0);
    let member = Membership::new(
        member_id(4, 1),
        &[address(0)],
        &[KEY, "next shared key of the test cluster"],
        4,
        net.now_ms,
    )
    .unwrap();
    net.add_member(4, member);
    net.run_for(5000.0);
    assert!(net.all_members_see(4));
    assert!(Membership::new(member_id(4, 1), &[], &["short"], 4, 0.0).is_err());
}
