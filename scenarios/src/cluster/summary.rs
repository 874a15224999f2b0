//! What is printed of a run.

use crankmux_fault_injection::{Report, Times};

/// Broken rules that are printed in words; figures.json has all.
const BROKEN_PRINTED: usize = 5;

/// Prints a run's figures in a few lines.
pub(super) fn print(report: &Report) {
    print_cluster(report);
    print_service(report);
    println!("  rules broken {:?}", report.rules_broken);
    for broken in report.broken.iter().take(BROKEN_PRINTED) {
        println!("    {broken}");
    }
}

fn times(times: &Times) -> String {
    format!(
        "{} of them, median {:.0} ms, p99 {:.0} ms, most {:.0} ms, never {}",
        times.count, times.median, times.p99, times.max, times.never
    )
}

fn print_cluster(report: &Report) {
    let known = if report.cluster {
        "know each other"
    } else {
        "do not know each other"
    };
    println!(
        "{}: {} processes that {known}, told {}, seed {}",
        report.name, report.processes, report.configured_proxies, report.seed
    );
    if let Some(joined_ms) = report.joined_ms {
        let detection = times(&report.failure_detection);
        let convergence = times(&report.convergence);
        println!("  all knew all after        {joined_ms:.0} ms");
        println!("  kills and standstills     {detection}");
        println!("  cuts healed               {convergence}");
        println!(
            "  nodes assumed at the end  {:.1}",
            report.assumed_proxies_at_end
        );
        println!("  live ones taken for failed {}", report.false_alarms);
    }
    if let Some((proxy, states)) = &report.seen_at_end {
        let states: Vec<String> = states
            .iter()
            .map(|(other, state)| format!("{other} {state}"))
            .collect();
        println!("  node {proxy} sees at the end  {}", states.join(", "));
    }
}

fn print_service(report: &Report) {
    let service = &report.service;
    let owed = (service.requests - service.unanswered).max(1) as f64;
    println!(
        "  ops {}: acked in time {:.2}%, acked {:.2}%, nacked {}, dead-lettered {}, gone with their node {}",
        service.requests,
        100.0 * service.in_time as f64 / owed,
        100.0 * service.succeeded as f64 / owed,
        service.rejected,
        service.failed,
        service.unanswered
    );
    println!(
        "  latency median {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
        report.latency_ms.median, report.latency_ms.p99, report.latency_p999_ms
    );
    println!(
        "  a node: {:.0} bytes of datagrams a second, {:.1} ms of a processor a second",
        report.datagram_bytes_per_second, report.cpu_ms_per_second
    );
    println!(
        "  {} clients left while they waited; pushes of theirs under 10, 30, 100 ms later and over: {:?}",
        report.clients_left, report.attempts_after_leaves
    );
}
