//! A script: one world and what goes wrong in it, as a TOML file tells it. docs/scripts.md lists every key.
//! A faulty script is refused whole, with the line and the key.

use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::{json, Value};
use toml::de::{DeTable, DeValue};

/// One world. Times in the file are seconds where the key says nothing, milliseconds where it ends in `_ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub name: String,
    #[serde(default)]
    pub about: String,
    /// Length of the day, and what at its start is played but not counted.
    pub seconds: f64,
    #[serde(default)]
    pub settle: f64,
    pub nodes: usize,
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    #[serde(default)]
    pub way: Way,
    #[serde(default)]
    pub duties: Obliged,
    pub categories: Vec<Category>,
    pub machines: Vec<Machine>,
    pub load: Load,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub reports: Reports,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn one_zone() -> Vec<String> {
    vec!["a".into()]
}

/// What the network takes, one way.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Way {
    pub same_ms: f64,
    pub cross_ms: f64,
    /// Sigma of the log-normal factor on each way.
    pub jitter: f64,
    /// Round trips that a new connection takes before its first byte.
    pub handshake: f64,
    /// After this a connection that does not come up is given up.
    pub connect_ms: f64,
    /// An idle connection is closed by its server after this.
    pub keepalive: f64,
}

impl Default for Way {
    fn default() -> Self {
        Way {
            same_ms: 0.3,
            cross_ms: 4.0,
            jitter: 0.2,
            handshake: 2.0,
            connect_ms: 200.0,
            keepalive: 60.0,
        }
    }
}

/// What the nodes are obliged to and allowed.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Obliged {
    pub most_pushes: usize,
    pub may_cancel: bool,
    pub second_copies: bool,
    /// Longest wait that a nack may name; 0 for none.
    pub come_back_ms: f64,
    pub drain_grace_ms: f64,
    /// What a cold server can do of what it does warm, and how long it takes to get there.
    pub cold_share: f64,
    pub cold: f64,
    /// A cold server falls over at this multiple of what it can do, over this window.
    pub fall_multiple: f64,
    pub fall_ms: f64,
    pub cross_zone_price: f64,
    /// What may pass between an op's end and its answer.
    pub answer_slack_ms: f64,
}

impl Default for Obliged {
    fn default() -> Self {
        Obliged {
            most_pushes: 4,
            may_cancel: true,
            second_copies: true,
            come_back_ms: 2000.0,
            drain_grace_ms: 500.0,
            cold_share: 0.2,
            cold: 15.0,
            fall_multiple: 4.0,
            fall_ms: 3000.0,
            cross_zone_price: 0.03,
            answer_slack_ms: 50.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    #[serde(rename = "redeliverable")]
    Idempotent,
    #[serde(rename = "deduplicated")]
    IdempotentWithKey,
    #[serde(rename = "at-most-once")]
    NotIdempotent,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    Fleet,
    Zone,
    Pod,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Category {
    pub name: String,
    pub effect: Idempotency,
    #[serde(default = "pod")]
    pub group: Group,
    #[serde(default = "window")]
    pub window_ms: f64,
    pub target_ms: f64,
    pub ttl_ms: f64,
    #[serde(default = "one")]
    pub benefit: f64,
    /// What a late ack is worth of it.
    #[serde(default)]
    pub late_benefit: f64,
    /// Weight among the categories' arrivals.
    #[serde(default = "one")]
    pub weight: f64,
    /// Mean work on a core of speed one.
    pub work_ms: f64,
    /// Sigma of log-normal work; or the tail exponent of Pareto work.
    #[serde(default = "sigma")]
    pub sigma: f64,
    pub tail: Option<f64>,
    /// PolicyKind much more work an op is whose key its server does not remember; 1 for none.
    #[serde(default = "one")]
    pub key_miss: f64,
}

fn pod() -> Group {
    Group::Pod
}
fn window() -> f64 {
    5000.0
}
fn one() -> f64 {
    1.0
}
fn sigma() -> f64 {
    0.5
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub kind: String,
    /// Servers of this kind, dealt out over the zones.
    pub count: usize,
    #[serde(default = "cores")]
    pub cores: usize,
    #[serde(default = "one")]
    pub speed: f64,
    /// Ops that may wait beside those at work.
    #[serde(default = "queue")]
    pub queue: usize,
    #[serde(default = "connections")]
    pub connections: usize,
    /// Work that a new connection costs.
    #[serde(default)]
    pub connect_work_ms: f64,
    /// Whether work that is called off stops, or goes on.
    #[serde(default = "yes")]
    pub stops: bool,
    /// Whether an op past its time is turned away when its turn comes.
    #[serde(default = "yes")]
    pub drops_expired: bool,
    /// Servers to a pod, in the order of the list.
    #[serde(default = "pod_size")]
    pub pod_size: usize,
    /// Keys that it remembers.
    #[serde(default = "keys")]
    pub keys: usize,
    pub tips: Option<Tips>,
}

fn cores() -> usize {
    2
}
fn queue() -> usize {
    24
}
fn connections() -> usize {
    1024
}
fn yes() -> bool {
    true
}
fn pod_size() -> usize {
    4
}
fn keys() -> usize {
    256
}

/// A box that turns slow once an op has waited too long, and stays slow after the waiting stops, until it has
/// been relieved for long enough or is restarted.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tips {
    /// The wait that tips it.
    pub after_ms: f64,
    /// Its speed from then on, as a part of its own.
    pub to: f64,
    /// Relieved: it holds at most this part of its cores, for so long.
    pub relief: f64,
    pub relief_for: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Ops a second from all clients; or that as a part of what all servers can do when warm.
    pub rate: Option<f64>,
    pub share: Option<f64>,
    /// A wave of this part of it, up and down, over so many seconds.
    #[serde(default)]
    pub wave: f64,
    #[serde(default = "period")]
    pub period: f64,
    /// Bursts: so many times the rate, from and for so many seconds.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// PolicyKind unlike the zones' shares are, and nodes' within a zone (sigma of log-normal weights).
    #[serde(default)]
    pub zone_spread: f64,
    #[serde(default)]
    pub node_spread: f64,
    /// Whether the zones' shares move round over the day.
    #[serde(default)]
    pub shifting: bool,
    /// Keys that ops are about; 0 for none. And the part of ops about the hot one, from and for seconds.
    #[serde(default)]
    pub keys: usize,
    #[serde(default)]
    pub hot: Vec<Burst>,
}

fn period() -> f64 {
    30.0
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub at: f64,
    #[serde(rename = "for")]
    pub lasts: f64,
    pub times: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    None,
    Fixed,
    Doubling,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Times that a client comes again after its first try.
    pub retries: usize,
    pub backoff: Backoff,
    pub backoff_ms: f64,
    /// Part of them that wait as long as a nack says.
    pub honour: f64,
    /// Part of them that leave halfway through their time.
    pub impatient: f64,
    /// PolicyKind long the front goes on dealing ops to a dead node.
    pub notice: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: 2,
            backoff: Backoff::Fixed,
            backoff_ms: 100.0,
            honour: 0.8,
            impatient: 0.0,
            notice: 2.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// What passes until a node is told; each node its own, up to twice as long.
    pub delay_ms: f64,
    /// PolicyKind long a server drains before it goes, and its successor's start ahead of that.
    pub drain: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            delay_ms: 100.0,
            drain: 4.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    /// Whether answers carry load; how often it is taken, and how old it is then.
    pub told: bool,
    pub period_ms: f64,
    pub delay_ms: f64,
}

impl Default for Reports {
    fn default() -> Self {
        Reports {
            told: true,
            period_ms: 500.0,
            delay_ms: 150.0,
        }
    }
}

/// What can go wrong. The meaning of `strength` is beside each.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Work takes so many times as long.
    Slow,
    /// Takes ops and works at none until it is over.
    Hang,
    /// Stops for so many milliseconds about every second.
    Pauses,
    /// Errors at once, with this chance.
    FailFast,
    /// The machine says nothing.
    Silent,
    /// An answer is lost on its way, with this chance.
    AnswersLost,
    /// A connection is reset under its request, with this chance.
    Resets,
    /// The zone's servers and nodes reach no other zone's, both ways.
    ZoneCut,
    /// What the zone's servers say to other zones is lost; what they are asked arrives.
    OneWayCut,
    /// Servers are replaced by cold ones, evenly over the time.
    Release,
    /// Servers die and come back cold after so many seconds.
    KillServers,
    /// Nodes die at once and come back after so many seconds, knowing nothing.
    KillNodes,
    /// Lists say nothing until it is over.
    DiscoveryDown,
    /// Reports are so many seconds older.
    ReportsLate,
    /// Reports say so many times what is held.
    ReportsWrong,
    ReportsMissing,
    /// Start times of servers, as told, are so many seconds off.
    ClockStep,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    pub at: f64,
    #[serde(rename = "for")]
    pub lasts: f64,
    #[serde(default = "one")]
    pub strength: f64,
    /// Whom it strikes: of one zone, of one kind of machine, and that part of those.
    pub zone: Option<String>,
    pub machine: Option<String>,
    #[serde(default = "one")]
    pub part: f64,
}

/// Why a script is refused.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptError {
    /// From 1.
    pub line: usize,
    pub key: String,
    pub what: String,
}

impl std::fmt::Display for ScriptError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.key.is_empty() {
            true => write!(f, "line {}: {}", self.line, self.what),
            false => write!(f, "line {}: {} {}", self.line, self.key, self.what),
        }
    }
}

fn line_at(text: &str, place: usize) -> usize {
    text.as_bytes()[..place.min(text.len())]
        .iter()
        .filter(|b| **b == b'\n')
        .count()
        + 1
}

/// The line of a key as `faults.2.strength`; the deepest part of it that is there.
fn line_of(text: &str, key: &str) -> usize {
    let Ok(whole) = DeTable::parse(text) else {
        return 1;
    };
    let mut line = 1;
    let mut at: Option<DeValue> = Some(DeValue::Table(whole.into_inner()));
    for part in key.split('.') {
        let next = match at.take() {
            Some(DeValue::Table(mut table)) => {
                let found = table.iter().find(|(name, _)| name.get_ref() == part);
                let name = found.map(|(name, _)| name.clone());
                name.and_then(|name| table.remove(&name))
            }
            Some(DeValue::Array(array)) => part
                .parse::<usize>()
                .ok()
                .and_then(|index| array.into_iter().nth(index)),
            _ => None,
        };
        let Some(found) = next else { break };
        line = line_at(text, found.span().start);
        at = Some(found.into_inner());
    }
    line
}

/// Reads a text of any such form whole, and has it checked: a key and what is wrong with it, if anything is.
pub fn read_whole<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Result<(), (String, String)>,
) -> Result<T, ScriptError> {
    let read: T = toml::from_str(text).map_err(|e| ScriptError {
        line: e.span().map_or(1, |span| line_at(text, span.start)),
        key: String::new(),
        what: e.message().to_string(),
    })?;
    check(&read).map_err(|(key, what)| ScriptError {
        line: line_of(text, &key),
        key,
        what,
    })?;
    Ok(read)
}

impl Script {
    /// Reads a script whole, or names what is wrong with it.
    pub fn read(text: &str) -> Result<Self, ScriptError> {
        read_whole(text, Script::check)
    }

    fn check(&self) -> Result<(), (String, String)> {
        let wrong = |key: &str, what: &str| Err((key.to_string(), what.to_string()));
        let within =
            |key: &str, value: f64, least: f64, most: f64| match (least..=most).contains(&value) {
                true => Ok(()),
                false => Err((
                    key.to_string(),
                    format!("is {value}; it must lie between {least} and {most}"),
                )),
            };
        within("seconds", self.seconds, 1.0, 86_400.0)?;
        within("settle", self.settle, 0.0, self.seconds - 1.0)?;
        within("nodes", self.nodes as f64, 1.0, 2000.0)?;
        if self.zones.is_empty()
            || (1..self.zones.len()).any(|i| self.zones[..i].contains(&self.zones[i]))
        {
            return wrong("zones", "must name at least one zone, and none twice");
        }
        let (way, duties) = (&self.way, &self.duties);
        for (key, value, least, most) in [
            ("way.same_ms", way.same_ms, 0.0, 1e4),
            ("way.cross_ms", way.cross_ms, 0.0, 1e4),
            ("way.jitter", way.jitter, 0.0, 3.0),
            ("way.handshake", way.handshake, 0.0, 20.0),
            ("way.connect_ms", way.connect_ms, 0.0, 1e5),
            ("way.keepalive", way.keepalive, 0.0, 1e5),
            ("duties.come_back_ms", duties.come_back_ms, 0.0, 1e6),
            ("duties.drain_grace_ms", duties.drain_grace_ms, 0.0, 1e6),
            ("duties.cold", duties.cold, 0.0, 1e5),
            ("duties.fall_ms", duties.fall_ms, 0.0, 1e6),
            ("duties.cross_zone_price", duties.cross_zone_price, 0.0, 1.0),
            ("duties.answer_slack_ms", duties.answer_slack_ms, 0.0, 1e4),
            ("clients.backoff_ms", self.clients.backoff_ms, 0.0, 1e6),
            ("clients.honour", self.clients.honour, 0.0, 1.0),
            ("clients.impatient", self.clients.impatient, 0.0, 1.0),
            ("clients.notice", self.clients.notice, 0.0, 1e3),
            ("clients.retries", self.clients.retries as f64, 0.0, 100.0),
            ("discovery.delay_ms", self.discovery.delay_ms, 0.0, 1e6),
            ("discovery.drain", self.discovery.drain, 0.0, 1e4),
            ("reports.delay_ms", self.reports.delay_ms, 0.0, 1e6),
            ("load.wave", self.load.wave, 0.0, 1.0),
            ("load.zone_spread", self.load.zone_spread, 0.0, 3.0),
            ("load.node_spread", self.load.node_spread, 0.0, 3.0),
            ("load.keys", self.load.keys as f64, 0.0, 1e9),
            ("duties.most_pushes", duties.most_pushes as f64, 1.0, 100.0),
            ("duties.cold_share", duties.cold_share, 0.001, 1.0),
            ("duties.fall_multiple", duties.fall_multiple, 0.1, 1e3),
            ("reports.period_ms", self.reports.period_ms, 1.0, 1e6),
            ("load.period", self.load.period, 0.1, 1e5),
        ] {
            within(key, value, least, most)?;
        }
        if self.categories.is_empty() {
            return wrong("categories", "must hold at least one");
        }
        for (k, category) in self.categories.iter().enumerate() {
            let key = |name: &str| format!("categories.{k}.{name}");
            within(&key("target_ms"), category.target_ms, 1.0, 1e6)?;
            within(&key("ttl_ms"), category.ttl_ms, 1.0, 1e6)?;
            within(&key("window_ms"), category.window_ms, 0.0, 1e7)?;
            within(&key("benefit"), category.benefit, 0.0, 1e6)?;
            within(&key("late_benefit"), category.late_benefit, 0.0, 1.0)?;
            within(&key("weight"), category.weight, 0.0, 1e6)?;
            within(&key("work_ms"), category.work_ms, 0.01, 1e5)?;
            within(&key("sigma"), category.sigma, 0.0, 3.0)?;
            within(&key("key_miss"), category.key_miss, 1.0, 100.0)?;
            within(&key("tail"), category.tail.unwrap_or(2.0), 1.05, 100.0)?;
            if category.name.is_empty()
                || self.categories[..k].iter().any(|c| c.name == category.name)
            {
                return wrong(&key("name"), "is empty, or another category has it");
            }
        }
        if self.machines.is_empty() {
            return wrong("machines", "must hold at least one kind");
        }
        for (k, machine) in self.machines.iter().enumerate() {
            let key = |name: &str| format!("machines.{k}.{name}");
            within(&key("count"), machine.count as f64, 1.0, 10_000.0)?;
            within(&key("cores"), machine.cores as f64, 1.0, 1024.0)?;
            within(&key("speed"), machine.speed, 0.01, 100.0)?;
            within(&key("queue"), machine.queue as f64, 0.0, 1e6)?;
            within(&key("connections"), machine.connections as f64, 1.0, 1e6)?;
            within(&key("connect_work_ms"), machine.connect_work_ms, 0.0, 1e4)?;
            within(&key("pod_size"), machine.pod_size as f64, 1.0, 10_000.0)?;
            within(&key("keys"), machine.keys as f64, 1.0, 1e6)?;
            if let Some(tips) = machine.tips {
                within(&key("tips.after_ms"), tips.after_ms, 0.1, 1e6)?;
                within(&key("tips.to"), tips.to, 0.01, 1.0)?;
                within(&key("tips.relief"), tips.relief, 0.0, 1.0)?;
                within(&key("tips.relief_for"), tips.relief_for, 0.0, 1e5)?;
            }
        }
        match (self.load.rate, self.load.share) {
            (Some(rate), None) => within("load.rate", rate, 0.001, 1e6)?,
            (None, Some(share)) => within("load.share", share, 0.001, 10.0)?,
            _ => return wrong("load", "must have either rate or share"),
        }
        for (list, name) in [
            (&self.load.bursts, "load.bursts"),
            (&self.load.hot, "load.hot"),
        ] {
            for (k, burst) in list.iter().enumerate() {
                within(&format!("{name}.{k}.at"), burst.at, 0.0, self.seconds)?;
                within(&format!("{name}.{k}.for"), burst.lasts, 0.0, 86_400.0)?;
                within(&format!("{name}.{k}.times"), burst.times, 0.0, 100.0)?;
            }
        }
        for (k, fault) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("faults.{k}.{name}");
            within(&key("at"), fault.at, 0.0, self.seconds)?;
            within(&key("for"), fault.lasts, 0.0, 86_400.0)?;
            within(&key("part"), fault.part, 0.0, 1.0)?;
            let (least, most) = match fault.kind {
                Kind::Slow | Kind::ReportsWrong => (0.01, 1000.0),
                Kind::FailFast | Kind::AnswersLost | Kind::Resets => (0.0, 1.0),
                Kind::ClockStep => (-86_400.0, 86_400.0),
                _ => (0.0, 1e5),
            };
            within(&key("strength"), fault.strength, least, most)?;
            if fault
                .zone
                .as_ref()
                .is_some_and(|zone| !self.zones.contains(zone))
            {
                return wrong(&key("zone"), "names no zone of this script");
            }
            if fault
                .machine
                .as_ref()
                .is_some_and(|kind| !self.machines.iter().any(|m| m.kind == *kind))
            {
                return wrong(&key("machine"), "names no kind of machine of this script");
            }
            if matches!(fault.kind, Kind::ZoneCut | Kind::OneWayCut) && fault.zone.is_none() {
                return wrong(&key("zone"), "is missing: a cut needs one");
            }
        }
        Ok(())
    }

    /// Ops a second that all servers can do when warm.
    pub fn capacity(&self) -> f64 {
        let weights: f64 = self.categories.iter().map(|c| c.weight).sum();
        let work = self
            .categories
            .iter()
            .map(|c| c.weight * c.work_ms)
            .sum::<f64>()
            / weights.max(1e-9);
        let speed: f64 = self
            .machines
            .iter()
            .map(|m| (m.count * m.cores) as f64 * m.speed)
            .sum();
        1000.0 * speed / work
    }

    /// Ops a second that clients bring, before waves and bursts.
    pub fn rate(&self) -> f64 {
        self.load
            .rate
            .unwrap_or_else(|| self.load.share.unwrap_or(0.5) * self.capacity())
    }

    /// The settings that a node is given, in the platform's form (docs/architecture.md).
    pub fn settings(&self, node: usize) -> Value {
        let effect = |effect| match effect {
            Idempotency::Idempotent => "read_like",
            Idempotency::IdempotentWithKey => "idempotency_key",
            Idempotency::NotIdempotent => "non_idempotent",
        };
        let group = |group| match group {
            Group::Fleet => "all",
            Group::Zone => "zone",
            Group::Pod => "cell",
        };
        let categories = self.categories.iter().map(|c| {
            json!({
                "Name": c.name, "Effect": effect(c.effect), "Group": group(c.group), "WindowMs": c.window_ms,
                "TargetLatencyMs": c.target_ms, "TtlMs": c.ttl_ms, "Benefit": c.benefit,
                "LateBenefit": c.late_benefit
            })
        });
        let (d, way) = (&self.duties, &self.way);
        json!({
            "GroupSize": self.nodes, "MyNumber": node, "MyZone": self.zones[node % self.zones.len()],
            "Zones": self.zones, "Discovery": "automatic", "Categories": categories.collect::<Vec<_>>(),
            "Limits": {
                "MostPushes": d.most_pushes, "MayCancel": d.may_cancel, "SecondCopies": d.second_copies,
                "RetryAfter": d.come_back_ms > 0.0, "MaxRetryAfterMs": d.come_back_ms,
                "ConnectTimeoutMs": way.connect_ms, "KeepaliveMs": 1000.0 * way.keepalive
            },
            "Fees": {"CrossZone": d.cross_zone_price},
            "Reporting": {"Via": if self.reports.told { "piggyback" } else { "silent" }},
            "Obligations": {
                "ColdShare": d.cold_share, "ColdMs": 1000.0 * d.cold, "FallMultiple": d.fall_multiple,
                "FallMs": d.fall_ms, "StopSendingWithinMs": d.drain_grace_ms,
                "AnswerSlackMs": d.answer_slack_ms, "AskWithinMs": 10_000.0
            }
        })
    }
}
