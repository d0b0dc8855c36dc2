//! Runs an entry against a fake agent whose replies to calls belong to another attempt, repeat or skip tokens, or
//! break off. The entry has to settle the attempt and return its answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigold_core::{check, config, digest};
use marigold_entry::entry::Entry;
use marigold_link::security::Security;
use marigold_link::server::{Handler, ReplySink, Server};
use marigold_schema::messages::{
    Call, CallEvent, Done, Heartbeat, Reply, Report, Request, Settle, Token,
};
use marigold_schema::settings::EntrySettings;
use marigold_standin::platform;
use marigold_testbed::process::free_addr;
use serde_json::{Value, json};

const SECRET: &str = "a-secret-for-the-test";
const INCARNATION: u64 = 7;
const TOKENS: u32 = 6;

/// Agent that replies to calls with the events of `call_events`, and answers settle requests correctly.
struct FakeAgent {
    call_events: fn(&Call) -> Vec<CallEvent>,
}

fn token(index: u32) -> CallEvent {
    CallEvent::Token(Token { index, text: format!("t{index}.") })
}

fn done(body: &str) -> CallEvent {
    CallEvent::Done(Done { status: 200, body: body.to_owned(), tokens: TOKENS, replayed: false })
}

impl FakeAgent {
    fn report(heartbeat: &Heartbeat) -> Reply {
        let slice_revision = heartbeat.slice.as_ref().map_or(u64::MAX, |slice| slice.revision);
        Reply::Report(Report {
            target: "t1".to_owned(),
            incarnation: INCARNATION,
            leaving: false,
            in_flight: 0,
            queued: 0,
            revision: heartbeat.revision,
            slice_revision,
            heartbeat_ms: 200,
            licences: Vec::new(),
        })
    }

    fn settle_events(settle: &Settle) -> Vec<CallEvent> {
        let tokens = (settle.resume_from..TOKENS).map(token);
        [CallEvent::Started(settle.attempt)]
            .into_iter()
            .chain(tokens)
            .chain([done("{\"own\":true}")])
            .collect()
    }
}

impl Handler for FakeAgent {
    async fn handle(&self, req: Request, mut replies: ReplySink) -> marigold_link::Result<()> {
        let events = match req {
            Request::Heartbeat(heartbeat) => {
                replies.send(&Self::report(&heartbeat)).await?;
                Vec::new()
            }
            Request::Call(call) => (self.call_events)(&call),
            Request::Settle(settle) => Self::settle_events(&settle),
            _ => Vec::new(),
        };
        for event in events {
            replies.send(&Reply::Event(event)).await?;
        }
        replies.finish();
        Ok(())
    }
}

fn declarations(agent: SocketAddr) -> String {
    let token = digest::sha256_hex("customer");
    format!(
        r#"
        [data_centre.d]
        region = "r"
        [pool.engines]
        kind = "engine"
        [target.t1]
        pool = "engines"
        data_centre = "d"
        address = "{agent}"
        [pipeline.tell]
        deadline_ms = 5000
        stages = [{{ name = "generate", pool = "engines" }}]
        [customer.c]
        token_sha256 = "{token}"
        [preset.ordinary]
        [preset.peak]
        [preset.maintenance]
        "#
    )
}

/// Runs one request against a fake agent and returns the body of the response.
async fn run(call_events: fn(&Call) -> Vec<CallEvent>) -> Value {
    let (platform_addr, http, link) = (free_addr(), free_addr(), free_addr());
    let (_server, _platform) = platform::spawn(platform_addr, Default::default()).await.unwrap();
    let security = Security::open("test", SECRET, None).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let agent = Server::bind(any, security, Arc::new(FakeAgent { call_events })).await.unwrap();
    let settings: EntrySettings = serde_json::from_value(json!({
        "cluster": "test", "name": "e", "data_centre": "d", "http_address": http.to_string(),
        "link_address": link.to_string(), "platform": format!("http://{platform_addr}"), "link_secret": SECRET,
        "operator_token_sha256": digest::sha256_hex("operator"),
    }))
    .unwrap();
    let _entry = Entry::bind(settings).await.unwrap();
    let files = BTreeMap::from([("all.toml".to_owned(), declarations(agent.addr()))]);
    let items = config::to_items(&check::check(&files).unwrap());
    let changes: Vec<(String, Option<String>)> =
        items.into_iter().map(|(key, text)| (key, Some(text))).collect();
    let client = reqwest::Client::new();
    let apply = client.post(format!("http://{http}/ops/v1/apply")).bearer_auth("operator");
    let applied = apply.json(&json!({ "base": 0, "changes": changes })).send().await.unwrap();
    assert_eq!(applied.status(), 200);
    for _ in 0..50 {
        let req = client
            .post(format!("http://{http}/v1/run/tell"))
            .bearer_auth("customer")
            .json(&json!({}));
        let response = req.send().await.unwrap();
        let body: Value = response.json().await.unwrap();
        if body["title"] != "Not ready" && body["title"] != "The stage cannot be run now" {
            return body;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the entry did not become ready");
}

fn full_text() -> String {
    (0..TOKENS).map(|index| format!("t{index}.")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn settle_after_answer_to_another_attempt() {
    let body =
        run(|call| vec![CallEvent::Started(call.attempt + 1), token(0), done("{\"own\":false}")])
            .await;
    assert_eq!(body["result"], full_text(), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn settle_after_repeated_tokens_without_end() {
    let body =
        run(|call| vec![CallEvent::Started(call.attempt), token(0), token(0), token(1), token(1)])
            .await;
    assert_eq!(body["result"], full_text(), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn settle_after_stream_without_events() {
    let body = run(|_| Vec::new()).await;
    assert_eq!(body["result"], full_text(), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn settle_after_missing_token() {
    let body = run(|call| {
        vec![CallEvent::Started(call.attempt), token(0), token(2), token(3), done("{}")]
    })
    .await;
    assert_eq!(body["result"], full_text(), "{body}");
}
