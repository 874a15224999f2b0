//! What a day came to: service by second and by category, latency, pushes by server, rules kept or broken.

use crate::invariants::InvariantChecker;
use crate::script::Script;
use hdrhistogram::Histogram;
use serde::Serialize;

/// What became of one thing that a client wanted, its tries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    InTime,
    Late,
    Refused,
    Failed,
}

/// Counts of what was wanted and what became of it; worth is benefit earned, wanted the most it could be.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    pub wanted: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub worth: f64,
    pub most_worth: f64,
    /// In points of a hundred.
    pub service: f64,
}

impl Counts {
    fn add(&mut self, outcome: Outcome, benefit: f64, late_benefit: f64) {
        self.wanted += 1;
        self.most_worth += benefit;
        match outcome {
            Outcome::InTime => self.in_time += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
        self.worth += match outcome {
            Outcome::InTime => benefit,
            Outcome::Late => benefit * late_benefit,
            _ => 0.0,
        };
    }

    fn sum_up(&mut self) {
        self.service = if self.most_worth > 0.0 {
            100.0 * self.worth / self.most_worth
        } else {
            100.0
        };
    }
}

/// One second of the day.
#[derive(Clone, Debug, Serialize)]
pub struct Second {
    pub at: usize,
    #[serde(flatten)]
    pub counts: Counts,
    /// Tries that came in, of all clients, and pushes that went out.
    pub tries: u64,
    pub pushes: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Named {
    pub name: String,
    #[serde(flatten)]
    pub counts: Counts,
}

/// Times from a client's first try to its ack, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Latency {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub p9999: f64,
    pub most: f64,
}

/// One play of a script.
#[derive(Clone, Debug, Serialize)]
pub struct RunResults {
    pub script: String,
    pub chooser: String,
    pub seed: u64,
    /// Points of a hundred: worth earned over worth wanted, after the settling time.
    pub service: f64,
    pub all: Counts,
    pub categories: Vec<Named>,
    pub latency_ms: Latency,
    pub tries: u64,
    pub pushes: u64,
    /// Second and service of the worst second that ten ops or more were wanted in.
    pub worst_second: (usize, f64),
    /// Rules broken: no op lost, no effect twice, drains, cold servers, clients that left.
    pub broken: [u64; 5],
    pub fell_over: u64,
    pub tipped: u64,
    pub events: u64,
    pub seconds: Vec<Second>,
    pub pushes_by_server: Vec<u64>,
    /// The first rules broken, each with that op's life in order.
    #[serde(skip)]
    pub lives: Vec<String>,
}

/// From a microsecond to ten minutes, to two digits.
fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, 600_000_000, 2).expect("bounds that hold")
}

fn at(histogram: &Histogram<u32>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Counts as a day goes on.
pub struct Tally {
    settle: f64,
    all: Counts,
    categories: Vec<Named>,
    worth: Vec<(f64, f64)>,
    seconds: Vec<(Counts, u64, u64, Histogram<u32>)>,
    latency: Histogram<u32>,
    by_server: Vec<u64>,
    tries: u64,
    pushes: u64,
    pub fell_over: u64,
    pub tipped: u64,
}

impl Tally {
    pub fn new(script: &Script) -> Self {
        let named = |name: &String| Named {
            name: name.clone(),
            counts: Counts::default(),
        };
        let seconds = script.duration_s.ceil() as usize;
        Tally {
            settle: 1000.0 * script.settling_s,
            all: Counts::default(),
            categories: script
                .request_classes
                .iter()
                .map(|c| named(&c.name))
                .collect(),
            worth: script
                .request_classes
                .iter()
                .map(|c| (c.priority_weight, c.late_fraction))
                .collect(),
            seconds: (0..seconds)
                .map(|_| (Counts::default(), 0, 0, histogram()))
                .collect(),
            latency: histogram(),
            by_server: Vec::new(),
            tries: 0,
            pushes: 0,
            fell_over: 0,
            tipped: 0,
        }
    }

    fn second(&mut self, at: f64) -> Option<&mut (Counts, u64, u64, Histogram<u32>)> {
        self.seconds.get_mut((at / 1000.0).max(0.0) as usize)
    }

    /// `at` is when it was first wanted, since the day's start.
    pub fn outcome(&mut self, at: f64, category: usize, outcome: Outcome, took: f64) {
        let (benefit, late) = self.worth[category];
        let micros = ((took * 1000.0) as u64).max(1);
        let served = matches!(outcome, Outcome::InTime | Outcome::Late);
        if let Some((counts, _, _, latency)) = self.second(at) {
            counts.add(outcome, benefit, late);
            if served {
                latency.saturating_record(micros);
            }
        }
        if at < self.settle {
            return;
        }
        self.all.add(outcome, benefit, late);
        self.categories[category].counts.add(outcome, benefit, late);
        if served {
            self.latency.saturating_record(micros);
        }
    }

    pub fn tried(&mut self, at: f64) {
        self.tries += 1;
        if let Some((_, tries, ..)) = self.second(at) {
            *tries += 1;
        }
    }

    pub fn pushed(&mut self, at: f64, server: usize) {
        self.pushes += 1;
        if self.by_server.len() <= server {
            self.by_server.resize(server + 1, 0);
        }
        self.by_server[server] += 1;
        if let Some((_, _, pushes, _)) = self.second(at) {
            *pushes += 1;
        }
    }

    pub fn sum_up(
        mut self,
        script: &Script,
        chooser: &str,
        seed: u64,
        judge: &InvariantChecker,
        events: u64,
    ) -> RunResults {
        self.all.sum_up();
        self.categories
            .iter_mut()
            .for_each(|named| named.counts.sum_up());
        let l = &self.latency;
        let latency_ms = Latency {
            p50: at(l, 0.5),
            p90: at(l, 0.9),
            p99: at(l, 0.99),
            p999: at(l, 0.999),
            p9999: at(l, 0.9999),
            most: l.max() as f64 / 1000.0,
        };
        let settle = script.settling_s as usize;
        let seconds: Vec<Second> = self
            .seconds
            .into_iter()
            .enumerate()
            .map(|(second, it)| {
                let (mut counts, tries, pushes, latency) = it;
                counts.sum_up();
                let (p50_ms, p99_ms) = (at(&latency, 0.5), at(&latency, 0.99));
                Second {
                    at: second,
                    counts,
                    tries,
                    pushes,
                    p50_ms,
                    p99_ms,
                }
            })
            .collect();
        let counted = seconds
            .iter()
            .filter(|s| s.at >= settle && s.counts.wanted >= 10);
        let worst = counted.min_by(|a, b| a.counts.service.total_cmp(&b.counts.service));
        let worst_second = worst.map_or((0, 100.0), |s| (s.at, s.counts.service));
        let lives = judge.broken.iter().map(|b| {
            format!(
                "{}: {}\n{}",
                b.rule.name(),
                b.what,
                b.life
                    .iter()
                    .map(|l| format!("    {l}\n"))
                    .collect::<String>()
            )
        });
        RunResults {
            script: script.name.clone(),
            chooser: chooser.to_string(),
            seed,
            service: self.all.service,
            all: self.all,
            categories: self.categories,
            latency_ms,
            tries: self.tries,
            pushes: self.pushes,
            worst_second,
            broken: judge.counts(),
            fell_over: self.fell_over,
            tipped: self.tipped,
            events,
            seconds,
            pushes_by_server: self.by_server,
            lives: lives.collect(),
        }
    }
}
