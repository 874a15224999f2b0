//! Reports of a script's runs: report.md, its charts and figures.json.

mod charts;
mod text;

use crate::error::ReportError;
use crankmux_simulator::results::{RunResults, SecondResults};
use crankmux_simulator::script::Script;
use std::fmt::Write;
use std::path::Path;

pub use text::{seconds_table, summary};

/// File name and title of each chart, in the order of the report.
const CHARTS: [(&str, &str); 4] = [
    ("service", "Service"),
    ("refusals", "Refusals"),
    ("latency", "Latency"),
    ("servers", "Servers"),
];

/// Writes the report of a script's runs to a directory. The charts show the first run.
///
/// # Errors
///
/// A file cannot be written, or a chart cannot be drawn.
pub fn write(
    directory: &Path,
    script: &Script,
    results: &[RunResults],
    json: &str,
) -> Result<(), ReportError> {
    std::fs::create_dir_all(directory)?;
    std::fs::write(directory.join("figures.json"), json)?;
    draw_charts(directory, &results[0])?;
    std::fs::write(directory.join("report.md"), markdown(script, results))?;
    Ok(())
}

fn draw_charts(directory: &Path, run: &RunResults) -> Result<(), ReportError> {
    let per_second = |value: fn(&SecondResults) -> f64| -> Vec<(f64, f64)> {
        let seconds = run.seconds.iter();
        let points = seconds.map(|second| (second.second as f64, value(second)));
        points.collect()
    };
    charts::lines(
        &directory.join("service.svg"),
        "Service",
        "points of 100",
        &[("service", per_second(|second| second.counts.service))],
    )?;
    charts::lines(
        &directory.join("refusals.svg"),
        "Refused and failed",
        "% of what was wanted",
        &[
            ("refused", per_second(rejected_percent)),
            ("failed", per_second(failed_percent)),
        ],
    )?;
    charts::lines(
        &directory.join("latency.svg"),
        "Time from first try to ack",
        "ms",
        &[
            ("p50", per_second(|second| second.p50_ms)),
            ("p99", per_second(|second| second.p99_ms)),
        ],
    )?;
    charts::bars(
        &directory.join("servers.svg"),
        "Pushes by server",
        &run.attempts_by_endpoint,
    )
}

fn percent(count: u64, total: u64) -> f64 {
    100.0 * count as f64 / total.max(1) as f64
}

fn rejected_percent(second: &SecondResults) -> f64 {
    percent(second.counts.rejected, second.counts.calls)
}

fn failed_percent(second: &SecondResults) -> f64 {
    percent(second.counts.failed, second.counts.calls)
}

fn markdown(script: &Script, results: &[RunResults]) -> String {
    let first = &results[0];
    let mut text = format!(
        "# {}\n\n{}\n\nSimulated servers, in virtual time.\n\n",
        script.name, script.about
    );
    for run in results {
        let _ = writeln!(text, "```\n{}```\n", summary(run));
    }
    for (chart, title) in CHARTS {
        let _ = writeln!(text, "![{title}]({chart}.svg)\n");
    }
    let _ = writeln!(
        text,
        "Seed {} by second:\n\n```\n{}```",
        first.seed,
        seconds_table(first)
    );
    for violation in &first.violation_reports {
        let _ = writeln!(text, "\nBroken: {violation}");
    }
    text
}
