//! Validation of scripts, in the order of their sections.

use super::fault::{Fault, FaultKind};
use super::reader::{InvalidKey, InvalidValue};
use super::types::{Burst, MachineType, RequestClass, Script};

/// Upper bound of the duration of runs and faults.
const MAX_DURATION_S: f64 = 24.0 * 60.0 * 60.0;

type Validation = Result<(), InvalidKey>;

fn check_range(key: &str, value: f64, min: f64, max: f64) -> Validation {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(InvalidKey {
        key: key.to_string(),
        reason: InvalidValue::OutOfRange { value, min, max },
    })
}

/// Checks rows of key, value, lower bound and upper bound.
fn check_ranges<const ROWS: usize>(rows: [(&str, f64, f64, f64); ROWS]) -> Validation {
    rows.into_iter()
        .try_for_each(|(key, value, min, max)| check_range(key, value, min, max))
}

/// Like [`check_ranges`], with keys relative to the path of one table of an array, such as `machines.0`.
fn check_item_ranges<const ROWS: usize>(
    item: &str,
    rows: [(&str, f64, f64, f64); ROWS],
) -> Validation {
    rows.into_iter().try_for_each(|(key, value, min, max)| {
        check_range(&format!("{item}.{key}"), value, min, max)
    })
}

impl Script {
    pub(super) fn validate(&self) -> Validation {
        self.validate_run()?;
        self.validate_settings()?;
        self.validate_request_classes()?;
        self.validate_machine_types()?;
        self.validate_load()?;
        for (index, fault) in self.faults.iter().enumerate() {
            self.validate_fault(&format!("faults.{index}"), fault)?;
        }
        Ok(())
    }

    fn validate_run(&self) -> Validation {
        check_range("seconds", self.duration_s, 1.0, MAX_DURATION_S)?;
        check_range("settle", self.settling_s, 0.0, self.duration_s - 1.0)?;
        check_range("nodes", self.proxies as f64, 1.0, 2000.0)?;
        let zones = &self.zones;
        let repeated = (1..zones.len()).any(|index| zones[..index].contains(&zones[index]));
        if zones.is_empty() || repeated {
            let rule = "must list at least one zone, without duplicates";
            return Err(InvalidKey::rule("zones", rule));
        }
        Ok(())
    }

    /// Checks the ranges of the sections that hold mostly numbers. `rustfmt` would split each row over six lines.
    #[rustfmt::skip]
    fn validate_settings(&self) -> Validation {
        let network = &self.network;
        let limits = &self.limits;
        let clients = &self.clients;
        let load = &self.load;
        check_ranges([
            ("way.same_ms", network.same_zone_ms, 0.0, 1e4),
            ("way.cross_ms", network.cross_zone_ms, 0.0, 1e4),
            ("way.jitter", network.jitter_sigma, 0.0, 3.0),
            ("way.handshake", network.handshake_round_trips, 0.0, 20.0),
            ("way.connect_ms", network.connect_timeout_ms, 0.0, 1e5),
            ("way.keepalive", network.keepalive_s, 0.0, 1e5),
            ("duties.come_back_ms", limits.max_retry_after_ms, 0.0, 1e6),
            ("duties.drain_grace_ms", limits.drain_grace_ms, 0.0, 1e6),
            ("duties.cold", limits.slow_start_s, 0.0, 1e5),
            ("duties.fall_ms", limits.overload_window_ms, 0.0, 1e6),
            ("duties.cross_zone_price", limits.cross_zone_cost, 0.0, 1.0),
            ("duties.answer_slack_ms", limits.answer_slack_ms, 0.0, 1e4),
            ("clients.backoff_ms", clients.backoff_ms, 0.0, 1e6),
            ("clients.honour", clients.honours_retry_after_fraction, 0.0, 1.0),
            ("clients.impatient", clients.impatient_fraction, 0.0, 1.0),
            ("clients.notice", clients.failure_detection_s, 0.0, 1e3),
            ("clients.retries", clients.max_retries as f64, 0.0, 100.0),
            ("discovery.delay_ms", self.discovery.notification_delay_ms, 0.0, 1e6),
            ("discovery.drain", self.discovery.drain_s, 0.0, 1e4),
            ("reports.delay_ms", self.load_reports.delay_ms, 0.0, 1e6),
            ("load.wave", load.wave_amplitude, 0.0, 1.0),
            ("load.zone_spread", load.zone_sigma, 0.0, 3.0),
            ("load.node_spread", load.proxy_sigma, 0.0, 3.0),
            ("load.keys", load.key_count as f64, 0.0, 1e9),
            ("duties.most_pushes", limits.max_attempts as f64, 1.0, 100.0),
            ("duties.cold_share", limits.cold_capacity_fraction, 0.001, 1.0),
            ("duties.fall_multiple", limits.overload_multiple, 0.1, 1e3),
            ("reports.period_ms", self.load_reports.interval_ms, 1.0, 1e6),
            ("load.period", load.wave_period_s, 0.1, 1e5),
        ])
    }

    fn validate_request_classes(&self) -> Validation {
        if self.request_classes.is_empty() {
            return Err(InvalidKey::rule(
                "categories",
                "must have at least one entry",
            ));
        }
        for (index, class) in self.request_classes.iter().enumerate() {
            let item = format!("categories.{index}");
            validate_request_class(&item, class)?;
            let earlier = &self.request_classes[..index];
            let duplicate = earlier.iter().any(|other| other.name == class.name);
            if class.name.is_empty() || duplicate {
                let rule = "must be unique and not empty";
                return Err(InvalidKey::rule(format!("{item}.name"), rule));
            }
        }
        Ok(())
    }

    fn validate_machine_types(&self) -> Validation {
        if self.machine_types.is_empty() {
            return Err(InvalidKey::rule("machines", "must have at least one entry"));
        }
        for (index, machine) in self.machine_types.iter().enumerate() {
            validate_machine_type(&format!("machines.{index}"), machine)?;
        }
        Ok(())
    }

    fn validate_load(&self) -> Validation {
        match (self.load.rate, self.load.capacity_fraction) {
            (Some(rate), None) => check_range("load.rate", rate, 0.001, 1e6)?,
            (None, Some(fraction)) => check_range("load.share", fraction, 0.001, 10.0)?,
            _ => {
                return Err(InvalidKey::rule(
                    "load",
                    "must have either rate or share, not both",
                ))
            }
        }
        self.validate_bursts("load.bursts", &self.load.bursts)?;
        self.validate_bursts("load.hot", &self.load.hot_key)
    }

    fn validate_bursts(&self, key: &str, bursts: &[Burst]) -> Validation {
        for (index, burst) in bursts.iter().enumerate() {
            check_item_ranges(
                &format!("{key}.{index}"),
                [
                    ("at", burst.start_s, 0.0, self.duration_s),
                    ("for", burst.duration_s, 0.0, MAX_DURATION_S),
                    ("times", burst.factor, 0.0, 100.0),
                ],
            )?;
        }
        Ok(())
    }

    fn validate_fault(&self, item: &str, fault: &Fault) -> Validation {
        let (min, max) = match fault.kind {
            FaultKind::Slow | FaultKind::LoadReportsWrong => (0.01, 1000.0),
            FaultKind::FailFast | FaultKind::ResponsesLost | FaultKind::ConnectionResets => {
                (0.0, 1.0)
            }
            FaultKind::ClockStep => (-86_400.0, 86_400.0),
            _ => (0.0, 1e5),
        };
        check_item_ranges(
            item,
            [
                ("at", fault.start_s, 0.0, self.duration_s),
                ("for", fault.duration_s, 0.0, MAX_DURATION_S),
                ("part", fault.fraction, 0.0, 1.0),
                ("strength", fault.strength, min, max),
            ],
        )?;
        self.validate_fault_targets(item, fault)
    }

    fn validate_fault_targets(&self, item: &str, fault: &Fault) -> Validation {
        let wrong = |key: &str, rule| Err(InvalidKey::rule(format!("{item}.{key}"), rule));
        let is_known_zone = |zone: &String| self.zones.contains(zone);
        if !fault.zone.as_ref().is_none_or(is_known_zone) {
            return wrong("zone", "is not one of the zones of the script");
        }
        let is_known_type = |name: &String| {
            self.machine_types
                .iter()
                .any(|machine| machine.name == *name)
        };
        if !fault.machine_type.as_ref().is_none_or(is_known_type) {
            return wrong("machine", "is not one of the machine kinds of the script");
        }
        let partition = matches!(
            fault.kind,
            FaultKind::ZonePartition | FaultKind::OneWayPartition
        );
        if partition && fault.zone.is_none() {
            return wrong("zone", "is required for zone-cut and one-way-cut");
        }
        Ok(())
    }
}

fn validate_request_class(item: &str, class: &RequestClass) -> Validation {
    let tail_exponent = class.work_tail_exponent.unwrap_or(2.0);
    check_item_ranges(
        item,
        [
            ("target_ms", class.latency_objective_ms, 1.0, 1e6),
            ("ttl_ms", class.ttl_ms, 1.0, 1e6),
            ("window_ms", class.deduplication_window_ms, 0.0, 1e7),
            ("benefit", class.priority_weight, 0.0, 1e6),
            ("late_benefit", class.late_fraction, 0.0, 1.0),
            ("weight", class.arrival_weight, 0.0, 1e6),
            ("work_ms", class.mean_work_ms, 0.01, 1e5),
            ("sigma", class.work_sigma, 0.0, 3.0),
            ("key_miss", class.key_miss_factor, 1.0, 100.0),
            ("tail", tail_exponent, 1.05, 100.0),
        ],
    )
}

fn validate_machine_type(item: &str, machine: &MachineType) -> Validation {
    check_item_ranges(
        item,
        [
            ("count", machine.count as f64, 1.0, 10_000.0),
            ("cores", machine.cores as f64, 1.0, 1024.0),
            ("speed", machine.speed, 0.01, 100.0),
            ("queue", machine.queue_capacity as f64, 0.0, 1e6),
            ("connections", machine.max_connections as f64, 1.0, 1e6),
            (
                "connect_work_ms",
                machine.connection_setup_work_ms,
                0.0,
                1e4,
            ),
            ("pod_size", machine.pod_size as f64, 1.0, 10_000.0),
            ("keys", machine.key_cache_size as f64, 1.0, 1e6),
        ],
    )?;
    let Some(degradation) = machine.degradation else {
        return Ok(());
    };
    check_item_ranges(
        item,
        [
            ("tips.after_ms", degradation.queue_wait_ms, 0.1, 1e6),
            ("tips.to", degradation.speed_fraction, 0.01, 1.0),
            ("tips.relief", degradation.recovery_load, 0.0, 1.0),
            ("tips.relief_for", degradation.recovery_s, 0.0, 1e5),
        ],
    )
}
