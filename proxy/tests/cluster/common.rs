//! What all tests of several proxies share: the environment they run in, and what must hold at their end.

use crankmux_fault_injection::{Harness, Start, View};
use crankmux_simulator::script::Script;

/// Requests with little work on endpoints with room to spare: what is looked at is the cluster, on machines of any
/// speed.
const ENVIRONMENT: &str = r#"
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

/// How many endpoints [`environment`] has.
pub(crate) const ENDPOINTS: usize = 9;
/// The key that the harness gives the proxies.
pub(crate) const CLUSTER_KEY: &str = "the key of this rig's own fleet";
/// How long proxies may take to discover each other.
pub(crate) const DISCOVERY_MS: f64 = 15_000.0;

/// The environment of the tests, with so many proxies.
pub(crate) fn environment(proxies: usize) -> Script {
    let mut script = Script::read(ENVIRONMENT).expect("the environment is valid");
    script.proxies = proxies;
    script
}

/// A harness in an environment, with its files in a folder of this name.
pub(crate) fn harness_in(script: Script, name: &str, change: impl FnOnce(&mut Start)) -> Harness {
    let folder = std::env::temp_dir().join(format!(
        "crankmux-fault-injection-{}-{name}",
        std::process::id()
    ));
    let mut start = Start::new(env!("CARGO_BIN_EXE_crankmux"), folder);
    change(&mut start);
    Harness::new(script, start)
}

/// A harness of so many proxies; the settings have as many, unless they are changed.
pub(crate) fn cluster_harness(
    name: &str,
    proxies: usize,
    change: impl FnOnce(&mut Start),
) -> Harness {
    harness_in(environment(proxies), name, change)
}

/// A harness of so many proxies, all of them started and agreeing on who is alive, with clients sending requests.
pub(crate) fn started_cluster(name: &str, proxies: usize) -> Harness {
    let mut harness = cluster_harness(name, proxies, |_| ());
    harness.start_all();
    let all: Vec<usize> = (0..proxies).collect();
    assert_agree_within(&mut harness, DISCOVERY_MS, &all);
    harness.start_load();
    harness.advance(1000.0);
    harness
}

/// What each proxy last said of the others.
pub(crate) fn views(harness: &Harness) -> Vec<Option<View>> {
    (0..harness.proxies.len())
        .map(|proxy| harness.view(proxy).cloned())
        .collect()
}

/// Asserts that these proxies hold exactly each other for alive, within so many milliseconds.
pub(crate) fn assert_agree_within(harness: &mut Harness, milliseconds: f64, proxies: &[usize]) {
    let agreed = harness.run_until(milliseconds, |harness| harness.views_agree(proxies));
    assert!(agreed, "{:?}", views(harness));
}

/// Whether each of these proxies has seen another in a state, since a moment.
pub(crate) fn all_saw(
    harness: &Harness,
    proxies: &[usize],
    other: usize,
    state: &str,
    since_ms: f64,
) -> bool {
    let first_seen = harness.saw(proxies, other, state, since_ms);
    first_seen.iter().all(Option::is_some)
}

/// How many attempts a proxy has sent to all endpoints since a moment.
pub(crate) fn attempts(harness: &Harness, proxy: usize, since_ms: f64) -> usize {
    (0..ENDPOINTS)
        .map(|endpoint| harness.attempts(proxy, endpoint, since_ms))
        .sum()
}

/// Asserts that no rule was broken, and requests were served.
pub(crate) fn assert_rules_kept(harness: &mut Harness) {
    harness.stop_load();
    harness.advance(2500.0);
    assert!(
        harness.violations().is_empty(),
        "{:#?}",
        harness.violations()
    );
    let service = harness.service;
    assert!(
        service.requests > 0
            && service.succeeded * 10 >= (service.requests - service.unanswered) * 8,
        "{service:?}"
    );
}

/// Asserts that no live proxy was declared failed by another.
pub(crate) fn assert_nobody_failed(harness: &Harness, live: &[usize], since_ms: f64) {
    let views = harness.views.iter();
    for view in views.filter(|view| view.at_ms >= since_ms && live.contains(&view.proxy)) {
        let mut states = view.states.iter();
        let failed = states.find(|(other, state)| live.contains(other) && *state == "failed");
        assert!(failed.is_none(), "{view:?}");
    }
}
