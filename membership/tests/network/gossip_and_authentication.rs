//! Endpoint gossip, and datagrams that are rejected.

use crate::simulation::{address, member_id, Datagram, Simulation, KEY};
use crankmux_membership::{EndpointGossip, Membership, MembershipEvent};

#[test]
fn endpoint_gossip_of_one_member_reaches_all_others_once() {
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
    assert_eq!(received.len(), 11, "each once");
    assert!(received
        .iter()
        .all(|reported| reported.at_ms - gossiped_at_ms < 1500.0));
}

#[test]
fn garbage_strangers_and_replays_are_rejected() {
    let mut net = Simulation::discovered(6, 12);
    let delivered = net.delivered.clone();
    let now_ms = net.now_ms + 60_000.0;
    let before = net.members_seen_by(0);
    let member = net.members.get_mut(&0).unwrap();
    for Datagram { from, to, bytes } in delivered {
        if to == 0 {
            assert!(
                member.receive(now_ms, address(from), &bytes).is_err(),
                "a replay a minute old"
            );
        }
        for (place, flip) in [(0, 1u8), (30, 8), (bytes.len() - 1, 64)] {
            let mut garbled = bytes.clone();
            garbled[place] ^= flip;
            assert!(member.receive(now_ms, address(from), &garbled).is_err());
        }
        assert!(member
            .receive(now_ms, address(from), &bytes[..bytes.len() / 2])
            .is_err());
    }
    let mut stranger = Membership::new(
        member_id(40, 1),
        &[address(0)],
        &["another fleet's key"],
        1,
        now_ms,
    )
    .unwrap();
    stranger.handle_timers(now_ms);
    let sent = stranger.take_datagrams();
    assert!(!sent.is_empty());
    assert!(sent
        .iter()
        .all(|(_, datagram)| member.receive(now_ms, address(40), datagram).is_err()));
    assert_eq!(net.members_seen_by(0), before, "nothing came of it");
}

#[test]
fn a_key_is_exchanged_while_the_cluster_runs() {
    let mut net = Simulation::start(4, 13);
    net.run_for(5000.0);
    let new = Membership::new(
        member_id(4, 1),
        &[address(0)],
        &[KEY, "the next key of the fleet"],
        4,
        net.now_ms,
    )
    .unwrap();
    net.add_member(4, new);
    net.run_for(5000.0);
    assert!(net.all_members_see(4));
    assert!(Membership::new(member_id(4, 1), &[], &["short"], 4, 0.0).is_err());
}
