//! Several processes of the node at once, with faults between them. Each test is one danger to a fleet; bounds
//! on times are the issue's own where it names one, and else generous.

use crankmux_fault_injection::{Harness, Start, Way};
use crankmux_simulator::script::Script;

/// Small ops on servers with room to spare: what is looked at is the fleet, on machines of any pace.
const WORLD: &str = r#"
name = "fleet"
seconds = 60
nodes = 6
zones = ["a", "b", "c"]
[duties]
come_back_ms = 500
drain_grace_ms = 300
cold = 8
[[categories]]
name = "view"
effect = "redeliverable"
target_ms = 400
ttl_ms = 1500
work_ms = 8
weight = 6
[[categories]]
name = "order"
effect = "deduplicated"
group = "zone"
target_ms = 400
ttl_ms = 1500
work_ms = 8
weight = 3
[[categories]]
name = "pay"
effect = "at-most-once"
target_ms = 400
ttl_ms = 1500
work_ms = 8
[[machines]]
kind = "m"
count = 9
[load]
rate = 150
[reports]
told = true
"#;

/// A rig of so many nodes; the settings tell as many, or so many.
fn rig(name: &str, nodes: usize, change: impl FnOnce(&mut Start)) -> Harness {
    let mut script = Script::read(WORLD).expect("in order");
    script.proxies = nodes;
    let folder = std::env::temp_dir().join(format!(
        "crankmux-fault-injection-{}-{name}",
        std::process::id()
    ));
    let mut start = Start::new(env!("CARGO_BIN_EXE_crankmux"), folder);
    change(&mut start);
    Harness::new(script, start)
}

/// The same, all of it started and at one view, with clients bringing ops.
fn whole(name: &str, nodes: usize) -> Harness {
    let mut rig = rig(name, nodes, |_| ());
    rig.start_all();
    let all: Vec<usize> = (0..nodes).collect();
    assert!(
        rig.until(15_000.0, |rig| rig.agree(&all)),
        "they come to know each other: {:?}",
        views(&rig)
    );
    rig.open();
    rig.pass(1000.0);
    rig
}

fn views(rig: &Harness) -> Vec<Option<crankmux_fault_injection::View>> {
    (0..rig.nodes.len())
        .map(|node| rig.view(node).cloned())
        .collect()
}

/// No rule was broken, and ops were served.
fn kept(rig: &mut Harness) {
    rig.shut();
    rig.pass(2500.0);
    assert!(rig.broken().is_empty(), "{:#?}", rig.broken());
    let service = rig.service;
    assert!(
        service.taken > 0 && service.acked * 10 >= (service.taken - service.gone) * 8,
        "{service:?}"
    );
}

/// No live node was declared failed by another.
fn nobody_failed(rig: &Harness, live: &[usize], since: f64) {
    for view in rig
        .views
        .iter()
        .filter(|view| view.at >= since && live.contains(&view.node))
    {
        let failed = view
            .states
            .iter()
            .find(|(n, state)| live.contains(n) && *state == "failed");
        assert!(failed.is_none(), "{view:?}");
    }
}

#[test]
fn a_third_killed_at_once_is_known_to_all_and_who_leaves_is_no_failure() {
    let mut rig = whole("third", 6);
    let at = rig.now();
    (4..6).for_each(|node| rig.kill(node));
    let live = [0, 1, 2, 3];
    let all = |rig: &Harness| {
        (4..6).all(|dead| {
            rig.saw(&live, dead, "failed", at)
                .iter()
                .all(Option::is_some)
        })
    };
    assert!(rig.until(8000.0, |rig| all(rig)), "{:?}", views(&rig));
    nobody_failed(&rig, &live, at);
    assert!(rig.until(2000.0, |rig| live.iter().all(|node| rig
        .view(*node)
        .unwrap()
        .reach
        == "part")));
    let at = rig.now();
    rig.terminate(3);
    assert!(rig.until(8000.0, |rig| rig
        .saw(&live[..3], 3, "left", at)
        .iter()
        .all(Option::is_some)));
    // Back under their old names, with no word of the old ones' end waited for.
    [3, 4, 5]
        .into_iter()
        .for_each(|node| assert!(rig.until(5000.0, |rig| !rig.nodes[node].runs())));
    [3, 4, 5].into_iter().for_each(|node| rig.start(node, true));
    assert!(
        rig.until(15_000.0, |rig| rig.agree(&[0, 1, 2, 3, 4, 5])),
        "{:?}",
        views(&rig)
    );
    kept(&mut rig);
}

#[test]
fn a_rolling_restart_of_all_loses_no_op_and_no_node() {
    let mut rig = whole("rolling", 5);
    for node in 0..5 {
        rig.terminate(node);
        assert!(rig.until(8000.0, |rig| !rig.nodes[node].runs()), "it ends");
        rig.start(node, true);
        assert!(
            rig.until(15_000.0, |rig| rig.agree(&[0, 1, 2, 3, 4])),
            "{:?}",
            views(&rig)
        );
        rig.pass(300.0);
    }
    nobody_failed(&rig, &[0, 1, 2, 3, 4], 0.0);
    kept(&mut rig);
}

#[test]
fn one_that_stood_still_for_ten_seconds_declares_nobody_failed_and_breaks_no_rule() {
    let mut rig = whole("still", 5);
    let at = rig.now();
    rig.stop(2);
    let others = [0, 1, 3, 4];
    assert!(rig.until(8000.0, |rig| rig
        .saw(&others, 2, "failed", at)
        .iter()
        .all(Option::is_some)));
    rig.drain(0);
    rig.pass((at + 10_000.0 - rig.now()).max(0.0));
    let woken = rig.now();
    rig.go_on(2);
    assert!(
        rig.until(8000.0, |rig| rig.agree(&[0, 1, 2, 3, 4])),
        "{:?}",
        views(&rig)
    );
    nobody_failed(&rig, &others, woken);
    let wrong = rig.views.iter().find(|view| {
        view.node == 2 && view.at > woken && view.states.values().any(|state| state == "failed")
    });
    assert!(wrong.is_none(), "{wrong:?}");
    kept(&mut rig);
}

#[test]
fn a_one_way_cut_and_a_lossy_slow_net_part_nobody() {
    let mut rig = whole("oneway", 5);
    let at = rig.now();
    rig.ways(
        &[1],
        &[0],
        Way {
            cut: true,
            ..Way::default()
        },
    );
    rig.pass(5000.0);
    nobody_failed(&rig, &[0, 1, 2, 3, 4], at);
    let all = [0, 1, 2, 3, 4];
    let bad = Way {
        loss: 0.2,
        delay: 100.0,
        twice: 0.1,
        garbled: 0.02,
        cut: false,
    };
    rig.part(&[&all], bad);
    rig.pass(12_000.0);
    nobody_failed(&rig, &all, at);
    rig.part(&[&all], Way::default());
    assert!(
        rig.until(8000.0, |rig| rig.agree(&all)),
        "{:?}",
        views(&rig)
    );
    kept(&mut rig);
}

#[test]
fn a_split_in_three_keeps_the_count_and_cold_budgets_and_heals_in_any_order() {
    let mut rig = whole("split", 6);
    let groups: [&[usize]; 3] = [&[0, 1], &[2, 3], &[4, 5]];
    rig.part(&groups, Way::default());
    let at = rig.now();
    assert!(rig.until(10_000.0, |rig| rig
        .saw(&[0, 1], 5, "failed", at)
        .iter()
        .all(Option::is_some)
        && rig
            .saw(&[4, 5], 0, "failed", at)
            .iter()
            .all(Option::is_some)));
    // Each part knows two of six; a server restarts cold meanwhile, and all six push to it.
    rig.restart_server(1);
    rig.pass(3000.0);
    for view in rig.views.iter().filter(|view| view.at > at) {
        assert!(
            view.assumed >= 5.99,
            "those beyond the cut push too: {view:?}"
        );
        assert!(view.cold_part <= 1.0 + 1e-9);
    }
    rig.part(&[&[0, 1, 4, 5], &[2, 3]], Way::default());
    assert!(
        rig.until(15_000.0, |rig| rig.saw(&[0], 4, "alive", at + 6000.0)[0]
            .is_some())
    );
    rig.part(&[&[0, 1, 2, 3, 4, 5]], Way::default());
    let healed = rig.now();
    assert!(
        rig.until(15_000.0, |rig| rig.agree(&[0, 1, 2, 3, 4, 5])),
        "{:?}",
        views(&rig)
    );
    assert!(
        rig.now() - healed < 10_000.0,
        "all views equal soon: {:.0} ms",
        rig.now() - healed
    );
    kept(&mut rig);
}

#[test]
fn old_datagrams_garbage_strangers_and_floods_are_not_believed_and_hold_up_nobody() {
    let mut rig = whole("flood", 5);
    rig.pass(2000.0);
    rig.kill(4);
    rig.pass(200.0);
    rig.start(4, true);
    assert!(rig.until(15_000.0, |rig| rig.agree(&[0, 1, 2, 3, 4])));
    let at = rig.now();
    let repeated: usize = (0..4).map(|node| rig.relays.repeat(at, node, 2500.0)).sum();
    assert!(repeated > 20, "{repeated}");
    let refused = |rig: &Harness| {
        rig.nodes[0]
            .page()
            .map_or(0, |page| page["datagrams"]["refused"].as_u64().unwrap())
    };
    let before = refused(&rig);
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = rig.nodes[0].hears;
    // Some thousands a second, in steps of the rig's loop.
    for n in 0..300_u64 {
        for m in 0..20_u64 {
            let garbage: Vec<u8> = (0..(n * 7 + m) % 1300)
                .map(|byte| (byte * n + m) as u8)
                .collect();
            let _ = socket.send_to(&garbage, to);
        }
        rig.pass(5.0);
    }
    rig.pass(1000.0);
    nobody_failed(&rig, &[0, 1, 2, 3, 4], at);
    assert!(refused(&rig) > before + 1000, "{before}");
    // One with another key is nobody.
    rig.kill(3);
    rig.furnish(3, &["the key of quite another fleet"]);
    rig.start(3, true);
    rig.pass(4000.0);
    assert!(
        rig.view(3)
            .unwrap()
            .states
            .values()
            .all(|state| state != "alive"),
        "{:?}",
        rig.view(3)
    );
    kept(&mut rig);
}

#[test]
fn a_key_is_exchanged_while_all_run() {
    let mut rig = whole("key", 4);
    let (old, new) = (
        "the key of this rig's own fleet",
        "the key that comes after it",
    );
    for keys in [&[old, new][..], &[new, old], &[new]] {
        for node in 0..4 {
            rig.furnish(node, keys);
            rig.nodes[node].reload();
            rig.pass(100.0);
        }
    }
    let at = rig.now();
    rig.pass(4000.0);
    nobody_failed(&rig, &[0, 1, 2, 3], at);
    assert!(rig.agree(&[0, 1, 2, 3]), "{:?}", views(&rig));
    kept(&mut rig);
}

#[test]
fn one_that_finds_only_dead_seeds_or_whose_port_fails_serves_on_as_a_node_that_shares_nothing() {
    let mut rig = rig("alone", 3, |start| start.seeds = 1);
    rig.start(1, false);
    let found = rig.until(10_000.0, |rig| {
        rig.view(1)
            .is_some_and(|v| v.reach == "alone" && v.cold_part == 1.0)
    });
    assert!(found, "{:?}", rig.view(1));
    rig.open();
    rig.pass(1000.0);
    rig.start(2, false);
    rig.pass(500.0);
    rig.start(0, false);
    assert!(
        rig.until(15_000.0, |rig| rig.agree(&[0, 1, 2])),
        "{:?}",
        views(&rig)
    );
    // Its datagrams alone are lost, both ways; its HTTP serves.
    let at = rig.now();
    let cut = Way {
        cut: true,
        ..Way::default()
    };
    rig.ways(&[2], &[0, 1], cut);
    rig.ways(&[0, 1], &[2], cut);
    assert!(rig.until(8000.0, |rig| rig
        .saw(&[0, 1], 2, "failed", at)
        .iter()
        .all(Option::is_some)));
    let served = rig.reached();
    rig.pass(2000.0);
    assert!(
        rig.reached() > served && rig.view(2).unwrap().reach == "alone",
        "{:?}",
        rig.view(2)
    );
    assert!(
        rig.view(0).unwrap().assumed >= 2.99,
        "it may push: {:?}",
        rig.view(0)
    );
    kept(&mut rig);
}

#[test]
fn a_drain_that_one_node_was_told_holds_at_those_whose_discovery_is_silent() {
    let mut rig = whole("drain", 4);
    rig.blind[2] = true;
    rig.blind[3] = true;
    rig.drain(5);
    rig.pass(1500.0);
    let at = rig.now();
    rig.pass(3000.0);
    let pushes: Vec<usize> = (0..4).map(|node| rig.pushes(node, 5, at)).collect();
    assert_eq!(
        pushes,
        [0, 0, 0, 0],
        "pushes to a server that drains, by node"
    );
    let elsewhere: usize = (0..9).map(|server| rig.pushes(2, server, at)).sum();
    assert!(elsewhere > 0, "and it pushes elsewhere");
    // Their own lists come as far, and tell that it is back.
    rig.restart_server(5);
    (rig.blind[2], rig.blind[3]) = (false, false);
    let at = rig.now();
    assert!(
        rig.until(20_000.0, |rig| rig.pushes(2, 5, at) > 0),
        "back, for one of its own zone that was blind"
    );
    let stricter = |rig: &Harness| {
        rig.nodes[3]
            .page()
            .and_then(|page| page["held_stricter"].as_u64())
    };
    assert!(
        rig.until(10_000.0, |rig| stricter(rig) == Some(0)),
        "its own list has come as far"
    );
    kept(&mut rig);
}

#[test]
fn two_machines_under_one_name_are_told_and_both_serve_on() {
    let mut rig = rig("twins", 4, |_| ());
    rig.nodes[3].name = Some("node-2".into());
    rig.furnish(3, &["the key of this rig's own fleet"]);
    rig.start_all();
    let all = [0, 1, 2, 3];
    assert!(
        rig.until(15_000.0, |rig| rig.agree(&all)),
        "{:?}",
        views(&rig)
    );
    let at = rig.now();
    rig.open();
    rig.pass(3000.0);
    assert!(
        rig.nodes[0]
            .log()
            .contains("two nodes call themselves node-2"),
        "{}",
        rig.nodes[0].log()
    );
    nobody_failed(&rig, &all, at);
    let pushes = |node| {
        (0..9)
            .map(|server| rig.pushes(node, server, at))
            .sum::<usize>()
    };
    assert!(pushes(2) > 0 && pushes(3) > 0);
    kept(&mut rig);
}

#[test]
fn most_gone_and_back_at_once_push_no_cold_server_over() {
    let mut rig = whole("back", 9);
    let at = rig.now();
    (1..9).for_each(|node| rig.kill(node));
    assert!(rig.until(10_000.0, |rig| (1..9).all(|dead| rig.saw(
        &[0],
        dead,
        "failed",
        at
    )[0]
    .is_some())));
    rig.pass(2000.0);
    (1..9).for_each(|node| rig.start(node, false));
    // Cold servers just as they are back: they must agree before they push there.
    (0..3).for_each(|server| rig.restart_server(server));
    let all: Vec<usize> = (0..9).collect();
    assert!(
        rig.until(15_000.0, |rig| rig.agree(&all)),
        "{:?}",
        views(&rig)
    );
    (3..6).for_each(|server| rig.restart_server(server));
    rig.pass(3000.0);
    let parts: f64 = all
        .iter()
        .map(|node| rig.view(*node).unwrap().cold_part)
        .sum();
    assert!(
        parts <= 9.0 + 1e-6 && parts > 0.0,
        "parts of a told node's: {parts}"
    );
    kept(&mut rig);
}

#[test]
fn a_fleet_larger_than_told_counts_itself_and_shares_the_cold_budget() {
    let mut rig = rig("doubled", 8, |start| start.told = Some(4));
    (0..4).for_each(|node| rig.start(node, false));
    let first = [0, 1, 2, 3];
    assert!(
        rig.until(15_000.0, |rig| rig.agree(&first)),
        "{:?}",
        views(&rig)
    );
    rig.open();
    assert!(rig.until(5000.0, |rig| first.iter().all(|node| rig
        .view(*node)
        .unwrap()
        .cold_part
        == 1.0)));
    (4..8).for_each(|node| rig.start(node, false));
    (0..3).for_each(|server| rig.restart_server(server));
    let all: Vec<usize> = (0..8).collect();
    assert!(
        rig.until(15_000.0, |rig| rig.agree(&all)),
        "{:?}",
        views(&rig)
    );
    let even = |rig: &Harness| {
        all.iter().all(|node| {
            let view = rig.view(*node).unwrap();
            view.assumed >= 7.99 && (view.cold_part - 0.5).abs() < 1e-6
        })
    };
    assert!(rig.until(10_000.0, |rig| even(rig)), "{:?}", views(&rig));
    // Whatever was held while views differed: never more than the budget, at any moment that was seen.
    let mut last = std::collections::BTreeMap::new();
    for view in &rig.views {
        last.insert(view.node, view.cold_part);
        assert!(
            last.values().sum::<f64>() <= 4.0 + 1e-6,
            "{view:?}: {last:?}"
        );
    }
    kept(&mut rig);
}

#[test]
fn twenty_nodes_together_push_no_cold_server_over() {
    let mut script = Script::read(WORLD).expect("in order");
    (script.proxies, script.limits.slow_start_s) = (20, 8.0);
    script.machine_types[0].count = 6;
    let folder = std::env::temp_dir().join(format!(
        "crankmux-fault-injection-{}-cold",
        std::process::id()
    ));
    let mut start = Start::new(env!("CARGO_BIN_EXE_crankmux"), folder);
    start.fleet = false;
    let (share, multiple, window) = (
        script.limits.cold_capacity_fraction,
        script.limits.overload_multiple,
        script.limits.overload_window_ms,
    );
    let mut rig = Harness::new(script, start);
    // Ten a second at each node, thirty-three at each server.
    rig.rate = 10.0;
    rig.start_all();
    rig.pass(500.0);
    rig.open();
    rig.pass(8000.0);
    for servers in [[0, 1], [2, 3]] {
        let at = rig.now();
        let borne = servers.map(|server| rig.calls(server, at - 4000.0) as f64 / 4000.0);
        servers
            .iter()
            .for_each(|server| rig.restart_server(*server));
        rig.pass(4000.0);
        for (server, borne) in servers.into_iter().zip(borne) {
            let n = multiple * share * borne * window;
            let most = rig.most_calls(server, at, window) as f64;
            println!("server {server}: {most} calls in {window} ms, budget {n:.1}");
            assert!(
                most <= n + 2.0 * n.sqrt() + 2.0,
                "server {server}: {most} calls, budget {n:.1}"
            );
        }
    }
    kept(&mut rig);
}

#[test]
fn whoever_leaves_while_servers_fail_one_after_another_is_not_served_on() {
    let mut script = Script::read(WORLD).expect("in order");
    (script.proxies, script.clients.impatient_fraction) = (2, 1.0);
    // A repeat may meet the next break within milliseconds: danger, on a quick machine all pushes that an op may
    // have are used up before its client leaves, and nobody leaves at all.
    (script.limits.slow_start_s, script.limits.max_attempts) = (0.001, 50);
    script
        .request_classes
        .iter_mut()
        .for_each(|category| category.mean_work_ms = 60_000.0);
    let folder = std::env::temp_dir().join(format!(
        "crankmux-fault-injection-{}-leavers",
        std::process::id()
    ));
    let mut start = Start::new(env!("CARGO_BIN_EXE_crankmux"), folder);
    start.fleet = false;
    let mut rig = Harness::new(script, start);
    rig.rate = 20.0;
    rig.start_all();
    rig.pass(500.0);
    rig.open();
    // Clients leave after 750 ms; whatever is out at a server breaks every 300 ms, so that it would go again.
    let mut broken = 0;
    let many = rig.until(20_000.0, |rig| {
        if rig.now() > 300.0 / 9.0 * broken as f64 {
            rig.restart_server(broken % 9);
            broken += 1;
        }
        rig.service.gone > 60
    });
    assert!(many, "{:?}", rig.service);
    let [lost, twice, drains, _, left] = rig.judge.counts();
    assert_eq!([lost, twice, drains, left], [0; 4], "{:#?}", rig.broken());
    let left = rig.judge.clients_left();
    let after = rig.judge.attempt_delays_after_departure_ms();
    let within = |from: f64, to: f64| {
        after
            .iter()
            .filter(|since| (from..to).contains(*since))
            .count()
    };
    println!(
        "{left} clients left; pushes that much later: under 10 ms {}, 10 to 30 ms {}, 30 to 100 ms {}, more {}",
        within(0.0, 10.0),
        within(10.0, 30.0),
        within(30.0, 100.0),
        within(100.0, f64::INFINITY)
    );
}
