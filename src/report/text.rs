//! The error-budget report as text.

use std::fmt::Write;

use oleandertiller_burn::{FleetReport, KindReport};

use super::{format_percent, format_rate, format_window_length, sorted_causes};

/// Renders the report for a terminal.
pub fn render(report: &FleetReport) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = writeln!(text, "Service-level burn, as seen by {} node(s)", report.nodes.len());
    if let Some(shortest) = report.nodes.values().min() {
        let _ = writeln!(text, "The node that started last has counted for {shortest} s");
    }
    for (node, why) in &report.missing {
        let _ = writeln!(text, "Not in the report: {node}: {why}");
    }
    for (service, kinds) in &report.services {
        for (kind, report) in kinds {
            let _ = writeln!(
                text,
                "\n{service}/{kind}  objective {}",
                format_percent(report.objective_ppm)
            );
            render_kind(&mut text, report);
        }
    }
    text
}

fn render_kind(text: &mut String, report: &KindReport) {
    let _ = writeln!(
        text,
        "  {:>7} {:>10} {:>8} {:>8} {:>10}  burned by",
        "window", "requests", "allowed", "failed", "burn rate"
    );
    for window in &report.windows {
        let burned: Vec<_> = sorted_causes(window)
            .iter()
            .map(|(cause, n)| format!("{} {n}", cause.label()))
            .collect();
        let _ = writeln!(
            text,
            "  {:>7} {:>10} {:>8.1} {:>8} {:>10}  {}",
            format_window_length(window.seconds),
            window.total,
            window.allowed(report.objective_ppm),
            window.bad_total(),
            format_rate(window.burn_rate(report.objective_ppm)),
            if burned.is_empty() { "-".to_owned() } else { burned.join(", ") },
        );
    }
}
