//! Property test: during slow start, an endpoint gets at most its budget of N attempts per window from all proxies
//! together, plus 2 * sqrt(N) + 2 for random variation.

use crate::support::{endpoint_update, proxy_settings};
use crankmux::balancer::Balancer;
use crankmux::settings::Settings;
use crankmux::types::{
    Actions, AttemptOutcome, AttemptResult, ClassId, EndpointId, EndpointState, EndpointStatistics,
    LearnedState, LoadReport, NewRequest, RequestId,
};
use oorandom::Rand64;
use std::thread;

const WINDOW_MS: f64 = 1000.0;
const SLOW_START_MS: f64 = 10_000.0;
const INITIAL_SHARE: f64 = 0.2;
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// The length of each run, from the endpoint's start.
const RUN_MS: f64 = 4000.0;
const START_MS: f64 = 50_000.0;
/// The interval between the events of a proxy.
const EVENT_INTERVAL_MS: f64 = 600.0;
/// The interval between bursts; each has the requests of the interval before it.
const BURST_MS: f64 = 700.0;
/// The latencies of the three request classes.
const LATENCIES_MS: [f64; 3] = [30.0, 100.0, 170.0];

/// Receives the balancer's actions, and records only the request of a started attempt.
#[derive(Default)]
struct StartedAttempt(Option<RequestId>);

impl Actions for StartedAttempt {
    fn start_attempt(&mut self, request: RequestId, _: EndpointId, _: f64) {
        self.0 = Some(request);
    }
    fn probe(&mut self, _: EndpointId) {}
    fn cancel(&mut self, _: RequestId, _: usize) {}
    fn reject(&mut self, _: RequestId, _: f64) {}
    fn fail(&mut self, _: RequestId) {}
    fn set_timer(&mut self, _: f64, _: u64) {}
    fn watch_endpoints(&mut self) {}
    fn poll_endpoints(&mut self) {}
}

/// The arrival pattern of requests at a proxy.
#[derive(Clone, Copy, PartialEq)]
enum Demand {
    /// The usual rate.
    Usual,
    /// Three times the usual rate.
    Triple,
    /// Three times the usual rate, in bursts that coincide on all proxies.
    Bursts,
    /// A pause, then three times the usual rate.
    TripleAfterPause,
}

/// What happens to a proxy repeatedly during slow start.
#[derive(Clone, Copy, PartialEq)]
enum Event {
    None,
    /// The settings are reloaded.
    Reload,
    /// A new process takes over.
    Upgrade,
}

/// The parameters of a run, the same for all proxies.
#[derive(Clone, Copy)]
struct Scenario {
    demand: Demand,
    /// Whether all requests are of the class with the lowest latency.
    only_light_requests: bool,
    event: Event,
    /// The number of proxies in the settings, which may differ from the actual number.
    proxy_count: usize,
}

impl Scenario {
    fn settings(&self, number: usize) -> Settings {
        Settings {
            hedging: false,
            ..proxy_settings(number, self.proxy_count)
        }
    }

    /// The arrival times of requests at a proxy with this usual rate, in requests per millisecond.
    fn arrivals_ms(&self, rate: f64, rng: &mut Rand64) -> Vec<f64> {
        let (multiple, pause_ms) = match self.demand {
            Demand::Usual => (1.0, 0.0),
            Demand::Triple | Demand::Bursts => (3.0, 0.0),
            Demand::TripleAfterPause => (3.0, 2000.0),
        };
        let mut arrivals_ms = Vec::new();
        let mut at_ms = 0.0;
        loop {
            at_ms -= (1.0 - rng.rand_float()).ln() / (rate * multiple);
            if at_ms + pause_ms >= RUN_MS {
                return arrivals_ms;
            }
            arrivals_ms.push(if self.demand == Demand::Bursts {
                (at_ms / BURST_MS).ceil() * BURST_MS
            } else {
                at_ms + pause_ms
            });
        }
    }
}

/// A proxy with one endpoint, which restarts at `START_MS`.
struct Proxy {
    scenario: Scenario,
    number: usize,
    balancer: Balancer,
    rng: Rand64,
    next_event_ms: f64,
}

impl Proxy {
    /// A proxy whose warm endpoint has served `rate` of its requests per millisecond.
    fn new(scenario: Scenario, number: usize, rate: f64, seed: u64) -> Self {
        let mut balancer = Balancer::new(scenario.settings(number), seed);
        let out = &mut StartedAttempt::default();
        let warm = [endpoint_update(0, EndpointState::Ready, 0.0)];
        balancer.update_endpoints(out, START_MS - 1.0, &warm, true, false);
        let statistics = EndpointStatistics {
            best_relative_latency: 1.0,
            concurrency_limit: 1000.0,
            peak_throughput: rate,
            throughput: rate,
            ..EndpointStatistics::default()
        };
        balancer.restore_learned_state(&LearnedState {
            mean_latency_ms: 100.0,
            tail_multiple: 2.0,
            warm_throughput: rate,
            classes: LATENCIES_MS.map(|latency_ms| (latency_ms, 1e6)).to_vec(),
            endpoints: vec![(EndpointId::new(0), statistics)],
        });
        let restarted = [endpoint_update(0, EndpointState::Ready, START_MS)];
        balancer.update_endpoints(out, START_MS, &restarted, false, false);
        let mut rng = Rand64::new(u128::from(seed) << 1);
        let next_event_ms = EVENT_INTERVAL_MS * rng.rand_float();
        Proxy {
            scenario,
            number,
            balancer,
            rng,
            next_event_ms,
        }
    }

    /// Runs the proxy; returns the times of its attempts.
    fn run(&mut self, rate: f64) -> Vec<f64> {
        let arrivals_ms = self.scenario.arrivals_ms(rate, &mut self.rng);
        let mut attempts_ms = Vec::new();
        for (request, at_ms) in arrivals_ms.into_iter().enumerate() {
            self.apply_event(at_ms);
            if self.request_arrives(RequestId::new(request), at_ms) {
                attempts_ms.push(at_ms);
            }
        }
        attempts_ms
    }

    fn apply_event(&mut self, at_ms: f64) {
        if at_ms < self.next_event_ms {
            return;
        }
        self.next_event_ms = at_ms + EVENT_INTERVAL_MS;
        let settings = self.scenario.settings(self.number);
        match self.scenario.event {
            Event::None => {}
            Event::Reload => self.balancer.update_settings(settings),
            Event::Upgrade => {
                let mut newer = Balancer::new(settings, self.rng.rand_u64());
                let listed = [endpoint_update(0, EndpointState::Ready, START_MS)];
                let out = &mut StartedAttempt::default();
                newer.update_endpoints(out, START_MS + at_ms, &listed, true, false);
                newer.restore_learned_state(&self.balancer.learned_state());
                self.balancer = newer;
            }
        }
    }

    /// Sends a request; returns whether an attempt was started. Attempts end immediately with the latency of their
    /// class as their duration, so none is ever in flight.
    fn request_arrives(&mut self, request: RequestId, at_ms: f64) -> bool {
        let class = if self.scenario.only_light_requests {
            0
        } else {
            self.rng.rand_range(0..3) as usize
        };
        let arrival = NewRequest {
            request,
            class: ClassId::new(class),
            tenant: None,
            ttl_ms: 1000.0,
            client_retry: false,
            affinity_key: None,
        };
        let out = &mut StartedAttempt::default();
        self.balancer
            .request_arrived(out, START_MS + at_ms, &arrival);
        if out.0.take() != Some(request) {
            return false;
        }
        let result = AttemptResult {
            request,
            attempt: 0,
            outcome: AttemptOutcome::Succeeded,
            duration_ms: LATENCIES_MS[class],
            request_closed: true,
            load: LoadReport::default(),
        };
        self.balancer.attempt_ended(out, START_MS + at_ms, &result);
        true
    }
}

/// The number of attempts allowed in the window that starts at `from_ms`, given the endpoint's throughput when warm.
fn budget_at(from_ms: f64, warm_rate: f64) -> f64 {
    let progress = (from_ms.max(0.0) / SLOW_START_MS).min(1.0);
    let capacity = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress;
    OVERLOAD_MULTIPLE * capacity * warm_rate * WINDOW_MS
}

/// The largest number of attempts in a window beyond its budget N plus 2, as a multiple of sqrt(N).
fn worst_excess(attempts_ms: &[f64], warm_rate: f64) -> f64 {
    let mut first = 0;
    let mut worst = f64::MIN;
    for (last, at_ms) in attempts_ms.iter().enumerate() {
        while at_ms - attempts_ms[first] >= WINDOW_MS {
            first += 1;
        }
        let budget = budget_at(at_ms - WINDOW_MS, warm_rate);
        let count = (last - first + 1) as f64;
        worst = worst.max((count - budget - 2.0) / budget.sqrt());
    }
    worst
}

/// Executes one run; returns the worst excess, of which 2 is allowed, and the fraction of all budgets used.
fn run(proxies: usize, seed: u64) -> (f64, f64) {
    let mut rng = Rand64::new(u128::from(seed) * 7919 + proxies as u128);
    // The budget of the first window, from 3 to 300 attempts.
    let budget = 3.0 * 100.0_f64.powf(rng.rand_float());
    let demands = [
        Demand::Usual,
        Demand::Triple,
        Demand::Bursts,
        Demand::TripleAfterPause,
    ];
    let demand = demands[rng.rand_range(0..4) as usize];
    let only_light_requests = rng.rand_float() < 0.3;
    // Half of the runs have an event, and half have a wrong number of proxies in the settings.
    let events = [Event::None, Event::None, Event::Reload, Event::Upgrade];
    let event = events[rng.rand_range(0..4) as usize];
    let counts = [proxies, proxies, proxies.div_ceil(2), 2 * proxies];
    let scenario = Scenario {
        demand,
        only_light_requests,
        event,
        proxy_count: counts[rng.rand_range(0..4) as usize],
    };
    // The traffic of proxies differs by up to a factor of 30.
    let weights: Vec<f64> = (0..proxies)
        .map(|_| 30.0_f64.powf(rng.rand_float()))
        .collect();
    let total: f64 = weights.iter().sum();
    let warm_rate = budget / (OVERLOAD_MULTIPLE * INITIAL_SHARE * WINDOW_MS);
    let mut attempts_ms: Vec<f64> = Vec::new();
    for (number, weight) in weights.iter().enumerate() {
        let rate = warm_rate * weight / total;
        let mut proxy = Proxy::new(scenario, number, rate, rng.rand_u64());
        attempts_ms.extend(proxy.run(rate));
    }
    attempts_ms.sort_unstable_by(f64::total_cmp);
    let windows = RUN_MS / WINDOW_MS;
    let used = attempts_ms.len() as f64 / (budget_at(0.5 * RUN_MS, warm_rate) * windows);
    (worst_excess(&attempts_ms, warm_rate), used)
}

/// Runs the seeds in parallel; returns the number of runs over the limit, the worst excess, and the mean fraction of
/// budgets used.
fn run_seeds(proxies: usize, seeds: u64) -> (usize, f64, f64) {
    const THREADS: u64 = 8;
    let run_thread = move |thread| -> Vec<(f64, f64)> {
        let own_seeds = (0..seeds).filter(|seed| seed % THREADS == thread);
        own_seeds.map(|seed| run(proxies, seed)).collect()
    };
    let results: Vec<(f64, f64)> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || run_thread(thread)))
            .collect();
        let results = threads
            .into_iter()
            .map(|thread| thread.join().expect("the runs do not panic"));
        results.flatten().collect()
    });
    let over = results.iter().filter(|(worst, _)| *worst > 2.0).count();
    let worst = results.iter().map(|(worst, _)| *worst);
    let used: f64 = results.iter().map(|(_, used)| used).sum();
    (
        over,
        worst.fold(f64::MIN, f64::max),
        used / results.len() as f64,
    )
}

fn assert_no_run_exceeds_the_limit(seeds: u64) {
    let results = [1, 5, 20, 30, 100, 300].map(|proxies| {
        let (over, worst, used) = run_seeds(proxies, seeds);
        println!(
            "{proxies} proxies, {seeds} seeds: {over} over, worst N + {worst:.2} sqrt(N) + 2, {used:.2} used"
        );
        (proxies, over, worst)
    });
    assert!(
        results.iter().all(|(_, over, _)| *over == 0),
        "(proxies, runs over, worst excess): {results:?}"
    );
}

#[test]
fn all_proxies_together_keep_the_slow_start_budget() {
    assert_no_run_exceeds_the_limit(80);
}

/// Run with `cargo test --release --test module -- --ignored --nocapture slow_start`.
#[test]
#[ignore = "takes minutes; the test with fewer seeds runs by default"]
fn all_proxies_together_keep_the_slow_start_budget_over_ten_thousand_seeds() {
    assert_no_run_exceeds_the_limit(10_000);
}
