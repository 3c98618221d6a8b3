//! Operators' statements, the report and the metrics.

use async_std::task;

use crate::processes::{Fleet, NodeOptions, STEP_TIMEOUT, call, wait_until};

/// Guards against commands without a token, and against answers that do not give the result of a
/// command or the age of their data.
#[test]
fn statements_are_answered() {
    task::block_on(async {
        let fleet = Fleet::start(&[NodeOptions::new("a-1", "zone-a", "kettle")]).await;
        let node = &fleet.nodes[0];
        let refused = call(node.operator, "POST", "/ask", &[], "zone zone-b out").await;
        assert_eq!(refused.status(), 401);
        let (status, answer) = node.ask("zone zone-b out").await;
        assert_eq!((status, &answer["result"]), (200, &"accepted".into()), "{answer}");
        let id = answer["operation"].as_str().unwrap().to_owned();
        let (_, operation) = node.ask(&format!("operation {id}")).await;
        assert_eq!(operation["revision"], answer["revision"]);
        let (_, history) = node.ask("history of zone-b last 1").await;
        assert_eq!(history["rows"][0]["author"], "tester", "{history}");
        assert_eq!(history["rows"][0]["operation"], id);
        let text = call(node.operator, "POST", "/ask", &[], "show zones").await;
        let text = String::from_utf8(text.body).unwrap();
        assert!(text.contains("zone-b  out") && text.contains("confirmed by the store"), "{text}");
        let (status, _) = node.ask("zone zone-b sideways").await;
        assert_eq!(status, 400);
        let (status, answer) = node.ask("cancel rollout kettle").await;
        assert_eq!((status, &answer["result"]), (409, &"not-accepted".into()), "{answer}");
    });
}

/// Guards against a command that is written twice, or reported as failed, after the store's answer
/// to the write was lost.
#[test]
fn a_lost_answer_of_the_store_does_not_change_the_result() {
    task::block_on(async {
        let fleet = Fleet::start(&[NodeOptions::new("a-1", "zone-a", "kettle")]).await;
        let node = &fleet.nodes[0];
        fleet.store.set_faults(r#"{"lose_answers":1}"#).await;
        node.command("budget measuring 2%").await;
        let (_, history) = node.ask("history last 50").await;
        let rows = history["rows"].as_array().unwrap();
        let changes = rows.iter().filter(|row| row["change"] == "budget measuring 2%");
        assert_eq!(changes.count(), 1, "{history}");
    });
}

/// Returns the value of a metric without labels.
fn value(metrics: &str, name: &str) -> f64 {
    let line = metrics.lines().find(|line| line.split(' ').next() == Some(name));
    let value = line.and_then(|line| line.split(' ').nth(1)?.parse::<f64>().ok());
    value.unwrap_or_else(|| panic!("no value of the metric {name} in\n{metrics}"))
}

/// Guards against counts that are missing from the report, and metrics of the control services that
/// stay at zero.
#[test]
fn report_and_metrics_count_requests_and_control_traffic() {
    task::block_on(async {
        let options = [
            NodeOptions::new("a-1", "zone-a", "kettle"),
            NodeOptions::new("b-1", "zone-b", "recipe"),
        ];
        let fleet = Fleet::start(&options).await;
        let node = &fleet.nodes[0];
        for _ in 0..3 {
            assert_eq!(node.get("/kettle/temper").await.status(), 200);
        }
        let report = call(node.operator, "GET", "/report", &[], "").await;
        let report: serde_json::Value = serde_json::from_slice(&report.body).unwrap();
        assert!(report["started-ms"].as_u64().unwrap() > 0);
        let kinds = report["kinds"].as_array().unwrap();
        let temper = kinds.iter().find(|kind| kind["kind"] == "temper").unwrap();
        assert_eq!(temper["counts"][0]["outcome"], "done", "{report}");
        assert_eq!(temper["counts"][0]["count"], 3, "{report}");
        let metrics = || async {
            let answer = call(node.operator, "GET", "/metrics", &[], "").await;
            String::from_utf8(answer.body).unwrap()
        };
        // The control services set their gauges periodically, and the other node may join later.
        let gauges_set = || async {
            let metrics = metrics().await;
            let value = |name: &str| value(&metrics, &format!("oleandertiller_{name}"));
            value("members") == 2.0 && value("stale") == 0.0 && value("intent_revision") >= 2.0
        };
        wait_until(
            STEP_TIMEOUT,
            "the gauges show two members with the intent in force",
            gauges_set,
            node,
        )
        .await;
        let metrics = metrics().await;
        let value = |name: &str| value(&metrics, name);
        for name in ["gossip_sent_total", "gossip_received_bytes_total", "store_calls_total"] {
            assert!(value(&format!("oleandertiller_{name}")) > 0.0, "{name} is zero");
        }
        assert_eq!(value("oleandertiller_members"), 2.0);
        assert_eq!(value("oleandertiller_stale"), 0.0);
        assert!(value("oleandertiller_intent_revision") >= 2.0);
    });
}
