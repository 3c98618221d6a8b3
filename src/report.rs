//! Rendering of the report on the error budgets of request kinds, as text and as HTML.

pub mod html;
pub mod text;

use oleandertiller_burn::{Cause, WindowReport};

/// Formats the length of a window in the largest unit of which it is a whole number, such as
/// `5 min`.
fn format_window_length(seconds: u64) -> String {
    match seconds {
        s if s % 3_600 == 0 => format!("{} h", s / 3_600),
        s if s % 60 == 0 => format!("{} min", s / 60),
        s => format!("{s} s"),
    }
}

/// Formats an objective in percent, without trailing zeros.
fn format_percent(ppm: u32) -> String {
    let text = format!("{:.4}", f64::from(ppm) / 1e4);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

/// Formats a burn rate with two decimals; it is infinite when no failure is allowed.
fn format_rate(rate: f64) -> String {
    if rate.is_finite() { format!("{rate:.2}") } else { "unbounded".to_owned() }
}

/// Returns the causes of failures in a window with their counts, the largest first.
fn sorted_causes(window: &WindowReport) -> Vec<(Cause, u64)> {
    let mut causes: Vec<_> =
        Cause::ALL.into_iter().zip(window.bad).filter(|(_, n)| *n > 0).collect();
    causes.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
    causes
}
