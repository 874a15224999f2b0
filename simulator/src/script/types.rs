//! The types of a script. `serde(rename)` names the key of the file where it differs from the field.

use super::defaults;
use super::fault::Fault;
use serde::Deserialize;

/// One environment. Times are seconds where the field ends in `_s`, milliseconds where it ends in `_ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// A sentence on what it plays.
    #[serde(default)]
    pub about: String,
    /// Length of the run.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// What at the start of the run is played but not counted in the totals.
    #[serde(default, rename = "settle")]
    pub settling_s: f64,
    /// Number of proxies, spread over the zones in turn.
    #[serde(rename = "nodes")]
    pub proxies: usize,
    /// Names of the zones.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// What the network takes.
    #[serde(default, rename = "way")]
    pub network: Network,
    /// What proxies must and may do.
    #[serde(default, rename = "duties")]
    pub limits: Limits,
    /// Classes of requests.
    #[serde(rename = "categories")]
    pub request_classes: Vec<RequestClass>,
    /// Endpoints by machine type.
    #[serde(rename = "machines")]
    pub machine_types: Vec<MachineType>,
    /// The load by clients.
    pub load: Load,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// How proxies learn of endpoints.
    #[serde(default)]
    pub discovery: Discovery,
    /// Whether and how endpoints report their load.
    #[serde(default, rename = "reports")]
    pub load_reports: LoadReports,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What the network takes, one way.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Mean delay within a zone.
    #[serde(rename = "same_ms")]
    pub same_zone_ms: f64,
    /// Mean delay across zones.
    #[serde(rename = "cross_ms")]
    pub cross_zone_ms: f64,
    /// Sigma of the log-normal factor on each delay.
    #[serde(rename = "jitter")]
    pub jitter_sigma: f64,
    /// Round trips that a new connection takes before its first byte.
    #[serde(rename = "handshake")]
    pub handshake_round_trips: f64,
    /// How long a proxy waits for a connection.
    #[serde(rename = "connect_ms")]
    pub connect_timeout_ms: f64,
    /// How long an endpoint keeps an idle connection.
    #[serde(rename = "keepalive")]
    pub keepalive_s: f64,
}

/// What proxies must and may do.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Attempts for one request.
    #[serde(rename = "most_pushes")]
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation_allowed: bool,
    /// Whether requests may be hedged.
    #[serde(rename = "second_copies")]
    pub hedging_allowed: bool,
    /// Longest Retry-After of a rejection; 0 for none.
    #[serde(rename = "come_back_ms")]
    pub max_retry_after_ms: f64,
    /// How long after a proxy is notified of a drain it may still send to the endpoint.
    pub drain_grace_ms: f64,
    /// What a cold endpoint can do, as a fraction of what it does when warm.
    #[serde(rename = "cold_share")]
    pub cold_capacity_fraction: f64,
    /// How long an endpoint takes to warm up.
    #[serde(rename = "cold")]
    pub slow_start_s: f64,
    /// A cold endpoint falls over at this multiple of what it can do ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... within this window.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// Cost of a request that crosses zones, as the settings of the proxies have it.
    #[serde(rename = "cross_zone_price")]
    pub cross_zone_cost: f64,
    /// How late after its deadline a request may be answered.
    pub answer_slack_ms: f64,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Idempotency {
    /// It may.
    #[serde(rename = "redeliverable")]
    Idempotent,
    /// Endpoints drop repeats by their idempotency key, within a scope and a window.
    #[serde(rename = "deduplicated")]
    IdempotentWithKey,
    /// It may not.
    #[serde(rename = "at-most-once")]
    NotIdempotent,
}

/// The endpoints that drop repeats of one another's requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All of them.
    Fleet,
    /// Those of one zone.
    Zone,
    /// Those of one pod.
    Pod,
}

/// Requests that are alike in what they need and what they are worth.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Whether requests may be executed more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Where repeats are dropped, of a class with an idempotency key.
    #[serde(default = "defaults::deduplication_scope", rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// For how long repeats are dropped.
    #[serde(default = "defaults::deduplication_window_ms", rename = "window_ms")]
    pub deduplication_window_ms: f64,
    /// Latency up to which an answer is in time.
    #[serde(rename = "target_ms")]
    pub latency_objective_ms: f64,
    /// How long a client waits for the answer.
    pub ttl_ms: f64,
    /// What an answer in time is worth.
    #[serde(default = "defaults::one", rename = "benefit")]
    pub priority_weight: f64,
    /// What a late answer is worth, as a fraction of that.
    #[serde(default, rename = "late_benefit")]
    pub late_fraction: f64,
    /// Weight among the arrivals of all classes.
    #[serde(default = "defaults::one", rename = "weight")]
    pub arrival_weight: f64,
    /// Mean work on a core of speed one.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: f64,
    /// Sigma of log-normal work.
    #[serde(default = "defaults::work_sigma", rename = "sigma")]
    pub work_sigma: f64,
    /// Tail exponent of Pareto work, in place of log-normal work.
    #[serde(rename = "tail")]
    pub work_tail_exponent: Option<f64>,
    /// Factor on the work where the endpoint has not cached the key; 1 for none.
    #[serde(default = "defaults::one", rename = "key_miss")]
    pub key_miss_factor: f64,
}

/// Endpoints that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "kind")]
    pub name: String,
    /// Endpoints of this type, spread over the zones.
    pub count: usize,
    /// Cores of one endpoint.
    #[serde(default = "defaults::cores")]
    pub cores: usize,
    /// Speed of a core.
    #[serde(default = "defaults::one")]
    pub speed: f64,
    /// Requests that may wait beside those that are executed.
    #[serde(default = "defaults::queue_capacity", rename = "queue")]
    pub queue_capacity: usize,
    /// Connections that it takes.
    #[serde(default = "defaults::max_connections", rename = "connections")]
    pub max_connections: usize,
    /// Work that a new connection costs.
    #[serde(default, rename = "connect_work_ms")]
    pub connection_setup_work_ms: f64,
    /// Whether the execution of a cancelled request stops, or goes on.
    #[serde(default = "defaults::enabled", rename = "stops")]
    pub stops_cancelled_work: bool,
    /// Whether a request past its deadline is rejected when its turn comes.
    #[serde(default = "defaults::enabled")]
    pub drops_expired: bool,
    /// Endpoints of a pod, in the order of the list.
    #[serde(default = "defaults::pod_size")]
    pub pod_size: usize,
    /// Keys that it caches.
    #[serde(default = "defaults::key_cache_size", rename = "keys")]
    pub key_cache_size: usize,
    /// Whether long waits degrade it.
    #[serde(rename = "tips")]
    pub degradation: Option<Degradation>,
}

/// A machine that turns slow once a request has waited too long, and stays slow after the waiting stops, until it
/// has had little load for long enough or is restarted.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Degradation {
    /// The wait that degrades it.
    #[serde(rename = "after_ms")]
    pub queue_wait_ms: f64,
    /// Its speed from then on, as a fraction of its own.
    #[serde(rename = "to")]
    pub speed_fraction: f64,
    /// It recovers while it holds at most this many requests a core ...
    #[serde(rename = "relief")]
    pub recovery_load: f64,
    /// ... for so long.
    #[serde(rename = "relief_for")]
    pub recovery_s: f64,
}

/// The load by clients. Either `rate` or `capacity_fraction` is given.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Calls a second from all clients.
    pub rate: Option<f64>,
    /// Calls a second as a fraction of what all endpoints can do when warm.
    #[serde(rename = "share")]
    pub capacity_fraction: Option<f64>,
    /// Amplitude of a wave on the rate, as a fraction of it.
    #[serde(default, rename = "wave")]
    pub wave_amplitude: f64,
    /// Period of the wave.
    #[serde(default = "defaults::wave_period_s", rename = "period")]
    pub wave_period_s: f64,
    /// Times at which the rate is multiplied.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// How much the zones' shares of the calls differ: sigma of log-normal weights.
    #[serde(default, rename = "zone_spread")]
    pub zone_sigma: f64,
    /// How much the shares of a zone's proxies differ: sigma of log-normal weights.
    #[serde(default, rename = "node_spread")]
    pub proxy_sigma: f64,
    /// Whether the zones' shares rotate over the run.
    #[serde(default, rename = "shifting")]
    pub rotates_zones: bool,
    /// Keys that calls are about; 0 for none.
    #[serde(default, rename = "keys")]
    pub key_count: usize,
    /// Times at which a fraction of the calls, the burst's factor, is about one hot key.
    #[serde(default, rename = "hot")]
    pub hot_key: Vec<Burst>,
}

/// A time of the run, and a factor or fraction that holds then.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins.
    #[serde(rename = "at")]
    pub start_s: f64,
    /// How long it lasts.
    #[serde(rename = "for")]
    pub duration_s: f64,
    /// The factor or fraction.
    #[serde(rename = "times")]
    pub factor: f64,
}

/// How a client's wait grows from retry to retry.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// It retries at once.
    None,
    /// The wait is always the same.
    Fixed,
    /// The wait doubles with each retry.
    #[serde(rename = "doubling")]
    Exponential,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Retries after the first request.
    #[serde(rename = "retries")]
    pub max_retries: usize,
    /// How the wait before a retry grows.
    pub backoff: Backoff,
    /// The wait before the first retry.
    pub backoff_ms: f64,
    /// Fraction that waits as long as Retry-After says.
    #[serde(rename = "honour")]
    pub honours_retry_after_fraction: f64,
    /// Fraction that leaves halfway through its time.
    #[serde(rename = "impatient")]
    pub impatient_fraction: f64,
    /// How long clients are still routed to a dead proxy.
    #[serde(rename = "notice")]
    pub failure_detection_s: f64,
}

/// How proxies learn of endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Least delay until a proxy is notified; each has its own, up to twice as long.
    #[serde(rename = "delay_ms")]
    pub notification_delay_ms: f64,
    /// How long an endpoint drains, after its successor has started.
    #[serde(rename = "drain")]
    pub drain_s: f64,
}

/// How endpoints report their load.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadReports {
    /// Whether answers carry load.
    #[serde(rename = "told")]
    pub enabled: bool,
    /// How often it is measured.
    #[serde(rename = "period_ms")]
    pub interval_ms: f64,
    /// How old a measurement is when it is reported.
    pub delay_ms: f64,
}
