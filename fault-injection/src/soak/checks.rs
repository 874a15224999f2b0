//! Checks at the end of a soak run.

use super::report::{FailedOperatorCall, Finding, FindingKind, SoakReport};
use crate::proxy_process::MEMORY_MB;
use crate::Harness;

/// How long a process may take to become ready.
pub(super) const READY_TIMEOUT_MS: f64 = 10_000.0;
/// How long after discovery recovers a proxy may take to receive the endpoint list.
const LIST_TIMEOUT_MS: f64 = 6000.0;
/// Allows for delays of the harness's event loop on a busy machine.
const EVENT_LOOP_SLACK_MS: f64 = 700.0;
/// How long a reload may take.
const RELOAD_TIMEOUT_MS: f64 = 3000.0;
/// How long a proxy may take to close unused descriptors.
const DESCRIPTOR_TIMEOUT_MS: f64 = 5000.0;
/// The log message of a proxy that has applied a configuration.
const RELOAD_LOG_MESSAGE: &str = "configuration read again";
/// A part of the log message of a panic.
const PANIC_LOG_MESSAGE: &str = "panicked";

/// Actions of the run that the checks depend on.
#[derive(Default)]
pub(super) struct DiscoveryRecoveries {
    /// When discovery recovered, and the version of the endpoint list at that time.
    times_and_versions: Vec<(f64, u64)>,
}

impl DiscoveryRecoveries {
    pub(super) fn add(&mut self, at_ms: f64, version: u64) {
        self.times_and_versions.push((at_ms, version));
    }
}

/// The numbers of open descriptors before the load.
pub(super) struct DescriptorBaseline {
    /// By proxy. It also applies to processes that are started later.
    open_descriptors: Vec<usize>,
}

impl DescriptorBaseline {
    pub(super) fn of(harness: &Harness) -> Self {
        let open_descriptors = harness
            .proxies
            .iter()
            .map(|proxy| proxy.open_descriptors().unwrap_or(0))
            .collect();
        DescriptorBaseline { open_descriptors }
    }
}

/// Checks a run after its load has stopped.
pub(super) fn check_run(
    harness: &mut Harness,
    seed: u64,
    baseline: &DescriptorBaseline,
    recoveries: &DiscoveryRecoveries,
) -> SoakReport {
    let mut findings = Vec::new();
    let rules = harness
        .violations()
        .into_iter()
        .map(FindingKind::InvariantViolation);
    findings.extend(rules.map(|kind| Finding { proxy: None, kind }));
    findings.extend(failed_calls(harness));
    findings.extend(late_readiness(harness));
    findings.extend(missed_lists(harness, recoveries));
    for proxy in 0..harness.proxies.len() {
        let kinds = check_process(harness, proxy, baseline);
        findings.extend(kinds.into_iter().map(|kind| Finding {
            proxy: Some(proxy),
            kind,
        }));
    }
    SoakReport {
        seed,
        service: harness.service,
        confirmed_calls: harness.confirmed_calls(),
        findings,
        logs: harness.proxies.iter().map(|proxy| proxy.log()).collect(),
    }
}

fn failed_calls(harness: &Harness) -> Vec<Finding> {
    let failed = harness.failed_calls().iter();
    failed
        .map(|failed| Finding {
            proxy: Some(failed.proxy),
            kind: FindingKind::Call(FailedOperatorCall {
                at_ms: failed.at_ms,
                call: failed.call,
                outcome: failed.outcome,
            }),
        })
        .collect()
}

fn late_readiness(harness: &Harness) -> Vec<Finding> {
    let times = harness.startup_times_ms().into_iter();
    times
        .filter(|(_, startup_ms)| startup_ms.is_none_or(|startup_ms| startup_ms > READY_TIMEOUT_MS))
        .map(|(proxy, startup_ms)| Finding {
            proxy: Some(proxy),
            kind: FindingKind::NotReady { startup_ms },
        })
        .collect()
}

/// Finds proxies that ran throughout, but were not sent the endpoint list in time after discovery recovered.
fn missed_lists(harness: &Harness, recoveries: &DiscoveryRecoveries) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (recovered_ms, version) in &recoveries.times_and_versions {
        let range_ms = *recovered_ms..recovered_ms + LIST_TIMEOUT_MS + EVENT_LOOP_SLACK_MS;
        for proxy in 0..harness.proxies.len() {
            // A process that starts meanwhile requests the complete list.
            let ran_throughout = !harness.was_restarting_during(proxy, &range_ms);
            if ran_throughout && !harness.was_sent_version(proxy, *version, range_ms.end) {
                findings.push(Finding {
                    proxy: Some(proxy),
                    kind: FindingKind::ListNotReceived { version: *version },
                });
            }
        }
    }
    findings
}

fn check_process(
    harness: &mut Harness,
    proxy: usize,
    baseline: &DescriptorBaseline,
) -> Vec<FindingKind> {
    let mut kinds = Vec::new();
    if harness.proxies[proxy].log().contains(PANIC_LOG_MESSAGE) {
        kinds.push(FindingKind::Panic);
    }
    if !harness.proxies[proxy].runs() {
        kinds.push(FindingKind::Exited);
        return kinds;
    }
    let peak_kb = harness.proxies[proxy].peak_memory_kb().unwrap_or(0);
    if peak_kb > MEMORY_MB * 1024 {
        kinds.push(FindingKind::MemoryExceeded { peak_kb });
    }
    kinds.extend(check_reload(harness, proxy));
    kinds.extend(check_descriptors(
        harness,
        proxy,
        baseline.open_descriptors[proxy],
    ));
    kinds
}

/// Checks that a valid configuration is applied after any earlier reloads.
fn check_reload(harness: &mut Harness, proxy: usize) -> Option<FindingKind> {
    let reload_count = |harness: &Harness| {
        let log = harness.proxies[proxy].log();
        log.matches(RELOAD_LOG_MESSAGE).count()
    };
    let reloads_before = reload_count(harness);
    harness.write_files(proxy);
    harness.proxies[proxy].reload();
    let is_applied = harness.run_until(RELOAD_TIMEOUT_MS, |harness| {
        reload_count(harness) > reloads_before
    });
    (!is_applied).then_some(FindingKind::ReloadNotApplied)
}

/// Checks that, after clients have disconnected, the only additional descriptors are connections to endpoints.
fn check_descriptors(
    harness: &mut Harness,
    proxy: usize,
    before_load: usize,
) -> Option<FindingKind> {
    harness.close_idle_connections();
    let excess = |harness: &Harness| {
        let after_load = harness.proxies[proxy].open_descriptors()?;
        let upstream = harness.endpoint_connections(proxy);
        (after_load > before_load + upstream).then_some(FindingKind::DescriptorsLeaked {
            before_load,
            after_load,
            upstream,
            descriptions: harness.proxies[proxy].describe_descriptors(),
        })
    };
    harness.run_until(DESCRIPTOR_TIMEOUT_MS, |harness| excess(harness).is_none());
    excess(harness)
}
