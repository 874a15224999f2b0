//! The one file of helpers: a slow, plain model of the rules that stands where the outlet does, and short
//! ways to make lists, ops and results.

use crankmux::balancer::Balancer;
use crankmux::settings::{ClassSettings, PlacementSet, Settings, SlowStartSettings};
use crankmux::types::{
    Actions, AttemptOutcome, AttemptResult, DeduplicationScope, EndpointState, EndpointUpdate,
    Idempotency, LoadReport, NewRequest,
};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

pub const EFFECTS: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::IdempotentWithKey,
    Idempotency::NotIdempotent,
];
pub const WINDOW: f64 = 700.0;
pub const TTL: f64 = 1000.0;
pub const MOST_PUSHES: usize = 4;

/// Three request classes, one of each idempotency; the endpoints of a pod drop the repeats of the second.
pub fn default_settings() -> Settings {
    let class = |idempotency| ClassSettings {
        idempotency,
        deduplication_scope: DeduplicationScope::Pod,
        deduplication_window_ms: WINDOW,
        latency_objective_ms: 400.0,
        priority_weight: 1.0,
        late_weight: 1.0,
        zones: None,
        machine_classes: None,
    };
    Settings {
        proxy_count: 1.0,
        proxy_number: None,
        my_zone: 0,
        classes: EFFECTS.map(class).to_vec(),
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        max_attempts: MOST_PUSHES as f64,
        hedging: true,
        cancellation: true,
        max_retry_after_ms: 500.0,
        load_by_probes: false,
        few_buffered_responses: false,
        key_affinity: false,
        cross_zone_price: 0.0,
        watch_endpoints: true,
        poll_within_ms: 10_000.0,
        drain_grace_ms: 100.0,
        deadline_margin_ms: 0.0,
        start_time_error_ms: 0.0,
        slow_start: SlowStartSettings {
            duration_ms: 10_000.0,
            initial_share: 0.2,
            overload_multiple: 2.0,
            window_ms: 1000.0,
        },
    }
}

/// Settings in the wire's form, with one request class.
pub fn wire_settings(class: &Value) -> Value {
    let mut class = class.clone();
    for (key, value) in [
        ("Name", json!("remind")),
        ("TargetLatencyMs", json!(400)),
        ("TtlMs", json!(1000)),
    ] {
        class[key] = value;
    }
    class["Effect"] = json!("non_idempotent");
    json!({"GroupSize": 1, "Categories": [class], "Limits": {"MostPushes": 3}, "Zones": ["east", "west"],
        "Obligations": {"ColdShare": 0.2, "ColdMs": 9000, "FallMultiple": 2, "FallMs": 1000,
            "StopSendingWithinMs": 100}})
}

pub struct Push {
    pub server: usize,
    pub at: f64,
    pub may_have_run: bool,
    pub out: bool,
}

#[derive(Default)]
pub struct Taken {
    /// As its category's terms stood when it came.
    pub effect: Idempotency,
    pub most: usize,
    pub category: usize,
    pub places: Places,
    pub ends: f64,
    pub answers: Vec<&'static str>,
    pub pushes: Vec<Push>,
}

/// The zones and the kinds that a category is bound to.
pub type Places = [Option<PlacementSet>; 2];

fn places(settings: &Settings) -> Vec<Places> {
    let classes = settings.classes.iter();
    classes
        .map(|class| [class.zones.clone(), class.machine_classes.clone()])
        .collect()
}

/// What was done, checked against the rules as it happens.
#[derive(Default)]
pub struct Model {
    pub now: f64,
    pub list: BTreeMap<usize, EndpointUpdate>,
    pub ops: Vec<Taken>,
    pub alarms: Vec<(f64, u64)>,
    pub follows: usize,
    pub asks: usize,
    pub probes: Vec<usize>,
    pub suspended: BTreeSet<usize>,
    /// By how many places the categories' effects are moved on, and how many pushes an op may have.
    pub moved: usize,
    pub most: usize,
    /// Of these duties, whether two pushes of one op may be out.
    pub one_at_a_time: bool,
    /// Where each category may run, by the duties in force.
    pub places: Vec<Places>,
}

impl Model {
    fn answer(&mut self, op: usize, answer: &'static str) {
        let op = &mut self.ops[op];
        assert!(op.answers.is_empty(), "a second final answer");
        assert!(self.now <= op.ends + 20.0, "an answer after the TTL");
        op.answers.push(answer);
    }
}

impl Actions for Model {
    fn start_attempt(&mut self, op: usize, server: usize, patience: f64) {
        let (now, to) = (self.now, self.list[&server]);
        let pod = |id: usize| self.list[&id].pod;
        let op = &self.ops[op];
        for [zones, kinds] in [&op.places, &self.places[op.category]] {
            assert!(
                zones.as_ref().is_none_or(|only| only.contains(&to.zone)),
                "a push to a closed zone"
            );
            assert!(
                kinds
                    .as_ref()
                    .is_none_or(|only| only.contains(&to.machine_class)),
                "a push to a closed kind"
            );
        }
        assert!(
            op.answers.is_empty() && now < op.ends && patience > 0.0,
            "a push after the end"
        );
        assert!(
            to.state == EndpointState::Ready,
            "a push to a server that drains or is gone"
        );
        assert!(
            !self.suspended.contains(&server),
            "a push to a suspended server"
        );
        assert!(op.pushes.len() < op.most, "a push too many");
        assert!(
            !self.one_at_a_time || op.pushes.iter().all(|p| !p.out),
            "two pushes out"
        );
        for earlier in op.pushes.iter().filter(|p| p.may_have_run) {
            match op.effect {
                Idempotency::Idempotent => {}
                Idempotency::IdempotentWithKey => {
                    assert!(pod(earlier.server) == to.pod, "a repeat outside its pod");
                    assert!(now - earlier.at <= WINDOW, "a repeat outside its window");
                }
                Idempotency::NotIdempotent => panic!("an at-most-once op may run twice"),
            }
        }
        let id = self.ops.iter().position(|o| std::ptr::eq(o, op)).unwrap();
        self.ops[id].pushes.push(Push {
            server,
            at: now,
            may_have_run: true,
            out: true,
        });
    }

    fn probe(&mut self, server: usize) {
        assert!(
            self.list.contains_key(&server),
            "a probe of a server never listed"
        );
        assert!(
            !self.suspended.contains(&server),
            "a probe of a suspended server"
        );
        self.probes.push(server);
    }

    fn cancel(&mut self, op: usize, push: usize) {
        assert!(
            push < self.ops[op].pushes.len(),
            "a cancel of a push never made"
        );
    }

    fn reject(&mut self, op: usize, come_back: f64) {
        let ran = self.ops[op].pushes.iter().any(|p| p.may_have_run);
        let harmless = self.ops[op].effect == Idempotency::Idempotent || !ran;
        assert!(harmless, "a nack of what may have run");
        assert!((0.0..=500.0).contains(&come_back));
        self.answer(op, "nacked");
    }

    fn fail(&mut self, op: usize) {
        self.answer(op, "dead-lettered");
    }

    fn set_timer(&mut self, at: f64, alarm: u64) {
        self.alarms.push((at, alarm));
    }

    fn watch_endpoints(&mut self) {
        self.follows += 1;
    }

    fn poll_endpoints(&mut self) {
        self.asks += 1;
    }
}

/// Settings where servers tell their load only when asked, no second copy is allowed, and a key's work is kept.
pub fn probing_settings() -> Settings {
    Settings {
        load_by_probes: true,
        key_affinity: true,
        hedging: false,
        ..default_settings()
    }
}

/// Settings where one category is bound to a zone, one to kinds of machine, and one to neither.
pub fn placed_settings(zone: usize, kinds: &[usize]) -> Settings {
    let mut settings = default_settings();
    settings.classes[2].zones = Some([zone].into());
    settings.classes[1].machine_classes = Some(kinds.into());
    settings
}

/// One node of many.
pub fn node(number: usize, of: usize) -> Settings {
    Settings {
        proxy_count: of as f64,
        proxy_number: Some(number as f64),
        ..default_settings()
    }
}

/// A balancer and its model, moved on together.
pub struct Play {
    pub balancer: Balancer,
    pub model: Model,
}

impl Play {
    pub fn new(servers: usize) -> Self {
        Self::with(default_settings(), servers)
    }

    pub fn with(settings: Settings, servers: usize) -> Self {
        let seed = settings.proxy_number.map_or(7, |number| number as u64);
        let one_at_a_time = !settings.hedging;
        let places = places(&settings);
        let balancer = Balancer::new(settings, seed);
        let model = Model {
            now: 50_000.0,
            one_at_a_time,
            most: MOST_PUSHES,
            places,
            ..Model::default()
        };
        let mut play = Play { balancer, model };
        let lines: Vec<_> = (0..servers)
            .map(|s| line(s, EndpointState::Ready, 0.0))
            .collect();
        play.list(&lines, true, true);
        play
    }

    pub fn list(&mut self, lines: &[EndpointUpdate], whole: bool, cached: bool) {
        if whole {
            self.model
                .list
                .values_mut()
                .for_each(|l| l.state = EndpointState::Removed);
        }
        for line in lines {
            self.model.list.insert(line.endpoint, *line);
        }
        let now = self.model.now;
        self.balancer
            .update_endpoints(&mut self.model, now, lines, whole, cached);
    }

    pub fn suspend(&mut self, server: usize) {
        self.model.suspended.insert(server);
        self.balancer.disable_endpoint(self.model.now, server);
    }

    pub fn resume(&mut self, server: usize) {
        self.model.suspended.remove(&server);
        self.balancer.enable_endpoint(self.model.now, server);
    }

    /// New settings: effects moved on by so many places, and so many pushes an op.
    pub fn renew(&mut self, mut settings: Settings, moved: usize, most: usize) {
        for (k, class) in settings.classes.iter_mut().enumerate() {
            class.idempotency = EFFECTS[(k + moved) % 3];
        }
        settings.max_attempts = most as f64;
        self.model.places = places(&settings);
        (self.model.moved, self.model.most) = (moved, most);
        self.balancer.update_settings(settings);
    }

    pub fn pass(&mut self, time: f64) {
        let till = self.model.now + time;
        loop {
            let due = self
                .model
                .alarms
                .iter()
                .enumerate()
                .min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
            let Some((place, (at, alarm))) = due.map(|(p, a)| (p, *a)).filter(|(_, a)| a.0 <= till)
            else {
                break;
            };
            self.model.alarms.remove(place);
            self.model.now = self.model.now.max(at);
            let now = self.model.now;
            self.balancer.timer_expired(&mut self.model, now, alarm);
        }
        self.model.now = till;
    }

    pub fn op(&mut self, category: usize) -> usize {
        self.op_of(category, None, false)
    }

    pub fn op_of(&mut self, category: usize, customer: Option<usize>, retry: bool) -> usize {
        self.op_about(category, customer, retry, None)
    }

    pub fn op_about(
        &mut self,
        category: usize,
        customer: Option<usize>,
        retry: bool,
        key: Option<u64>,
    ) -> usize {
        let (op, now) = (self.model.ops.len(), self.model.now);
        let effect = EFFECTS[(category + self.model.moved) % 3];
        let places = self.model.places[category].clone();
        let (most, ends) = (self.model.most, now + TTL);
        self.model.ops.push(Taken {
            effect,
            most,
            category,
            places,
            ends,
            ..Taken::default()
        });
        let arrival = NewRequest {
            request: op,
            class: category,
            tenant: customer,
            ttl_ms: TTL,
            client_retry: retry,
            key,
        };
        self.balancer
            .request_arrived(&mut self.model, now, &arrival);
        op
    }

    pub fn end(&mut self, op: usize, push: usize, ending: AttemptOutcome) {
        self.end_with(op, push, ending, LoadReport::default());
    }

    pub fn end_with(&mut self, op: usize, push: usize, ending: AttemptOutcome, load: LoadReport) {
        let now = self.model.now;
        let sent = &mut self.model.ops[op].pushes[push];
        (sent.out, sent.may_have_run) = (false, !ending.never_executed());
        let took = now - sent.at;
        if ending == AttemptOutcome::Succeeded && self.model.ops[op].answers.is_empty() {
            self.model.ops[op].answers.push("acked");
        }
        let closed = !self.model.ops[op].answers.is_empty();
        let end = AttemptResult {
            request: op,
            attempt: push,
            outcome: ending,
            duration_ms: took,
            request_closed: closed,
            load,
        };
        self.balancer.attempt_ended(&mut self.model, now, &end);
    }

    /// Answers all probes that are out: what each server holds, or nothing.
    pub fn tell(&mut self, held: impl Fn(usize) -> Option<f64>) -> Vec<usize> {
        let probes = std::mem::take(&mut self.model.probes);
        for server in &probes {
            let load = held(*server).map(|held| LoadReport {
                in_flight: Some(held),
                ..LoadReport::default()
            });
            let now = self.model.now;
            self.balancer
                .probe_ended(&mut self.model, now, *server, load);
        }
        probes
    }

    /// Ends of what is out, as `fate` says by server; those it leaves stay out.
    pub fn settle(&mut self, fate: impl Fn(usize) -> Option<AttemptOutcome>) {
        for (op, push) in self.out() {
            if let Some(ending) = fate(self.model.ops[op].pushes[push].server) {
                self.end(op, push, ending);
            }
        }
    }

    pub fn out(&self) -> Vec<(usize, usize)> {
        let ops = self.model.ops.iter().enumerate();
        ops.flat_map(|(op, o)| {
            (0..o.pushes.len())
                .filter(|p| o.pushes[*p].out)
                .map(move |p| (op, p))
        })
        .collect()
    }

    /// Ops one after the other, each settled after `time`; returns how many pushes each server got.
    pub fn run(
        &mut self,
        ops: usize,
        time: f64,
        fate: impl Fn(usize) -> Option<AttemptOutcome>,
    ) -> BTreeMap<usize, usize> {
        let from = self.model.ops.len();
        for _ in 0..ops {
            self.op(0);
            self.pass(time);
            self.settle(&fate);
        }
        let mut counts = BTreeMap::new();
        for push in self.model.ops[from..].iter().flat_map(|o| &o.pushes) {
            *counts.entry(push.server).or_default() += 1;
        }
        counts
    }
}

/// Servers stand in pods of three and in two zones.
pub fn line(server: usize, standing: EndpointState, started: f64) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: server,
        stable_hash: server as u64,
        state: standing,
        zone: server % 2,
        machine_class: server % 3,
        pod: server / 3,
        started_at_ms: started,
    }
}
