//! Access metrics: every admitted request is counted once.

use crankmux::types::ClassId;
use crankmux_proxy::metrics::access::{AccessMetrics, RequestOutcome};
use quickcheck::{Gen, QuickCheck};

const REQUEST_CLASSES: usize = 4;

fn class_names() -> Vec<String> {
    (0..REQUEST_CLASSES)
        .map(|class| format!("c{class}"))
        .collect()
}

/// The sum of the metrics that have a class.
fn finished_requests(text: &str) -> u64 {
    let by_class = |line: &str| {
        let (name, value) = line.split_once('=')?;
        let value: u64 = value.parse().ok()?;
        name.contains('.').then_some(value)
    };
    text.lines().filter_map(by_class).sum()
}

#[test]
fn admitted_requests_are_the_sum_of_outcomes_and_outstanding() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let mut metrics = AccessMetrics::default();
        let mut open = Vec::new();
        let mut admitted = 0;
        let mut disconnected = 0;
        for (action, choice) in steps {
            let choice = usize::from(choice);
            if action % 3 == 0 || open.is_empty() {
                open.push(metrics.request_admitted(ClassId::new(choice % REQUEST_CLASSES)));
                admitted += 1;
                continue;
            }
            let receipt = open.swap_remove(choice % open.len());
            let outcomes = [
                RequestOutcome::Succeeded,
                RequestOutcome::Rejected,
                RequestOutcome::Failed,
                RequestOutcome::ClientDisconnected,
            ];
            let outcome = outcomes[usize::from(action) % outcomes.len()];
            disconnected += u64::from(outcome == RequestOutcome::ClientDisconnected);
            metrics.request_finished(receipt, outcome);
        }
        let text = metrics.to_text(&class_names(), 0);
        text.contains(&format!("outstanding={}\n", open.len()))
            && admitted == finished_requests(&text) + disconnected + open.len() as u64
    }
    let seeded = Gen::from_size_and_seed(200, 20_261_202);
    QuickCheck::new()
        .rng(seeded)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn the_text_names_every_class_and_omits_uploads_from_outstanding() {
    let mut metrics = AccessMetrics::default();
    let outcomes = [
        RequestOutcome::Succeeded,
        RequestOutcome::Rejected,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::Failed,
        RequestOutcome::Failed,
        RequestOutcome::ClientDisconnected,
    ];
    for outcome in outcomes {
        let receipt = metrics.request_admitted(ClassId::new(1));
        metrics.request_finished(receipt, outcome);
    }
    let _open = [0, 0].map(|class| metrics.request_admitted(ClassId::new(class)));
    metrics.attempts_forwarded = 9;
    metrics.reloads_applied = 4;
    metrics.reloads_rejected = 5;
    let names = ["view".to_string(), "pay".to_string()];
    let expected = "succeeded.view=0\ndeclined.view=0\naborted.view=0\n\
                    succeeded.pay=1\ndeclined.pay=2\naborted.pay=3\n\
                    outstanding=1\nforwards=9\nsighup_applied=4\nsighup_rejected=5\n";
    assert_eq!(metrics.to_text(&names, 1), expected);
}
