//! Guarantees under failures, checked on a cluster of separate processes. Each test prints a row of a table: guarantee,
//! failure, counts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use marigold_testbed::client::{EntryClient, Response};
use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::Plan;
use marigold_testbed::relay::Direction;
use reqwest::Method;
use serde_json::{Value, json};
use tokio::task::JoinSet;

fn print_row(guarantee: &str, failure: &str, counts: &str) {
    println!("| {guarantee} | {failure} | {counts} |");
}

async fn start_cluster(plan: &Plan, name: &str) -> Cluster {
    Cluster::start(marigold_testbed::binaries!(), plan, name).await
}

/// Responses to all attempts of each keyed operation.
type Responses = BTreeMap<String, Vec<Response>>;

/// Time within which all licences have to leave a paused holder. It normally takes seconds; the margin is for a busy
/// machine.
const REASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends `count` keyed operations spread evenly over `duration`; each is tried up to four times, through the entries in
/// turn.
fn spawn_traffic(
    entries: Vec<EntryClient>,
    count: usize,
    duration: Duration,
) -> tokio::task::JoinHandle<Responses> {
    spawn_traffic_with_prefix("op", entries, count, duration)
}

/// Like [`spawn_traffic`], with keys of the form `prefix-index`; a repeated call with a prefix uses the same keys.
fn spawn_traffic_with_prefix(
    prefix: &'static str,
    entries: Vec<EntryClient>,
    count: usize,
    duration: Duration,
) -> tokio::task::JoinHandle<Responses> {
    tokio::spawn(async move {
        let mut running = JoinSet::new();
        for i in 0..count {
            let entries = entries.clone();
            running.spawn(async move {
                let operation = format!("{prefix}-{i}");
                let mut attempts = Vec::new();
                for attempt in 0..4 {
                    let entry = &entries[(i + attempt) % entries.len()];
                    let response =
                        entry.record("record-receipt", &operation, Some(&operation)).await;
                    let is_done = response.is_success();
                    attempts.push(response);
                    if is_done {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(300)).await;
                }
                (operation, attempts)
            });
            tokio::time::sleep(duration / count as u32).await;
        }
        running.join_all().await.into_iter().collect()
    })
}

/// Asserts that each operation ran at most once and as its responses report; returns the counts of outcomes as text.
async fn assert_at_most_once(cluster: &Cluster, responses: &Responses) -> String {
    let run_counts = cluster.run_counts("receipts").await;
    let (mut done, mut unknown, mut not_run) = (0, 0, 0);
    for (operation, attempts) in responses {
        let runs = run_counts.get(operation).copied().unwrap_or(0);
        assert!(runs <= 1, "{operation} ran {runs} times: {attempts:?}");
        if attempts.iter().any(Response::is_success) {
            assert_eq!(runs, 1, "{operation} succeeded and ran {runs} times");
            done += 1;
        } else if attempts.iter().all(|response| response.outcome() == "not_run") {
            assert_eq!(runs, 0, "{operation} was reported as not run and ran");
            not_run += 1;
        } else {
            unknown += 1;
        }
    }
    format!(
        "{} operations: {done} done, {unknown} unknown, {not_run} not run, 0 ran twice",
        responses.len()
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_concurrent_retries() {
    let cluster = start_cluster(&Plan::receipts(2), "same-moment").await;
    let mut running = JoinSet::new();
    for i in 0..40 {
        let entry = cluster.entries[i % 2].clone();
        running.spawn(async move { entry.record("record-receipt", "one", Some("one-key")).await });
    }
    let responses = running.join_all().await;
    assert!(responses.iter().all(Response::is_success), "{responses:?}");
    assert_eq!(cluster.run_counts("receipts").await.get("one"), Some(&1));
    print_row(
        "at most once",
        "40 concurrent attempts with one key through 2 entries",
        "1 run, 40 complete responses",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_agents_killed() {
    let mut cluster = start_cluster(&Plan::receipts(2), "agents-killed").await;
    let traffic = spawn_traffic(cluster.entries.clone(), 200, Duration::from_secs(6));
    for i in 0..3 {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let name = format!("agent-receipts-{i}");
        cluster.process(&name).kill();
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.restart(&name);
    }
    let counts = assert_at_most_once(&cluster, &traffic.await.unwrap()).await;
    print_row("at most once", "each agent killed and restarted in turn", &counts);
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_entry_killed() {
    let mut cluster = start_cluster(&Plan::receipts(3), "entry-killed").await;
    let traffic = spawn_traffic(cluster.entries.clone(), 200, Duration::from_secs(5));
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        cluster.process("entry-0").kill();
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.restart("entry-0");
    }
    let counts = assert_at_most_once(&cluster, &traffic.await.unwrap()).await;
    print_row("at most once", "an entry killed and restarted twice", &counts);
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_home_paused() {
    let cluster = start_cluster(&Plan::receipts(2), "home-paused").await;
    let mut cluster = cluster;
    let licences = cluster.licences("receipts").await;
    let holder = licences.values().next().and_then(|record| record["holder"]["target"].as_str());
    let holder = holder.expect("some target holds a licence").to_owned();
    let licence_count = cluster.licence_count("receipts", &holder).await;
    let traffic = spawn_traffic(cluster.entries.clone(), 150, Duration::from_secs(7));
    tokio::time::sleep(Duration::from_millis(1000)).await;
    cluster.process(&format!("agent-{holder}")).signal("STOP");
    // The holder stays paused until all its licences have moved, however slow the machine is. Calls make the entries
    // notice that it is unreachable.
    let started = Instant::now();
    let mut later = Responses::new();
    while cluster.licence_count("receipts", &holder).await > 0 {
        assert!(started.elapsed() < REASSIGNMENT_TIMEOUT, "licences stay at the paused holder");
        let calls =
            spawn_traffic_with_prefix("later", cluster.entries.clone(), 20, Duration::from_secs(1));
        later.extend(calls.await.unwrap());
    }
    cluster.process(&format!("agent-{holder}")).signal("CONT");
    let mut responses = traffic.await.unwrap();
    responses.extend(later);
    let counts = assert_at_most_once(&cluster, &responses).await;
    print_row(
        "a paused holder runs nothing after it resumes",
        "a holder stopped until its licences moved, then continued",
        &format!("{counts}; {licence_count} licences moved"),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_unresponsive_links() {
    let cluster = start_cluster(&Plan::receipts(2).with_agent_relays(), "unresponsive-links").await;
    let traffic = spawn_traffic(cluster.entries.clone(), 200, Duration::from_secs(5));
    for direction in [Direction::Replies, Direction::Requests, Direction::Both] {
        tokio::time::sleep(Duration::from_millis(1400)).await;
        cluster
            .targets
            .iter()
            .filter_map(|target| target.relay.as_ref())
            .for_each(|relay| relay.blackhole_connections(direction));
    }
    let started = Instant::now();
    let responses = traffic.await.unwrap();
    let counts = assert_at_most_once(&cluster, &responses).await;
    let first_attempt_successes =
        responses.values().filter(|attempts| attempts[0].is_success()).count();
    assert!(
        first_attempt_successes * 100 >= responses.len() * 95,
        "only {first_attempt_successes} first attempts succeeded"
    );
    assert!(started.elapsed() < Duration::from_secs(20));
    print_row(
        "unresponsive connections are replaced",
        "all links drop replies, requests, both",
        &format!("{counts}; {first_attempt_successes} at the first attempt"),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_served_store_down() {
    let cluster = start_cluster(&Plan::receipts(2), "store-down").await;
    cluster.set_faults(cluster.platform, &json!({ "down": true })).await;
    let responses =
        spawn_traffic(cluster.entries.clone(), 300, Duration::from_secs(6)).await.unwrap();
    let first_attempt_successes =
        responses.values().filter(|attempts| attempts[0].is_success()).count();
    assert_eq!(first_attempt_successes, responses.len(), "first attempts during a store outage");
    let counts = assert_at_most_once(&cluster, &responses).await;
    let refused =
        cluster.entries[0].call_operator_api(Method::PUT, "preset/peak?base=1", None).await;
    assert_eq!((refused.status, refused.outcome()), (503, "not_run"), "{refused:?}");
    print_row("requests are served without the store", "store down throughout", &counts);
}

async fn revision_of(entry: &EntryClient) -> (u64, String) {
    let config = entry.call_operator_api(Method::GET, "config", None).await;
    (
        config.body["revision"].as_u64().unwrap_or(0),
        config.body["preset"].as_str().unwrap_or_default().to_owned(),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_operators_race() {
    let cluster = start_cluster(&Plan::receipts(3), "race").await;
    let mut slowest = Duration::ZERO;
    for round in 0..5 {
        let (base, _) = revision_of(&cluster.entries[0]).await;
        let started = Instant::now();
        let use_preset = |entry: usize, name: &str| {
            let client = cluster.entries[entry].clone();
            let path = format!("preset/{name}?base={base}");
            async move { client.call_operator_api(Method::PUT, &path, None).await }
        };
        let (left, right) = tokio::join!(use_preset(0, "peak"), use_preset(1, "maintenance"));
        let winners = [&left, &right].iter().filter(|response| response.status == 200).count();
        let conflicts = [&left, &right].iter().filter(|response| response.status == 409).count();
        assert_eq!((winners, conflicts), (1, 1), "round {round}: {left:?} {right:?}");
        let chosen = if left.status == 200 { "peak" } else { "maintenance" };
        let loser = if left.status == 200 { &right } else { &left };
        assert!(
            loser.body["detail"].as_str().unwrap_or_default().contains("in_force/preset"),
            "{loser:?}"
        );
        for entry in &cluster.entries {
            while revision_of(entry).await != (base + 1, chosen.to_owned()) {
                assert!(
                    started.elapsed() < Duration::from_secs(4),
                    "not in force everywhere within 4 s"
                );
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        slowest = slowest.max(started.elapsed());
    }
    print_row(
        "one preset in force",
        "two operators change it concurrently, 5 times",
        &format!("1 winner each; in force on 3 entries within {slowest:.1?}"),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_store_down_after_accept() {
    let mut cluster = start_cluster(&Plan::receipts(3), "down-after-accept").await;
    let (base, _) = revision_of(&cluster.entries[0]).await;
    let accepted = cluster.entries[1]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    cluster.set_faults(cluster.platform, &json!({ "down": true })).await;
    for entry in &cluster.entries {
        assert_eq!(revision_of(entry).await, (base + 1, "peak".to_owned()));
    }
    // The entry that accepted the change loses its memory; the other entries still have the change.
    cluster.process("entry-1").kill();
    cluster.restart("entry-1");
    let started = Instant::now();
    while cluster.entries[1].get("/ready").await.status != 200 {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "a restarted entry is not ready while the store is down"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(revision_of(&cluster.entries[1]).await, (base + 1, "peak".to_owned()));
    print_row(
        "configuration never reverts",
        "store down after a change was accepted, accepting entry restarted",
        "3 of 3 entries keep it",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_store_response_lost() {
    let cluster = start_cluster(&Plan::receipts(2), "response-lost").await;
    let (base, _) = revision_of(&cluster.entries[0]).await;
    // The responses to the writes of the bucket and of the head are lost after the writes took effect.
    cluster.set_faults(cluster.platform, &json!({ "lose_answers": 2 })).await;
    let mut response = cluster.entries[0]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    if response.status != 200 {
        assert_eq!(response.outcome(), "not_run", "{response:?}");
        response = cluster.entries[0]
            .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
            .await;
    }
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(revision_of(&cluster.entries[0]).await, (base + 1, "peak".to_owned()));
    print_row(
        "a lost response to a store write is resolved",
        "responses lost after the writes took effect",
        "in force once",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_agent_with_long_streams() {
    let mut cluster = start_cluster(&Plan::streams(2), "drain-agent").await;
    let mut running = JoinSet::new();
    for i in 0..12 {
        let entry = cluster.entries[i % 2].clone();
        running.spawn(async move { entry.run("tell", &json!({ "n": i }), None, None).await });
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.process("agent-assistants-0").signal("TERM");
    let responses = running.join_all().await;
    let tokens: Vec<u64> =
        responses.iter().filter_map(|response| response.body["tokens"].as_u64()).collect();
    assert_eq!(tokens, vec![100; 12], "{responses:?}");
    assert_eq!(cluster.process("agent-assistants-0").wait(Duration::from_secs(10)), Some(true));
    let after = cluster.entries[0].run("tell", &json!({ "after": true }), None, None).await;
    assert_eq!(after.body["stages"][0]["target"], "assistants-1", "{after:?}");
    print_row(
        "a planned stop aborts nothing",
        "SIGTERM to an agent under 12 long streams",
        "12 complete responses, exit 0",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_entry_with_long_streams() {
    let mut cluster = start_cluster(&Plan::streams(2), "drain-entry").await;
    let mut running = JoinSet::new();
    for i in 0..8 {
        let entry = cluster.entries[0].clone();
        running.spawn(async move { entry.stream("tell", &json!({ "n": i })).await });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.process("entry-0").signal("TERM");
    for events in running.join_all().await {
        let tokens = events.iter().filter(|(name, _)| name == "token").count();
        assert_eq!((tokens, events.last().map(|(name, _)| name.as_str())), (100, Some("done")));
    }
    assert_eq!(cluster.process("entry-0").wait(Duration::from_secs(10)), Some(true));
    print_row(
        "a planned stop aborts nothing",
        "SIGTERM to an entry under 8 token streams",
        "8 complete streams, exit 0",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_second_signal_stops_immediately() {
    let mut cluster = start_cluster(&Plan::streams(2), "second-signal").await;
    let entry = cluster.entries[0].clone();
    let running = tokio::spawn(async move { entry.run("tell", &json!({}), None, None).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.process("entry-0").signal("TERM");
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.process("entry-0").signal("TERM");
    assert_eq!(cluster.process("entry-0").wait(Duration::from_millis(800)), Some(false));
    assert!(!running.await.unwrap().is_success());
    print_row(
        "a second signal stops the process immediately",
        "SIGTERM twice to an entry",
        "the process and the running request failed",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumes_agent_killed() {
    let mut cluster = start_cluster(&Plan::streams(1), "resume").await;
    let mut running = JoinSet::new();
    for i in 0..8 {
        let entry = cluster.entries[0].clone();
        running.spawn(async move {
            let input = json!({ "n": i });
            (input.clone(), entry.stream("tell", &input).await)
        });
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    cluster.process("agent-assistants-1").kill();
    for (input, events) in running.join_all().await {
        let digest = marigold_core::digest::body(&input.to_string());
        let text: String = events.iter().filter_map(|(_, data)| data["text"].as_str()).collect();
        let expected: Vec<String> = (0..100).map(|i| format!("{digest}.{i}")).collect();
        assert_eq!(text, expected.join(" "), "{:?}", events.last());
    }
    print_row(
        "no token lost or repeated",
        "an agent killed under 8 token streams",
        "8 streams resumed at the next token",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_no_new_work() {
    let cluster = start_cluster(&Plan::receipts(2), "leaving").await;
    let drained = cluster.entries[1].call_operator_api(Method::PUT, "drain/receipts-1", None).await;
    assert_eq!(drained.status, 200, "{drained:?}");
    let vms = json!([{ "name": "receipts-2", "address": "", "state": "leaving" }]);
    let set = reqwest::Client::new()
        .put(format!("http://{}/vms", cluster.platform))
        .json(&vms)
        .send()
        .await;
    assert!(set.is_ok());
    // The VM list of the platform lags by 200 ms; entries have 2 s to apply it.
    tokio::time::sleep(Duration::from_millis(2200)).await;
    let before = run_counts_by_target(&cluster).await;
    for i in 0..40 {
        let response =
            cluster.entries[i % 2].record("record-receipt", &format!("unkeyed-{i}"), None).await;
        assert!(response.is_success(), "{response:?}");
    }
    let after = run_counts_by_target(&cluster).await;
    assert_eq!(before["receipts-1"], after["receipts-1"], "a drained target got calls");
    assert_eq!(before["receipts-2"], after["receipts-2"], "a target on a leaving VM got calls");
    assert_eq!(after["receipts-0"], before["receipts-0"] + 40);
    print_row(
        "a leaving target gets no new work",
        "drained by an operator; VM leaving in the platform's list",
        "0 of 40 calls after 2 s",
    );
}

async fn run_counts_by_target(cluster: &Cluster) -> BTreeMap<String, u64> {
    let mut by_target = BTreeMap::new();
    for target in &cluster.targets {
        let response = reqwest::get(format!("http://{}/runs", target.target_addr))
            .await
            .expect("the stand-in responds");
        let runs: BTreeMap<String, u64> = response.json().await.expect("runs are JSON");
        by_target.insert(target.name.clone(), runs.values().sum());
    }
    by_target
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_entries_not_enrolled() {
    // With more than 8 entries, each target has links to only some of them; the other entries forward keyed calls.
    let cluster = start_cluster(&Plan::receipts(10), "ten-entries").await;
    let responses =
        spawn_traffic(cluster.entries.clone(), 200, Duration::from_secs(4)).await.unwrap();
    let first_attempt_successes =
        responses.values().filter(|attempts| attempts[0].is_success()).count();
    let counts = assert_at_most_once(&cluster, &responses).await;
    assert_eq!(first_attempt_successes, 200, "{counts}");
    let again = cluster.entries[9].record("record-receipt", "op-0", Some("op-0")).await;
    assert_eq!(again.body["replayed"], true, "{again:?}");
    print_row("at most once", "10 entries, most not enrolled with the key's holder", &counts);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_served_store_slow() {
    let cluster = start_cluster(&Plan::receipts(2), "store-slow").await;
    cluster.set_faults(cluster.platform, &json!({ "slow_ms": 1500 })).await;
    let responses =
        spawn_traffic(cluster.entries.clone(), 100, Duration::from_secs(3)).await.unwrap();
    let first_attempt_successes =
        responses.values().filter(|attempts| attempts[0].is_success()).count();
    assert_eq!(first_attempt_successes, responses.len(), "first attempts with a slow store");
    let (base, _) = revision_of(&cluster.entries[0]).await;
    let started = Instant::now();
    let changed = cluster.entries[0]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    assert_eq!(changed.status, 200, "{changed:?}");
    assert_eq!(revision_of(&cluster.entries[1]).await.1, "peak");
    print_row(
        "requests are served without the store",
        "each store call takes 1.5 s",
        &format!("100 of 100 first attempts; a change in force after {:.1?}", started.elapsed()),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn routing_avoids_killed_agent() {
    // A killed agent does not announce that it leaves; its reports just stop.
    let mut cluster = start_cluster(&Plan::receipts(1), "agent-killed").await;
    cluster.process("agent-receipts-0").kill();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let started = Instant::now();
    for i in 0..20 {
        let response =
            cluster.entries[0].record("record-receipt", &format!("unkeyed-{i}"), None).await;
        assert!(response.is_success(), "{response:?}");
    }
    assert!(started.elapsed() < Duration::from_secs(4), "calls wait for the killed agent");
    print_row(
        "a leaving target gets no new work",
        "an agent killed without notice",
        "20 of 20 calls ran on other targets",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_entry_partitioned() {
    let cluster =
        start_cluster(&Plan { entry_relays: true, ..Plan::receipts(3) }, "partitioned").await;
    let (base, _) = revision_of(&cluster.entries[0]).await;
    cluster.set_partitioned(2, true);
    let accepted = cluster.entries[0]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    assert_eq!((accepted.status, &accepted.body["confirmed"]), (200, &json!(2)), "{accepted:?}");
    assert_eq!(revision_of(&cluster.entries[1]).await, (base + 1, "peak".to_owned()));
    let refused = cluster.entries[2]
        .call_operator_api(Method::PUT, &format!("preset/maintenance?base={base}"), None)
        .await;
    assert_eq!(refused.status, 503, "{refused:?}");
    // The partitioned entry still serves requests, with its last known configuration.
    let served = cluster.entries[2].record("record-receipt", "cut-off", Some("cut-off")).await;
    assert!(served.is_success(), "{served:?}");
    assert_eq!(revision_of(&cluster.entries[2]).await, (base, "ordinary".to_owned()));
    cluster.set_partitioned(2, false);
    let healed = Instant::now();
    while revision_of(&cluster.entries[2]).await != (base + 1, "peak".to_owned()) {
        assert!(
            healed.elapsed() < Duration::from_secs(4),
            "not in force within 4 s after the partition ended"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    print_row(
        "configuration never reverts",
        "an entry partitioned from all others and the store",
        &format!("keeps serving; in force {:.1?} after the partition ended", healed.elapsed()),
    );
}

async fn model_of(addr: std::net::SocketAddr) -> String {
    let loaded: Value =
        reqwest::get(format!("http://{addr}/v1/model")).await.unwrap().json().await.unwrap();
    loaded["model"].as_str().unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn preset_rolls_models() {
    let mut plan = Plan::streams(2);
    plan.presets = "[preset.ordinary]\n[preset.peak]\nmodels = { assistants = \"small-2\" }\n[preset.maintenance]\n";
    let engines = plan.pools.iter_mut().find(|pool| pool.kind == "engine").unwrap();
    (engines.targets, engines.extra_toml) = (4, "model = \"small-1\"\nload_s = 1");
    let cluster = start_cluster(&plan, "models").await;
    let addrs: Vec<_> = cluster
        .targets
        .iter()
        .filter(|target| target.pool == "assistants")
        .map(|target| target.target_addr)
        .collect();
    let started = Instant::now();
    for addr in &addrs {
        while model_of(*addr).await != "small-1" {
            assert!(started.elapsed() < Duration::from_secs(10), "the first model is not loaded");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let mut running = JoinSet::new();
    for i in 0..30 {
        let entry = cluster.entries[i % 2].clone();
        running.spawn(async move {
            tokio::time::sleep(Duration::from_millis(300 * i as u64)).await;
            entry.run("tell", &json!({ "n": i }), None, None).await
        });
    }
    let (base, _) = revision_of(&cluster.entries[0]).await;
    let used = cluster.entries[0]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    assert_eq!(used.status, 200, "{used:?}");
    let responses = running.join_all().await;
    assert!(responses.iter().all(|response| response.body["tokens"] == 100), "{responses:?}");
    for addr in &addrs {
        while model_of(*addr).await != "small-2" {
            assert!(started.elapsed() < Duration::from_secs(40), "the second model is not loaded");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        // An order with the fencing token of the previous revision is refused.
        let order = json!({ "fencing": base, "action": "load", "value": "small-1" });
        let sent = reqwest::Client::new()
            .post(format!("http://{addr}/v1/orders"))
            .json(&order)
            .send()
            .await
            .unwrap();
        assert_eq!(sent.status(), 409);
    }
    print_row(
        "a planned stop aborts nothing",
        "a preset changes the model of 4 engines under load",
        "30 complete responses; an old order refused",
    );
}
