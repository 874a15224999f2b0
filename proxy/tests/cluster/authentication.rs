//! Datagrams that are rejected, and the exchange of keys.

use crate::common::{
    assert_agree_within, assert_nobody_failed, assert_rules_kept, started_cluster, views,
    CLUSTER_KEY, DISCOVERY_MS,
};
use crankmux_fault_injection::Harness;
use std::net::UdpSocket;

#[test]
fn replays_garbage_strangers_and_floods_are_rejected_and_delay_nobody() {
    let mut harness = started_cluster("flood", 5);
    harness.advance(2000.0);
    harness.kill(4);
    harness.advance(200.0);
    harness.start(4, true);
    assert_agree_within(&mut harness, DISCOVERY_MS, &[0, 1, 2, 3, 4]);
    let replayed_at_ms = harness.now();
    let replayed: usize = (0..4)
        .map(|proxy| harness.relays.replay(replayed_at_ms, proxy, 2500.0))
        .sum();
    assert!(replayed > 20, "{replayed}");
    let before = rejected_datagrams(&harness);
    flood_with_garbage(&mut harness);
    harness.advance(1000.0);
    assert_nobody_failed(&harness, &[0, 1, 2, 3, 4], replayed_at_ms);
    assert!(rejected_datagrams(&harness) > before + 1000, "{before}");
    // A proxy with another key is a stranger.
    harness.kill(3);
    harness.write_files_with_keys(3, &["the key of quite another fleet"]);
    harness.start(3, true);
    harness.advance(4000.0);
    assert!(
        harness
            .view(3)
            .unwrap()
            .states
            .values()
            .all(|state| state != "alive"),
        "{:?}",
        harness.view(3)
    );
    assert_rules_kept(&mut harness);
}

/// How many datagrams the first proxy has rejected.
fn rejected_datagrams(harness: &Harness) -> u64 {
    harness.proxies[0]
        .page()
        .map_or(0, |page| page["datagrams"]["refused"].as_u64().unwrap())
}

/// Sends the first proxy some thousands of datagrams a second, in steps of the harness's loop.
fn flood_with_garbage(harness: &mut Harness) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = harness.proxies[0].cluster_listen;
    for step in 0..300_u64 {
        for index in 0..20_u64 {
            let length = (step * 7 + index) % 1300;
            let garbage: Vec<u8> = (0..length)
                .map(|byte| (byte * step + index) as u8)
                .collect();
            let _ = socket.send_to(&garbage, to);
        }
        harness.advance(5.0);
    }
}

#[test]
fn a_key_is_exchanged_while_all_proxies_run() {
    let mut harness = started_cluster("key", 4);
    let old = CLUSTER_KEY;
    let new = "the key that comes after it";
    for keys in [&[old, new][..], &[new, old], &[new]] {
        for proxy in 0..4 {
            harness.write_files_with_keys(proxy, keys);
            harness.proxies[proxy].reload();
            harness.advance(100.0);
        }
    }
    let exchanged_at_ms = harness.now();
    harness.advance(4000.0);
    assert_nobody_failed(&harness, &[0, 1, 2, 3], exchanged_at_ms);
    assert!(harness.views_agree(&[0, 1, 2, 3]), "{:?}", views(&harness));
    assert_rules_kept(&mut harness);
}
