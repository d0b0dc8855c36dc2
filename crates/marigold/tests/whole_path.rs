//! The whole path through separate processes.

use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::Plan;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn run_pipeline_and_receipt() {
    let bed = Cluster::start(marigold_testbed::binaries!(), &Plan::small(), "whole-path").await;
    let input = json!({ "question": "who owes rent at stall 14?" });
    let digest = marigold_core::digest::body(&input.to_string());

    let answer = bed.entries[0].run("answer", &input, None, None).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let expected: Vec<String> = (0..24).map(|i| format!("{digest}.{i}")).collect();
    assert_eq!(answer.body["result"], expected.join(" "));
    assert_eq!(answer.body["stages"].as_array().map(Vec::len), Some(4));

    let events = bed.entries[1].stream("answer", &input).await;
    let tokens: String = events
        .iter()
        .filter(|(name, _)| name == "token")
        .filter_map(|(_, data)| data["text"].as_str())
        .collect();
    assert_eq!(tokens, expected.join(" "));
    assert_eq!(events.last().map(|(name, _)| name.as_str()), Some("done"));

    let first = bed.entries[0].record("record-receipt", "receipt-1", Some("key-1")).await;
    assert_eq!(first.status, 200, "{}", first.body);
    let again = bed.entries[1].record("record-receipt", "receipt-1", Some("key-1")).await;
    assert_eq!(again.status, 200, "{}", again.body);
    assert_eq!(again.body["replayed"], true);
    assert_eq!(again.body["result"], first.body["result"]);
    let other = bed.entries[1].record("record-receipt", "receipt-other", Some("key-1")).await;
    assert_eq!(other.status, 422, "{}", other.body);
    let unkeyed = bed.entries[0].record("record-receipt", "receipt-2", None).await;
    assert_eq!(unkeyed.status, 200, "{}", unkeyed.body);

    let runs = bed.run_counts("receipts").await;
    assert_eq!(runs.get("receipt-1"), Some(&1));
    assert_eq!(runs.get("receipt-2"), Some(&1));
    assert_eq!(runs.get("receipt-other"), None);
}
