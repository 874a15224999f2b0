//! The operators' settings to the module's plain map of names, and their other names to small indices. The
//! bench's adapter and the real node both read by it.

use crate::types::{EndpointState, EndpointUpdate, LoadReport, SettingsMap};
use serde_json::Value;
use slab::Slab;
use std::collections::HashMap;
use std::sync::Arc;

/// The module's name of a setting, and the path of the same on the wire.
const NAMES: &[(&str, &str)] = &[
    ("balancers", "/GroupSize"),
    ("come-back", "/Limits/RetryAfter"),
    ("come-back-most", "/Limits/MaxRetryAfterMs"),
    ("my-number", "/MyNumber"),
    ("may-cancel", "/Limits/MayCancel"),
    ("may-probe", "/Limits/Probes"),
    ("most-pushes", "/Limits/MostPushes"),
    ("second-copies", "/Limits/SecondCopies"),
    ("cold-share", "/Obligations/ColdShare"),
    ("cold-time", "/Obligations/ColdMs"),
    ("fall-multiple", "/Obligations/FallMultiple"),
    ("fall-time", "/Obligations/FallMs"),
    ("drain-grace", "/Obligations/StopSendingWithinMs"),
    ("ask-within", "/Obligations/AskWithinMs"),
    ("left-margin", "/Obligations/LeftMarginMs"),
    ("start-margin", "/Obligations/BootStampErrorMs"),
    ("held-answers", "/Limits/HeldReplies"),
    ("excess-benefit", "/ExcessBenefit"),
    ("cross-zone-price", "/Fees/CrossZone"),
    ("waste-price", "/Fees/Waste"),
    ("servers-know-keys", "/Specifics/WarmKeys"),
];

/// The same for each category and each customer.
const CATEGORY: &[(&str, &str)] = &[
    ("target-latency", "TargetLatencyMs"),
    ("ttl", "TtlMs"),
    ("effect", "Effect"),
    ("within", "Group"),
    ("window", "WindowMs"),
    ("benefit", "Benefit"),
    ("late-benefit", "LateBenefit"),
];
const CUSTOMER: &[(&str, &str)] = &[("quota", "QuotaPerS"), ("share", "Fraction")];

/// What the operators oblige and allow this node: their names and values as handed over.
#[derive(Default)]
pub struct Duties(pub SettingsMap);

impl Duties {
    pub fn must(&self, name: &str) -> Result<f64, String> {
        let value = self.0.get(name).ok_or_else(|| format!("setting {name} is missing"))?;
        let number = value.as_f64().or_else(|| value.as_bool().map(|yes| f64::from(u8::from(yes))));
        number.ok_or_else(|| format!("setting {name} is not a number"))
    }

    pub fn or(&self, name: &str, otherwise: f64) -> f64 {
        self.must(name).unwrap_or(otherwise)
    }

    pub fn word(&self, name: &str) -> &str {
        self.0.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Small indices, where they are named. Danger: one that is none would open what the list closes.
    pub fn places(&self, name: &str) -> Option<Arc<[usize]>> {
        let named = self.0.get(name)?.as_array().into_iter().flatten();
        Some(named.filter_map(|v| v.as_u64()).map(|place| place as usize).collect())
    }

    pub fn allow(&self, name: &str) -> bool {
        self.or(name, 0.0) > 0.0
    }
}

/// Wire words that stand as values, and ours.
const WORDS: &[(&str, &str)] = &[
    ("read_like", "redeliverable"),
    ("idempotency_key", "deduplicated"),
    ("non_idempotent", "at-most-once"),
    ("all", "fleet"),
    ("cell", "pod"),
];

fn ours(value: &Value) -> Value {
    let word = value.as_str().and_then(|w| WORDS.iter().find(|(wire, _)| *wire == w));
    word.map_or_else(|| value.clone(), |(_, ours)| Value::from(*ours))
}

fn each(
    given: &mut SettingsMap,
    settings: &Value,
    list: &str,
    plural: &str,
    one: &str,
    names: &[(&str, &str)],
) {
    let Some(items) = settings.get(list).and_then(Value::as_array) else { return };
    given.insert(plural.into(), items.len().into());
    for (index, item) in items.iter().enumerate() {
        for (name, wire) in names {
            if let Some(value) = item.get(*wire).filter(|v| !v.is_null()) {
                given.insert(format!("{one}.{index}.{name}"), ours(value));
            }
        }
    }
}

fn translate(settings: &Value) -> SettingsMap {
    let mut given = SettingsMap::new();
    for (name, path) in NAMES {
        if let Some(value) = settings.pointer(path).filter(|v| !v.is_null()) {
            given.insert((*name).into(), ours(value));
        }
    }
    each(&mut given, settings, "Categories", "categories", "category", CATEGORY);
    each(&mut given, settings, "Customers", "customers", "customer", CUSTOMER);
    let ask = settings.get("Discovery").and_then(Value::as_str) == Some("subscribe");
    given.insert("list-must-be-asked".into(), ask.into());
    let pull = settings.pointer("/Reporting/Via").and_then(Value::as_str) == Some("pull");
    given.insert("load-must-be-asked".into(), pull.into());
    given
}

/// NameIndex a setting whose value cannot be one. Danger: a wrong word or sign would count as none, and a node
/// would serve for days in a shape that nobody meant.
pub fn validate(settings: &Value) -> Result<(), String> {
    let faulty = |path: &str, what: &str| Err(format!("{} {what}", path.replace('/', ".").trim_matches('.')));
    for (_, path) in NAMES {
        let fine = match settings.pointer(path) {
            None | Some(Value::Null | Value::Bool(_)) => true,
            Some(value) => value.as_f64().is_some_and(|n| n.is_finite() && n >= 0.0),
        };
        if !fine {
            return faulty(path, "is no number from 0 and neither true nor false");
        }
    }
    // Danger: a deadline of nothing ends each op at once, none at all, or a number in quotes, never.
    let above =
        |value: Option<&Value>| value.and_then(Value::as_f64).is_some_and(|n| n.is_finite() && n > 0.0);
    if !above(settings.pointer("/Limits/MostPushes")) {
        return faulty("/Limits/MostPushes", "is no number above 0");
    }
    let number = |value: Option<&Value>| {
        value.is_none_or(|v| v.is_null() || v.as_f64().is_some_and(|n| n.is_finite() && n >= 0.0))
    };
    let customers = settings.get("Customers").and_then(Value::as_array).into_iter().flatten();
    for (index, customer) in customers.enumerate() {
        for name in ["QuotaPerS", "Fraction"] {
            if !number(customer.get(name)) {
                return faulty(&format!("Customers/{index}/{name}"), "is no number from 0");
            }
        }
    }
    let categories = settings.get("Categories").and_then(Value::as_array);
    for (index, category) in categories.ok_or("Categories is missing or no list")?.iter().enumerate() {
        for name in ["TargetLatencyMs", "TtlMs"] {
            if !above(category.get(name)) {
                return faulty(&format!("Categories/{index}/{name}"), "is no number above 0");
            }
        }
        for name in ["WindowMs", "Benefit", "LateBenefit"] {
            if !number(category.get(name)) {
                return faulty(&format!("Categories/{index}/{name}"), "is no number from 0");
            }
        }
        let grouped = category.get("Effect").is_some_and(|effect| effect == "idempotency_key");
        let group = category.get("Group").filter(|group| grouped && !group.is_null());
        if !group.is_none_or(|group| ["all", "zone", "cell"].iter().any(|word| group == word)) {
            return faulty(&format!("Categories/{index}/Group"), "is none of all, zone and cell");
        }
        // Danger: one name for a list, or a number in it, would leave a category bound to no place, or none.
        for list in ["ZonesAllowed", "AllowedOn"] {
            if allowed(category, list).is_err() {
                return faulty(&format!("Categories/{index}/{list}"), "is no list of names");
            }
        }
        if category.get("Name").and_then(Value::as_str).is_none_or(str::is_empty) {
            return faulty(&format!("Categories/{index}/Name"), "is missing or no name");
        }
    }
    let via = settings.pointer("/Reporting/Via").filter(|v| !v.is_null());
    if !via.is_none_or(|via| ["piggyback", "pull", "silent"].iter().any(|word| via == word)) {
        return faulty("/Reporting/Via", "is none of piggyback, pull and silent");
    }
    let probes = settings.pointer("/Limits/Probes").is_some_and(|v| v != false && v != 0 && !v.is_null());
    if via.is_some_and(|via| via == "pull") && !probes {
        return faulty("/Reporting/Via", "is pull, but Limits.Probes allows no probe");
    }
    let most = |path: &str| settings.pointer(path).and_then(Value::as_f64);
    match (most("/MyNumber"), most("/GroupSize")) {
        (Some(mine), Some(all)) if mine >= all.max(1.0) => faulty("/MyNumber", "is not under GroupSize"),
        _ => Ok(()),
    }
}

/// The names in a list of a category's; none where it is absent. An empty list allows nothing.
fn allowed<'a>(category: &'a Value, list: &str) -> Result<Option<Vec<&'a str>>, ()> {
    let Some(value) = category.get(list).filter(|v| !v.is_null()) else { return Ok(None) };
    let name = |v: &'a Value| v.as_str().filter(|name| !name.is_empty()).ok_or(());
    value.as_array().ok_or(())?.iter().map(name).collect::<Result<_, _>>().map(Some)
}

/// A message of the module with the wire's name of the setting beside ours.
pub fn explain_error(message: &str) -> String {
    let all = [("categories", "Categories")].into_iter();
    let all =
        all.chain(NAMES.iter().chain(CATEGORY).chain(CUSTOMER).map(|(n, w)| (*n, w.trim_start_matches('/'))));
    let named = |name: &str| message.split(' ').any(|w| w == name || w.ends_with(&format!(".{name}")));
    let mut found = all.filter(|(name, _)| named(name));
    found.next().map_or_else(|| message.to_string(), |(_, wire)| format!("{message} (on the wire: {wire})"))
}

fn names_of(settings: &Value, list: &str) -> Vec<String> {
    let items = settings.get(list).and_then(Value::as_array);
    let name = |v: &Value| v.as_str().or_else(|| v.get("Name")?.as_str()).unwrap_or_default().to_string();
    items.map(|items| items.iter().map(name).collect()).unwrap_or_default()
}

/// What stands in the settings under names: each keeps its index for good, also once it is gone from them.
#[derive(Clone, Default)]
pub struct NamedEntries {
    pub names: Vec<String>,
    items: Vec<Value>,
    served: Vec<bool>,
}

impl NamedEntries {
    /// Takes over what the settings list now, and returns all that ever was, by index.
    fn update(&mut self, settings: &Value, list: &str) -> Value {
        let names = names_of(settings, list);
        self.served.fill(false);
        for (name, item) in
            names.into_iter().zip(settings.get(list).and_then(Value::as_array).into_iter().flatten())
        {
            let index = self.names.iter().position(|n| *n == name).unwrap_or_else(|| {
                self.names.push(name);
                self.items.push(Value::Null);
                self.served.push(false);
                self.names.len() - 1
            });
            (self.items[index], self.served[index]) = (item.clone(), true);
        }
        let mut all = self.items.clone();
        // Danger: a benefit that nothing brings any more would make all others look small.
        for (item, _) in
            all.iter_mut().zip(&self.served).filter(|(item, served)| item.is_object() && !**served)
        {
            item["Benefit"] = 0.into();
        }
        all.into()
    }

    /// The index of one that the settings list now.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|n| n == name).filter(|index| self.served[*index])
    }

    /// Whether the settings list none.
    pub fn is_empty(&self) -> bool {
        !self.served.contains(&true)
    }
}

/// NameIndex to small indices, as they stand in the settings or are met in the list of servers.
#[derive(Clone, Default)]
pub struct NameIndex {
    pub classes: NamedEntries,
    pub tenants: NamedEntries,
    zones: Vec<String>,
    kinds: Vec<String>,
    servers: Indices,
    pods: Indices,
    /// Each server's pod, by its index.
    pod_of: Vec<usize>,
}

/// Small indices for numbers from outside, used again once what they stood for is forgotten.
#[derive(Clone, Default)]
struct Indices {
    by_number: HashMap<u64, usize>,
    numbers: Slab<u64>,
}

impl Indices {
    fn of(&mut self, number: u64) -> usize {
        *self.by_number.entry(number).or_insert_with(|| self.numbers.insert(number))
    }

    fn keep(&mut self, held: impl Fn(usize) -> bool) {
        let by_number = &mut self.by_number;
        self.numbers.retain(|index, number| held(index) || by_number.remove(number).is_none());
    }
}

/// The index of a name, which it gets if it has none.
fn place(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    })
}

impl NameIndex {
    /// The settings' names, and what the module is given at start.
    pub fn from_settings(settings: &Value) -> (Self, SettingsMap) {
        let mut names = NameIndex::default();
        let given = names.update(settings);
        (names, given)
    }

    /// New settings' names: what had an index keeps it.
    pub fn update(&mut self, settings: &Value) -> SettingsMap {
        for zone in names_of(settings, "Zones") {
            self.zone(&zone);
        }
        let mut whole = settings.clone();
        for (roll, list) in [(&mut self.classes, "Categories"), (&mut self.tenants, "Customers")] {
            if settings.get(list).is_some() {
                whole[list] = roll.update(settings, list);
            }
        }
        let mut given = translate(&whole);
        // Danger: a name that no server has yet. It gets its index now, so that nothing else ever fits it.
        for (index, category) in
            whole.get("Categories").and_then(Value::as_array).into_iter().flatten().enumerate()
        {
            // A faulty list has been named by `check`; unread it must not open what it was to bind.
            if let Some(names) = allowed(category, "ZonesAllowed").unwrap_or(Some(Vec::new())) {
                let zones: Vec<usize> = names.into_iter().map(|name| self.zone(name)).collect();
                given.insert(format!("category.{index}.only-zones"), zones.into());
            }
            if let Some(names) = allowed(category, "AllowedOn").unwrap_or(Some(Vec::new())) {
                let kinds: Vec<usize> = names.into_iter().map(|name| self.kind(name)).collect();
                given.insert(format!("category.{index}.only-kinds"), kinds.into());
            }
        }
        if let Some(zone) = settings.get("MyZone").and_then(Value::as_str) {
            given.insert("my-zone".into(), self.zone(zone).into());
        }
        given
    }

    fn zone(&mut self, name: &str) -> usize {
        place(&mut self.zones, name)
    }

    fn kind(&mut self, name: &str) -> usize {
        place(&mut self.kinds, name)
    }

    /// Forgets all servers but those that something still knows by their index, and pods that held no other.
    /// Danger: servers that are replaced by new ones under new names would fill the memory.
    pub fn retain_endpoints(&mut self, held: impl Fn(usize) -> bool) {
        self.servers.keep(held);
        let (servers, pod_of) = (&self.servers.numbers, &self.pod_of);
        self.pods.keep(|pod| servers.iter().any(|(server, _)| pod_of[server] == pod));
    }

    /// The number by which all nodes know a server.
    pub fn stable_hash(&self, server: usize) -> u64 {
        self.servers.numbers[server]
    }

    /// The index of a server by that number, which it gets if it has none.
    pub fn endpoint(&mut self, mark: u64) -> usize {
        let (server, pod) = (self.servers.of(mark), self.pods.of(u64::MAX - mark));
        if self.pod_of.len() <= server {
            self.pod_of.resize(server + 1, pod);
        }
        server
    }

    /// The index of a server by that number, while it is known.
    pub fn find_endpoint(&self, mark: u64) -> Option<usize> {
        self.servers.by_number.get(&mark).copied()
    }

    /// One line of the list. Without a pod a server shares one with no other.
    pub fn endpoint_update(
        &mut self,
        mark: u64,
        standing: EndpointState,
        (zone, kind): (&str, &str),
        pod: Option<u64>,
        started: f64,
    ) -> EndpointUpdate {
        let (server, pod) = (self.servers.of(mark), self.pods.of(pod.unwrap_or(u64::MAX - mark)));
        if self.pod_of.len() <= server {
            self.pod_of.resize(server + 1, pod);
        }
        self.pod_of[server] = pod;
        EndpointUpdate {
            stable_hash: mark,
            state: standing,
            zone: self.zone(zone),
            machine_class: self.kind(kind),
            pod,
            started_at_ms: started,
            endpoint: server,
        }
    }
}

/// Sets one figure of a server's word on its load by any of its names; others are passed over, and so is what
/// can't be one. Danger: no number, or one without end, would make a server look empty or full for seconds.
pub fn set_load_value(load: &mut LoadReport, name: &str, value: f64) {
    if !(0.0..1e6).contains(&value) {
        return;
    }
    match name {
        "q" | "queue" => load.queued = Some(value),
        "rif" | "inflight" => load.in_flight = Some(value),
        "busy" | "util" => load.cpu_utilization = Some(value),
        _ => {}
    }
}
