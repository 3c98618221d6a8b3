//! Rendering of the burn report.

use std::time::{Duration, Instant};

use oleandertiller::report::{html, text};
use oleandertiller_burn::{
    FleetReport, KindReport, NodeReport, Recorder, recorder::REPORT_WINDOWS,
};
use oleandertiller_model::{ErrorKind, Outcome};

/// Returns the report of a node that ran ten minutes without failures, then a minute under
/// overload, and of one that could not be reached.
fn report() -> FleetReport {
    let start = Instant::now();
    let mut recorder = Recorder::new(start);
    for second in 0..660_u64 {
        let now = start + Duration::from_secs(second);
        for request in 0..10 {
            let overloaded = second >= 600 && request < 3;
            let outcome =
                if overloaded { Outcome::NotRun(ErrorKind::Overloaded) } else { Outcome::Done };
            recorder.record(outcome, 200, now);
        }
    }
    let now = start + Duration::from_secs(659);
    let kind = KindReport {
        objective_ppm: 999_000,
        windows: REPORT_WINDOWS.iter().map(|window| recorder.window(*window, now)).collect(),
        series: recorder.series(now),
    };
    let node = NodeReport {
        node: "kettle-1".into(),
        since_seconds: 660,
        services: [("kettle".into(), [("temper".into(), kind)].into())].into(),
    };
    let mut fleet = FleetReport::default();
    fleet.merge(&node);
    fleet.missing.insert("127.0.0.1:9".into(), "refused <connection>".into());
    fleet
}

/// Guards against a table that omits the cause or a missing node.
#[test]
fn text_report() {
    insta::assert_snapshot!(text::render(&report()));
}

/// Guards against a page that needs other files, lacks its plot or does not escape text.
#[test]
fn html_report_is_self_contained() {
    let page = html::render(&report());
    if let Ok(path) = std::env::var("REPORT_PAGE") {
        std::fs::write(path, &page).unwrap();
    }
    assert!(page.contains("<svg") && page.contains("overload 180"), "{page}");
    assert!(page.contains("refused &lt;connection&gt;"));
    assert!(!page.contains("src=") && !page.contains("href="));
}
