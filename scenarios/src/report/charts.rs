//! SVG charts.

use crate::error::ReportError;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Width and height of a chart, in pixels.
const SIZE: (u32, u32) = (900, 360);
/// Upper end of the y axis, as a multiple of the highest value.
const HEADROOM: f64 = 1.05;
/// Colours of the lines, in order.
const LINE_COLOURS: [&RGBColor; 4] = [&BLUE, &RED, &BLACK, &GREEN];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// The name of a line and its points.
pub(super) type Line<'a> = (&'a str, Vec<(f64, f64)>);

/// A chart on a white background, with a title and space for axis labels.
fn chart_builder<'a, 'b>(
    area: &'a Area<'b>,
    title: &str,
) -> Result<ChartBuilder<'a, 'b, SVGBackend<'b>>, ReportError> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area);
    chart
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60);
    Ok(chart)
}

/// Draws a line chart over the seconds of a run.
pub(super) fn lines(
    path: &Path,
    title: &str,
    unit: &str,
    lines: &[Line],
) -> Result<(), ReportError> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let highest = points().map(|point| point.1).fold(1.0_f64, f64::max) * HEADROOM;
    let end = points().map(|point| point.0).fold(1.0_f64, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let mut chart = chart_builder(&area, title)?.build_cartesian_2d(0.0..end, 0.0..highest)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc(unit)
        .draw()?;
    for ((name, points), colour) in lines.iter().zip(LINE_COLOURS) {
        let series = chart.draw_series(LineSeries::new(points.iter().copied(), colour))?;
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], *colour);
        series.label(*name).legend(legend);
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Draws a bar chart with one bar per endpoint.
pub(super) fn bars(path: &Path, title: &str, counts: &[u64]) -> Result<(), ReportError> {
    let highest = counts.iter().copied().max().unwrap_or(1).max(1);
    let axis_end = highest + highest / 20 + 1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let mut chart =
        chart_builder(&area, title)?.build_cartesian_2d(0..counts.len().max(1), 0..axis_end)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("server")
        .y_desc("pushes")
        .draw()?;
    let bar = |(endpoint, count): (usize, &u64)| {
        Rectangle::new([(endpoint, 0), (endpoint + 1, *count)], BLUE.filled())
    };
    chart.draw_series(counts.iter().enumerate().map(bar))?;
    area.present()?;
    Ok(())
}
