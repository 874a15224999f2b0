//! Types that scripts deserialize into. `serde(rename)` gives the key where it differs from the field name.

use super::defaults;
use super::fault::Fault;
use serde::Deserialize;

/// A script. Fields ending in `_s` are seconds, fields ending in `_ms` milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Name of the script.
    pub name: String,
    /// One-sentence description.
    #[serde(default)]
    pub about: String,
    /// Duration of the run.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Time at the start of the run that the totals leave out.
    #[serde(default, rename = "settle")]
    pub settling_s: f64,
    /// Number of proxies, assigned to the zones in turn.
    #[serde(rename = "nodes")]
    pub proxies: usize,
    /// Names of the zones.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// Network delays and timeouts.
    #[serde(default, rename = "way")]
    pub network: Network,
    /// Limits and obligations of the proxies.
    #[serde(default, rename = "duties")]
    pub limits: Limits,
    /// Request classes.
    #[serde(rename = "categories")]
    pub request_classes: Vec<RequestClass>,
    /// Machine types, with their number of endpoints.
    #[serde(rename = "machines")]
    pub machine_types: Vec<MachineType>,
    /// Load from the clients.
    pub load: Load,
    /// Retries, patience and failover of the clients.
    #[serde(default)]
    pub clients: Clients,
    /// Endpoint discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Load reports of the endpoints.
    #[serde(default, rename = "reports")]
    pub load_reports: LoadReports,
    /// Injected faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Network delays, one way, and connection timeouts.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Mean delay within a zone.
    #[serde(rename = "same_ms")]
    pub same_zone_ms: f64,
    /// Mean delay across zones.
    #[serde(rename = "cross_ms")]
    pub cross_zone_ms: f64,
    /// Sigma of the log-normal jitter factor of each delay.
    #[serde(rename = "jitter")]
    pub jitter_sigma: f64,
    /// Round trips to set up a connection before the first byte is sent.
    #[serde(rename = "handshake")]
    pub handshake_round_trips: f64,
    /// Connect timeout of the proxies.
    #[serde(rename = "connect_ms")]
    pub connect_timeout_ms: f64,
    /// How long endpoints keep idle connections open.
    #[serde(rename = "keepalive")]
    pub keepalive_s: f64,
}

/// Limits and obligations of the proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of attempts per request.
    #[serde(rename = "most_pushes")]
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation_allowed: bool,
    /// Whether requests may be hedged.
    #[serde(rename = "second_copies")]
    pub hedging_allowed: bool,
    /// Maximum Retry-After of a rejection; 0 to send none.
    #[serde(rename = "come_back_ms")]
    pub max_retry_after_ms: f64,
    /// How long a proxy may still send to an endpoint after it is notified of the drain.
    pub drain_grace_ms: f64,
    /// Capacity of a cold endpoint as a fraction of its capacity when warm.
    #[serde(rename = "cold_share")]
    pub cold_capacity_fraction: f64,
    /// Slow-start duration: how long an endpoint takes to warm up.
    #[serde(rename = "cold")]
    pub slow_start_s: f64,
    /// Load that overloads a cold endpoint, as a multiple of its capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... within this window.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// Cost of a cross-zone request in the proxies' settings.
    #[serde(rename = "cross_zone_price")]
    pub cross_zone_cost: f64,
    /// How long after its deadline a request may still be answered.
    pub answer_slack_ms: f64,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    #[serde(rename = "redeliverable")]
    Idempotent,
    /// Endpoints deduplicate by idempotency key, within a scope and a time window.
    #[serde(rename = "deduplicated")]
    IdempotentWithKey,
    /// It must be executed at most once.
    #[serde(rename = "at-most-once")]
    NotIdempotent,
}

/// Endpoints that share their deduplication.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All endpoints.
    Fleet,
    /// Endpoints of one zone.
    Zone,
    /// Endpoints of one pod.
    Pod,
}

/// Requests with the same idempotency, deadline, priority weight and work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// Whether requests may be executed more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Scope of deduplication, for a class with an idempotency key.
    #[serde(default = "defaults::deduplication_scope", rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// How long endpoints remember an idempotency key.
    #[serde(default = "defaults::deduplication_window_ms", rename = "window_ms")]
    pub deduplication_window_ms: f64,
    /// Latency up to which an answer counts as in time.
    #[serde(rename = "target_ms")]
    pub latency_objective_ms: f64,
    /// How long a client waits for an answer.
    pub ttl_ms: f64,
    /// Weight of an answer in time.
    #[serde(default = "defaults::one", rename = "benefit")]
    pub priority_weight: f64,
    /// Weight of a late answer as a fraction of the priority weight.
    #[serde(default, rename = "late_benefit")]
    pub late_fraction: f64,
    /// Relative share of the arrivals of all classes.
    #[serde(default = "defaults::one", rename = "weight")]
    pub arrival_weight: f64,
    /// Mean work on a core of speed 1.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: f64,
    /// Sigma of log-normally distributed work.
    #[serde(default = "defaults::work_sigma", rename = "sigma")]
    pub work_sigma: f64,
    /// Tail exponent of Pareto-distributed work; replaces the log-normal distribution.
    #[serde(rename = "tail")]
    pub work_tail_exponent: Option<f64>,
    /// Work multiplier on a key cache miss; 1 for no penalty.
    #[serde(default = "defaults::one", rename = "key_miss")]
    pub key_miss_factor: f64,
}

/// A group of identical endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineType {
    /// Name of the machine type.
    #[serde(rename = "kind")]
    pub name: String,
    /// Number of endpoints, spread over the zones.
    pub count: usize,
    /// Cores per endpoint.
    #[serde(default = "defaults::cores")]
    pub cores: usize,
    /// Relative speed of a core.
    #[serde(default = "defaults::one")]
    pub speed: f64,
    /// Maximum number of queued requests, besides those being executed.
    #[serde(default = "defaults::queue_capacity", rename = "queue")]
    pub queue_capacity: usize,
    /// Maximum number of connections.
    #[serde(default = "defaults::max_connections", rename = "connections")]
    pub max_connections: usize,
    /// Work to accept a new connection.
    #[serde(default, rename = "connect_work_ms")]
    pub connection_setup_work_ms: f64,
    /// Whether cancelling a request stops its execution.
    #[serde(default = "defaults::enabled", rename = "stops")]
    pub stops_cancelled_work: bool,
    /// Whether queued requests past their deadline are rejected instead of executed.
    #[serde(default = "defaults::enabled")]
    pub drops_expired: bool,
    /// Endpoints per pod, assigned in list order.
    #[serde(default = "defaults::pod_size")]
    pub pod_size: usize,
    /// Number of keys in the key cache.
    #[serde(default = "defaults::key_cache_size", rename = "keys")]
    pub key_cache_size: usize,
    /// Degradation after long queue waits; none if absent.
    #[serde(rename = "tips")]
    pub degradation: Option<Degradation>,
}

/// Metastable slowdown of an endpoint after a request waited too long in its queue. It lasts until the endpoint had
/// little load for long enough, or is restarted.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Degradation {
    /// Queue wait that triggers the degradation.
    #[serde(rename = "after_ms")]
    pub queue_wait_ms: f64,
    /// Speed while degraded, as a fraction of the normal speed.
    #[serde(rename = "to")]
    pub speed_fraction: f64,
    /// The endpoint recovers after holding at most this many requests per core ...
    #[serde(rename = "relief")]
    pub recovery_load: f64,
    /// ... for this long.
    #[serde(rename = "relief_for")]
    pub recovery_s: f64,
}

/// Load from the clients. Exactly one of `rate` and `capacity_fraction` is set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Calls per second from all clients.
    pub rate: Option<f64>,
    /// Calls per second as a fraction of the capacity of all endpoints when warm.
    #[serde(rename = "share")]
    pub capacity_fraction: Option<f64>,
    /// Amplitude of a sine wave on the rate, as a fraction of the rate.
    #[serde(default, rename = "wave")]
    pub wave_amplitude: f64,
    /// Period of the sine wave.
    #[serde(default = "defaults::wave_period_s", rename = "period")]
    pub wave_period_s: f64,
    /// Intervals in which the rate is multiplied.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Imbalance of the calls between zones: sigma of log-normal weights.
    #[serde(default, rename = "zone_spread")]
    pub zone_sigma: f64,
    /// Imbalance of the calls between the proxies of a zone: sigma of log-normal weights.
    #[serde(default, rename = "node_spread")]
    pub proxy_sigma: f64,
    /// Whether the weights rotate through the zones over the run.
    #[serde(default, rename = "shifting")]
    pub rotates_zones: bool,
    /// Number of distinct keys among the calls; 0 for calls without keys.
    #[serde(default, rename = "keys")]
    pub key_count: usize,
    /// Intervals in which a fraction of the calls, the burst's factor, uses a single hot key.
    #[serde(default, rename = "hot")]
    pub hot_key: Vec<Burst>,
}

/// An interval of the run with a factor or fraction.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start of the interval.
    #[serde(rename = "at")]
    pub start_s: f64,
    /// Duration of the interval.
    #[serde(rename = "for")]
    pub duration_s: f64,
    /// The factor or fraction during the interval.
    #[serde(rename = "times")]
    pub factor: f64,
}

/// Delay policy of client retries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// Retry immediately.
    None,
    /// Constant delay.
    Fixed,
    /// The delay doubles with each retry.
    #[serde(rename = "doubling")]
    Exponential,
}

/// Retries, patience and failover of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Maximum number of retries after the first request.
    #[serde(rename = "retries")]
    pub max_retries: usize,
    /// Delay policy of the retries.
    pub backoff: Backoff,
    /// Delay before the first retry.
    pub backoff_ms: f64,
    /// Fraction of clients that honour Retry-After.
    #[serde(rename = "honour")]
    pub honours_retry_after_fraction: f64,
    /// Fraction of clients that disconnect halfway to their deadline.
    #[serde(rename = "impatient")]
    pub impatient_fraction: f64,
    /// How long clients are still routed to a crashed proxy.
    #[serde(rename = "notice")]
    pub failure_detection_s: f64,
}

/// Endpoint discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Minimum notification delay; each proxy has its own, up to twice as long.
    #[serde(rename = "delay_ms")]
    pub notification_delay_ms: f64,
    /// How long an endpoint drains after its replacement has started.
    #[serde(rename = "drain")]
    pub drain_s: f64,
}

/// Load reports of the endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadReports {
    /// Whether responses carry load reports.
    #[serde(rename = "told")]
    pub enabled: bool,
    /// Interval between load measurements.
    #[serde(rename = "period_ms")]
    pub interval_ms: f64,
    /// Age of a measurement when it is reported.
    pub delay_ms: f64,
}
