//! The program `bench` with real processes, without nodes.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

fn bench(args: &[&str], out: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_bench");
    let mut command = Command::new(program);
    let out = command.args(args).arg("--out").arg(out).output().unwrap();
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    out
}

fn result(dir: &Path) -> Value {
    let files = fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path());
    let json = files.filter(|path| path.extension().is_some_and(|e| e == "json")).max().unwrap();
    assert!(json.with_extension("svg").is_file());
    serde_json::from_slice(&fs::read(json).unwrap()).unwrap()
}

/// Guards against a direct path that is not measured, or CPU time and memory that are not read.
#[test]
fn path_measures_an_upstream_alone() {
    let dir = tempfile::tempdir().unwrap();
    let args = ["path", "--upstream-only", "--rate", "200", "--seconds", "1", "--rounds", "1"];
    bench(&[&args[..], &["--warmup", "1"]].concat(), dir.path());
    let result = result(dir.path());
    let direct = &result["rates"][0]["direct"];
    assert!(direct["summary"]["offered"].as_u64().unwrap() > 100);
    assert_eq!(direct["summary"]["goodput"], 1.0);
    assert!(direct["cpu_us_per_call"]["upstream owner"].is_number());
    assert!(result["memory"][0]["loaded"].as_u64().unwrap() > 0);
    assert!(result["rates"][0]["through"].is_null());
}

/// Guards against a comparison that loses a policy or does not start the whole fleet.
#[test]
fn compare_runs_the_baselines_without_nodes() {
    let dir = tempfile::tempdir().unwrap();
    let args = ["compare", "--upstreams-only", "--deployment", "tuul", "--fault", "failing"];
    let short = ["--rate", "300", "--seconds", "3", "--warmup", "1", "--duplicate-share", "0.5"];
    bench(&[&args[..], &short[..]].concat(), dir.path());
    let result = result(dir.path());
    let variants = result["variants"].as_array().unwrap();
    let policies: Vec<_> = variants.iter().map(|v| v["policy"].as_str().unwrap()).collect();
    assert_eq!(policies, ["random", "round-robin", "least-in-flight"]);
    for variant in variants {
        let failed = &variant["summary"]["kinds"]["kettle/temper"]["counts"]["failed 500"];
        assert!(failed.as_u64().unwrap() > 0, "the fault acts under {}", variant["policy"]);
        let twice = variant["checks"]["run_twice"].as_u64().unwrap();
        assert!(twice > 0, "nothing but the nodes prevents a second run of a duplicate");
    }
}
