//! Default values of optional keys.

use super::types::{Backoff, Clients, DeduplicationScope, Discovery, Limits, LoadReports, Network};

pub(super) fn zones() -> Vec<String> {
    vec!["a".into()]
}

pub(super) fn one() -> f64 {
    1.0
}

pub(super) fn enabled() -> bool {
    true
}

pub(super) fn deduplication_scope() -> DeduplicationScope {
    DeduplicationScope::Pod
}

pub(super) fn deduplication_window_ms() -> f64 {
    5000.0
}

pub(super) fn work_sigma() -> f64 {
    0.5
}

pub(super) fn cores() -> usize {
    2
}

pub(super) fn queue_capacity() -> usize {
    24
}

pub(super) fn max_connections() -> usize {
    1024
}

pub(super) fn pod_size() -> usize {
    4
}

pub(super) fn key_cache_size() -> usize {
    256
}

pub(super) fn wave_period_s() -> f64 {
    30.0
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same_zone_ms: 0.3,
            cross_zone_ms: 4.0,
            jitter_sigma: 0.2,
            handshake_round_trips: 2.0,
            connect_timeout_ms: 200.0,
            keepalive_s: 60.0,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 4,
            cancellation_allowed: true,
            hedging_allowed: true,
            max_retry_after_ms: 2000.0,
            drain_grace_ms: 500.0,
            cold_capacity_fraction: 0.2,
            slow_start_s: 15.0,
            overload_multiple: 4.0,
            overload_window_ms: 3000.0,
            cross_zone_cost: 0.03,
            answer_slack_ms: 50.0,
        }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            max_retries: 2,
            backoff: Backoff::Fixed,
            backoff_ms: 100.0,
            honours_retry_after_fraction: 0.8,
            impatient_fraction: 0.0,
            failure_detection_s: 2.0,
        }
    }
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            notification_delay_ms: 100.0,
            drain_s: 4.0,
        }
    }
}

impl Default for LoadReports {
    fn default() -> Self {
        LoadReports {
            enabled: true,
            interval_ms: 500.0,
            delay_ms: 150.0,
        }
    }
}
