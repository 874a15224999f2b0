//! What is printed and written: tables, report.md, charts as SVG, figures.json.

use crankmux_simulator::results::RunResults;
use crankmux_simulator::script::Script;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use std::fmt::Write;
use std::path::Path;

const RULES: [&str; 5] = [
    "ops lost",
    "effects twice",
    "drains not kept",
    "cold servers pushed over",
    "ops sent on for nobody",
];

/// Service by second.
pub fn seconds(figures: &RunResults) -> String {
    let mut text = String::from(
        "second  wanted  service  in time  late  refused  failed  tries  pushes    p50 ms    p99 ms\n",
    );
    for s in &figures.seconds {
        let c = &s.counts;
        let _ = writeln!(
            text,
            "{:6}  {:6}  {:7.2}  {:7}  {:4}  {:7}  {:6}  {:5}  {:6}  {:8.1}  {:8.1}",
            s.second,
            c.calls,
            c.service,
            c.in_time,
            c.late,
            c.rejected,
            c.failed,
            s.requests,
            s.attempts,
            s.p50_ms,
            s.p99_ms
        );
    }
    text
}

/// What one day came to.
pub fn summary(figures: &RunResults) -> String {
    let mut text = String::new();
    let f = figures;
    let _ = writeln!(
        text,
        "{}, {}, seed {}: service {:.2} of 100; worst second {} with {:.2}",
        f.script, f.policy, f.seed, f.service, f.worst_second.second, f.worst_second.service
    );
    for named in &f.classes {
        let c = &named.counts;
        let _ = writeln!(
            text,
            "  {:16} {:7} wanted, service {:6.2}: {} in time, {} late, {} refused, {} failed",
            named.name, c.calls, c.service, c.in_time, c.late, c.rejected, c.failed
        );
    }
    let l = &f.latency_ms;
    let _ = writeln!(
        text,
        "  latency ms: p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, p99.99 {:.1}, most {:.1}",
        l.p50, l.p90, l.p99, l.p999, l.p9999, l.max
    );
    let _ = writeln!(
        text,
        "  {:.2} tries a wish, {:.2} pushes a wish; servers fell over {}, turned slow by waiting {}",
        f.requests as f64 / f.totals.calls.max(1) as f64,
        f.attempts as f64 / f.totals.calls.max(1) as f64,
        f.endpoints_overloaded,
        f.endpoints_degraded
    );
    let broken: Vec<String> = RULES
        .iter()
        .zip(f.violations)
        .filter(|(_, n)| *n > 0)
        .map(|(rule, n)| format!("{n} {rule}"))
        .collect();
    let _ = match broken.is_empty() {
        true => writeln!(text, "  rules kept"),
        false => writeln!(text, "  RULES BROKEN: {}", broken.join(", ")),
    };
    text
}

type Drawn = Result<(), Box<dyn Error>>;
type Line<'a> = (&'a str, Vec<(f64, f64)>);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A white sheet with a title and room for axes.
fn framed<'a, 'b>(
    area: &'a Area<'b>,
    title: &str,
) -> Result<ChartBuilder<'a, 'b, SVGBackend<'b>>, Box<dyn Error>> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area);
    chart
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60);
    Ok(chart)
}

/// Lines over the day. Colours follow the order of the lines.
fn lines(path: &Path, title: &str, unit: &str, lines: &[Line]) -> Drawn {
    let all = || lines.iter().flat_map(|(_, points)| points);
    let most = all().map(|p| p.1).fold(1.0_f64, f64::max) * 1.05;
    let end = all().map(|p| p.0).fold(1.0_f64, f64::max);
    let area = SVGBackend::new(path, (900, 360)).into_drawing_area();
    let mut chart = framed(&area, title)?.build_cartesian_2d(0.0..end, 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc(unit)
        .draw()?;
    let colours = [&BLUE, &RED, &BLACK, &GREEN];
    for ((name, points), colour) in lines.iter().zip(colours) {
        let series = chart.draw_series(LineSeries::new(points.iter().copied(), colour))?;
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], *colour);
        series.label(*name).legend(key);
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn bars(path: &Path, title: &str, counts: &[u64]) -> Drawn {
    let most = counts.iter().copied().max().unwrap_or(1).max(1);
    let area = SVGBackend::new(path, (900, 360)).into_drawing_area();
    let mut chart = framed(&area, title)?
        .build_cartesian_2d(0..counts.len().max(1), 0..most + most / 20 + 1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("server")
        .y_desc("pushes")
        .draw()?;
    let bar =
        |(server, n): (usize, &u64)| Rectangle::new([(server, 0), (server + 1, *n)], BLUE.filled());
    chart.draw_series(counts.iter().enumerate().map(bar))?;
    area.present()?;
    Ok(())
}

/// Writes report.md with its charts, and figures.json.
pub fn write(out: &Path, script: &Script, figures: &[RunResults], json: &str) -> Drawn {
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("figures.json"), json)?;
    let first = &figures[0];
    let over = |of: &dyn Fn(&crankmux_simulator::results::SecondResults) -> f64| {
        first
            .seconds
            .iter()
            .map(|s| (s.second as f64, of(s)))
            .collect::<Vec<_>>()
    };
    let share = |n: u64, of: u64| 100.0 * n as f64 / of.max(1) as f64;
    lines(
        &out.join("service.svg"),
        "Service",
        "points of 100",
        &[("service", over(&|s| s.counts.service))],
    )?;
    lines(
        &out.join("refusals.svg"),
        "Refused and failed",
        "% of what was wanted",
        &[
            (
                "refused",
                over(&|s| share(s.counts.rejected, s.counts.calls)),
            ),
            ("failed", over(&|s| share(s.counts.failed, s.counts.calls))),
        ],
    )?;
    lines(
        &out.join("latency.svg"),
        "Time from first try to ack",
        "ms",
        &[("p50", over(&|s| s.p50_ms)), ("p99", over(&|s| s.p99_ms))],
    )?;
    bars(
        &out.join("servers.svg"),
        "Pushes by server",
        &first.attempts_by_endpoint,
    )?;
    let mut text = format!(
        "# {}\n\n{}\n\nSimulated servers, in virtual time.\n\n",
        script.name, script.about
    );
    for day in figures {
        let _ = writeln!(text, "```\n{}```\n", summary(day));
    }
    for (chart, title) in [
        ("service", "Service"),
        ("refusals", "Refusals"),
        ("latency", "Latency"),
        ("servers", "Servers"),
    ] {
        let _ = writeln!(text, "![{title}]({chart}.svg)\n");
    }
    let _ = writeln!(
        text,
        "Seed {} by second:\n\n```\n{}```",
        first.seed,
        seconds(first)
    );
    for life in &first.violation_reports {
        let _ = writeln!(text, "\nBroken: {life}");
    }
    std::fs::write(out.join("report.md"), text)?;
    Ok(())
}
