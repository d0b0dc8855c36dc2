//! What gateways ask each other: to run stages, to free results, and what they know of the configuration.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marigold_link::server::{Handler, ReplySink};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::{
    ConfigText, GatewayFacts, Reply, Request, RunStage, StageDone, StageRelease,
};
use tokio::time;

use crate::broker;
use crate::dialect::Dialect;
use crate::members::{Member, Owner};
use crate::shared::Shared;

/// Time between two questions to a peer.
const FACTS_EVERY: Duration = Duration::from_millis(400);
/// Time for an answer that needs no work; gateways of one region are milliseconds apart.
const ANSWER_BOUND: Duration = Duration::from_millis(400);
/// Time between two signs of life while a stage is run for a peer.
const SIGN_EVERY: Duration = Duration::from_millis(200);
/// Time without a sign of life after which a stage is asked for elsewhere: three signs.
const SIGN_BOUND: Duration = Duration::from_millis(600);
/// Gateways that are asked for a stage, one after the other; when neither answers this one is likely to be cut off.
const STAGE_TRIES: usize = 2;
/// Time for a configuration, which may be hundreds of kilobytes on a slow link.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

/// Runs a stage at the owner of its pool, or at the next one when it does not answer.
pub(crate) async fn run_stage<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    ask: RunStage,
) -> StageDone {
    for _ in 0..STAGE_TRIES {
        let member = match shared.members.owner(&ask.pool) {
            Owner::Own => return broker::run(shared, ask).await,
            Owner::Other(member) => member,
        };
        match run_at(&member, &ask).await {
            Ok(done) => return done,
            Err(err) => {
                tracing::warn!(
                    request = ask.request,
                    pool = ask.pool,
                    member = member.name,
                    err,
                    "stage not run by its pool's owner"
                );
                shared.members.on_refusal(&member.name);
            }
        }
    }
    broker::run(shared, ask).await
}

async fn run_at(member: &Member, ask: &RunStage) -> Result<StageDone, String> {
    let req = Request::RunStage(ask.clone());
    let (_, mut replies) = time::timeout(ANSWER_BOUND, member.peer.stream(&req))
        .await
        .map_err(|_| format!("no link within {ANSWER_BOUND:?}"))?
        .map_err(|err| err.to_string())?;
    let mut bound = ANSWER_BOUND;
    loop {
        match replies.next(bound).await.map_err(|err| err.to_string())? {
            Some(Reply::Queued(_)) => bound = SIGN_BOUND,
            Some(Reply::StageDone(done)) => return Ok(done),
            reply => return Err(format!("unexpected reply {reply:?}")),
        }
    }
}

/// Has results freed by the owner of their pool.
pub(crate) async fn release<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    pool: String,
    handles: Vec<String>,
) {
    match shared.members.owner(&pool) {
        Owner::Own => broker::release(shared, &pool, handles),
        Owner::Other(member) => {
            let req = Request::Release(StageRelease { pool, handles });
            if let Err(err) = exchange(&member, &req, ANSWER_BOUND).await {
                // The results end by themselves.
                tracing::debug!(member = member.name, err, "results not freed");
            }
        }
    }
}

/// Asks the peers that matter what they know, until the process ends.
pub(crate) async fn ask_forever<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    loop {
        shared.members.settle(boottime::now());
        for member in shared.members.to_ask() {
            tokio::spawn(ask(shared.clone(), member));
        }
        time::sleep(FACTS_EVERY).await;
    }
}

async fn ask<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>, member: Member) {
    let sent = boottime::now();
    let req = Request::Facts(shared.facts());
    let facts = match exchange(&member, &req, ANSWER_BOUND).await {
        Ok(Reply::Facts(facts)) => facts,
        Ok(reply) => {
            tracing::warn!(member = member.name, ?reply, "unexpected answer of a gateway");
            return shared.members.on_silence(&member.name);
        }
        Err(err) => {
            tracing::debug!(member = member.name, err, "gateway not reached");
            return shared.members.on_silence(&member.name);
        }
    };
    if facts.name != member.name {
        tracing::warn!(
            member = member.name,
            answers = facts.name,
            "address of a gateway is another's"
        );
        return shared.members.on_silence(&member.name);
    }
    shared.members.on_answer(&facts);
    if let Err(err) = learn(&shared, &member, &facts, sent).await {
        tracing::warn!(
            member = member.name,
            revision = facts.revision,
            err,
            "configuration of a gateway not read"
        );
    }
}

/// Sends a request that has one reply; a busy peer that is late with it keeps its link, on which stages run.
async fn exchange(member: &Member, req: &Request, bound: Duration) -> Result<Reply, String> {
    let exchanged = async {
        let (_, mut replies) = member.peer.stream(req).await.map_err(|err| err.to_string())?;
        let reply = replies.next(bound).await.map_err(|err| err.to_string())?;
        reply.ok_or_else(|| "no reply".to_owned())
    };
    time::timeout(bound, exchanged)
        .await
        .unwrap_or_else(|_| Err(format!("no reply within {bound:?}")))
}

/// Takes over a newer configuration and a newer proof of freshness from a peer.
async fn learn<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    member: &Member,
    facts: &GatewayFacts,
    sent: Duration,
) -> Result<(), String> {
    let own = shared.facts().revision;
    if facts.revision > own {
        // The store is asked first: a configuration is large, and peers' links may be slow.
        if shared.reaches_store.load(Ordering::Relaxed) || !shared.start_config_read() {
            return Ok(());
        }
        let read = exchange(member, &Request::ReadConfig(own), CONFIG_BOUND).await;
        shared.end_config_read();
        let Reply::Config(config) = read? else { return Err("unexpected reply".to_owned()) };
        shared.adopt(config.revision, &config.text, "peer");
    }
    // The peer's age was true when it answered, which was after the question was sent.
    if let Some(age) = facts.proof_age_ms.filter(|_| facts.revision == shared.facts().revision) {
        let at = sent.saturating_sub(Duration::from_millis(age));
        shared.freshness.lock().record_proof(at);
    }
    Ok(())
}

/// Answers peers.
pub(crate) struct Peers<D, S>(pub(crate) Arc<Shared<D, S>>);

impl<D: Dialect, S: Store> Handler for Peers<D, S> {
    async fn handle(&self, req: Request, mut replies: ReplySink) -> marigold_link::Result<()> {
        let Peers(shared) = self;
        match req {
            Request::RunStage(_) if shared.is_stopping() => {
                replies.send(&Reply::Refused("the gateway is being stopped".to_owned())).await?;
            }
            Request::RunStage(ask) => {
                let run = broker::run(shared, ask);
                tokio::pin!(run);
                let done = loop {
                    replies.send(&Reply::Queued(shared.broker.waiting() as u64)).await?;
                    tokio::select! {
                        done = &mut run => break done,
                        // Dropping the stage cancels what has not been sent of it.
                        () = replies.closed() => return Ok(()),
                        () = time::sleep(SIGN_EVERY) => {}
                    }
                };
                replies.send(&Reply::StageDone(done)).await?;
            }
            Request::Release(StageRelease { pool, handles }) => {
                broker::release(shared, &pool, handles);
                replies.send(&Reply::Accepted(true)).await?;
            }
            Request::Facts(facts) => {
                // A gateway that is cut off from the store learns of new ones when they ask.
                shared.members.put(facts.name, &facts.entry);
                replies.send(&Reply::Facts(shared.facts())).await?;
            }
            Request::ReadConfig(newer_than) => {
                let adopted = shared.adopted.load_full();
                let reply = match adopted.filter(|adopted| adopted.revision > newer_than) {
                    Some(adopted) => Reply::Config(ConfigText {
                        revision: adopted.revision,
                        text: adopted.text.clone(),
                    }),
                    None => Reply::Refused("no newer configuration is known".to_owned()),
                };
                replies.send(&reply).await?;
            }
            _ => {
                replies
                    .send(&Reply::Refused("a gateway does not take this request".to_owned()))
                    .await?
            }
        }
        replies.finish();
        Ok(())
    }
}
