//! The error-budget report as a self-contained HTML page with plots.

use std::fmt::Write;

use oleandertiller_burn::{FleetReport, KindReport, report::SliceReport};
use plotters::prelude::*;

use super::{format_percent, format_rate, format_window_length, sorted_causes};

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PIXELS: (u32, u32) = (640, 220);

/// Smallest upper end of the burn rate axis, so that a quiet hour looks quiet.
const MIN_PLOT_TOP: f64 = 2.0;

/// Maximum burn rate plotted; a total failure at a strict objective is far above it.
const MAX_PLOT_RATE: f64 = 1_000.0;

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:60rem;\
padding:0 1rem;color:#1d2733}h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:2.2rem}\
table{border-collapse:collapse;width:100%}th,td{padding:.3rem .6rem;text-align:right;\
border-bottom:1px solid #d8dee6}th:last-child,td:last-child{text-align:left}\
.over{color:#b3261e;font-weight:600}.note{color:#5b6775}svg{max-width:100%;height:auto}";

/// Renders the report as one page without external references.
pub fn render(report: &FleetReport) -> String {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<p class=\"note\">As seen by {} node(s)",
        report.nodes.len()
    );
    if let Some(shortest) = report.nodes.values().min() {
        let _ = write!(page, "; the node that started last has counted for {shortest} s");
    }
    page.push_str(".</p>\n");
    for (node, why) in &report.missing {
        let (node, why) = (escape(node), escape(why));
        let _ = writeln!(page, "<p class=\"over\">Not in the report: {node}: {why}</p>");
    }
    for (service, kinds) in &report.services {
        for (kind, report) in kinds {
            let objective = format_percent(report.objective_ppm);
            let _ = writeln!(page, "<h2>{service}/{kind}, objective {objective}</h2>");
            render_table(&mut page, report);
            page.push_str(&plot(report));
        }
    }
    page.push_str("</body></html>\n");
    page
}

fn render_table(page: &mut String, report: &KindReport) {
    page.push_str(
        "<table><tr><th>window</th><th>requests</th><th>allowed to fail</th><th>failed</th>\
         <th>burn rate</th><th>burned by</th></tr>\n",
    );
    for window in &report.windows {
        let burn = window.burn_rate(report.objective_ppm);
        let class = if burn > 1.0 { " class=\"over\"" } else { "" };
        let burned: Vec<_> = sorted_causes(window)
            .iter()
            .map(|(cause, n)| format!("{} {n}", cause.label()))
            .collect();
        let _ = writeln!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{:.1}</td><td>{}</td><td{class}>{}</td>\
             <td>{}</td></tr>",
            format_window_length(window.seconds),
            window.total,
            window.allowed(report.objective_ppm),
            window.bad_total(),
            format_rate(burn),
            burned.join(", "),
        );
    }
    page.push_str("</table>\n");
}

/// Returns an SVG plot of the burn rate in the last hour; empty without requests.
fn plot(report: &KindReport) -> String {
    let mut svg = String::new();
    match draw(report, &mut svg) {
        Ok(()) if !report.series.is_empty() => svg,
        // A page without a plot is better than no page.
        _ => String::new(),
    }
}

/// Returns the burn rate of a slice, at most [`MAX_PLOT_RATE`].
fn slice_rate(slice: &SliceReport, objective_ppm: u32) -> f64 {
    let allowed = (1.0 - f64::from(objective_ppm) / 1e6).max(1e-6);
    (slice.bad as f64 / slice.total.max(1) as f64 / allowed).min(MAX_PLOT_RATE)
}

fn draw(report: &KindReport, svg: &mut String) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let oldest = report.series.first().map_or(1, |slice| slice.age_seconds);
    // At least two minutes, so that one slice does not fill the whole width soon after a start.
    let span_minutes = oldest.max(120) as f64 / 60.0;
    let rates: Vec<(f64, f64)> = report
        .series
        .iter()
        .map(|s| (-(s.age_seconds as f64) / 60.0, slice_rate(s, report.objective_ppm)))
        .collect();
    let top = rates.iter().map(|(_, rate)| *rate).fold(MIN_PLOT_TOP, f64::max) * 1.1;
    let area = SVGBackend::with_string(svg, PLOT_SIZE_PIXELS).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(52)
        .build_cartesian_2d(-span_minutes..0.0, 0.0..top)
        .map_err(erase_backend_error)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("minutes ago")
        .y_desc("burn rate")
        .x_label_formatter(&|x| format!("{:.0}", x.abs()))
        .draw()
        .map_err(erase_backend_error)?;
    let allowed = [(-span_minutes, 1.0), (0.0, 1.0)];
    chart
        .draw_series(LineSeries::new(allowed, &RGBColor(179, 38, 30)))
        .map_err(erase_backend_error)?;
    let points = rates.iter().map(|point| Circle::new(*point, 2, RGBColor(31, 90, 160).filled()));
    chart.draw_series(points).map_err(erase_backend_error)?;
    chart
        .draw_series(LineSeries::new(rates.clone(), &RGBColor(31, 90, 160)))
        .map_err(erase_backend_error)?;
    area.present().map_err(erase_backend_error)
}

/// Converts the errors of all drawing calls to one type. [`plot`] only checks that there is none,
/// and drawing into a string causes no I/O error.
fn erase_backend_error<E: std::error::Error + Send + Sync>(
    error: DrawingAreaErrorKind<E>,
) -> DrawingAreaErrorKind<std::io::Error> {
    let _ = error;
    DrawingAreaErrorKind::LayoutError
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
