//! The printed summary of a run.

use crankmux_fault_injection::{Report, Times};

/// Maximum number of violations that are printed; figures.json has all of them.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Prints the summary of a run.
pub(super) fn print(report: &Report) {
    print_cluster(report);
    print_service(report);
    println!("  rule violations {:?}", report.rules_broken);
    for violation in report.broken.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("    {violation}");
    }
}

fn format_times(times: &Times) -> String {
    format!(
        "{} samples, median {:.0} ms, p99 {:.0} ms, max {:.0} ms, never {}",
        times.count, times.median, times.p99, times.max, times.never
    )
}

fn print_cluster(report: &Report) {
    let mode = if report.cluster {
        "as a cluster"
    } else {
        "without a cluster"
    };
    println!(
        "{}: {} processes {mode}, {} proxies in the settings, seed {}",
        report.name, report.processes, report.configured_proxies, report.seed
    );
    if let Some(joined_ms) = report.joined_ms {
        let detection = format_times(&report.failure_detection);
        let convergence = format_times(&report.convergence);
        println!("  cluster joined after      {joined_ms:.0} ms");
        println!("  failure detection         {detection}");
        println!("  convergence after cuts    {convergence}");
        println!(
            "  estimated proxies at end  {:.1}",
            report.assumed_proxies_at_end
        );
        println!("  false alarms              {}", report.false_alarms);
    }
    if let Some((proxy, states)) = &report.seen_at_end {
        let states: Vec<String> = states
            .iter()
            .map(|(other, state)| format!("{other} {state}"))
            .collect();
        println!("  states at end, by proxy {proxy}: {}", states.join(", "));
    }
}

fn print_service(report: &Report) {
    let service = &report.service;
    let answerable = (service.requests - service.unanswered).max(1) as f64;
    println!(
        "  requests {}: in time {:.2}%, succeeded {:.2}%, rejected {}, failed {}, lost with their proxy {}",
        service.requests,
        100.0 * service.in_time as f64 / answerable,
        100.0 * service.succeeded as f64 / answerable,
        service.rejected,
        service.failed,
        service.unanswered
    );
    println!(
        "  latency median {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
        report.latency_ms.median, report.latency_ms.p99, report.latency_p999_ms
    );
    println!(
        "  per proxy: {:.0} datagram bytes/s, {:.1} ms CPU time/s",
        report.datagram_bytes_per_second, report.cpu_ms_per_second
    );
    println!(
        "  {} clients disconnected; attempts sent within 10, 30, 100 ms after and later: {:?}",
        report.clients_left, report.attempts_after_leaves
    );
}
