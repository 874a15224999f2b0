//! Every decision of crankmux. A node makes one [`Balancer`] from what it is given and tells it, with the
//! present time, what happens, by its public methods. Answers leave by the [`Actions`] given with each call;
//! `words.rs` holds its types. The ordinary path is the split of docs/design.md; whatever narrows it says
//! here which danger it meets.

use crate::settings::{ClassSettings, PlacementSet, Settings, SlowStartSettings};
use crate::types::{
    Actions, AttemptOutcome, EndpointStatistics, EndpointUpdate, Idempotency, LearnedState, LoadReport,
    NewRequest, SeededRandom,
};
use crate::types::{AttemptResult, DeduplicationScope, EndpointState};
use std::collections::{BTreeMap, BTreeSet};

type Step = Box<dyn FnOnce(&mut Balancer, &mut dyn Actions, &AttemptResult) + Send>;
type Alarm = Box<dyn FnOnce(&mut Balancer, &mut dyn Actions) + Send>;

#[derive(Clone, Default)]
struct Category {
    /// The only zones and the only kinds of machine that may get it; all, where none are named.
    zones: Option<PlacementSet>,
    kinds: Option<PlacementSet>,
    effect: Idempotency,
    within: DeduplicationScope,
    window: f64,
    target: f64,
    benefit: f64,
    /// What is left of it after the target latency.
    late: f64,
    /// Smoothed time of an acked push on a server of ordinary pace.
    time: f64,
    acked: f64,
}

impl Category {
    /// The one place that says where a category may run. Danger: a push elsewhere breaks the rule.
    fn open_to(&self, s: &Server) -> bool {
        let named = |only: &Option<PlacementSet>, one| only.as_ref().is_none_or(|only| only.contains(&one));
        named(&self.zones, s.zone) && named(&self.kinds, s.kind)
    }
}

struct Customer {
    /// Ops a millisecond that this node takes at full benefit.
    quota: f64,
    purse: f64,
    counted: f64,
}

impl From<ClassSettings> for Category {
    fn from(class: ClassSettings) -> Self {
        Category {
            zones: class.zones,
            kinds: class.machine_classes,
            effect: class.idempotency,
            within: class.deduplication_scope,
            window: class.deduplication_window_ms,
            target: class.latency_objective_ms,
            benefit: class.priority_weight,
            late: class.late_weight,
            // Before the first answer: a target latency is usually set at a few times the ordinary time.
            time: class.latency_objective_ms / 4.0,
            acked: 0.0,
        }
    }
}

#[derive(Clone, Copy)]
struct Sent {
    at: f64,
    usual: f64,
    target: f64,
    /// After this an answer is overdue: nineteen of twenty come sooner.
    patience: f64,
}

#[derive(Default)]
struct Server {
    standing: EndpointState,
    /// Taken out by hand.
    suspended: bool,
    mark: u64,
    zone: usize,
    kind: usize,
    pod: usize,
    /// Its last start as listed, and the latest at which that may truly have been.
    started: f64,
    latest: f64,
    warm_at: f64,
    load: LoadReport,
    load_at: f64,
    since_load: f64,
    heard: f64,
    out: BTreeMap<(usize, usize), Sent>,
    past: EndpointStatistics,
    borne_at: f64,
    cut_at: f64,
    purse: f64,
    purse_at: f64,
    due: Option<f64>,
    share: f64,
    expected: f64,
}

/// Span over which it is smoothed what a server bears: a few seconds, so that a lull does not empty it.
const BORNE_OVER: f64 = 4000.0;

impl Server {
    fn new(mark: u64, started: f64, now: f64, (cold_time, margin): (f64, f64)) -> Self {
        // Danger: clocks differ, and a cold server is listed as warm. It started before it was told of.
        let latest = if margin > 0.0 { (started + margin).min(now) } else { started };
        Server {
            mark,
            started,
            latest,
            // A start time of none, or long past, is a warm server's.
            warm_at: if started > 0.0 { latest + cold_time } else { f64::NEG_INFINITY },
            load_at: now,
            heard: now,
            // A handful from all nodes together: a new server is neither starved nor flooded.
            past: EndpointStatistics {
                best_relative_latency: 1.0,
                concurrency_limit: 5.0,
                ..EndpointStatistics::default()
            },
            borne_at: now,
            cut_at: now,
            purse_at: now,
            ..Server::default()
        }
    }

    /// A new process under the old name: what it holds still and what it once bore outlast the old one.
    fn restarted(&mut self, started: f64, now: f64, cold: (f64, f64)) {
        let Server {
            standing,
            suspended,
            zone,
            kind,
            pod,
            past: EndpointStatistics { peak_throughput: peak, .. },
            ..
        } = *self;
        let (out, new) = (std::mem::take(&mut self.out), Server::new(self.mark, started, now, cold));
        *self = Server { standing, suspended, zone, kind, pod, out, ..new };
        self.past.peak_throughput = peak;
    }

    fn usable(&self) -> bool {
        self.standing == EndpointState::Ready && !self.suspended
    }

    /// What it holds for all nodes together, by its own word and what went there since.
    fn told(&self, now: f64) -> Option<f64> {
        let load = &self.load;
        // Danger: many at work leave none waiting. Use of the cores counts as one queue of that use would.
        let queue = |busy: f64| busy.min(1.0) / (1.15 - busy.min(1.0));
        let busy = load.cpu_utilization.filter(|_| load.in_flight.is_none()).map_or(0.0, queue);
        let told = load.in_flight.or(load.queued.or(load.cpu_utilization.map(|_| 0.0)).map(|w| w + busy));
        // A report much older than any usual refresh is none.
        told.filter(|_| now - self.load_at < 5000.0)
            .map(|told| told + self.since_load.min(self.out.len() as f64))
    }

    fn bears(&self, now: f64) -> f64 {
        self.past.throughput * (-(now - self.borne_at).max(0.0) / BORNE_OVER).exp()
    }
}

struct Pushed {
    server: usize,
    sent: Sent,
    may_have_run: bool,
    out: bool,
}

#[derive(Default)]
struct Op {
    category: usize,
    ends: f64,
    /// After this an answer is of no benefit, and holds what others need.
    due: f64,
    rank: f64,
    bound: bool,
    key: Option<u64>,
    /// The servers asked for their load before its first push, and whether it still waits for one.
    asked: Vec<usize>,
    waits: bool,
    /// Its category's terms, and how many pushes it may have, as they stood when it came.
    terms: Category,
    most: f64,
    pushes: Vec<Pushed>,
}

#[derive(Default)]
pub struct Balancer {
    rng: SeededRandom,
    now: f64,
    categories: Vec<Category>,
    customers: Vec<Customer>,
    settings: Settings,
    balancers: f64,
    /// Which part of a node this process is, and what it has of a told node's budget for cold servers.
    own: f64,
    cold_part: f64,
    /// Servers tell their load only when asked, and may be asked.
    asks: bool,
    /// It can hold but a few answers for clients that still read.
    holds_few: bool,
    servers: BTreeMap<usize, Server>,
    /// The servers that this node draws from, and how many nodes share each of them in the mean.
    part: Vec<usize>,
    sharers: f64,
    parted_at: f64,
    ops: BTreeMap<usize, Op>,
    steps: BTreeMap<(usize, usize), Step>,
    probes: BTreeSet<usize>,
    alarms: BTreeMap<u64, Alarm>,
    next_alarm: u64,
    time: f64,
    pushes: f64,
    pushed_at: f64,
    slack: f64,
    solved_at: f64,
    list_wait: f64,
    warm_rate: f64,
    mean_pace: f64,
    mean_queue: f64,
    lambda: f64,
}

impl Balancer {
    /// A balancer with these settings that draws from this seed.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let categories: Vec<_> = settings.classes.iter().cloned().map(Category::from).collect();
        let customers = settings.tenants.iter().map(|tenant| {
            let quota = tenant.quota_per_s / 1000.0;
            Customer { quota, purse: 3.0, counted: 0.0 }
        });
        let time = categories.iter().map(|c| c.time).sum::<f64>() / categories.len().max(1) as f64;
        Balancer {
            rng: SeededRandom(oorandom::Rand64::new(u128::from(seed))),
            balancers: settings.proxy_count,
            own: 1.0,
            cold_part: 1.0,
            asks: settings.load_by_probes,
            holds_few: settings.few_buffered_responses,
            customers: customers.collect(),
            categories,
            settings,
            time,
            slack: 2.0,
            ..Balancer::default()
        }
    }

    /// The server list has spoken: a whole list, or only what changed. A cached list may be stale.
    pub fn update_endpoints(
        &mut self,
        out: &mut dyn Actions,
        now: f64,
        lines: &[EndpointUpdate],
        whole: bool,
        cached: bool,
    ) {
        self.now = now;
        // Danger: a server missing from the whole list was removed unseen; it gets nothing more.
        let missing = |id: &usize| whole && !lines.iter().any(|line| line.endpoint == *id);
        self.servers
            .iter_mut()
            .filter(|(id, _)| missing(id))
            .for_each(|(_, s)| s.standing = EndpointState::Removed);
        let cold = self.cold();
        for line in lines {
            let fresh = Server::new(line.stable_hash, line.started_at_ms, now, cold);
            let s = self.servers.entry(line.endpoint).or_insert(fresh);
            // Danger: where clocks differ a new start may be listed before the last one. Any other is new.
            if line.started_at_ms > s.started
                || (cold.1 > 0.0 && line.started_at_ms > 0.0 && line.started_at_ms < s.started)
            {
                // Danger: a restarted process is cold, whatever its old record or a report on its way says.
                self.probes.remove(&line.endpoint);
                s.restarted(line.started_at_ms, now, cold);
            }
            (s.mark, s.standing, s.zone, s.pod) = (line.stable_hash, line.state, line.zone, line.pod);
            s.kind = line.machine_class;
        }
        self.forget();
        (self.solved_at, self.parted_at) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        match cached {
            true => self.follow(out),
            false => self.list_wait = 0.0,
        }
    }

    /// How long a server is cold, and how far its listed start may be off.
    fn cold(&self) -> (f64, f64) {
        (self.settings.slow_start.duration_ms, self.settings.start_time_error_ms)
    }

    /// Danger: servers ever new fill the memory; an index used again too early is another server's.
    fn forget(&mut self) {
        let tried = |id: usize| self.ops.values().any(|op| op.pushes.iter().any(|p| p.server == id));
        let gone = |s: &Server| {
            s.standing == EndpointState::Removed && !s.suspended && self.now - s.heard > 60_000.0
        };
        self.servers.retain(|id, s| !gone(s) || !s.out.is_empty() || tried(*id));
        self.part.retain(|id| self.servers.contains_key(id));
    }

    pub fn knows_endpoint(&self, server: usize) -> bool {
        self.servers.contains_key(&server)
    }

    /// Taken out by hand. Danger: it is restarted meanwhile, and the list may name it anew: the mark stays.
    pub fn disable_endpoint(&mut self, now: f64, server: usize) {
        (self.now, self.solved_at, self.parted_at) = (now, f64::NEG_INFINITY, f64::NEG_INFINITY);
        self.servers.entry(server).or_insert_with(|| Server::new(0, 0.0, now, (0.0, 0.0))).suspended = true;
    }

    /// Back by hand. Danger: the list may tell late, or not at all, that it has started anew: it comes cold.
    pub fn enable_endpoint(&mut self, now: f64, server: usize) {
        (self.now, self.solved_at, self.parted_at) = (now, f64::NEG_INFINITY, f64::NEG_INFINITY);
        let cold = self.cold();
        if let Some(s) = self.servers.get_mut(&server).filter(|s| s.suspended) {
            s.restarted(now, now, cold);
            s.suspended = false;
        }
    }

    /// Danger: an upgrade's two processes would spend a node's budgets twice; a fleet may not be as told.
    pub fn set_process_share(&mut self, share: f64, nodes: Option<f64>, cold: f64) {
        let nodes = nodes.unwrap_or(self.settings.proxy_count).max(1.0);
        (self.own, self.cold_part, self.balancers, self.solved_at) = (share, share * cold, nodes, f64::MIN);
        self.parted_at = f64::NEG_INFINITY;
    }

    /// Servers in the list; those of them that are suspended, or fail in over 19 of 20 pushes.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        let listed = || self.servers.values().filter(|s| s.standing != EndpointState::Removed);
        (listed().count(), listed().filter(|s| s.suspended || s.past.error_rate > 0.95).count())
    }

    /// What it has learnt, for a process that comes after this one.
    pub fn learned_state(&self) -> LearnedState {
        let servers = self.servers.iter().map(|(id, s)| (*id, s.past)).collect();
        let categories = self.categories.iter().map(|c| (c.time, c.acked)).collect();
        LearnedState {
            mean_latency_ms: self.time,
            tail_multiple: self.slack,
            warm_throughput: self.warm_rate,
            classes: categories,
            endpoints: servers,
        }
    }

    /// Danger: a process that knows of no server what it bears gives cold ones nothing, and all too little.
    pub fn restore_learned_state(&mut self, from: &LearnedState) {
        (self.time, self.slack, self.warm_rate) =
            (from.mean_latency_ms, from.tail_multiple, from.warm_throughput);
        let both = self.categories.iter_mut().zip(&from.classes);
        both.for_each(|(category, told)| (category.time, category.acked) = *told);
        for (id, learnt) in &from.endpoints {
            self.servers.entry(*id).and_modify(|s| s.past = *learnt);
        }
    }

    /// New duties. Ops under way keep the terms that they came under, and what was learnt stays.
    pub fn update_settings(&mut self, settings: Settings) {
        let mut new = Balancer::new(settings, 0);
        new.restore_learned_state(&self.learned_state());
        let both = new.customers.iter_mut().zip(&self.customers);
        both.for_each(|(new, old)| (new.purse, new.counted) = (old.purse, old.counted));
        (self.categories, self.customers, self.settings) = (new.categories, new.customers, new.settings);
        (self.balancers, self.asks, self.holds_few) = (new.balancers, new.asks, new.holds_few);
        (self.solved_at, self.parted_at) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    }

    fn follow(&mut self, out: &mut dyn Actions) {
        // Danger: a cached list may be stale. Where changes come unasked, the whole list is asked for once.
        match self.settings.watch_endpoints {
            true => out.watch_endpoints(),
            false => out.poll_endpoints(),
        }
    }

    /// A call to the list failed or following broke off: ask again, after growing waits.
    pub fn discovery_failed(&mut self, out: &mut dyn Actions, now: f64) {
        // Danger: what is pushed counts at once, what was missed 6 s after the list can be had. Short waits.
        let settings = &self.settings;
        let within = if settings.watch_endpoints { settings.poll_within_ms } else { settings.drain_grace_ms };
        let longest = within.clamp(50.0, 1200.0) / 4.0;
        self.list_wait = (self.list_wait * 2.0).clamp(50.0_f64.min(longest), longest);
        let at = now + self.list_wait * (0.5 + self.rng.0.rand_float());
        self.alarm(out, at, Box::new(|b, out| b.follow(out)));
    }

    fn alarm(&mut self, out: &mut dyn Actions, at: f64, alarm: Alarm) {
        self.next_alarm += 1;
        self.alarms.insert(self.next_alarm, alarm);
        out.set_timer(at, self.next_alarm);
    }

    pub fn timer_expired(&mut self, out: &mut dyn Actions, now: f64, alarm: u64) {
        self.now = now;
        if let Some(alarm) = self.alarms.remove(&alarm) {
            alarm(self, out);
        }
    }

    fn take_load(&mut self, id: usize, load: LoadReport) {
        // A report is repeated until it is renewed: only a change of any figure tells a new one.
        let new = |s: &&mut Server| load != LoadReport::default() && s.load != load;
        if let Some(server) = self.servers.get_mut(&id).filter(new) {
            (server.load, server.load_at, server.since_load) = (load, self.now, 0.0);
        }
    }

    fn learn(&mut self, id: usize, category: usize, sent: &Sent, end: &AttemptResult) {
        // A single server's share of a node may be under one push; whether limits are used shows over all.
        let (now, sharers, strained, asks) = (self.now, self.sharers, self.strain() > 0.6, self.asks);
        let ratio = end.duration_ms / sent.usual.max(1.0);
        let good = end.outcome == AttemptOutcome::Succeeded;
        // Danger: a silent server's pushes are all called off once a second copy is back.
        let silent = self.servers.get(&id).is_some_and(|s| s.heard <= sent.at);
        let overdue = end.outcome == AttemptOutcome::Cancelled && end.duration_ms > sent.patience && silent;
        let end =
            &AttemptResult { outcome: if overdue { AttemptOutcome::TimedOut } else { end.outcome }, ..*end };
        // Danger: were ops ended at their target latency to tell nothing, limits would only ever grow.
        let ended =
            self.holds_few && end.outcome == AttemptOutcome::Cancelled && end.duration_ms >= sent.target;
        if matches!(end.outcome, AttemptOutcome::Cancelled | AttemptOutcome::NotSent) && !ended {
            return;
        }
        // Smoothing: a tenth a push follows a slowed server within ten pushes and evens out single heavy ops.
        // Danger: one that gets little would seem slow for long: after a silence the new counts for more.
        let Some(server) = self.servers.get_mut(&id) else { return };
        let (bears, l) = (server.bears(now), &mut server.past);
        let old = l.relative_latency.unwrap_or(1.0);
        let smooth = ((now - server.heard) / 2000.0).clamp(0.1, 0.5);
        if good {
            let step = 0.05 * self.slack;
            // Follows the multiple of the usual time that nineteen of twenty pushes stay under.
            self.slack += if ratio > old * self.slack { step * 0.95 } else { -step * 0.05 };
            self.slack = self.slack.clamp(1.5, 8.0);
            let c = &mut self.categories[category];
            // Danger: were it to follow a crowd, a crowded fleet would look ordinary. It stiffens, not pace.
            c.acked += 1.0;
            let step = (1.0 / (c.acked + 10.0)).max(0.002);
            c.time += step * (end.duration_ms / old.max(0.2) - c.time);
            self.time += step * (end.duration_ms / old.max(0.2) - self.time);
        }
        // Danger: ops are lost on the way. A time-out beside other answers, or of an idle one, is no crowd.
        let idle = server.load.queued.is_some_and(|w| w <= 0.0);
        let free =
            server.load.queued.is_none() && server.load.cpu_utilization.is_some_and(|busy| busy < 0.75);
        let known = server.heard > sent.at || (!asks && idle && now - server.load_at < 5000.0);
        let lost = end.outcome == AttemptOutcome::TimedOut && known;
        let bad = f64::from(u8::from(!good && !ended && end.outcome != AttemptOutcome::Rejected));
        // Two failures in a row of a server seldom heard are no proof: only good news counts for more.
        l.error_rate += if good { smooth } else { 0.1 } * (bad - l.error_rate);
        if end.outcome != AttemptOutcome::TimedOut && end.outcome != AttemptOutcome::Unreachable {
            server.heard = now;
        }
        // Danger: a lock behind all servers, or who reads slowly, makes one look slow whose cores are free.
        let elsewhere = free
            && (!asks || self.holds_few)
            && now - server.load_at < 2000.0
            && end.duration_ms > sent.patience;
        if (good || ended || (end.outcome == AttemptOutcome::TimedOut && !lost)) && !elsewhere {
            // Danger: a short time-out taken for a quick answer. It says "at least so long", no less.
            let ratio = if good { ratio } else { ratio.max(old) };
            l.relative_latency = Some(old + smooth * (ratio.min(old * 10.0) - old));
        }
        if good {
            let borne = bears + sent.usual / self.time.max(1.0) / BORNE_OVER;
            // Danger: peaks of few pushes are chance, and add up over many nodes. They count less two errors.
            let sure = borne - (2.0 * borne / BORNE_OVER).sqrt();
            (l.throughput, server.borne_at, l.peak_throughput) = (borne, now, l.peak_throughput.max(sure));
        }
        // Danger: a crowded server turns slower, and smoothed figures show it too late. A quick answer,
        // at the server's best pace, lets the limit grow; thrice the usual time or a late one cuts it.
        let pace = l.relative_latency.unwrap_or(1.0);
        l.best_relative_latency = if pace < l.best_relative_latency {
            pace
        } else {
            l.best_relative_latency + 0.005 * (pace - l.best_relative_latency)
        };
        let stretch = end.duration_ms / (sent.usual * l.best_relative_latency).max(1.0);
        // Danger: idle servers turn one category away. Where nothing waits, it is not full.
        let full = end.outcome == AttemptOutcome::Rejected && !idle;
        let failed = full || matches!(end.outcome, AttemptOutcome::TimedOut | AttemptOutcome::Unreachable);
        let late = !lost && !elsewhere && (failed || ended || end.duration_ms > sent.target);
        let used = strained && (asks || server.out.len() as f64 >= 0.5 * l.concurrency_limit / sharers);
        // Failures and late answers come in heaps; those to pushes of one time are one event and cut once.
        if late && now - server.cut_at > sent.usual {
            (l.concurrency_limit, server.cut_at) =
                ((l.concurrency_limit * if asks || full { 0.9 } else { 0.7 }).max(1.0), now);
        } else if good && stretch > 3.0 && !asks && !elsewhere {
            (l.concurrency_limit, server.cut_at) = ((l.concurrency_limit * 0.9).max(1.0), now);
        } else if good && stretch < 1.0 && used {
            // One for a round of own answers: scaled up to all nodes it would outrun the cuts.
            l.concurrency_limit = (l.concurrency_limit + 1.0 / l.concurrency_limit).min(1000.0);
        }
        if asks {
            // Danger: quiet nodes hear each server once in seconds. What any answer says counts for all.
            let limit = (l.concurrency_limit, server.cut_at);
            self.servers.values_mut().for_each(|s| (s.past.concurrency_limit, s.cut_at) = limit);
        }
    }
}

/// What the split knows of one server. `cost` and times in milliseconds, `mu` in ops a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub queue: f64,
    pub mu: f64,
    pub horizon: f64,
    pub cost: f64,
    /// What of the cost is for the way.
    pub away: f64,
    pub most: f64,
}

impl Seen {
    /// Largest share whose marginal cost stays at or under `level`, never over its most.
    fn share(&self, lambda: f64, level: f64) -> f64 {
        let due = (lambda * self.horizon).max(f64::MIN_POSITIVE);
        let above = level - self.cost - 1.0 / self.mu;
        if above < 0.0 {
            return 0.0;
        }
        let gap = self.queue - self.mu * self.horizon;
        // Past what is free now the marginal cost rises by twice the share's own weight.
        let rising = (above * self.mu - gap) / (2.0 * due);
        rising.max(-gap / due).clamp(0.0, self.most)
    }
}

/// Shares that minimise the expected cost and time of an op when every balancer uses them: those whose
/// marginal costs are level, found by bisection on that level; what is flat or tied goes by room.
pub fn split(seen: &[Seen], lambda: f64) -> Vec<f64> {
    let most: f64 = seen.iter().map(|s| s.most).sum();
    if most <= 1.0 {
        return seen.iter().map(|s| s.most / most.max(f64::MIN_POSITIVE)).collect();
    }
    // All that is due within the horizon fits into what is free: flat everywhere, and room decides.
    let room = |s: &Seen| if s.horizon > 0.0 { (s.mu - s.queue / s.horizon).max(0.0) } else { 0.0 };
    let rooms: f64 = seen.iter().map(room).sum();
    let usable: f64 = seen.iter().filter(|s| room(s) > 0.0).map(|s| s.most).sum();
    // Danger: room alone would send ops across zones past idle servers. Where ways differ, costs decide.
    if rooms > lambda && usable > 1.0 && seen.iter().all(|s| s.away == seen[0].away) {
        let smallest = seen.iter().map(room).filter(|r| *r > 0.0).fold(f64::MAX, f64::min);
        return level(seen, 1.0 / smallest, |s, level| (level * room(s)).min(s.most));
    }
    let steepest = |s: &Seen| s.cost + (1.0 + s.queue + 2.0 * s.most * lambda * s.horizon) / s.mu;
    let high = seen.iter().map(steepest).fold(0.0, f64::max) + 1.0;
    level(seen, high, |s, level| s.share(lambda, level))
}

/// Bisects for the level at which the shares sum to one.
fn level(seen: &[Seen], mut high: f64, share: impl Fn(&Seen, f64) -> f64) -> Vec<f64> {
    let at = |level: f64| seen.iter().map(|s| share(s, level)).collect::<Vec<f64>>();
    let mut low = 0.0;
    // Sixty halvings bring any level in use below rounding.
    for _ in 0..60 {
        let middle = 0.5 * (low + high);
        *(if at(middle).iter().sum::<f64>() >= 1.0 { &mut high } else { &mut low }) = middle;
    }
    // Between the two levels lie the flat stretches that are tied.
    let (under, over) = (at(low), at(high));
    let (some, all) = (under.iter().sum::<f64>(), over.iter().sum::<f64>());
    let part = if all > some { (1.0 - some) / (all - some) } else { 0.0 };
    under.iter().zip(&over).map(|(u, o)| u + (o - u) * part).collect()
}

impl Balancer {
    /// Danger: hundreds of nodes over hundreds of servers know none and dial for every push. A node draws
    /// from a part of the fleet: runs from its own places in two orders of all servers that every node knows
    /// alike. Even places cover all servers evenly, and a changed list moves a run by little.
    fn choose_part(&mut self) {
        // Four leave a choice with one in trouble. Six nodes a server: about what it can hold of pushes, so
        // that one from each is what a limit would allow. Larger parts lost more at every size tried.
        const LEAST: f64 = 4.0;
        const NODES: f64 = 6.0;
        self.parted_at = self.now;
        let ready: Vec<_> = self.servers.iter().map(|(id, s)| (*id, s)).filter(|(_, s)| s.usable()).collect();
        // Danger: busy nodes crowd their parts, a key's home lies outside. Reports are what a part was for.
        let least = if self.asks { ready.len() as f64 } else { LEAST };
        let target = (NODES * ready.len() as f64 / self.balancers).max(least);
        let run = if target < ready.len() as f64 { 0.5 * target } else { target };
        let number = self.settings.proxy_number.unwrap_or(0.0);
        let mut part = Vec::new();
        // The golden ratio's multiples lie evenly too, and far from the plain ones.
        for (order, place) in [(1, number / self.balancers), (2, number * 0.618_033_988_75)] {
            let mut ranked = ready.clone();
            ranked.sort_by_key(|(_, s)| {
                oorandom::Rand64::new(u128::from(s.mark) << 64 | u128::from(s.mark ^ order)).rand_u64()
            });
            let from = (place.fract() * ranked.len() as f64) as usize;
            // Trouble widens the run, to twice its length: only what does not fail counts as found.
            let (mut found, mut taken) = (0.0, 0.0);
            for (id, s) in ranked[from..].iter().chain(&ranked[..from]) {
                if found >= run - 0.5 || taken >= 2.0 * run {
                    break;
                }
                taken += 1.0;
                found += 1.0 - s.past.error_rate;
                part.push(*id);
            }
        }
        // Danger: a key's work is done anew at each server of many small parts. Where a node hears of all
        // servers about as often as reports renew themselves, a second or two, all are its part.
        let acked: f64 = ready.iter().map(|(_, s)| s.bears(self.now)).sum();
        if self.settings.key_affinity && acked * 2000.0 > ready.len() as f64 {
            part = ready.iter().map(|(id, _)| *id).collect();
        }
        part.sort_unstable();
        part.dedup();
        self.sharers = (self.balancers * part.len() as f64 / ready.len().max(1) as f64).max(1.0) / self.own;
        self.part = part;
    }

    fn solve(&mut self) {
        // The design's least time between two solutions. Health moves the part, and a second is soon enough.
        if self.now - self.solved_at < 100.0 {
            return;
        }
        if self.now - self.parted_at >= 1000.0 {
            self.choose_part();
        }
        let now = self.now;
        let warm = self.part.iter().map(|id| &self.servers[id]).filter(|s| now >= s.warm_at);
        let (sum, count) = warm.fold((0.0, 0.0), |(sum, count), s| (sum + s.bears(now), count + 1.0));
        // What servers can bear does not fall when little is asked: the best mean fades over a minute.
        let (since, asks) = ((now - self.solved_at).clamp(0.0, 1000.0), self.asks);
        self.warm_rate = (self.warm_rate * (-since / 60_000.0).exp()).max(sum / f64::max(count, 1.0));
        // Danger: one that fell silent is hardly tried again, and left long after it is back. After a second
        // without a word or a failure of it, what speaks against it fades to what a new one starts with.
        let stays = (-since / BORNE_OVER).exp();
        for s in self.servers.values_mut().filter(|s| !asks && now - s.heard.max(s.cut_at) > 1000.0) {
            let EndpointStatistics {
                relative_latency: pace,
                error_rate: faults,
                concurrency_limit: limit,
                ..
            } = &mut s.past;
            (*faults, *limit) = (*faults * stays, limit.max(5.0 + (*limit - 5.0) * stays));
            *pace = pace.map(|pace| pace.min(1.0 + (pace - 1.0) * stays));
        }
        self.solved_at = now;
        let ids = self.part.clone();
        let part = ids.iter().map(|id| &self.servers[id]);
        let paces: Vec<f64> =
            part.clone().filter_map(|s| s.past.relative_latency).map(|pace| 1.0 / pace).collect();
        let queues: Vec<f64> = part.filter_map(|s| self.known(s)).collect();
        let mean = |of: &[f64]| of.iter().sum::<f64>() / f64::max(of.len() as f64, 1.0);
        self.mean_pace = if paces.is_empty() { 1.0 } else { 1.0 / mean(&paces) };
        self.mean_queue = mean(&queues);
        let mut seen = self.seen(&ids, 1.5);
        let all: f64 = seen.iter().map(|s| s.mu).sum();
        seen.iter_mut().for_each(|s| s.most *= s.mu / all);
        // Danger: nodes carry unlike traffic. What servers hold tells all of it (Little's law).
        if self.asks {
            let total = self.mean_queue.max(0.3) * ids.len() as f64 / (self.time * self.mean_pace).max(1.0);
            self.sharers = (total / self.pushes.max(1e-6)).max(1.0);
        }
        let held = self.mean_queue / (1.0 + self.mean_queue);
        self.lambda = if self.asks { held } else { self.pushes * self.sharers / all }.max(1.0 / 3.0);
        let shares = split(&seen, self.lambda * all);
        for ((id, share), s) in ids.iter().zip(&shares).zip(&seen) {
            let server = self.servers.get_mut(id).expect("listed above");
            server.share = *share;
            server.expected = (1.0 + s.queue) / s.mu;
        }
    }

    /// What a server holds: as told, else by own pushes; where these are few, nothing.
    fn known(&self, s: &Server) -> Option<f64> {
        s.told(self.now).or((!self.asks).then_some(s.out.len() as f64 * self.sharers))
    }

    /// What the split knows of these servers; each one's most is still to be weighed by its rate.
    fn seen(&self, ids: &[usize], most: f64) -> Vec<Seen> {
        // The design's floor under the horizon.
        const FLOOR: f64 = 50.0;
        let my_zone = self.settings.my_zone;
        let cross = self.settings.cross_zone_price;
        // A crossing costs a share of an op's benefit, as time does (all at the target latency) where each
        // op's servers are asked first; elsewhere an op's usual time stands for the whole.
        let targets = self.categories.iter().map(|c| c.target).sum::<f64>();
        let worth = targets / self.categories.len() as f64;
        let one = |id: &usize| {
            let s = &self.servers[id];
            let latency = (s.past.relative_latency.unwrap_or(self.mean_pace) * self.time).max(1.0);
            let away = if s.zone == my_zone { 0.0 } else { cross * worth };
            // A failed op costs about another op's time.
            let cost = away + latency * s.past.error_rate / (1.0 - s.past.error_rate).max(0.1);
            let horizon = if s.load != LoadReport::default() {
                (self.now - s.load_at).clamp(FLOOR, 5000.0)
            } else {
                FLOOR
            };
            // Danger: one that fails fast answers first. Its most shrinks, to a fiftieth, to see it recover.
            // Danger: a jammed server is slow until it was mostly idle. At thrice its best pace it rests.
            let jammed = self.asks
                && s.past.relative_latency.is_some_and(|pace| pace > 3.0 * s.past.best_relative_latency);
            let most = most * (1.0 - s.past.error_rate).max(0.02) * if jammed { 0.05 } else { 1.0 };
            let (queue, mu) = (self.known(s).unwrap_or(self.mean_queue), (1.0 + self.mean_queue) / latency);
            Seen { queue, mu, horizon, cost, away, most }
        };
        ids.iter().map(one).collect()
    }

    /// Shares of those among which an op has asked, by what they said.
    fn weigh(&mut self, id: usize, from: &mut Vec<(usize, f64)>) {
        let op = &self.ops[&id];
        let told = |id: &usize| op.asked.contains(id) && self.now - self.servers[id].load_at < 500.0;
        let asked: Vec<usize> = match self.asks {
            true => from.iter().map(|(id, _)| *id).filter(told).collect(),
            false => self.homes(op.key, from),
        };
        if asked.is_empty() {
            return;
        }
        let mut seen = self.seen(&asked, 1.0);
        let part: Vec<(usize, f64)> = self.part.iter().map(|id| (*id, 0.0)).collect();
        if let Some(home) = self.homes(op.key, &part).first() {
            // Half of an op's time goes with its work, most of which a server that knows the key is spared.
            for (s, _) in seen.iter_mut().zip(&asked).filter(|(_, id)| *id != home) {
                (s.cost, s.away) = (s.cost + 0.5 * self.time, s.away + 0.5 * self.time);
            }
        }
        // One key of many: the others' ops come to these servers whatever becomes of this one's.
        let of = if op.key.is_some() { self.part.len() as f64 } else { 1.0 };
        let shares = split(&seen, self.lambda * seen.iter().map(|s| s.mu).sum::<f64>() / of);
        *from = asked.into_iter().zip(shares).collect();
    }

    /// Danger: a cold server pushed over. A node spends its part of a window's budget of calls, none ahead.
    fn fill_purses(&mut self) {
        let SlowStartSettings {
            duration_ms: time,
            initial_share: from,
            overload_multiple: multiple,
            window_ms: window,
        } = self.settings.slow_start;
        for id in &self.part {
            let Some(server) = self.servers.get_mut(id).filter(|s| self.now < s.warm_at) else { continue };
            let able = from + (1.0 - from) * ((self.now - server.latest) / time.max(1.0)).clamp(0.0, 1.0);
            // What it bore before a restart it will bear again; a stranger may be weaker than the mean.
            let rate = self.cold_part
                * 0.7
                * multiple
                * able
                * server.past.peak_throughput.max(0.8 * self.warm_rate);
            // A full purse and a window's income stay just within one window's budget.
            let (gain, most) = (rate * (self.now - server.purse_at), 0.3 * window * rate);
            // Danger: hundreds of nodes that each save up a call. A rare one falls due evenly, and lapses.
            let due = server.due.unwrap_or_else(|| self.rng.0.rand_float()) + gain;
            (server.due, server.purse_at) = (Some(due.fract()), self.now);
            server.purse = match most >= 1.0 {
                true => (server.purse + gain).min(most),
                false if due >= 1.0 || due >= most => f64::from(u8::from(due >= 1.0 && due.fract() < most)),
                false => server.purse,
            };
        }
    }

    /// An op has come in; it will get exactly one final answer.
    pub fn request_arrived(&mut self, out: &mut dyn Actions, now: f64, arrival: &NewRequest) {
        self.now = now;
        let top = self.categories.iter().map(|c| c.benefit).fold(f64::MIN_POSITIVE, f64::max);
        let mut rank = self.categories[arrival.class].benefit / top;
        if let Some(customer) = arrival.tenant.and_then(|c| self.customers.get_mut(c)) {
            let gain = self.own * customer.quota / self.balancers * (now - customer.counted);
            // Two seconds' worth may be saved up, as ops come unevenly; three ops at least, for a small part.
            customer.purse = (customer.purse + gain).min((customer.quota * 2000.0 / self.balancers).max(3.0));
            customer.counted = now;
            // A client's retry belongs to its first try and is not counted again.
            let price = if arrival.client_retry { 0.0 } else { 1.0 };
            match customer.purse < price {
                true => rank *= self.settings.over_quota_weight,
                false => customer.purse -= price,
            }
        }
        let Category { target, late, effect, .. } = self.categories[arrival.class];
        let again = effect == Idempotency::Idempotent;
        let op = Op {
            category: arrival.class,
            // Danger: clocks differ, and one with time left looks dead. Who sends cuts time-outs to its end.
            ends: now + arrival.ttl_ms + self.settings.deadline_margin_ms,
            due: if self.holds_few && late <= 0.0 && again { now + target } else { f64::MAX },
            rank,
            key: arrival.key.filter(|_| self.settings.key_affinity),
            terms: self.categories[arrival.class].clone(),
            most: self.settings.max_attempts,
            ..Op::default()
        };
        self.ops.insert(arrival.request, op);
        self.solve();
        // Danger: answers that slow clients read keep others from theirs. Past the target latency, where a
        // late one brings nothing and a repeat is harmless, the op is over and its place is free.
        let (id, due) = (arrival.request, self.ops[&arrival.request].due);
        if due < f64::MAX {
            let over = move |b: &mut Balancer, out: &mut dyn Actions| {
                if b.ops.get(&id).is_some_and(|op| op.due == due && !op.bound) {
                    b.give_up(out, id);
                }
            };
            self.alarm(out, due, Box::new(over));
        }
        if !self.ask(out, arrival.request) {
            self.go_on(out, arrival.request);
        }
    }

    /// The first two of the key's servers, of those that fit, in the order that all nodes know alike.
    fn homes(&self, key: Option<u64>, from: &[(usize, f64)]) -> Vec<usize> {
        let Some(key) = key else { return Vec::new() };
        let rank = |id: &usize| {
            oorandom::Rand64::new(u128::from(key) << 64 | u128::from(self.servers[id].mark)).rand_u64()
        };
        let mut homes: Vec<usize> = from.iter().map(|(id, _)| *id).collect();
        homes.sort_by_key(rank);
        homes.truncate(2);
        homes
    }

    /// Danger: where load is told only when asked, a quiet node knows none. An op asks two, drawn by the
    /// split or its key's first, and waits for a moment. More would crowd whoever looked empty last.
    fn ask(&mut self, out: &mut dyn Actions, id: usize) -> bool {
        let mut from = if self.asks { self.candidates(id) } else { Vec::new() };
        let mut asked = self.homes(self.ops[&id].key, &from);
        // A key's first server is asked alone while its last word was light: a probe has its price.
        let light = |s: &Server| s.told(self.now).is_some_and(|told| told < 0.3 * s.past.concurrency_limit);
        let most = if asked.first().is_some_and(|id| light(&self.servers[id])) { 1 } else { 2 };
        asked.truncate(most);
        from.retain(|(id, _)| !asked.contains(id));
        while asked.len() < most && !from.is_empty() {
            let server = self.roulette(&from);
            from.retain(|(id, _)| *id != server);
            asked.push(server);
        }
        for server in &asked {
            // A report renews itself a few times a second at best: one just heard is not asked for again.
            let s = &self.servers[server];
            let fresh = s.told(self.now).is_some() && self.now - s.load_at < 300.0;
            if !fresh && self.probes.insert(*server) {
                out.probe(*server);
            }
        }
        let op = self.ops.get_mut(&id).expect("just taken in");
        (op.waits, op.asked) = (asked.iter().any(|s| self.probes.contains(s)), asked);
        if op.waits {
            // Danger: a probe that waits like an op, or has no answer. A tenth of the target latency is lost.
            let at = op.ends.min(self.now + 0.1 * op.terms.target);
            self.alarm(out, at, Box::new(move |b, out| b.waited(out, id)));
        }
        self.ops[&id].waits
    }

    fn waited(&mut self, out: &mut dyn Actions, id: usize) {
        if self.ops.get_mut(&id).is_some_and(|op| std::mem::take(&mut op.waits)) {
            self.go_on(out, id);
        }
    }

    pub fn probe_ended(
        &mut self,
        out: &mut dyn Actions,
        now: f64,
        server: usize,
        answer: Option<LoadReport>,
    ) {
        self.now = now;
        // One not waited for any more, or never asked, tells nothing.
        let asked = self.probes.remove(&server);
        if let (true, Some(load), Some(s)) = (asked, answer, self.servers.get_mut(&server)) {
            (s.load, s.load_at, s.since_load) = (load, now, s.out.len() as f64);
        }
        let answered = |op: &Op| op.waits && !op.asked.iter().any(|s| self.probes.contains(s));
        let ready: Vec<usize> = self.ops.iter().filter(|(_, op)| answered(op)).map(|(id, _)| *id).collect();
        ready.into_iter().for_each(|id| self.waited(out, id));
    }

    /// The next push, or the end: a stay would feed a crowd. Nacked at once a client may come back.
    fn go_on(&mut self, out: &mut dyn Actions, id: usize) {
        self.solve();
        if !self.try_push(out, id) {
            self.give_up(out, id);
        }
    }

    /// The servers that may get this op's next push, with their shares.
    fn candidates(&mut self, id: usize) -> Vec<(usize, f64)> {
        self.fill_purses();
        let op = &self.ops[&id];
        let (category, time) = (&op.terms, self.categories[op.category].time);
        // Danger: an op that cannot make its target latency costs a server's work for little.
        let left = (op.ends.min(op.due) - self.now).min(if self.asks { category.target } else { f64::MAX });
        // Danger: a repeat finds the group that it must stay in full. It was let in once: over the limit.
        let bound = category.effect == Idempotency::IdempotentWithKey
            && op.pushes.iter().any(|p| p.may_have_run && !p.out);
        let fits = |s: &Server| {
            let ran = op.pushes.iter().filter(|p| p.may_have_run);
            let in_group = |p: &Pushed| match category.within {
                DeduplicationScope::Global => true,
                DeduplicationScope::Zone => self.servers.get(&p.server).is_some_and(|q| q.zone == s.zone),
                DeduplicationScope::Pod => self.servers.get(&p.server).is_some_and(|q| q.pod == s.pod),
            };
            // A repeat must land inside the window: keep a tenth of it for the way.
            let in_time = |p: &Pushed| self.now - p.sent.at < category.window * 0.9;
            let repeat = match category.effect {
                Idempotency::Idempotent => true,
                Idempotency::IdempotentWithKey => ran.clone().all(|p| in_group(p) && in_time(p)),
                Idempotency::NotIdempotent => ran.clone().next().is_none(),
            };
            // Danger: new settings while an op is under way open nothing closed to it, and close at once.
            s.usable()
                && category.open_to(s)
                && self.categories[op.category].open_to(s)
                && left > 0.0
                && repeat
                && (bound || s.out.is_empty() || self.held(s) < s.past.concurrency_limit)
                && (self.now >= s.warm_at || s.purse >= 1.0)
                // Danger: one thought slow is never seen to recover. First pushes look, or its word tells.
                && (s.expected * time / self.time < left
                    || (!self.asks && op.pushes.is_empty() && s.out.is_empty()))
        };
        // Danger: one push from each of many nodes is over a weak server's limit. SeededRandom takes the part.
        let weighed = |s: &Server| {
            s.share * if self.asks { 1.0 } else { (s.past.concurrency_limit / self.sharers).min(1.0) }
        };
        let fit = |sid: &usize| Some((*sid, weighed(self.servers.get(sid).filter(|s| fits(s))?)));
        let mut all: Vec<_> = self.part.iter().filter_map(fit).collect();
        if all.is_empty() && (bound || category.zones.is_some() || category.kinds.is_some()) {
            // Danger: none of its group, or of its places, is in the part. Then others of them may take it.
            all = self.servers.keys().filter_map(fit).collect();
        }
        let (tried, fresh): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|(sid, _)| op.pushes.iter().any(|p| p.server == *sid));
        // The same server again only where no other may do it, and never beside a push still out there.
        Some(fresh).filter(|f| !f.is_empty() || op.pushes.iter().any(|p| p.out)).unwrap_or(tried)
    }

    /// Draws by share among those at or under their share of own pushes out. Danger: chance heaps pushes
    /// on one server while cores of another stand idle.
    fn draw(&mut self, from: &[(usize, f64)]) -> usize {
        let out = |id: &usize| self.servers[id].out.len() as f64;
        let (busy, sum) = from.iter().fold((0.0, 0.0), |(busy, sum), (id, p)| (busy + out(id), sum + p));
        let even: Vec<_> = from.iter().filter(|(id, p)| out(id) * sum <= busy * p).copied().collect();
        self.roulette(if even.is_empty() { from } else { &even })
    }

    fn roulette(&mut self, from: &[(usize, f64)]) -> usize {
        let sum: f64 = from.iter().map(|(_, p)| p).sum();
        let even = f64::from(u8::from(sum <= 0.0));
        let mut left = self.rng.0.rand_float() * (sum + even * from.len() as f64);
        let hit = from.iter().find(|(_, p)| {
            left -= p + even;
            left < 0.0
        });
        hit.unwrap_or(&from[from.len() - 1]).0
    }

    /// What is held, by each server's figure, over all limits.
    fn filled(&self, held: impl Fn(&Server) -> Option<f64>) -> f64 {
        let of = |id: &usize| Some((held(&self.servers[id])?, self.servers[id].past.concurrency_limit));
        let (held, limits) = self.part.iter().filter_map(of).fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        held / f64::max(limits, 1.0)
    }

    fn strain(&self) -> f64 {
        self.filled(|s| if self.asks { s.told(self.now) } else { Some(s.out.len() as f64 * self.sharers) })
    }

    /// What is held by so many own pushes and by word of the servers. Danger: a few own pushes, a sample of
    /// those of all sharers, look like a crowd by chance. DeduplicationScope one standard error the reports decide.
    fn sampled(&self, own: usize, crowd: f64, told: f64) -> f64 {
        // Danger: where answers wait for readers, own pushes out are no longer at their servers.
        let exact = self.asks && !self.holds_few;
        let error = if exact { 0.0 } else { ((1.0 - 1.0 / self.sharers) / own.max(1) as f64).sqrt() };
        told.clamp(crowd * (1.0 - error), crowd)
    }

    fn held(&self, s: &Server) -> f64 {
        let crowd = s.out.len() as f64 * self.sharers;
        self.sampled(s.out.len(), crowd, s.told(self.now).unwrap_or(crowd))
    }

    fn try_push(&mut self, out: &mut dyn Actions, id: usize) -> bool {
        let op = &self.ops[&id];
        if op.bound || op.pushes.len() as f64 >= op.most {
            return false;
        }
        let again = op.pushes.iter().any(|p| p.may_have_run);
        let own: usize = self.part.iter().map(|id| self.servers[id].out.len()).sum();
        let strain = self.sampled(own, self.strain(), self.filled(|s| self.known(s)));
        // Overload: the last of the room is kept for what brings most benefit.
        let over = strain / (0.6 + 0.4 * op.rank.sqrt());
        // Danger: asked loads may be seconds old. Were all over the line refused, the fleet would empty and
        // then jam: chance takes some, by the excess to the fourth (lower lets servers jam, higher swings).
        if !again && over > 1.0 && !(self.asks && self.rng.0.rand_float() < over.powi(-4)) {
            return false;
        }
        let mut from = self.candidates(id);
        if from.is_empty() {
            return false;
        }
        self.weigh(id, &mut from);
        let server = if self.asks { self.roulette(&from) } else { self.draw(&from) };
        self.push(out, id, server);
        true
    }

    fn push(&mut self, out: &mut dyn Actions, id: usize, to: usize) {
        let (now, time) = (self.now, self.time);
        // Own rate over a second, or ten to tell a quiet node's part. Pushes: crowds of retries reach nobody.
        let over = if self.asks { 10_000.0 } else { 1000.0 };
        self.pushes = self.pushes * (-(now - self.pushed_at) / over).exp() + 1.0 / over;
        self.pushed_at = now;
        let op = self.ops.get_mut(&id).expect("caller holds it");
        let (category, left, n) = (op.category, op.ends - now, op.pushes.len());
        let (effect, target, usual) = (op.terms.effect, op.terms.target, self.categories[category].time);
        let server = self.servers.get_mut(&to).expect("drawn from the list");
        server.since_load += 1.0;
        server.purse -= (usual / time).max(1.0);
        let expected =
            (server.expected * usual / time).max(usual * server.past.relative_latency.unwrap_or(1.0));
        let sent = Sent { at: now, usual, target, patience: expected * self.slack };
        op.pushes.push(Pushed { server: to, sent, may_have_run: true, out: true });
        server.out.insert((id, n), sent);
        out.start_attempt(id, to, left);
        let copies = effect != Idempotency::NotIdempotent && self.settings.hedging;
        if copies && sent.patience < left && self.sharers * self.own < 3.0 {
            let at = now + sent.patience * (1.0 + self.strain());
            self.alarm(out, at, Box::new(move |b, out| b.overdue(out, id, n, now)));
        }
        let step = move |b: &mut Balancer, out: &mut dyn Actions, end: &AttemptResult| {
            // EndpointStatistics from while still counted in flight: it was part of what the limit held.
            b.learn(to, category, &sent, end);
            if let Some(server) = b.servers.get_mut(&to) {
                server.out.remove(&(id, n));
                // What an asked report is short of is what is out: it is young, and what has ended has left.
                server.since_load = if b.asks { server.out.len() as f64 } else { server.since_load };
            }
            b.take_load(to, end.load);
            b.after_push(out, id, n, end);
        };
        self.steps.insert((id, n), Box::new(step));
    }

    /// Danger: what falls silent holds an op for good. A second copy goes, later the fuller all is, not where
    /// three nodes or more share a server, as copies would take each one's push or two of its limit.
    fn overdue(&mut self, out: &mut dyn Actions, id: usize, n: usize, at: f64) {
        let waits = |op: &Op| op.pushes.len() == n + 1 && op.pushes[n].out && op.pushes[n].sent.at == at;
        if self.ops.get(&id).is_some_and(waits) {
            self.try_push(out, id);
        }
    }

    pub fn attempt_ended(&mut self, out: &mut dyn Actions, now: f64, end: &AttemptResult) {
        self.now = now;
        if let Some(step) = self.steps.remove(&(end.request, end.attempt)) {
            step(self, out, end);
        }
    }

    fn after_push(&mut self, out: &mut dyn Actions, id: usize, push: usize, end: &AttemptResult) {
        let Some(op) = self.ops.get_mut(&id) else { return };
        (op.pushes[push].out, op.pushes[push].may_have_run) = (false, !end.outcome.never_executed());
        if end.request_closed || end.outcome == AttemptOutcome::Succeeded {
            return self.close(out, id);
        }
        if !op.pushes.iter().any(|p| p.out) {
            self.go_on(out, id);
        }
    }

    /// The one final answer where no ack will come: a nack where the client may safely try again.
    fn give_up(&mut self, out: &mut dyn Actions, id: usize) {
        let Some(Op { terms: category, pushes, .. }) = self.ops.get(&id) else { return };
        let ran = pushes.iter().any(|p| p.may_have_run);
        let harmless = match category.effect {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => !ran || category.within == DeduplicationScope::Global,
            Idempotency::NotIdempotent => !ran,
        };
        // Back after the time in which the work in flight is mostly done.
        match harmless {
            true => out.reject(id, (0.25 * self.time).min(self.settings.max_retry_after_ms)),
            false => out.fail(id),
        }
        self.close(out, id);
    }

    fn close(&mut self, out: &mut dyn Actions, id: usize) {
        let Some(op) = self.ops.remove(&id) else { return };
        let may = self.settings.cancellation;
        for (n, _) in op.pushes.iter().enumerate().filter(|(_, p)| p.out && may) {
            out.cancel(id, n);
        }
    }

    /// The client has gone, or its op is closed by other means: nothing more is owed.
    pub fn client_left(&mut self, out: &mut dyn Actions, now: f64, op: usize) {
        self.now = now;
        self.close(out, op);
    }

    /// A long body goes to a push's server, or comes from it: the op is bound to it, and is work there only
    /// from its last byte in to its answer (`works`). Danger: slow clients would use up all limits.
    pub fn streaming(&mut self, now: f64, id: usize, push: usize, works: bool) {
        self.now = now;
        let Some(op) = self.ops.get_mut(&id) else { return };
        op.bound = true;
        let Some(p) = op.pushes.get(push).filter(|p| p.out) else { return };
        let server = self.servers.get_mut(&p.server).expect("kept for its pushes");
        let _ = if works { server.out.insert((id, push), p.sent) } else { server.out.remove(&(id, push)) };
    }
}
