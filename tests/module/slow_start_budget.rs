//! What an endpoint that warms up gets from all proxies together: in any window no more attempts than its budget N,
//! but for what may be put down to chance, 2 x root of N + 2.

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
/// How long each run goes on from the endpoint's start.
const RUN_MS: f64 = 4000.0;
const START_MS: f64 = 50_000.0;
/// Between the events that befall a proxy.
const EVENT_INTERVAL_MS: f64 = 600.0;
/// A burst is what comes within so long, at its end.
const BURST_MS: f64 = 700.0;
/// The latencies of the three classes, of which the mean is an ordinary request's.
const LATENCIES_MS: [f64; 3] = [30.0, 100.0, 170.0];

/// The request that an attempt was started for.
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

/// How requests come to a proxy.
#[derive(Clone, Copy, PartialEq)]
enum Demand {
    /// At its usual rate.
    Usual,
    /// At three times that.
    Triple,
    /// At three times that, all proxies' in a burst now and then.
    Bursts,
    /// Nothing for a while, and then three times the rate.
    TripleAfterPause,
}

/// What befalls a proxy while the endpoint warms up.
#[derive(Clone, Copy, PartialEq)]
enum Event {
    Nothing,
    /// New settings again and again.
    Reloads,
    /// A newer process takes over from it, and from that the next.
    Upgrades,
}

/// What a run has in common for all proxies.
#[derive(Clone, Copy)]
struct Scenario {
    demand: Demand,
    /// Whether all requests are of the lightest class.
    light: bool,
    event: Event,
    /// How many proxies there are by the settings.
    proxy_count: usize,
}

impl Scenario {
    fn settings(&self, number: usize) -> Settings {
        Settings {
            hedging: false,
            ..proxy_settings(number, self.proxy_count)
        }
    }

    /// When requests come to a proxy of such a rate, in requests a millisecond.
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

/// One proxy before an endpoint that starts anew.
struct Proxy {
    scenario: Scenario,
    number: usize,
    balancer: Balancer,
    rng: Rand64,
    next_event_ms: f64,
}

impl Proxy {
    /// A proxy of whose requests the endpoint bears so many a millisecond when it is warm.
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

    /// When it sends attempts to the endpoint.
    fn run(&mut self, rate: f64) -> Vec<f64> {
        let arrivals_ms = self.scenario.arrivals_ms(rate, &mut self.rng);
        let mut attempts_ms = Vec::new();
        for (request, at_ms) in arrivals_ms.into_iter().enumerate() {
            self.befall(at_ms);
            if self.request_arrives(RequestId::new(request), at_ms) {
                attempts_ms.push(at_ms);
            }
        }
        attempts_ms
    }

    fn befall(&mut self, at_ms: f64) {
        if at_ms < self.next_event_ms {
            return;
        }
        self.next_event_ms = at_ms + EVENT_INTERVAL_MS;
        let settings = self.scenario.settings(self.number);
        match self.scenario.event {
            Event::Nothing => {}
            Event::Reloads => self.balancer.update_settings(settings),
            Event::Upgrades => {
                let mut newer = Balancer::new(settings, self.rng.rand_u64());
                let listed = [endpoint_update(0, EndpointState::Ready, START_MS)];
                let out = &mut StartedAttempt::default();
                newer.update_endpoints(out, START_MS + at_ms, &listed, true, false);
                newer.restore_learned_state(&self.balancer.learned_state());
                self.balancer = newer;
            }
        }
    }

    /// Whether a request that comes in is sent. It is answered in its usual time; in this model nothing is ever in
    /// flight.
    fn request_arrives(&mut self, request: RequestId, at_ms: f64) -> bool {
        let class = if self.scenario.light {
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
            key: None,
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

/// The attempts that an endpoint can take within a window, where it bears such a rate when it is warm.
fn budget_at(from_ms: f64, warm_rate: f64) -> f64 {
    let warmed_up = (from_ms.max(0.0) / SLOW_START_MS).min(1.0);
    let able = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * warmed_up;
    OVERLOAD_MULTIPLE * able * warm_rate * WINDOW_MS
}

/// The most attempts over the budget of a window, in roots of that budget.
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

/// One run: the worst excess (two are allowed), and the share of all budgets that was used.
fn run(proxies: usize, seed: u64) -> (f64, f64) {
    let mut rng = Rand64::new(u128::from(seed) * 7919 + proxies as u128);
    // The budget of the first window is 3 to 300 attempts.
    let budget = 3.0 * 100.0_f64.powf(rng.rand_float());
    let demands = [
        Demand::Usual,
        Demand::Triple,
        Demand::Bursts,
        Demand::TripleAfterPause,
    ];
    let demand = demands[rng.rand_range(0..4) as usize];
    let light = rng.rand_float() < 0.3;
    // Every other run has something befall all proxies, and tells them half or twice their number.
    let events = [
        Event::Nothing,
        Event::Nothing,
        Event::Reloads,
        Event::Upgrades,
    ];
    let event = events[rng.rand_range(0..4) as usize];
    let counts = [proxies, proxies, proxies.div_ceil(2), 2 * proxies];
    let scenario = Scenario {
        demand,
        light,
        event,
        proxy_count: counts[rng.rand_range(0..4) as usize],
    };
    // The proxies' traffic is unequal, up to thirty times.
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

/// Runs so many seeds on all processors: how many went over, the worst excess, and the mean share used.
fn run_seeds(proxies: usize, seeds: u64) -> (usize, f64, f64) {
    const LANES: u64 = 8;
    let run_lane = move |lane| -> Vec<(f64, f64)> {
        let own = (0..seeds).filter(|seed| seed % LANES == lane);
        own.map(|seed| run(proxies, seed)).collect()
    };
    let results: Vec<(f64, f64)> = thread::scope(|scope| {
        let lanes: Vec<_> = (0..LANES)
            .map(|lane| scope.spawn(move || run_lane(lane)))
            .collect();
        let results = lanes.into_iter().map(|lane| lane.join().expect("it runs"));
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

fn assert_no_run_goes_over(seeds: u64) {
    let results = [1, 5, 20, 30, 100, 300].map(|proxies| {
        let (over, worst, used) = run_seeds(proxies, seeds);
        println!(
            "{proxies} proxies, {seeds} seeds: {over} over, worst N + {worst:.2} root N + 2, {used:.2} used"
        );
        (proxies, over, worst)
    });
    assert!(
        results.iter().all(|(_, over, _)| *over == 0),
        "proxies, runs over, worst: {results:?}"
    );
}

#[test]
fn an_endpoint_that_warms_up_bears_the_sum_of_all_proxies() {
    assert_no_run_goes_over(80);
}

/// The same in full, some minutes: cargo test --release --test module -- --ignored --nocapture slow_start
#[test]
#[ignore = "ten thousand seeds take minutes; the short form above runs with the others"]
fn an_endpoint_that_warms_up_bears_the_sum_of_all_proxies_over_ten_thousand_seeds() {
    assert_no_run_goes_over(10_000);
}
