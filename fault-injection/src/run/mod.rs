//! Runs a script: starts the proxies, injects the faults at their times, and reports what came of it.

mod faults;
mod report;

pub use report::{Report, Times};

use crate::run_script::{FaultKind, RunScript};
use crate::{Harness, Start};
use crankmux_simulator::script::Script;
use faults::{FaultRecord, InjectedFault};
use std::cell::RefCell;
use std::rc::Rc;

/// How long all proxies may take to know each other at the start.
const JOIN_TIMEOUT_MS: f64 = 60_000.0;
/// How long answers and attempts are looked at after the last request.
const SETTLE_MS: f64 = 2500.0;

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The proxies did not come to know each other, or to accept clients, at the start.
    #[error(
        "the processes did not come to know each other within {timeout_ms:.0} ms; the first one's log:\n{first_log}"
    )]
    NotJoined {
        /// How long they had.
        timeout_ms: f64,
        /// The log of the first process.
        first_log: String,
    },
}

/// What a run was started with.
#[derive(Clone, Copy, Debug)]
struct RunParameters {
    seed: u64,
    cluster: bool,
    configured_proxies: usize,
}

/// What the proxies used while the load ran, each on average.
#[derive(Clone, Copy, Debug)]
struct ResourceUse {
    datagram_bytes_per_second: f64,
    cpu_ms_per_second: f64,
}

/// Runs a script in an environment.
///
/// # Errors
/// If the processes do not come to know each other at the start.
///
/// # Panics
/// If the program cannot be started, the system has no free ports, or the run's folder cannot be written to.
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
    start_first(&mut harness, script, parameters.cluster)?;
    let joined_ms = harness.now();
    harness.start_load();
    let record = schedule_faults(&mut harness, script, parameters.seed);
    let resource_use = run_load(&mut harness, script);
    harness.stop_load();
    harness.advance(SETTLE_MS);
    let record = record.borrow();
    let outcome = report::Outcome {
        harness: &harness,
        script,
        record: &record,
        parameters,
        joined_ms,
        resource_use,
    };
    Ok(outcome.report())
}

/// Starts all proxies but those that join later, and waits until they are ready.
fn start_first(harness: &mut Harness, script: &RunScript, cluster: bool) -> Result<(), RunError> {
    let joining: Vec<usize> = script
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::Join)
        .flat_map(|fault| fault.targets.clone())
        .collect();
    let first: Vec<usize> = (0..script.processes)
        .filter(|proxy| !joining.contains(proxy))
        .collect();
    for proxy in &first {
        harness.start(*proxy, false);
    }
    let ready = |harness: &mut Harness| {
        if cluster {
            harness.views_agree(&first)
        } else {
            first.iter().all(|proxy| harness.accepts_clients(*proxy))
        }
    };
    if harness.run_until(JOIN_TIMEOUT_MS, ready) {
        return Ok(());
    }
    Err(RunError::NotJoined {
        timeout_ms: JOIN_TIMEOUT_MS,
        first_log: harness.proxies[0].log(),
    })
}

/// Has all faults begin and end at their times. Returns the record that they are entered in.
fn schedule_faults(
    harness: &mut Harness,
    script: &RunScript,
    seed: u64,
) -> Rc<RefCell<FaultRecord>> {
    let record = Rc::new(RefCell::new(FaultRecord::default()));
    for (index, fault) in script.faults.iter().enumerate() {
        let candidates = if fault.kind.hits_endpoints() {
            harness.endpoint_count()
        } else {
            script.processes
        };
        let injected = Rc::new(InjectedFault::new(index, fault.clone(), candidates, seed));
        let beginning = injected.clone();
        let record_at_begin = record.clone();
        harness.schedule(fault.at_seconds * 1000.0, move |harness| {
            record_at_begin.borrow_mut().begin(harness, &beginning);
        });
        if let Some(duration_seconds) = fault.duration_seconds {
            let record_at_end = record.clone();
            let end_seconds = fault.at_seconds + duration_seconds;
            harness.schedule(end_seconds * 1000.0, move |harness| {
                record_at_end.borrow_mut().end(harness, &injected);
            });
        }
    }
    record
}

/// Lets the script's time pass. Returns what the proxies used meanwhile.
fn run_load(harness: &mut Harness, script: &RunScript) -> ResourceUse {
    let bytes_before = harness.relays.forwarded_bytes();
    let cpu_before_ms = harness.cpu_ms();
    let began_ms = harness.now();
    harness.advance(script.seconds * 1000.0);
    let seconds = (harness.now() - began_ms) / 1000.0;
    let proxies = script.processes as f64;
    let bytes = (harness.relays.forwarded_bytes() - bytes_before) as f64;
    let cpu_ms = harness.cpu_ms() - cpu_before_ms;
    ResourceUse {
        datagram_bytes_per_second: bytes / seconds / proxies,
        cpu_ms_per_second: cpu_ms / seconds / proxies,
    }
}
