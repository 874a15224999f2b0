//! Soak runs: proxies are reloaded, restarted and upgraded under load, with discovery outages, admin calls and, in some
//! runs, idle clients that exhaust the descriptors. Each run follows a plan generated from its seed.

mod checks;
mod plan;
mod report;

pub use plan::SoakPlan;
pub use report::{Finding, FindingKind, SoakReport};

use crate::harness::AdminCall;
use crate::{Harness, Start};
use checks::{DescriptorBaseline, DiscoveryRecoveries};
use crankmux_simulator::script::{Script, ScriptError};
use plan::{DiscoveryOutage, ReloadedFile, SoakAction, LOAD_MS};
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

const ENVIRONMENT: &str = include_str!("environment.toml");
/// How long the proxies stay idle before their descriptors are counted.
const IDLE_BEFORE_LOAD_MS: f64 = 300.0;
/// How long responses are awaited after the load stops: the longest deadline plus slack for the event loop.
const SETTLE_MS: f64 = 2500.0;

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The built-in environment is invalid.
    #[error(transparent)]
    Environment(#[from] ScriptError),
    /// A proxy was not ready within the timeout at startup.
    #[error("proxy {proxy} was not ready within {timeout_ms:.0} ms at the start; its log:\n{log}")]
    NotReady {
        /// The index of the proxy.
        proxy: usize,
        /// The timeout.
        timeout_ms: f64,
        /// Its log.
        log: String,
    },
}

/// Performs the run of a seed with this program. The files of the run are in `folder`, which is removed afterwards.
///
/// # Errors
/// If a proxy is not ready within the timeout at startup.
///
/// # Panics
/// If the program cannot be started, no port is free, or the directory is not writable.
pub fn run_soak(seed: u64, program: PathBuf, folder: PathBuf) -> Result<SoakReport, SoakError> {
    let plan = SoakPlan::of_seed(seed);
    let environment = Script {
        proxies: plan.proxies,
        ..Script::read(ENVIRONMENT)?
    };
    let start = Start {
        cluster: plan.cluster,
        seed,
        descriptors: Some(plan.descriptors),
        ..Start::new(program, folder)
    };
    let mut harness = Harness::new(environment, start);
    harness.rate = plan.rate;
    start_all(&mut harness)?;
    // The last readiness check may still be pending, during which a proxy holds one reserved descriptor less.
    harness.advance(IDLE_BEFORE_LOAD_MS);
    let baseline = DescriptorBaseline::of(&harness);
    let recoveries = Rc::new(RefCell::new(DiscoveryRecoveries::default()));
    schedule_actions(&mut harness, &plan, &recoveries);
    harness.start_load();
    if plan.idle_clients > 0 {
        harness.start_idle_clients(plan.idle_clients);
    }
    harness.advance(LOAD_MS);
    harness.stop_load();
    harness.stop_idle_clients();
    harness.advance(SETTLE_MS);
    let recoveries = recoveries.borrow();
    Ok(checks::check_run(
        &mut harness,
        seed,
        &baseline,
        &recoveries,
    ))
}

fn start_all(harness: &mut Harness) -> Result<(), SoakError> {
    let proxies = harness.proxies.len();
    for proxy in 0..proxies {
        harness.start_with_readiness_checks(proxy, false);
    }
    let timeout_ms = checks::READY_TIMEOUT_MS;
    harness.run_until(timeout_ms, |harness| {
        (0..proxies).all(|proxy| harness.is_ready(proxy))
    });
    match (0..proxies).find(|proxy| !harness.is_ready(*proxy)) {
        Some(proxy) => Err(SoakError::NotReady {
            proxy,
            timeout_ms,
            log: harness.proxies[proxy].log(),
        }),
        None => Ok(()),
    }
}

fn schedule_actions(
    harness: &mut Harness,
    plan: &SoakPlan,
    recoveries: &Rc<RefCell<DiscoveryRecoveries>>,
) {
    for planned in &plan.actions {
        let action = planned.action;
        let recoveries = recoveries.clone();
        harness.schedule(planned.at_ms, move |harness| {
            execute(harness, action, &mut recoveries.borrow_mut());
        });
    }
}

fn execute(harness: &mut Harness, action: SoakAction, recoveries: &mut DiscoveryRecoveries) {
    match action {
        SoakAction::Reload { proxy, file } => reload(harness, proxy, file),
        SoakAction::LogCounters { proxy } => harness.proxies[proxy].log_counters(),
        SoakAction::Restart { proxy } => harness.restart_gracefully(proxy),
        SoakAction::TerminateAgain { proxy } => harness.proxies[proxy].terminate(),
        SoakAction::Upgrade { proxy } => harness.upgrade(proxy),
        SoakAction::DiscoveryFails { outage } => fail_discovery(harness, outage),
        SoakAction::DiscoveryRecovers => {
            harness.recover_discovery();
            recoveries.add(harness.now(), harness.list_version());
        }
        SoakAction::Drain { endpoint } => harness.drain(endpoint),
        SoakAction::RestartEndpoint { endpoint } => harness.restart_endpoint(endpoint),
        SoakAction::Disable { proxy, endpoint } => {
            harness.call_admin(proxy, AdminCall::Disable { endpoint });
        }
        SoakAction::Enable { proxy, endpoint } => {
            harness.call_admin(proxy, AdminCall::Enable { endpoint });
        }
    }
}

fn reload(harness: &mut Harness, proxy: usize, file: ReloadedFile) {
    match file {
        ReloadedFile::Valid => harness.write_files(proxy),
        ReloadedFile::Truncated => harness.proxies[proxy].truncate_configuration(),
        ReloadedFile::DiscoveryMoved => harness.move_discovery(proxy),
    }
    harness.proxies[proxy].reload();
}

fn fail_discovery(harness: &mut Harness, outage: DiscoveryOutage) {
    for proxy in 0..harness.proxies.len() {
        match outage {
            DiscoveryOutage::Silent => harness.discovery_silent[proxy] = true,
            DiscoveryOutage::Closed => harness.close_discovery(proxy),
        }
    }
}
