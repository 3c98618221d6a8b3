//! The `demo` subcommand, run as a process.

use std::process::{Command, Stdio};

use serde_json::Value;

fn demo(args: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleandertiller"));
    command.env_remove("ASYNC_STD_THREAD_COUNT").arg("demo").args(args);
    let output = command.stdin(Stdio::null()).output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// Guards against a demo that does not start both deployments, that applies no load, or whose
/// exit status does not follow from its report.
#[test]
fn a_short_demo_holds_its_invariants() {
    let (status, out, progress) = demo(&["--seconds", "8", "--json"]);
    let report: Value = serde_json::from_str(&out).unwrap_or_else(|e| panic!("{e}: {progress}"));
    assert_eq!((status, &report["held"]), (Some(0), &Value::Bool(true)), "{report:#}");
    assert_eq!(report["violations"], Value::Array(Vec::new()));
    let names = [0, 1].map(|n| &report["deployments"][n]["name"]);
    assert_eq!(names, ["tuul", "trunkworks"]);
    for deployment in report["deployments"].as_array().unwrap() {
        check_deployment(deployment);
        let zone = deployment["zone"]["name"].as_str().unwrap();
        for state in ["out", "in"] {
            assert!(progress.contains(&format!("`zone {zone} {state}` accepted")), "{progress}");
        }
    }
}

fn check_deployment(deployment: &Value) {
    let kinds = deployment["kinds"].as_object().unwrap();
    assert_eq!(kinds.len(), 4, "{deployment:#}");
    for (kind, results) in kinds {
        assert!(results["counts"]["done"].as_u64() > Some(0), "{kind}: {results:#}");
        assert!(results["latency"]["p999"].as_f64() > Some(0.0), "{kind}: {results:#}");
    }
    // Without repeats by clients, any node would run each request at most once.
    let repeats = kinds.values().filter_map(|results| results["repeats"].as_u64()).sum::<u64>();
    assert!(repeats > 0, "{deployment:#}");
    let invariants = deployment["invariants"].as_object().unwrap();
    assert_eq!(invariants.len(), 5, "{deployment:#}");
    assert!(invariants.values().all(|count| *count == 0), "{deployment:#}");
    assert!(deployment["zone"]["run-before"].as_u64() > Some(0), "{deployment:#}");
    assert!(deployment["measuring"]["calls"].as_u64() > Some(0), "{deployment:#}");
}

/// Guards against a run that is too short to check the invariant on zones taken out of service.
#[test]
fn a_demo_that_is_too_short_is_a_usage_error() {
    let (status, out, error) = demo(&["--seconds", "7"]);
    assert_eq!((status, out.as_str()), (Some(2), ""));
    assert_eq!(error, "--seconds 7: expected 8 to 600\n");
}
