//! The program `bench` with real processes.

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

/// Guards against settings that nodes refuse, and against calls that do not pass through both
/// nodes.
#[test]
fn path_measures_two_nodes() {
    let dir = tempfile::tempdir().unwrap();
    let args = ["path", "--rate", "200", "--seconds", "1", "--rounds", "1", "--warmup", "1"];
    bench(&args, dir.path());
    let result = result(dir.path());
    let through = &result["rates"][0]["through"];
    let temper = &through["summary"]["kinds"]["kettle/temper"];
    assert_eq!(temper["counts"]["done"], temper["offered"], "{temper}");
    for node in ["node ingress", "node owner"] {
        assert!(through["cpu_us_per_call"][node].as_f64() > Some(0.0), "{through}");
    }
    assert!(result["rates"][0]["added"]["p50"].as_f64() > Some(0.0));
}

/// Guards against a policy or a command that nodes do not know, a zone that gets work after it went
/// out, and duplicates that run twice behind nodes.
#[test]
fn compare_runs_a_policy_of_nodes() {
    let dir = tempfile::tempdir().unwrap();
    let args = ["compare", "--policy", "round-robin", "--fault", "zone", "--rate", "300"];
    // The zone is out for the middle third, which must be longer than the 3 s it has to get empty.
    let short = ["--seconds", "12", "--warmup", "1", "--duplicate-share", "0.5"];
    bench(&[&args[..], &short[..]].concat(), dir.path());
    let result = result(dir.path());
    let variant = &result["variants"][0];
    assert_eq!(variant["policy"], "round-robin");
    let kinds = variant["summary"]["kinds"].as_object().unwrap();
    assert_eq!(kinds.len(), 4);
    for (kind, of) in kinds {
        assert!(of["counts"]["done"].as_u64() > Some(0), "{kind}: {of:#}");
        let wrong = of["counts"].as_object().unwrap().keys().any(|end| end.starts_with("wrong"));
        assert!(!wrong, "{kind}: {of:#}");
    }
    assert!(kinds["recipe/release"]["repeats"].as_u64() > Some(0), "{variant:#}");
    assert_eq!(variant["checks"]["run_twice"], 0, "{variant:#}");
    assert_eq!(variant["checks"]["zone_out_late"], 0, "{variant:#}");
}
