//! Promises under failure, over separate processes. Each test prints a row: promise, failure, what was counted.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use marigold_testbed::client::{EntryClient, Response};
use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::Plan;
use marigold_testbed::relay::Direction;
use reqwest::Method;
use serde_json::{Value, json};
use tokio::task::JoinSet;

fn row(promise: &str, failure: &str, counted: &str) {
    println!("| {promise} | {failure} | {counted} |");
}

async fn bed(plan: &Plan, name: &str) -> Cluster {
    Cluster::start(marigold_testbed::binaries!(), plan, name).await
}

/// Ends of keyed operations, as the callers saw them.
type Ends = BTreeMap<String, Vec<Response>>;

/// Time for licences to leave a paused home; far above the seconds that it takes, since the machine may be busy.
const MOVE_BOUND: Duration = Duration::from_secs(60);

/// Sends keyed operations, each with retries through the entries in turn, spread over a time.
fn spawn_traffic(
    entries: Vec<EntryClient>,
    count: usize,
    over: Duration,
) -> tokio::task::JoinHandle<Ends> {
    spawn_traffic_named("op", entries, count, over)
}

/// As [`spawn_traffic`], with keys of its own; those of a name are the same in each round.
fn spawn_traffic_named(
    name: &'static str,
    entries: Vec<EntryClient>,
    count: usize,
    over: Duration,
) -> tokio::task::JoinHandle<Ends> {
    tokio::spawn(async move {
        let mut running = JoinSet::new();
        for i in 0..count {
            let entries = entries.clone();
            running.spawn(async move {
                let operation = format!("{name}-{i}");
                let mut answers = Vec::new();
                for attempt in 0..4 {
                    let entry = &entries[(i + attempt) % entries.len()];
                    let answer = entry.record("record-receipt", &operation, Some(&operation)).await;
                    let is_done = answer.is_success();
                    answers.push(answer);
                    if is_done {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(300)).await;
                }
                (operation, answers)
            });
            tokio::time::sleep(over / count as u32).await;
        }
        running.join_all().await.into_iter().collect()
    })
}

/// Compares what callers were told with what ran; gives the numbers of done, unknown and other ends.
async fn assert_at_most_once(bed: &Cluster, ends: &Ends) -> String {
    let runs = bed.run_counts("receipts").await;
    let (mut done, mut unknown, mut not_run) = (0, 0, 0);
    for (operation, answers) in ends {
        let ran = runs.get(operation).copied().unwrap_or(0);
        assert!(ran <= 1, "{operation} ran {ran} times: {answers:?}");
        if answers.iter().any(Response::is_success) {
            assert_eq!(ran, 1, "{operation} was done and ran {ran} times");
            done += 1;
        } else if answers.iter().all(|answer| answer.outcome() == "not_run") {
            assert_eq!(ran, 0, "{operation} was called not run and ran");
            not_run += 1;
        } else {
            unknown += 1;
        }
    }
    format!(
        "{} operations: {done} done, {unknown} unknown, {not_run} not run, 0 doubled",
        ends.len()
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_retries_at_the_same_moment() {
    let bed = bed(&Plan::receipts(2), "same-moment").await;
    let mut running = JoinSet::new();
    for i in 0..40 {
        let entry = bed.entries[i % 2].clone();
        running.spawn(async move { entry.record("record-receipt", "one", Some("one-key")).await });
    }
    let answers = running.join_all().await;
    assert!(answers.iter().all(Response::is_success), "{answers:?}");
    assert_eq!(bed.run_counts("receipts").await.get("one"), Some(&1));
    row(
        "at most once",
        "40 tries of a key at the same moment through 2 entries",
        "1 run, 40 whole answers",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_agents_killed() {
    let mut bed = bed(&Plan::receipts(2), "agents-killed").await;
    let traffic = spawn_traffic(bed.entries.clone(), 200, Duration::from_secs(6));
    for i in 0..3 {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let name = format!("agent-receipts-{i}");
        bed.process(&name).kill();
        tokio::time::sleep(Duration::from_millis(200)).await;
        bed.restart(&name);
    }
    let counted = assert_at_most_once(&bed, &traffic.await.unwrap()).await;
    row("at most once", "each agent killed and restarted in turn", &counted);
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_entry_killed() {
    let mut bed = bed(&Plan::receipts(3), "entry-killed").await;
    let traffic = spawn_traffic(bed.entries.clone(), 200, Duration::from_secs(5));
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        bed.process("entry-0").kill();
        tokio::time::sleep(Duration::from_millis(300)).await;
        bed.restart("entry-0");
    }
    let counted = assert_at_most_once(&bed, &traffic.await.unwrap()).await;
    row("at most once", "an entry killed and restarted twice", &counted);
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_home_paused() {
    let bed = bed(&Plan::receipts(2), "home-paused").await;
    let mut bed = bed;
    let licences = bed.licences("receipts").await;
    let holder = licences.values().next().and_then(|record| record["holder"]["target"].as_str());
    let home = holder.expect("some target holds a licence").to_owned();
    let held = bed.licence_count("receipts", &home).await;
    let traffic = spawn_traffic(bed.entries.clone(), 150, Duration::from_secs(7));
    tokio::time::sleep(Duration::from_millis(1000)).await;
    bed.process(&format!("agent-{home}")).signal("STOP");
    // The pause lasts until all licences have left, however slowly the other processes are run; calls show them that
    // the home is not reached.
    let started = Instant::now();
    let mut later = Ends::new();
    while bed.licence_count("receipts", &home).await > 0 {
        assert!(started.elapsed() < MOVE_BOUND, "licences stay at the paused home");
        let calls = spawn_traffic_named("later", bed.entries.clone(), 20, Duration::from_secs(1));
        later.extend(calls.await.unwrap());
    }
    bed.process(&format!("agent-{home}")).signal("CONT");
    let mut ends = traffic.await.unwrap();
    ends.extend(later);
    let counted = assert_at_most_once(&bed, &ends).await;
    row(
        "leases: a paused holder does nothing on waking",
        "a home stopped until others hold its licences, and continued",
        &format!("{counted}; {held} licences moved"),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_silent_links() {
    let bed = bed(&Plan::receipts(2).with_agent_relays(), "silent-links").await;
    let traffic = spawn_traffic(bed.entries.clone(), 200, Duration::from_secs(5));
    for silence in [Direction::Replies, Direction::Requests, Direction::Both] {
        tokio::time::sleep(Duration::from_millis(1400)).await;
        bed.targets
            .iter()
            .filter_map(|target| target.relay.as_ref())
            .for_each(|relay| relay.blackhole_connections(silence));
    }
    let started = Instant::now();
    let ends = traffic.await.unwrap();
    let counted = assert_at_most_once(&bed, &ends).await;
    let first_tries = ends.values().filter(|answers| answers[0].is_success()).count();
    assert!(first_tries * 100 >= ends.len() * 95, "only {first_tries} first tries were answered");
    assert!(started.elapsed() < Duration::from_secs(20));
    row(
        "silent connections are replaced",
        "all links silent: replies, requests, both",
        &format!("{counted}; {first_tries} at the first try"),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_store_down() {
    let bed = bed(&Plan::receipts(2), "store-down").await;
    bed.set_faults(bed.platform, &json!({ "down": true })).await;
    let ends = spawn_traffic(bed.entries.clone(), 300, Duration::from_secs(6)).await.unwrap();
    let first_tries = ends.values().filter(|answers| answers[0].is_success()).count();
    assert_eq!(first_tries, ends.len(), "first tries through a store outage");
    let counted = assert_at_most_once(&bed, &ends).await;
    let refused = bed.entries[0].call_operator_api(Method::PUT, "preset/peak?base=1", None).await;
    assert_eq!((refused.status, refused.outcome()), (503, "not_run"), "{refused:?}");
    row("service goes on without the store", "store down throughout", &counted);
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
    let bed = bed(&Plan::receipts(3), "race").await;
    let mut slowest = Duration::ZERO;
    for round in 0..5 {
        let (base, _) = revision_of(&bed.entries[0]).await;
        let started = Instant::now();
        let use_preset = |entry: usize, name: &str| {
            let client = bed.entries[entry].clone();
            let path = format!("preset/{name}?base={base}");
            async move { client.call_operator_api(Method::PUT, &path, None).await }
        };
        let (left, right) = tokio::join!(use_preset(0, "peak"), use_preset(1, "maintenance"));
        let winners = [&left, &right].iter().filter(|answer| answer.status == 200).count();
        let conflicts = [&left, &right].iter().filter(|answer| answer.status == 409).count();
        assert_eq!((winners, conflicts), (1, 1), "round {round}: {left:?} {right:?}");
        let chosen = if left.status == 200 { "peak" } else { "maintenance" };
        let loser = if left.status == 200 { &right } else { &left };
        assert!(
            loser.body["detail"].as_str().unwrap_or_default().contains("in_force/preset"),
            "{loser:?}"
        );
        for entry in &bed.entries {
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
    row(
        "one preset in force",
        "two operators switch at the same moment, 5 times",
        &format!("1 winner each; in force on 3 entries within {slowest:.1?}"),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_store_down_after_accept() {
    let mut bed = bed(&Plan::receipts(3), "down-after-accept").await;
    let (base, _) = revision_of(&bed.entries[0]).await;
    let accepted = bed.entries[1]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    bed.set_faults(bed.platform, &json!({ "down": true })).await;
    for entry in &bed.entries {
        assert_eq!(revision_of(entry).await, (base + 1, "peak".to_owned()));
    }
    // The accepting entry forgets all; the others know.
    bed.process("entry-1").kill();
    bed.restart("entry-1");
    let started = Instant::now();
    while bed.entries[1].get("/ready").await.status != 200 {
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "a restarted entry does not serve while the store is down"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(revision_of(&bed.entries[1]).await, (base + 1, "peak".to_owned()));
    row(
        "configuration never reverts",
        "store down after the accept, accepting entry restarted",
        "3 of 3 entries keep it",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_answer_lost() {
    let bed = bed(&Plan::receipts(2), "answer-lost").await;
    let (base, _) = revision_of(&bed.entries[0]).await;
    // The answers of the bucket and of the head are lost after their writes took effect.
    bed.set_faults(bed.platform, &json!({ "lose_answers": 2 })).await;
    let mut answer = bed.entries[0]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    if answer.status != 200 {
        assert_eq!(answer.outcome(), "not_run", "{answer:?}");
        answer = bed.entries[0]
            .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
            .await;
    }
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(revision_of(&bed.entries[0]).await, (base + 1, "peak".to_owned()));
    row(
        "a lost answer to an apply is resolved",
        "answers lost after the writes took effect",
        "in force once",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_agent_with_long_streams() {
    let mut bed = bed(&Plan::streams(2), "drain-agent").await;
    let mut running = JoinSet::new();
    for i in 0..12 {
        let entry = bed.entries[i % 2].clone();
        running.spawn(async move { entry.run("tell", &json!({ "n": i }), None, None).await });
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    bed.process("agent-assistants-0").signal("TERM");
    let answers = running.join_all().await;
    let tokens: Vec<u64> =
        answers.iter().filter_map(|answer| answer.body["tokens"].as_u64()).collect();
    assert_eq!(tokens, vec![100; 12], "{answers:?}");
    assert_eq!(bed.process("agent-assistants-0").wait(Duration::from_secs(10)), Some(true));
    let after = bed.entries[0].run("tell", &json!({ "after": true }), None, None).await;
    assert_eq!(after.body["stages"][0]["target"], "assistants-1", "{after:?}");
    row(
        "a planned stop cuts nothing",
        "SIGTERM to an agent under 12 long streams",
        "12 whole answers, exit 0",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_entry_with_long_streams() {
    let mut bed = bed(&Plan::streams(2), "drain-entry").await;
    let mut running = JoinSet::new();
    for i in 0..8 {
        let entry = bed.entries[0].clone();
        running.spawn(async move { entry.stream("tell", &json!({ "n": i })).await });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    bed.process("entry-0").signal("TERM");
    for events in running.join_all().await {
        let tokens = events.iter().filter(|(name, _)| name == "token").count();
        assert_eq!((tokens, events.last().map(|(name, _)| name.as_str())), (100, Some("done")));
    }
    assert_eq!(bed.process("entry-0").wait(Duration::from_secs(10)), Some(true));
    row(
        "a planned stop cuts nothing",
        "SIGTERM to an entry under 8 token streams",
        "8 whole streams, exit 0",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_second_signal_ends_at_once() {
    let mut bed = bed(&Plan::streams(2), "second-signal").await;
    let entry = bed.entries[0].clone();
    let running = tokio::spawn(async move { entry.run("tell", &json!({}), None, None).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    bed.process("entry-0").signal("TERM");
    tokio::time::sleep(Duration::from_millis(200)).await;
    bed.process("entry-0").signal("TERM");
    assert_eq!(bed.process("entry-0").wait(Duration::from_millis(800)), Some(false));
    assert!(!running.await.unwrap().is_success());
    row(
        "a second signal ends at once",
        "SIGTERM twice to an entry",
        "ended with an error that names what was cut",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumes_agent_killed() {
    let mut bed = bed(&Plan::streams(1), "resume").await;
    let mut running = JoinSet::new();
    for i in 0..8 {
        let entry = bed.entries[0].clone();
        running.spawn(async move {
            let input = json!({ "n": i });
            (input.clone(), entry.stream("tell", &input).await)
        });
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    bed.process("agent-assistants-1").kill();
    for (input, events) in running.join_all().await {
        let digest = marigold_core::digest::body(&input.to_string());
        let text: String = events.iter().filter_map(|(_, data)| data["text"].as_str()).collect();
        let expected: Vec<String> = (0..100).map(|i| format!("{digest}.{i}")).collect();
        assert_eq!(text, expected.join(" "), "{:?}", events.last());
    }
    row(
        "no token lost or doubled",
        "an agent killed under 8 token streams",
        "8 streams resumed at the right token",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_no_new_work() {
    let bed = bed(&Plan::receipts(2), "leaving").await;
    let drained = bed.entries[1].call_operator_api(Method::PUT, "drain/receipts-1", None).await;
    assert_eq!(drained.status, 200, "{drained:?}");
    let vms = json!([{ "name": "receipts-2", "address": "", "state": "leaving" }]);
    let set =
        reqwest::Client::new().put(format!("http://{}/vms", bed.platform)).json(&vms).send().await;
    assert!(set.is_ok());
    // The platform's list lags by 200 ms here; then 2 s are allowed.
    tokio::time::sleep(Duration::from_millis(2200)).await;
    let ran_before = runs_by_target(&bed).await;
    for i in 0..40 {
        let answer =
            bed.entries[i % 2].record("record-receipt", &format!("unkeyed-{i}"), None).await;
        assert!(answer.is_success(), "{answer:?}");
    }
    let ran_after = runs_by_target(&bed).await;
    assert_eq!(ran_before["receipts-1"], ran_after["receipts-1"], "a drained target got work");
    assert_eq!(
        ran_before["receipts-2"], ran_after["receipts-2"],
        "a target on a leaving VM got work"
    );
    assert_eq!(ran_after["receipts-0"], ran_before["receipts-0"] + 40);
    row(
        "a leaving target gets no new work",
        "operator's drain; the platform's list alone",
        "0 of 40 calls after 2 s",
    );
}

async fn runs_by_target(bed: &Cluster) -> BTreeMap<String, u64> {
    let mut by_target = BTreeMap::new();
    for target in &bed.targets {
        let response = reqwest::get(format!("http://{}/runs", target.target_addr))
            .await
            .expect("the stand-in answers");
        let runs: BTreeMap<String, u64> = response.json().await.expect("runs are JSON");
        by_target.insert(target.name.clone(), runs.values().sum());
    }
    by_target
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_entries_not_enrolled() {
    // Beyond 8 entries, each target has links to some of them only; the others pass keyed calls on.
    let bed = bed(&Plan::receipts(10), "ten-entries").await;
    let ends = spawn_traffic(bed.entries.clone(), 200, Duration::from_secs(4)).await.unwrap();
    let first_tries = ends.values().filter(|answers| answers[0].is_success()).count();
    let counted = assert_at_most_once(&bed, &ends).await;
    assert_eq!(first_tries, 200, "{counted}");
    let again = bed.entries[9].record("record-receipt", "op-0", Some("op-0")).await;
    assert_eq!(again.body["replayed"], true, "{again:?}");
    row("at most once", "10 entries, most not enrolled with the key's home", &counted);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_store_slow() {
    let bed = bed(&Plan::receipts(2), "store-slow").await;
    bed.set_faults(bed.platform, &json!({ "slow_ms": 1500 })).await;
    let ends = spawn_traffic(bed.entries.clone(), 100, Duration::from_secs(3)).await.unwrap();
    let first_tries = ends.values().filter(|answers| answers[0].is_success()).count();
    assert_eq!(first_tries, ends.len(), "first tries with a slow store");
    let (base, _) = revision_of(&bed.entries[0]).await;
    let started = Instant::now();
    let changed = bed.entries[0]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    assert_eq!(changed.status, 200, "{changed:?}");
    assert_eq!(revision_of(&bed.entries[1]).await.1, "peak");
    row(
        "service goes on without the store",
        "each store call takes 1.5 s",
        &format!("100 of 100 first tries; a change in force after {:.1?}", started.elapsed()),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_word_lost() {
    // The agent dies without a word: no report comes any more.
    let mut bed = bed(&Plan::receipts(1), "word-lost").await;
    bed.process("agent-receipts-0").kill();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let started = Instant::now();
    for i in 0..20 {
        let answer = bed.entries[0].record("record-receipt", &format!("unkeyed-{i}"), None).await;
        assert!(answer.is_success(), "{answer:?}");
    }
    assert!(started.elapsed() < Duration::from_secs(4), "calls wait for a dead target");
    row(
        "a leaving target gets no new work",
        "an agent killed without a word",
        "20 of 20 calls elsewhere",
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_entry_cut_off() {
    let bed = bed(&Plan { entry_relays: true, ..Plan::receipts(3) }, "cut-off").await;
    let (base, _) = revision_of(&bed.entries[0]).await;
    bed.set_partitioned(2, true);
    let accepted = bed.entries[0]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    assert_eq!((accepted.status, &accepted.body["confirmed"]), (200, &json!(2)), "{accepted:?}");
    assert_eq!(revision_of(&bed.entries[1]).await, (base + 1, "peak".to_owned()));
    let refused = bed.entries[2]
        .call_operator_api(Method::PUT, &format!("preset/maintenance?base={base}"), None)
        .await;
    assert_eq!(refused.status, 503, "{refused:?}");
    // The entry that is cut off still serves, with what it knows.
    let served = bed.entries[2].record("record-receipt", "cut-off", Some("cut-off")).await;
    assert!(served.is_success(), "{served:?}");
    assert_eq!(revision_of(&bed.entries[2]).await, (base, "ordinary".to_owned()));
    bed.set_partitioned(2, false);
    let healed = Instant::now();
    while revision_of(&bed.entries[2]).await != (base + 1, "peak".to_owned()) {
        assert!(healed.elapsed() < Duration::from_secs(4), "not in force within 4 s of the heal");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    row(
        "configuration never reverts",
        "an entry cut off from all others and the store",
        &format!("serves on; in force {:.1?} after the heal", healed.elapsed()),
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
    let bed = bed(&plan, "models").await;
    let addrs: Vec<_> = bed
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
        let entry = bed.entries[i % 2].clone();
        running.spawn(async move {
            tokio::time::sleep(Duration::from_millis(300 * i as u64)).await;
            entry.run("tell", &json!({ "n": i }), None, None).await
        });
    }
    let (base, _) = revision_of(&bed.entries[0]).await;
    let used = bed.entries[0]
        .call_operator_api(Method::PUT, &format!("preset/peak?base={base}"), None)
        .await;
    assert_eq!(used.status, 200, "{used:?}");
    let answers = running.join_all().await;
    assert!(answers.iter().all(|answer| answer.body["tokens"] == 100), "{answers:?}");
    for addr in &addrs {
        while model_of(*addr).await != "small-2" {
            assert!(started.elapsed() < Duration::from_secs(40), "the second model is not loaded");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        // An order from before the change is refused.
        let order = json!({ "fencing": base, "action": "load", "value": "small-1" });
        let sent = reqwest::Client::new()
            .post(format!("http://{addr}/v1/orders"))
            .json(&order)
            .send()
            .await
            .unwrap();
        assert_eq!(sent.status(), 409);
    }
    row(
        "a planned stop cuts nothing",
        "a preset rolls the model of 4 engines under load",
        "30 whole answers; an old order refused",
    );
}
