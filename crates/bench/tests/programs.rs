//! Tests of the program `bench`, which starts real processes.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

fn run_bench(args: &[&str], out_dir: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_bench");
    let mut command = Command::new(program);
    let output = command.args(args).arg("--out").arg(out_dir).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    output
}

/// Reads the newest result file and checks that it has a plot.
fn read_result(dir: &Path) -> Value {
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
    run_bench(&[&args[..], &["--warmup", "1"]].concat(), dir.path());
    let result = read_result(dir.path());
    let direct = &result["rates"][0]["direct"];
    assert!(direct["summary"]["offered"].as_u64().unwrap() > 100);
    assert_eq!(direct["summary"]["goodput"], 1.0);
    assert!(direct["cpu_us_per_call"]["upstream owner"].is_number());
    assert!(result["memory"][0]["loaded"].as_u64().unwrap() > 0);
    assert!(result["rates"][0]["through"].is_null());
}

/// Guards against a comparison that leaves out a policy or starts only a part of the fleet, and
/// against a fault without effect.
#[test]
fn compare_runs_the_baselines_without_nodes() {
    let dir = tempfile::tempdir().unwrap();
    let args = ["compare", "--upstreams-only", "--deployment", "tuul", "--fault", "failing"];
    let short = ["--rate", "300", "--seconds", "3", "--warmup", "1", "--duplicate-share", "0.5"];
    run_bench(&[&args[..], &short[..]].concat(), dir.path());
    let result = read_result(dir.path());
    let variants = result["variants"].as_array().unwrap();
    let policies: Vec<_> = variants.iter().map(|v| v["policy"].as_str().unwrap()).collect();
    assert_eq!(policies, ["random", "round-robin", "least-in-flight"]);
    for variant in variants {
        let failed = &variant["summary"]["kinds"]["kettle/temper"]["counts"]["failed 500"];
        assert!(failed.as_u64().unwrap() > 0, "the fault has no effect with {}", variant["policy"]);
        let run_twice = variant["checks"]["run_twice"].as_u64().unwrap();
        assert!(run_twice > 0, "without nodes, nothing prevents a second run of a duplicate");
    }
}

/// Guards against settings that nodes reject, and against calls that do not pass through both
/// nodes.
#[test]
fn path_measures_two_nodes() {
    let dir = tempfile::tempdir().unwrap();
    let args = ["path", "--rate", "200", "--seconds", "1", "--rounds", "1", "--warmup", "1"];
    run_bench(&args, dir.path());
    let result = read_result(dir.path());
    let through = &result["rates"][0]["through"];
    let temper = &through["summary"]["kinds"]["kettle/temper"];
    assert_eq!(temper["counts"]["done"], temper["offered"], "{temper}");
    for node in ["node ingress", "node owner"] {
        assert!(through["cpu_us_per_call"][node].as_f64() > Some(0.0), "{through}");
    }
    assert!(result["rates"][0]["added"]["p50"].as_f64() > Some(0.0));
}

/// Guards against a policy or a statement that nodes do not know, requests that run in a zone that
/// is out of service, and duplicates that run twice although nodes are used.
#[test]
fn compare_runs_a_policy_of_nodes() {
    let dir = tempfile::tempdir().unwrap();
    let args = ["compare", "--policy", "round-robin", "--fault", "zone", "--rate", "300"];
    // The zone is out for the middle third of the run, which must be longer than the 3 s after
    // which a request that runs there counts as late.
    let short = ["--seconds", "12", "--warmup", "1", "--duplicate-share", "0.5"];
    run_bench(&[&args[..], &short[..]].concat(), dir.path());
    let result = read_result(dir.path());
    let variant = &result["variants"][0];
    assert_eq!(variant["policy"], "round-robin");
    let kinds = variant["summary"]["kinds"].as_object().unwrap();
    assert_eq!(kinds.len(), 4);
    for (kind, summary) in kinds {
        assert!(summary["counts"]["done"].as_u64() > Some(0), "{kind}: {summary:#}");
        let has_wrong = summary["counts"]
            .as_object()
            .unwrap()
            .keys()
            .any(|outcome| outcome.starts_with("wrong"));
        assert!(!has_wrong, "{kind}: {summary:#}");
    }
    assert!(kinds["recipe/release"]["repeats"].as_u64() > Some(0), "{variant:#}");
    assert_eq!(variant["checks"]["run_twice"], 0, "{variant:#}");
    assert_eq!(variant["checks"]["zone_out_late"], 0, "{variant:#}");
}
