//! An entry against a fake agent whose replies are crossed, doubled, late and cut.

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

/// An agent that misbehaves on calls and is honest when asked to settle.
struct FakeAgent {
    misbehave: fn(&Call) -> Vec<CallEvent>,
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

    fn settled(settle: &Settle) -> Vec<CallEvent> {
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
            Request::Call(call) => (self.misbehave)(&call),
            Request::Settle(settle) => Self::settled(&settle),
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

/// Runs one request against the fake agent and gives the answer.
async fn run(misbehave: fn(&Call) -> Vec<CallEvent>) -> Value {
    let (platform_addr, http, link) = (free_addr(), free_addr(), free_addr());
    let (_host, _platform) = platform::spawn(platform_addr, Default::default()).await.unwrap();
    let security = Security::open("test", SECRET, None).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let agent = Server::bind(any, security, Arc::new(FakeAgent { misbehave })).await.unwrap();
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
    panic!("the entry does not get ready");
}

fn whole_text() -> String {
    (0..TOKENS).map(|index| format!("t{index}.")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_of_another_attempt() {
    let body =
        run(|call| vec![CallEvent::Started(call.attempt + 1), token(0), done("{\"own\":false}")])
            .await;
    assert_eq!(body["result"], whole_text(), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_doubled_then_cut() {
    let body =
        run(|call| vec![CallEvent::Started(call.attempt), token(0), token(0), token(1), token(1)])
            .await;
    assert_eq!(body["result"], whole_text(), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_before_the_first_event() {
    let body = run(|_| Vec::new()).await;
    assert_eq!(body["result"], whole_text(), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_with_a_gap() {
    let body = run(|call| {
        vec![CallEvent::Started(call.attempt), token(0), token(2), token(3), done("{}")]
    })
    .await;
    assert_eq!(body["result"], whole_text(), "{body}");
}
