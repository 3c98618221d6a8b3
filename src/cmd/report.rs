//! `report`: burn of the error budgets, as measured by nodes.

use std::{net::SocketAddr, process::ExitCode};

use argh::FromArgs;
use async_std::task;
use oleandertiller_burn::{FleetReport, NodeReport};
use serde_json::json;
use tide::http::Method;

use super::{bad_usage, client::OperatorRequest, failure};
use crate::report::{html, text};

/// Print how service-level objectives are met.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// address of a node's operator port; may be given several times
    #[argh(option)]
    node: Vec<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    json: bool,

    /// print a self-contained HTML page
    #[argh(switch)]
    html: bool,
}

/// Answer of one node to a request for its report.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchedReport {
    /// Operator address of the node.
    pub node: SocketAddr,
    /// Report of the node, or an error message.
    pub report: Result<NodeReport, String>,
}

impl Report {
    pub(super) fn run(self) -> ExitCode {
        if self.node.is_empty() {
            return bad_usage("at least one `--node ADDR` is needed");
        }
        if self.json && self.html {
            return bad_usage("`--json` and `--html` exclude each other");
        }
        let reports = task::block_on(fetch(&self.node));
        let fleet = merge_reports(&reports);
        if self.json {
            println!("{}", json!(fleet));
        } else if self.html {
            print!("{}", html::render(&fleet));
        } else {
            print!("{}", text::render(&fleet));
        }
        match reports.iter().all(|fetched| fetched.report.is_ok()) {
            true => ExitCode::SUCCESS,
            false => failure("some nodes could not be reached; the report is partial"),
        }
    }
}

/// Fetches the reports of all nodes concurrently.
pub async fn fetch(nodes: &[SocketAddr]) -> Vec<FetchedReport> {
    let tasks: Vec<_> = nodes.iter().map(|node| task::spawn(fetch_one(*node))).collect();
    futures_util::future::join_all(tasks).await
}

async fn fetch_one(node: SocketAddr) -> FetchedReport {
    let req =
        OperatorRequest { method: Method::Get, path: "/report", token: None, json: true, body: "" };
    let report = match req.send(node).await {
        Ok(res) if res.is_success() => serde_json::from_str(&res.body)
            .map_err(|error| format!("node {node}: the report cannot be read: {error}")),
        Ok(res) => Err(format!("node {node}: status {}", res.status)),
        Err(error) => Err(error),
    };
    FetchedReport { node, report }
}

/// Merges the reports and lists the nodes whose report is missing.
fn merge_reports(reports: &[FetchedReport]) -> FleetReport {
    let mut fleet = FleetReport::default();
    for fetched in reports {
        match &fetched.report {
            Ok(report) => fleet.merge(report),
            Err(error) => {
                fleet.missing.insert(fetched.node.to_string(), error.clone());
            }
        }
    }
    fleet
}
