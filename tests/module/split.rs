//! The split's optimality, on generated inputs and at the edges.

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

/// The marginal cost of an endpoint's share: just under it and just over it.
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

/// Whether free capacity alone decides: all arrivals fit into it, and no way is longer than another.
fn is_flat(models: &[QueueModel], arrival_rate: f64) -> bool {
    let usable = models.iter().filter(|model| free_rate(model) > 0.0);
    let usable: f64 = usable.map(|model| model.max_share).sum();
    let mut pairs = models.windows(2);
    let equally_far = pairs.all(|pair| pair[0].locality_cost_ms == pair[1].locality_cost_ms);
    let free: f64 = models.iter().map(free_rate).sum();
    equally_far && free > arrival_rate && usable > 1.0
}

/// Whether shares under their most go by free capacity.
fn goes_by_free_capacity(models: &[QueueModel], shares: &[f64]) -> bool {
    let pairs = models.iter().zip(shares);
    let open: Vec<(f64, f64)> = pairs
        .filter(|(model, share)| **share < model.max_share - 1e-6 && free_rate(model) > 0.0)
        .map(|(model, share)| (free_rate(model), *share))
        .collect();
    let mut neighbours = open.windows(2);
    neighbours.all(|pair| (pair[0].1 * pair[1].0 - pair[1].1 * pair[0].0).abs() < 1e-6)
}

/// Whether no shift between two endpoints lowers the cost.
fn has_level_costs(models: &[QueueModel], shares: &[f64], arrival_rate: f64) -> bool {
    let mut highest_given = 0.0_f64;
    let mut lowest_taken = f64::MAX;
    for (model, share) in models.iter().zip(shares) {
        let (under, over) = marginal_costs(model, *share, arrival_rate);
        if *share > 1e-6 {
            highest_given = highest_given.max(under);
        }
        if *share < model.max_share - 1e-6 {
            lowest_taken = lowest_taken.min(over);
        }
    }
    highest_given <= lowest_taken + 1e-3 * highest_given.max(1.0)
}

/// Shares sum to one, none over its most. Where free capacity does not decide alone, no shift between two
/// endpoints lowers the cost; where it does, uncapped shares go by free capacity.
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
    let bounded = pairs.all(|(share, model)| (-1e-9..=model.max_share + 1e-9).contains(share));
    let level = if is_flat(&models, arrival_rate) {
        goes_by_free_capacity(&models, &shares)
    } else {
        has_level_costs(&models, &shares, arrival_rate)
    };
    shares.len() == models.len() && (sum - 1.0).abs() < 1e-6 && bounded && level
}

fn is_optimal_near_and_far(generated: Vec<GeneratedModel>, rate: u8) -> bool {
    let near = generated.iter().copied();
    let near: Vec<_> = near
        .map(|(queue, rate, horizon, cost)| (queue, rate, horizon, cost % 128))
        .collect();
    is_optimal(&generated, rate) && is_optimal(&near, rate)
}

#[test]
fn the_split_meets_the_optimality_conditions() {
    quickcheck_with(3000)
        .quickcheck(is_optimal_near_and_far as fn(Vec<GeneratedModel>, u8) -> bool);
}

#[test]
fn the_split_holds_at_the_edges() {
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
        "the fullest gets none: {shares:?}"
    );
    let shares = split(&[3.0, 0.0].map(with_queue), 0.0);
    assert!(
        (shares.iter().sum::<f64>() - 1.0).abs() < 1e-6,
        "zero arrivals: {shares:?}"
    );
}
