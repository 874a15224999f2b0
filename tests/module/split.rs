//! Optimality of the split, on generated inputs and edge cases.

use crate::support::quickcheck_with;
use crankmux::balancer::{split, QueueModel};

type GeneratedModel = (u8, u8, u8, u8);

fn queue_model((queue, service_rate, horizon, cost): GeneratedModel) -> QueueModel {
    QueueModel {
        queue: f64::from(queue) / 8.0,
        service_rate: (f64::from(service_rate) + 1.0) / 1000.0,
        horizon_ms: 50.0 + f64::from(horizon) * 10.0,
        cost_ms: f64::from(cost),
        locality_cost_ms: f64::from(cost / 128),
        max_share: 1.0,
    }
}

/// The marginal cost of an endpoint just below and just above a share.
fn marginal_costs(model: &QueueModel, share: f64, arrival_rate: f64) -> (f64, f64) {
    let flat = model.cost_ms + 1.0 / model.service_rate;
    let backlog = model.queue - model.service_rate * model.horizon_ms;
    let arrivals = arrival_rate * model.horizon_ms;
    let steep = |share: f64| flat + (backlog + 2.0 * share * arrivals) / model.service_rate;
    let free_share = -backlog / arrivals;
    let at = |share: f64| {
        if share < free_share {
            flat
        } else {
            steep(share)
        }
    };
    (at((share - 1e-7).max(0.0)), at(share + 1e-7))
}

fn free_rate(model: &QueueModel) -> f64 {
    (model.service_rate - model.queue / model.horizon_ms).max(0.0)
}

/// Whether shares depend on free capacity alone: it covers all arrivals, and locality costs are equal.
fn is_flat(models: &[QueueModel], arrival_rate: f64) -> bool {
    let usable = models.iter().filter(|model| free_rate(model) > 0.0);
    let usable: f64 = usable.map(|model| model.max_share).sum();
    let mut pairs = models.windows(2);
    let equal_locality = pairs.all(|pair| pair[0].locality_cost_ms == pair[1].locality_cost_ms);
    let free: f64 = models.iter().map(free_rate).sum();
    equal_locality && free > arrival_rate && usable > 1.0
}

/// Whether shares below their maximum are proportional to free capacity.
fn is_proportional_to_free_capacity(models: &[QueueModel], shares: &[f64]) -> bool {
    let pairs = models.iter().zip(shares);
    let uncapped: Vec<(f64, f64)> = pairs
        .filter(|(model, share)| **share < model.max_share - 1e-6 && free_rate(model) > 0.0)
        .map(|(model, share)| (free_rate(model), *share))
        .collect();
    let mut neighbours = uncapped.windows(2);
    neighbours.all(|pair| (pair[0].1 * pair[1].0 - pair[1].1 * pair[0].0).abs() < 1e-6)
}

/// Whether no shift between two endpoints lowers the cost.
fn has_equal_marginal_costs(models: &[QueueModel], shares: &[f64], arrival_rate: f64) -> bool {
    let mut highest_below = 0.0_f64;
    let mut lowest_above = f64::MAX;
    for (model, share) in models.iter().zip(shares) {
        let (below, above) = marginal_costs(model, *share, arrival_rate);
        if *share > 1e-6 {
            highest_below = highest_below.max(below);
        }
        if *share < model.max_share - 1e-6 {
            lowest_above = lowest_above.min(above);
        }
    }
    highest_below <= lowest_above + 1e-3 * highest_below.max(1.0)
}

/// Whether the shares sum to 1, none exceeds its maximum, and no shift between two endpoints lowers the cost. If
/// shares depend on free capacity alone, those below their maximum must be proportional to it instead.
fn is_optimal(generated: &[GeneratedModel], rate: u8) -> bool {
    let mut models: Vec<QueueModel> = generated.iter().copied().map(queue_model).collect();
    let service_rate: f64 = models.iter().map(|model| model.service_rate).sum();
    for model in &mut models {
        model.max_share = 1.5 * model.service_rate / service_rate;
    }
    let arrival_rate = (f64::from(rate) / 500.0).max(service_rate / 3.0);
    let shares = split(&models, arrival_rate);
    if models.is_empty() {
        return shares.is_empty();
    }
    let sum: f64 = shares.iter().sum();
    let mut pairs = shares.iter().zip(&models);
    let within_bounds =
        pairs.all(|(share, model)| (-1e-9..=model.max_share + 1e-9).contains(share));
    let optimal = if is_flat(&models, arrival_rate) {
        is_proportional_to_free_capacity(&models, &shares)
    } else {
        has_equal_marginal_costs(&models, &shares, arrival_rate)
    };
    shares.len() == models.len() && (sum - 1.0).abs() < 1e-6 && within_bounds && optimal
}

/// Tests the generated models, and the same models without locality costs.
fn is_optimal_with_and_without_locality_costs(generated: Vec<GeneratedModel>, rate: u8) -> bool {
    let local = generated.iter().copied();
    let local: Vec<_> = local
        .map(|(queue, rate, horizon, cost)| (queue, rate, horizon, cost % 128))
        .collect();
    is_optimal(&generated, rate) && is_optimal(&local, rate)
}

#[test]
fn the_split_meets_the_optimality_conditions() {
    quickcheck_with(3000).quickcheck(
        is_optimal_with_and_without_locality_costs as fn(Vec<GeneratedModel>, u8) -> bool,
    );
}

#[test]
fn the_split_handles_edge_cases() {
    assert!(split(&[], 1.0).is_empty());
    let one = QueueModel {
        queue: 3.0,
        service_rate: 0.01,
        horizon_ms: 100.0,
        cost_ms: 0.0,
        locality_cost_ms: 0.0,
        max_share: 1.0,
    };
    let with_queue = |queue| QueueModel { queue, ..one };
    assert_eq!(split(&[one], 0.02), [1.0]);
    let shares = split(&[50.0, 50.0, 5000.0].map(with_queue), 0.02);
    assert!(
        (shares[0] - 0.5).abs() < 1e-6 && shares[2] < 1e-6,
        "the endpoint with the longest queue gets no share: {shares:?}"
    );
    let shares = split(&[3.0, 0.0].map(with_queue), 0.0);
    assert!(
        (shares.iter().sum::<f64>() - 1.0).abs() < 1e-6,
        "no arrivals: {shares:?}"
    );
}
