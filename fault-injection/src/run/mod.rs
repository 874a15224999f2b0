//! Runs a script: starts the proxies, injects faults under load, and reports the results.

mod faults;
mod report;

pub use report::{Report, Times};

use crate::run_script::{FaultKind, RunScript};
use crate::{Harness, Start};
use crankmux_simulator::script::Script;
use faults::{FaultHistory, InjectedFault};
use std::cell::RefCell;
use std::rc::Rc;

/// How long the proxies may take to form a cluster and accept clients at startup.
const JOIN_TIMEOUT_MS: f64 = 60_000.0;
/// How long responses and attempts are observed after the load stops.
const SETTLE_MS: f64 = 2500.0;

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The proxies did not form a cluster, or did not accept clients, within the timeout.
    #[error(
        "the proxies were not ready within {timeout_ms:.0} ms; log of the first proxy:\n{first_log}"
    )]
    NotReady {
        /// The timeout.
        timeout_ms: f64,
        /// The log of the first proxy.
        first_log: String,
    },
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
struct RunParameters {
    seed: u64,
    cluster: bool,
    configured_proxies: usize,
}

/// The average resource usage of each proxy under load.
#[derive(Clone, Copy, Debug)]
struct ResourceUsage {
    datagram_bytes_per_second: f64,
    cpu_ms_per_second: f64,
}

/// Runs a script in a simulator environment.
///
/// # Errors
/// If the proxies are not ready within the startup timeout.
///
/// # Panics
/// If the program cannot be started, no port is free, or the run's directory is not writable.
pub fn run(script: &RunScript, environment: Script, start: Start) -> Result<Report, RunError> {
    let parameters = RunParameters {
        seed: start.seed,
        cluster: start.cluster,
        configured_proxies: start
            .configured_proxies
            .or(script.configured_proxies)
            .unwrap_or(script.processes),
    };
    let mut environment = Script {
        proxies: script.processes,
        ..environment
    };
    environment.load.rate = script.rate.or(environment.load.rate);
    let start = Start {
        configured_proxies: Some(parameters.configured_proxies),
        ..start
    };
    let mut harness = Harness::new(environment, start);
    start_initial_proxies(&mut harness, script, parameters.cluster)?;
    let joined_ms = harness.now();
    harness.start_load();
    let history = schedule_faults(&mut harness, script, parameters.seed);
    let resource_usage = run_load(&mut harness, script);
    harness.stop_load();
    harness.advance(SETTLE_MS);
    let history = history.borrow();
    let completed = report::CompletedRun {
        harness: &harness,
        script,
        history: &history,
        parameters,
        joined_ms,
        resource_usage,
    };
    Ok(completed.report())
}

/// Starts all proxies except those that join later, and waits until they are ready.
fn start_initial_proxies(
    harness: &mut Harness,
    script: &RunScript,
    cluster: bool,
) -> Result<(), RunError> {
    let joining_later: Vec<usize> = script
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::Join)
        .flat_map(|fault| fault.targets.clone())
        .collect();
    let initial: Vec<usize> = (0..script.processes)
        .filter(|proxy| !joining_later.contains(proxy))
        .collect();
    for proxy in &initial {
        harness.start(*proxy, false);
    }
    let ready = |harness: &mut Harness| {
        if cluster {
            harness.views_agree(&initial)
        } else {
            initial.iter().all(|proxy| harness.accepts_clients(*proxy))
        }
    };
    if harness.run_until(JOIN_TIMEOUT_MS, ready) {
        return Ok(());
    }
    Err(RunError::NotReady {
        timeout_ms: JOIN_TIMEOUT_MS,
        first_log: harness.proxies[0].log(),
    })
}

/// Schedules the start and end of all faults. Returns the history that they are recorded in.
fn schedule_faults(
    harness: &mut Harness,
    script: &RunScript,
    seed: u64,
) -> Rc<RefCell<FaultHistory>> {
    let history = Rc::new(RefCell::new(FaultHistory::default()));
    for (index, fault) in script.faults.iter().enumerate() {
        let candidates = if fault.kind.targets_endpoints() {
            harness.endpoint_count()
        } else {
            script.processes
        };
        let injected = Rc::new(InjectedFault::new(index, fault.clone(), candidates, seed));
        let injected_at_begin = injected.clone();
        let history_at_begin = history.clone();
        harness.schedule(fault.at_seconds * 1000.0, move |harness| {
            history_at_begin
                .borrow_mut()
                .begin(harness, &injected_at_begin);
        });
        if let Some(duration_seconds) = fault.duration_seconds {
            let history_at_end = history.clone();
            let end_seconds = fault.at_seconds + duration_seconds;
            harness.schedule(end_seconds * 1000.0, move |harness| {
                history_at_end.borrow_mut().end(harness, &injected);
            });
        }
    }
    history
}

/// Processes events for the duration of the script. Returns the proxies' resource usage.
fn run_load(harness: &mut Harness, script: &RunScript) -> ResourceUsage {
    let bytes_before = harness.relays.forwarded_bytes();
    let cpu_before_ms = harness.cpu_ms();
    let start_ms = harness.now();
    harness.advance(script.seconds * 1000.0);
    let seconds = (harness.now() - start_ms) / 1000.0;
    let proxies = script.processes as f64;
    let bytes = (harness.relays.forwarded_bytes() - bytes_before) as f64;
    let cpu_ms = harness.cpu_ms() - cpu_before_ms;
    ResourceUsage {
        datagram_bytes_per_second: bytes / seconds / proxies,
        cpu_ms_per_second: cpu_ms / seconds / proxies,
    }
}
