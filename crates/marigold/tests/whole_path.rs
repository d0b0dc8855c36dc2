//! Requests through entries, agents and stand-ins in separate processes.

use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::Plan;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn run_pipeline_and_receipt() {
    let cluster = Cluster::start(marigold_testbed::binaries!(), &Plan::small(), "whole-path").await;
    let input = json!({ "question": "who owes rent at stall 14?" });
    let digest = marigold_core::digest::body(&input.to_string());

    let response = cluster.entries[0].run("answer", &input, None, None).await;
    assert_eq!(response.status, 200, "{}", response.body);
    let expected: Vec<String> = (0..24).map(|i| format!("{digest}.{i}")).collect();
    assert_eq!(response.body["result"], expected.join(" "));
    assert_eq!(response.body["stages"].as_array().map(Vec::len), Some(4));

    let events = cluster.entries[1].stream("answer", &input).await;
    let tokens: String = events
        .iter()
        .filter(|(name, _)| name == "token")
        .filter_map(|(_, data)| data["text"].as_str())
        .collect();
    assert_eq!(tokens, expected.join(" "));
    assert_eq!(events.last().map(|(name, _)| name.as_str()), Some("done"));

    let first = cluster.entries[0].record("record-receipt", "receipt-1", Some("key-1")).await;
    assert_eq!(first.status, 200, "{}", first.body);
    let retry = cluster.entries[1].record("record-receipt", "receipt-1", Some("key-1")).await;
    assert_eq!(retry.status, 200, "{}", retry.body);
    assert_eq!(retry.body["replayed"], true);
    assert_eq!(retry.body["result"], first.body["result"]);
    let mismatch =
        cluster.entries[1].record("record-receipt", "receipt-other", Some("key-1")).await;
    assert_eq!(mismatch.status, 422, "{}", mismatch.body);
    let unkeyed = cluster.entries[0].record("record-receipt", "receipt-2", None).await;
    assert_eq!(unkeyed.status, 200, "{}", unkeyed.body);

    let runs = cluster.run_counts("receipts").await;
    assert_eq!(runs.get("receipt-1"), Some(&1));
    assert_eq!(runs.get("receipt-2"), Some(&1));
    assert_eq!(runs.get("receipt-other"), None);
}
