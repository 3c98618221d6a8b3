//! SVG plots of results.

use std::error::Error;
use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 540);
/// Highest quantile of a quantile curve, as the n in 1 - 10^-n.
const MAX_NINES: f64 = 4.0;

/// One line of a plot.
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points, joined in this order.
    pub points: Vec<(f64, f64)>,
}

impl Line {
    /// Creates the quantile curve of a latency histogram in microseconds. A point's x is the
    /// quantile in nines (2 is the 99th percentile), its y the latency in milliseconds.
    pub fn quantiles(name: impl Into<String>, histogram: &Histogram<u64>) -> Self {
        let steps = (MAX_NINES * 20.0) as u32;
        let points = (0..=steps).map(|step| {
            let nines = f64::from(step) / 20.0;
            let quantile = 1.0 - 10_f64.powf(-nines);
            (nines, histogram.value_at_quantile(quantile) as f64 / 1_000.0)
        });
        Self { name: name.into(), points: points.collect() }
    }
}

/// Title and axis labels of a plot.
pub struct Labels<'a> {
    /// Text above the plot.
    pub title: &'a str,
    /// Label of the horizontal axis.
    pub x: &'a str,
    /// Label of the vertical axis.
    pub y: &'a str,
}

/// Writes a line plot as an SVG file.
///
/// # Errors
///
/// Returns an error when the plot cannot be drawn or the file cannot be written.
pub fn write(path: &Path, labels: &Labels<'_>, lines: &[Line]) -> Result<(), Box<dyn Error>> {
    let all_points = || lines.iter().flat_map(|line| &line.points);
    let x_max = all_points().map(|point| point.0).fold(f64::MIN_POSITIVE, f64::max);
    let y_max = all_points().map(|point| point.1).fold(f64::MIN_POSITIVE, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(labels.title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max * 1.05)?;
    chart.configure_mesh().x_desc(labels.x).y_desc(labels.y).draw()?;
    for (index, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
        chart.draw_series(series)?.label(&line.name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 20, y)], colour.stroke_width(2))
        });
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
