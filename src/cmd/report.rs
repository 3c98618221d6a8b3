//! `report`: service levels, as nodes have measured them.

use std::{net::SocketAddr, process::ExitCode};

use argh::FromArgs;
use async_std::task;
use serde_json::{Value, json};
use tide::http::Method;

use super::{bad_usage, client::Call, failure};

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

    /// print a self-contained HTML page (not built yet)
    #[argh(switch)]
    html: bool,
}

/// Report of one node, or why there is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Fetched {
    /// Operator port that was asked.
    pub node: SocketAddr,
    /// The node's `/report`, or one sentence.
    pub report: Result<Value, String>,
}

impl Report {
    pub(super) fn run(self) -> ExitCode {
        if self.node.is_empty() {
            return bad_usage("at least one `--node ADDR` is needed");
        }
        if self.json && self.html {
            return bad_usage("`--json` and `--html` exclude each other");
        }
        if self.html {
            return failure("the HTML page is not built yet; `--json` prints what was measured");
        }
        let reports = task::block_on(fetch(&self.node));
        if self.json {
            println!("{}", to_json(&reports));
        } else {
            reports.iter().for_each(print_text);
        }
        match reports.iter().all(|fetched| fetched.report.is_ok()) {
            true => ExitCode::SUCCESS,
            false => failure("some nodes could not be reached; the report is partial"),
        }
    }
}

/// Fetches the reports of all nodes at the same time.
pub async fn fetch(nodes: &[SocketAddr]) -> Vec<Fetched> {
    let tasks: Vec<_> = nodes.iter().map(|node| task::spawn(fetch_one(*node))).collect();
    futures_util::future::join_all(tasks).await
}

async fn fetch_one(node: SocketAddr) -> Fetched {
    let call = Call { method: Method::Get, path: "/report", token: None, json: true, body: "" };
    let report = match call.send(node).await {
        Ok(answer) if answer.is_success() => serde_json::from_str(&answer.body)
            .map_err(|error| format!("node {node}: the report is not JSON: {error}")),
        Ok(answer) => Err(format!("node {node}: status {}", answer.status)),
        Err(error) => Err(error),
    };
    Fetched { node, report }
}

fn to_json(reports: &[Fetched]) -> Value {
    let one = |fetched: &Fetched| match &fetched.report {
        Ok(report) => json!({ "node": fetched.node, "report": report }),
        Err(error) => json!({ "node": fetched.node, "error": error }),
    };
    reports.iter().map(one).collect()
}

/// Prints the report as it came; a table for people is not built yet.
fn print_text(fetched: &Fetched) {
    match &fetched.report {
        Ok(report) => println!("node {}\n{report:#}", fetched.node),
        Err(error) => println!("{error}"),
    }
}
