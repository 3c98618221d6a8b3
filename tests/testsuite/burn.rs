//! The `report` command, run against node processes.

use std::process::Command;

use async_std::task;
use serde_json::Value;

use crate::processes::{Fleet, NodeOptions};

fn report(args: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleandertiller"));
    let output = command.arg("report").args(args).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against a report that omits requests, or counts one at both nodes that it passes through.
#[test]
fn the_report_sums_the_requests_of_all_ingress_nodes() {
    task::block_on(async {
        let options = [
            NodeOptions::new("kettle-1", "khan-uul", "kettle"),
            NodeOptions::new("recipe-1", "bayangol", "recipe"),
        ];
        let fleet = Fleet::start(&options).await;
        for (node, requests) in fleet.nodes.iter().zip([3, 4]) {
            for _ in 0..requests {
                assert_eq!(node.get("/kettle/temper").await.status(), 200);
            }
        }
        let addresses = fleet.nodes.iter().map(|node| node.operator.to_string());
        let nodes: Vec<String> = addresses.flat_map(|a| ["--node".to_owned(), a]).collect();
        let mut args: Vec<&str> = nodes.iter().map(String::as_str).collect();
        args.push("--json");
        let json: Value = serde_json::from_str(&report(&args)).unwrap();
        let temper = &json["services"]["kettle"]["temper"];
        assert_eq!(temper["windows"][0]["total"], 7, "{json}");
        assert_eq!(json["nodes"].as_object().unwrap().len(), 2);
        args.pop();
        assert!(report(&args).contains("kettle/temper  objective 99.9%"));
    });
}
