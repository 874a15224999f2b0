//! A soak: proxies are reloaded, restarted and upgraded under load, while discovery fails, operators call and, in
//! some runs, idle clients hold the descriptors. Each run follows a plan that its seed draws.

mod checks;
mod plan;
mod report;

pub use plan::SoakPlan;
pub use report::{Finding, FindingKind, SoakReport};

use crate::harness::AdminCall;
use crate::{Harness, Start};
use checks::{RestState, SoakRecord};
use crankmux_simulator::script::{Script, ScriptError};
use plan::{DiscoveryOutage, ReloadedFile, SoakAction, LOAD_MS};
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

const ENVIRONMENT: &str = include_str!("environment.toml");
/// How long the proxies are left alone before what they hold at rest is counted.
const BEFORE_LOAD_MS: f64 = 300.0;
/// How long after the last request answers are awaited: the longest deadline, and what this loop may be late.
const SETTLE_MS: f64 = 2500.0;

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The environment that ships with the program is invalid.
    #[error(transparent)]
    Environment(#[from] ScriptError),
    /// A proxy was not ready before the load began.
    #[error("proxy {proxy} was not ready within {timeout_ms:.0} ms at the start; its log:\n{log}")]
    NotReady {
        /// Which.
        proxy: usize,
        /// How long it had.
        timeout_ms: f64,
        /// What it logged.
        log: String,
    },
}

/// Carries out the run of a seed with this program. The files of the run are in `folder`, which is removed.
///
/// # Errors
/// A proxy is not ready before the load begins.
///
/// # Panics
/// If the program cannot be started, the system has no free ports, or the folder cannot be written to.
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
    // The last call for readiness may still be answered: a proxy lends a reserved descriptor out for that, and for an
    // instant holds one less.
    harness.advance(BEFORE_LOAD_MS);
    let at_rest = RestState::of(&harness);
    let record = Rc::new(RefCell::new(SoakRecord::default()));
    schedule(&mut harness, &plan, &record);
    harness.start_load();
    if plan.idle_clients > 0 {
        harness.start_idle_clients(plan.idle_clients);
    }
    harness.advance(LOAD_MS);
    harness.stop_load();
    harness.stop_idle_clients();
    harness.advance(SETTLE_MS);
    let record = record.borrow();
    Ok(checks::judge(&mut harness, seed, &at_rest, &record))
}

fn start_all(harness: &mut Harness) -> Result<(), SoakError> {
    let proxies = harness.proxies.len();
    for proxy in 0..proxies {
        harness.start_with_readiness_checks(proxy, false);
    }
    let timeout_ms = checks::READY_WITHIN_MS;
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

fn schedule(harness: &mut Harness, plan: &SoakPlan, record: &Rc<RefCell<SoakRecord>>) {
    for planned in &plan.actions {
        let action = planned.action;
        let record = record.clone();
        harness.schedule(planned.at_ms, move |harness| {
            carry_out(harness, action, &mut record.borrow_mut());
        });
    }
}

fn carry_out(harness: &mut Harness, action: SoakAction, record: &mut SoakRecord) {
    match action {
        SoakAction::Reload { proxy, file } => reload(harness, proxy, file),
        SoakAction::LogCounters { proxy } => harness.proxies[proxy].log_counters(),
        SoakAction::Restart { proxy } => harness.restart_gracefully(proxy),
        SoakAction::TerminateAgain { proxy } => harness.proxies[proxy].terminate(),
        SoakAction::Upgrade { proxy } => harness.upgrade(proxy),
        SoakAction::DiscoveryFails { outage } => fail_discovery(harness, outage),
        SoakAction::DiscoveryRecovers => {
            harness.recover_discovery();
            record.discovery_recovered(harness.now(), harness.list_version());
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
        ReloadedFile::CutShort => harness.proxies[proxy].cut_configuration_short(),
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
