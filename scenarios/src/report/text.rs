//! Results as plain text, for report.md and the terminal.

use crankmux_simulator::invariants::RULES;
use crankmux_simulator::results::{ClassResults, LatencyPercentiles, RunResults, SecondResults};
use std::fmt::Write;

/// Label for violations of each rule, in the order of [`crankmux_simulator::invariants::Rule`].
const VIOLATION_LABELS: [&str; RULES] = [
    "ops lost",
    "effects twice",
    "drains not kept",
    "cold servers pushed over",
    "ops sent on for nobody",
];

/// Formats a table with one line per second.
pub fn seconds_table(results: &RunResults) -> String {
    let mut text = String::from(
        "second  wanted  service  in time  late  refused  failed  tries  pushes    p50 ms    p99 ms\n",
    );
    for second in &results.seconds {
        write_second(&mut text, second);
    }
    text
}

fn write_second(text: &mut String, second: &SecondResults) {
    let counts = &second.counts;
    let _ = writeln!(
        text,
        "{:6}  {:6}  {:7.2}  {:7}  {:4}  {:7}  {:6}  {:5}  {:6}  {:8.1}  {:8.1}",
        second.second,
        counts.calls,
        counts.service,
        counts.in_time,
        counts.late,
        counts.rejected,
        counts.failed,
        second.requests,
        second.attempts,
        second.p50_ms,
        second.p99_ms
    );
}

/// Formats the summary of one run.
pub fn summary(results: &RunResults) -> String {
    let mut text = String::new();
    let worst = results.worst_second;
    let _ = writeln!(
        text,
        "{}, {}, seed {}: service {:.2} of 100; worst second {} with {:.2}",
        results.script, results.policy, results.seed, results.service, worst.second, worst.service
    );
    for class in &results.classes {
        write_class(&mut text, class);
    }
    write_latency(&mut text, &results.latency_ms);
    let calls = results.totals.calls.max(1) as f64;
    let _ = writeln!(
        text,
        "  {:.2} tries a wish, {:.2} pushes a wish; servers fell over {}, turned slow by waiting {}",
        results.requests as f64 / calls,
        results.attempts as f64 / calls,
        results.endpoints_overloaded,
        results.endpoints_degraded
    );
    write_violations(&mut text, results.violations);
    text
}

fn write_class(text: &mut String, class: &ClassResults) {
    let counts = &class.counts;
    let _ = writeln!(
        text,
        "  {:16} {:7} wanted, service {:6.2}: {} in time, {} late, {} refused, {} failed",
        class.name,
        counts.calls,
        counts.service,
        counts.in_time,
        counts.late,
        counts.rejected,
        counts.failed
    );
}

fn write_latency(text: &mut String, latency: &LatencyPercentiles) {
    let _ = writeln!(
        text,
        "  latency ms: p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, p99.99 {:.1}, most {:.1}",
        latency.p50, latency.p90, latency.p99, latency.p999, latency.p9999, latency.max
    );
}

fn write_violations(text: &mut String, counts: [u64; RULES]) {
    let violations: Vec<String> = VIOLATION_LABELS
        .iter()
        .zip(counts)
        .filter(|(_, count)| *count > 0)
        .map(|(label, count)| format!("{count} {label}"))
        .collect();
    if violations.is_empty() {
        let _ = writeln!(text, "  rules kept");
    } else {
        let _ = writeln!(text, "  RULES BROKEN: {}", violations.join(", "));
    }
}
