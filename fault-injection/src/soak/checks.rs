//! What is judged at the end of a run.

use super::report::{FailedOperatorCall, Finding, FindingKind, SoakReport};
use crate::proxy_process::MEMORY_MB;
use crate::Harness;

/// How long a process may take from its start until it is ready.
pub(super) const READY_WITHIN_MS: f64 = 10_000.0;
/// What discovery has to tell counts as told so long after it can be reached.
const HEARD_WITHIN_MS: f64 = 6000.0;
/// How late this loop may be, on a machine that is busy.
const LOOP_LATENESS_MS: f64 = 700.0;
/// How long a reload may take, and descriptors may take to be closed once nobody uses them.
const APPLIED_WITHIN_MS: f64 = 3000.0;
const AT_REST_WITHIN_MS: f64 = 5000.0;
/// What a proxy logs as it has applied a configuration, and as it panics.
const RELOAD_APPLIED: &str = "configuration read again";
const PANIC: &str = "panicked";

/// What the checks need to know of the actions.
#[derive(Default)]
pub(super) struct SoakRecord {
    /// When discovery could be reached again, and the version that it had then.
    recoveries: Vec<(f64, u64)>,
}

impl SoakRecord {
    pub(super) fn discovery_recovered(&mut self, at_ms: f64, version: u64) {
        self.recoveries.push((at_ms, version));
    }
}

/// What the proxies held before the load.
pub(super) struct RestState {
    /// By proxy. Processes that are started later hold as many.
    open_descriptors: Vec<usize>,
}

impl RestState {
    pub(super) fn of(harness: &Harness) -> Self {
        let open_descriptors = harness
            .proxies
            .iter()
            .map(|proxy| proxy.open_descriptors().unwrap_or(0))
            .collect();
        RestState { open_descriptors }
    }
}

/// Judges a run whose load is over.
pub(super) fn judge(
    harness: &mut Harness,
    seed: u64,
    at_rest: &RestState,
    record: &SoakRecord,
) -> SoakReport {
    let mut findings = Vec::new();
    let rules = harness.violations().into_iter().map(FindingKind::Rule);
    findings.extend(rules.map(|kind| Finding { proxy: None, kind }));
    findings.extend(failed_calls(harness));
    findings.extend(late_readiness(harness));
    findings.extend(unheard_lists(harness, record));
    for proxy in 0..harness.proxies.len() {
        let kinds = judge_process(harness, proxy, at_rest);
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
        .filter(|(_, took_ms)| took_ms.is_none_or(|took_ms| took_ms > READY_WITHIN_MS))
        .map(|(proxy, took_ms)| Finding {
            proxy: Some(proxy),
            kind: FindingKind::NotReady { took_ms },
        })
        .collect()
}

/// Proxies that ran all the time, and heard nothing from discovery in time after it could be reached.
fn unheard_lists(harness: &Harness, record: &SoakRecord) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (recovered_ms, version) in &record.recoveries {
        let span_ms = *recovered_ms..recovered_ms + HEARD_WITHIN_MS + LOOP_LATENESS_MS;
        for proxy in 0..harness.proxies.len() {
            // A process that was started meanwhile asks for the whole list.
            let ran = !harness.was_restarting_during(proxy, &span_ms);
            if ran && !harness.was_sent_version(proxy, *version, span_ms.end) {
                findings.push(Finding {
                    proxy: Some(proxy),
                    kind: FindingKind::ListNotHeard { version: *version },
                });
            }
        }
    }
    findings
}

fn judge_process(harness: &mut Harness, proxy: usize, at_rest: &RestState) -> Vec<FindingKind> {
    let mut kinds = Vec::new();
    if harness.proxies[proxy].log().contains(PANIC) {
        kinds.push(FindingKind::Panic);
    }
    if !harness.proxies[proxy].runs() {
        kinds.push(FindingKind::Ended);
        return kinds;
    }
    let peak_kb = harness.proxies[proxy].peak_memory_kb().unwrap_or(0);
    if peak_kb > MEMORY_MB * 1024 {
        kinds.push(FindingKind::MemoryExceeded { peak_kb });
    }
    kinds.extend(last_reload(harness, proxy));
    kinds.extend(held_descriptors(
        harness,
        proxy,
        at_rest.open_descriptors[proxy],
    ));
    kinds
}

/// A valid file is applied, whatever files came before it.
fn last_reload(harness: &mut Harness, proxy: usize) -> Option<FindingKind> {
    let applied = |harness: &Harness| {
        let log = harness.proxies[proxy].log();
        log.matches(RELOAD_APPLIED).count()
    };
    let before = applied(harness);
    harness.write_files(proxy);
    harness.proxies[proxy].reload();
    let is_applied = harness.run_until(APPLIED_WITHIN_MS, |harness| applied(harness) > before);
    (!is_applied).then_some(FindingKind::ReloadNotApplied)
}

/// Once clients have left, a process holds what it held before the load, and kept connections to endpoints.
fn held_descriptors(harness: &mut Harness, proxy: usize, at_rest: usize) -> Option<FindingKind> {
    harness.close_idle_connections();
    let excess = |harness: &Harness| {
        let after = harness.proxies[proxy].open_descriptors()?;
        let upstream = harness.endpoint_connections(proxy);
        (after > at_rest + upstream).then_some(FindingKind::DescriptorsHeld {
            at_rest,
            after,
            upstream,
            descriptions: harness.proxies[proxy].describe_descriptors(),
        })
    };
    harness.run_until(AT_REST_WITHIN_MS, |harness| excess(harness).is_none());
    excess(harness)
}
