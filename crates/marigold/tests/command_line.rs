//! The `marigold` binary, run against the entries of a test cluster.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::{OPERATOR_TOKEN, Plan};
use serde_json::Value;

fn marigold(entry: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_marigold"))
        .env("MARIGOLD_ENTRY", entry)
        .env("MARIGOLD_TOKEN", OPERATOR_TOKEN)
        .env("USER", "tester")
        .args(args)
        .output()
        .expect("the command starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn deployment(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments").join(name)
}

fn copy_deployment(name: &str, edit: impl Fn(&str, String) -> String) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("marigold-cli-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for entry in std::fs::read_dir(deployment(name)).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|ending| ending == "toml") {
            let file = path.file_name().unwrap().to_string_lossy().into_owned();
            let text = edit(&file, std::fs::read_to_string(&path).unwrap());
            std::fs::write(folder.join(file), text).unwrap();
        }
    }
    folder
}

#[test]
fn validate_both_deployments() {
    for name in ["souk-al-ahali", "hartia-veche"] {
        let folder = deployment(name);
        let output = marigold("http://127.0.0.1:1", &["validate", &folder.to_string_lossy()]);
        assert!(output.status.success(), "{}", stderr(&output));
    }
}

#[test]
fn validate_reports_five_errors() {
    let folder = copy_deployment("hartia-veche", |file, text| match file {
        "pools.toml" => text.replacen("concurrency = 16", "concurency = 16", 1),
        "targets.toml" => {
            text.replacen("127.0.0.1:22000", "localhost", 1).replacen("\"galati\"", "\"galatz\"", 1)
        }
        "pipelines.toml" => text.replacen("pool = \"tickets\"", "pool = \"ticket\"", 1),
        "customers.toml" => text.replacen("weight = 8", "weight = 0", 1),
        _ => text,
    });
    let output = marigold("http://127.0.0.1:1", &["validate", &folder.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(3));
    insta::assert_snapshot!(stderr(&output), @r#"
    marigold: 5 mistakes:
      customers.toml:5: `customer.weighbridge.weight`: 0 is less than the minimum of 1
      pipelines.toml:40: `pipeline.issue-ticket.stages.0.pool`: pool `ticket` is not declared; declared: archive, assistants, dispatch, encoders, invoicing, rerankers, retrievers, tickets
      pools.toml:5: `pool.encoders.concurency`: unknown key `concurency`; accepted: call_price_micros, checks_fencing, concurrency, idempotent, key_shards, kind, licence_term_s, load_s, model, reports_load, retention_s, token_price_micros
      targets.toml:6: `target.encoders-1.address`: `localhost` is no address; accepted: IP:PORT, such as 10.0.0.7:7400
      targets.toml:10: `target.encoders-2.data_centre`: data centre `galatz` is not declared; declared: braila, focsani, galati
    "#);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn status_entry_unreachable() {
    let output = marigold("http://127.0.0.1:1", &["status"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr(&output).contains("calling http://127.0.0.1:1/ops/v1/status"),
        "{}",
        stderr(&output)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_and_preset() {
    let cluster =
        Cluster::start(marigold_testbed::binaries!(), &Plan::receipts(2), "command-line").await;
    let entry = cluster.entries[0].base().to_owned();
    let json = |args: &[&str]| -> Value {
        let output = marigold(&entry, &[&["--json"], args].concat());
        assert!(output.status.success(), "{args:?}: {}", stderr(&output));
        serde_json::from_str(&stdout(&output)).expect("the output is JSON")
    };
    let before = json(&["preset", "show"]);
    assert_eq!(before["preset"], "ordinary");
    let used = json(&["preset", "use", "peak"]);
    assert_eq!((&used["confirmed"], &used["entries"]), (&Value::from(2), &Value::from(2)));
    assert_eq!(json(&["preset", "show"])["preset"], "peak");
    assert_eq!(marigold(&entry, &["preset", "use", "night"]).status.code(), Some(3));

    let folder = copy_deployment("souk-al-ahali", |_, text| text);
    let plan = json(&["plan", &folder.to_string_lossy()]);
    assert!(plan["changes"].as_array().is_some_and(|changes| changes.len() > 60), "{plan}");
    let applied = json(&["apply", &folder.to_string_lossy()]);
    assert_eq!(applied["revision"], used["revision"].as_u64().unwrap() + 1);
    // The declarations are in force, and the chosen preset is kept.
    assert_eq!(json(&["plan", &folder.to_string_lossy()])["changes"], Value::Array(Vec::new()));
    assert_eq!(json(&["preset", "show"])["preset"], "peak");
    let status = json(&["status"]);
    assert_eq!(status["entries"].as_array().map(Vec::len), Some(2));
    assert!(marigold(&entry, &["status"]).status.success());
    assert!(marigold(&entry, &["cost", "--by", "customer"]).status.success());
    assert!(marigold(&entry, &["burn"]).status.success());
    assert_eq!(marigold(&entry, &["drain", "nobody"]).status.code(), Some(1));
    std::fs::remove_dir_all(folder).unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn cost_sum_includes_stopped_entry() {
    let mut cluster =
        Cluster::start(marigold_testbed::binaries!(), &Plan::receipts(2), "cost").await;
    for i in 0..30 {
        let response =
            cluster.entries[i % 2].record("record-receipt", &format!("op-{i}"), None).await;
        assert!(response.is_success(), "{response:?}");
    }
    cluster.process("entry-1").signal("TERM");
    assert_eq!(cluster.process("entry-1").wait(std::time::Duration::from_secs(10)), Some(true));
    let entry = cluster.entries[0].base().to_owned();
    let output = marigold(&entry, &["--json", "cost"]);
    let lines: Vec<Value> = serde_json::from_str(&stdout(&output)).expect("the output is JSON");
    let sum = |name: &str| lines.iter().filter_map(|line| line[name].as_u64()).sum::<u64>();
    let runs: u64 = cluster.run_counts("receipts").await.values().sum();
    assert_eq!(
        (sum("attempts"), sum("micros")),
        (runs, 50 * runs),
        "the stand-ins ran {runs} calls at a price of 50 each"
    );
}
