//! Restarts, duplicate names and gossip about a member's own earlier incarnations.

use crate::simulation::{address, member_id, Simulation, KEY};
use crankmux_membership::{Authenticator, Membership, MembershipEvent, NodeId, Reachability};
use foca::{AccumulatingRuntime, Codec, Foca, PostcardCodec};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[test]
fn a_member_that_restarts_under_its_name_rejoins_at_once() {
    let mut net = Simulation::discovered(9, 7);
    net.members.remove(&5);
    net.run_for(500.0);
    net.start_member(5, 2);
    net.run_for(4000.0);
    assert!(net.all_members_see(8));
    assert!(
        net.members_seen_by(0)
            .iter()
            .all(|member| member.id.name != "node-5" || member.id.incarnation >= 2),
        "node 0 must not list the earlier incarnation"
    );
    net.assert_shares_within_budget("whole run");
}

#[test]
fn a_member_whose_clock_was_set_back_rejoins_under_a_later_incarnation() {
    let mut net = Simulation::discovered(6, 8);
    net.members.remove(&5);
    net.start_member(5, 0);
    net.run_for(8000.0);
    assert!(
        net.all_members_see(5),
        "the member must rejoin under a later incarnation"
    );
    assert!(net.members[&5].local().incarnation > 1);
}

#[test]
fn members_with_a_duplicate_name_are_reported() {
    let mut net = Simulation::start(6, 14);
    net.run_for(5000.0);
    let duplicate = NodeId {
        name: "node-3".into(),
        ..member_id(50, 1)
    };
    let duplicate = Membership::new(duplicate, &[address(0)], &[KEY], 5, net.now_ms).unwrap();
    net.add_member(50, duplicate);
    net.run_for(5000.0);
    let is_duplicate =
        |event: &MembershipEvent| matches!(event, MembershipEvent::DuplicateName(..));
    assert!(net
        .events
        .iter()
        .any(|reported| is_duplicate(&reported.event)));
}

/// The probe that `relay` sends to `probed` on behalf of `requester`, while it knows only the earlier incarnation `known`.
fn indirect_probe(relay: &NodeId, known: NodeId, probed: &NodeId, requester: &NodeId) -> Vec<u8> {
    let rng = ChaCha8Rng::seed_from_u64(1);
    let mut relay_swim = Foca::new(relay.clone(), foca::Config::simple(), rng, PostcardCodec);
    let known = [foca::Member::alive(known)];
    relay_swim
        .apply_many(known.into_iter(), true, AccumulatingRuntime::new())
        .unwrap();
    let mut request = Vec::new();
    let header = foca::Header {
        src: requester.clone(),
        src_incarnation: 0,
        dst: relay.clone(),
        message: foca::Message::PingReq {
            target: probed.clone(),
            probe_number: 1,
        },
    };
    PostcardCodec.encode_header(&header, &mut request).unwrap();
    let mut output = AccumulatingRuntime::new();
    relay_swim.handle_data(&request, &mut output).unwrap();
    let (to, packet) = output.to_send().expect("the relay sends an indirect probe");
    assert_eq!(&to, probed);
    packet.to_vec()
}

#[test]
fn a_member_never_lists_an_earlier_incarnation_of_its_own_address() {
    let local = member_id(0, 2);
    let relay = member_id(1, 1);
    let requester = member_id(2, 1);
    let packet = indirect_probe(&relay, member_id(0, 1), &local, &requester);
    let now_ms = 1_000_000.0;
    let mut member = Membership::new(local, &[], &[KEY], 1, now_ms).unwrap();
    member.handle_timers(now_ms);
    let swim_kind = 1;
    let datagram = Authenticator::new(&[KEY], 1, 1)
        .unwrap()
        .sign(swim_kind, &packet);
    member.receive(now_ms, address(1), &datagram).unwrap();
    // Long enough for the once-a-second check of all members, too short for silent peers to be declared failed.
    for step in 1..=55 {
        member.handle_timers(now_ms + f64::from(step) * 20.0);
    }
    let others: Vec<_> = member.members().into_iter().map(|m| m.id).collect();
    assert_eq!(
        others,
        [relay, requester],
        "the member must have accepted the packet and list only the relay and the requester"
    );
    assert_eq!(member.reachability(), Reachability::Full);
    let own_failure = |event: &MembershipEvent| matches!(event, MembershipEvent::Failed(m) if m.address == address(0));
    assert!(!member.take_events().iter().any(own_failure));
}

#[test]
fn after_packet_loss_and_delay_no_member_lists_itself_and_shares_recover() {
    // Seeds that make a member list itself if its own earlier incarnations are not filtered out.
    for seed in [1068, 1073, 1083, 1137, 1144, 1152, 1155] {
        let mut net = Simulation::discovered(5, seed);
        net.is_partitioned = |a, b| a == 1 && b == 0;
        net.run_for(5000.0);
        net.is_partitioned = |_, _| false;
        net.delay_ms = 100.0;
        net.loss_probability = 0.2;
        for _ in 0..1200 {
            net.run_for(10.0);
            for n in 0..5 {
                let own = net
                    .members_seen_by(n)
                    .into_iter()
                    .find(|m| m.id.address == address(n));
                assert!(
                    own.is_none(),
                    "seed {seed}: member {n} lists itself: {own:?}"
                );
            }
        }
        net.delay_ms = 2.0;
        net.loss_probability = 0.0;
        net.run_for(8000.0);
        for (n, member) in &mut net.members {
            assert_eq!(
                member.reachability(),
                Reachability::Full,
                "seed {seed}, member {n}"
            );
            let share = member.slow_start_share(5.0);
            assert!(
                (share * 5.0 - 1.0).abs() < 1e-9,
                "seed {seed}, member {n}: share {share}"
            );
        }
        net.assert_shares_within_budget(&format!("seed {seed}"));
    }
}
