//! Invalid requests to the HTTP port of an entry are refused with a problem, and run nothing.

use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::{CUSTOMER_TOKEN, OPERATOR_TOKEN, Plan};
use reqwest::{Client, RequestBuilder};
use serde_json::Value;

async fn send(req: RequestBuilder) -> (u16, Value) {
    let response = req.send().await.expect("the entry responds");
    let status = response.status().as_u16();
    let is_problem = response
        .headers()
        .get("content-type")
        .is_some_and(|kind| kind == "application/problem+json");
    assert!(is_problem || status < 400, "status {status} without a problem");
    (status, serde_json::from_str(&response.text().await.unwrap()).unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_refused_without_work() {
    let cluster =
        Cluster::start(marigold_testbed::binaries!(), &Plan::receipts(1), "bad-input").await;
    let (http, base) = (Client::new(), cluster.entries[0].base().to_owned());
    let before = cluster.run_counts("receipts").await;
    let run =
        |pipeline: &str| http.post(format!("{base}/v1/run/{pipeline}")).bearer_auth(CUSTOMER_TOKEN);
    let record = || run("record-receipt").body("{}");
    let url = format!("{base}/v1/run/record-receipt");
    let ops = |path: &str| format!("{base}/ops/v1/{path}");
    let cases = [
        ("no token", http.post(&url).body("{}"), 401),
        ("a wrong token", http.post(&url).bearer_auth("nobody").body("{}"), 401),
        ("an operator's token", http.post(&url).bearer_auth(OPERATOR_TOKEN).body("{}"), 401),
        ("no such pipeline", run("no-such").body("{}"), 404),
        ("no such path", http.get(format!("{base}/v2")), 404),
        ("invalid JSON", run("record-receipt").body("{"), 400),
        ("invalid UTF-8", run("record-receipt").body(vec![0xff, 0xfe]), 400),
        (
            "a body too large",
            run("record-receipt").body("\"".to_owned() + &"x".repeat(1024 * 1024) + "\""),
            413,
        ),
        ("a deadline that is not a number", record().header("deadline-ms", "soon"), 400),
        ("a deadline of zero", record().header("deadline-ms", "0"), 400),
        ("a key too long", record().header("idempotency-key", "k".repeat(256)), 400),
        ("a key with a space", record().header("idempotency-key", "a b"), 400),
        ("a customer as operator", http.get(ops("config")).bearer_auth(CUSTOMER_TOKEN), 403),
        (
            "an unknown preset",
            http.put(ops("preset/night?base=1")).bearer_auth(OPERATOR_TOKEN),
            422,
        ),
        (
            "an empty change",
            http.post(ops("apply")).bearer_auth(OPERATOR_TOKEN).body(r#"{"base":1,"changes":[]}"#),
            400,
        ),
        (
            "an item that cannot be parsed",
            http.post(ops("apply"))
                .bearer_auth(OPERATOR_TOKEN)
                .body(r#"{"base":1,"changes":[["pool/receipts","{}"]]}"#),
            422,
        ),
        (
            "a removed pool in use",
            http.post(ops("apply"))
                .bearer_auth(OPERATOR_TOKEN)
                .body(r#"{"base":1,"changes":[["pool/receipts",null]]}"#),
            422,
        ),
        (
            "a target that is not declared",
            http.put(ops("drain/nobody")).bearer_auth(OPERATOR_TOKEN),
            404,
        ),
    ];
    for (case, req, expected) in cases {
        let (status, body) = send(req).await;
        assert_eq!(status, expected, "{case}: {body}");
        assert_eq!(body["outcome"], "not_run", "{case}: {body}");
        assert!(body["detail"].as_str().is_some_and(|detail| !detail.is_empty()), "{case}: {body}");
    }
    assert_eq!(cluster.run_counts("receipts").await, before, "an invalid request started a run");
    let good = cluster.entries[0].record("record-receipt", "after", Some("after")).await;
    assert!(good.is_success(), "{good:?}");
}
