//! Requests between gateways: running stages, freeing results, and exchanging state and configurations.

use std::fmt;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream;
use marigold_core::ids::Uptime;
use marigold_core::load_reports::InFlight;
use marigold_core::store_service::Period;
use marigold_link::server::{Handler, ReplySink};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages;
use marigold_schema::messages::{
    AnswerAges, AnswerQuery, ConfigText, CrashReport, GatewayFacts, LimitAsk, LimitGrant, ProbeAsk,
    QuarantineList, Reply, Request, RunStage, StageDone, StageRelease, TargetChanges,
};
use tokio::time::{self, Instant};

use crate::batcher;
use crate::dialect::Dialect;
use crate::discovery;
use crate::limits;
use crate::members::{Member, Owner};
use crate::origins;
use crate::poison;
use crate::poison::{evidence, spread};
use crate::shared::{Adoption, Shared};
use crate::target_relay::{self, Step};

/// Interval at which peers are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a reply that needs no work; the round trip between gateways of one region takes milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of the heartbeats sent while a stage runs for a peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a heartbeat after which a stage is run elsewhere; three heartbeat intervals.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of heartbeats beyond those that are due from which a gateway counts as faulty.
const MAX_EXTRA_HEARTBEATS: u32 = 16;
/// Length of the text about a reply that is not understood, in bytes.
const MAX_REPLY_TEXT_BYTES: usize = 200;
/// Number of owners that are tried for a stage, one after the other. If none answers, this gateway is likely to be
/// partitioned and runs the stage itself.
const MAX_OWNERS_TRIED: usize = 2;
/// Number of owners that may refuse a stage, as they are being stopped or have just started, before this gateway runs it itself.
const MAX_OWNERS_REFUSING: usize = 4;
/// Number of gateways that are told at a time that this one is being stopped.
const MAX_TOLD: usize = 32;
/// Reason for which a stopping gateway refuses stages, and returns those that it has not begun.
const STOPPING: &str = "the gateway is being stopped";
/// Time in which a gateway reads a newer configuration from a store that it reaches, including the age from which it does
/// so itself.
const STORE_READ_TIME: Duration = Duration::from_millis(2_500);
/// Timeout of reading a configuration, which may be hundreds of kilobytes on a slow link.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a stage at the owner of its pool; if that fails, at the next owner, and last on this gateway.
pub(crate) async fn run_stage<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    req: RunStage,
) -> StageDone {
    let started = boottime::now();
    let (mut failed, mut refused) = (0, 0);
    loop {
        let req = after_wait(&req, boottime::now().saturating_sub(started));
        let owner = if failed < MAX_OWNERS_TRIED && refused < MAX_OWNERS_REFUSING {
            shared.members.owner(&req.pool)
        } else {
            Owner::Local
        };
        let member = match owner {
            Owner::Local => match batcher::run(shared, req).await {
                Some(done) => return done,
                None => continue,
            },
            Owner::Remote(member) => member,
        };
        match run_on(&member, &req).await {
            Ok(Some(done)) => return done,
            Ok(None) => {
                shared.members.on_stage_refusal(&member);
                refused += 1;
            }
            Err(err) => {
                tracing::warn!(
                    request = req.request,
                    pool = req.pool,
                    member = member.name,
                    err,
                    "pool owner failed to run the stage"
                );
                shared.members.on_stage_failure(&member.name);
                failed += 1;
            }
        }
    }
}

/// Returns a stage as it is after it has waited, since its times count from when it is sent.
fn after_wait(req: &RunStage, waited: Duration) -> RunStage {
    let waited_ms = waited.as_millis() as u64;
    RunStage {
        left_ms: req.left_ms.saturating_sub(waited_ms),
        due_ms: req.due_ms.saturating_sub_unsigned(waited_ms),
        ..req.clone()
    }
}

/// Runs a stage on another gateway; returns `None` if that one refuses it and has not run any of it.
async fn run_on(member: &Member, req: &RunStage) -> Result<Option<StageDone>, String> {
    let req = Request::RunStage(req.clone());
    let (_, mut replies) = time::timeout(REPLY_TIMEOUT, member.peer.stream(&req))
        .await
        .map_err(|_| format!("no link within {REPLY_TIMEOUT:?}"))?
        .map_err(|err| err.to_string())?;
    let mut timeout = REPLY_TIMEOUT;
    let (started, mut heartbeats) = (Instant::now(), 0);
    loop {
        match replies.next(timeout).await.map_err(|err| err.to_string())? {
            Some(Reply::Queued(_)) => {
                timeout = HEARTBEAT_TIMEOUT;
                heartbeats += 1;
                let expected = started.elapsed().div_duration_f64(HEARTBEAT_INTERVAL) as u32;
                if heartbeats > MAX_EXTRA_HEARTBEATS + expected {
                    return Err(format!("{heartbeats} heartbeats, {expected} expected"));
                }
            }
            Some(Reply::StageDone(done)) => return Ok(Some(done)),
            Some(Reply::Refused(reason)) => {
                let reason = short_text(&reason);
                tracing::info!(member = member.name, reason, "stage refused");
                return Ok(None);
            }
            reply => return Err(unexpected(&reply)),
        }
    }
}

/// Moves all that this gateway owns to others when it is being stopped: tells them, and returns the stages that it has not
/// begun.
pub(crate) fn leave<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>) {
    shared.members.leave();
    batcher::hand_over(shared);
    tokio::spawn(announce_stop(shared.clone()));
}

async fn announce_stop<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    let members = shared.members.others().into_iter().filter(Member::is_alive);
    let told = members.map(|member| {
        let req = Request::Facts(shared.facts());
        async move {
            if let Err(err) = exchange(&member, &req, REPLY_TIMEOUT).await {
                // It learns of the stop when it polls this gateway or sends it a stage.
                tracing::debug!(member = member.name, err, "gateway not told of the stop");
            }
        }
    });
    stream::iter(told).for_each_concurrent(MAX_TOLD, |told| told).await;
}

/// Text of a limited length; more is an error, so that the rest isn't formatted.
struct ShortText(String);

impl fmt::Write for ShortText {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let left = MAX_REPLY_TEXT_BYTES.saturating_sub(self.0.len());
        self.0.push_str(&text[..text.floor_char_boundary(left)]);
        if text.len() > left { Err(fmt::Error) } else { Ok(()) }
    }
}

/// Returns the beginning of a value's text.
fn short_text(value: &impl fmt::Debug) -> String {
    let mut text = ShortText(String::new());
    // Fails if the text is longer.
    let _ = write!(text, "{value:?}");
    text.0
}

/// Describes a reply that does not answer its request.
fn unexpected(reply: &impl fmt::Debug) -> String {
    format!("unexpected reply {}", short_text(reply))
}

/// Frees results through the owner of their pool.
pub(crate) async fn release<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    pool: String,
    handles: Vec<String>,
) {
    match shared.members.owner(&pool) {
        Owner::Local => batcher::release(shared, &pool, handles),
        Owner::Remote(member) => {
            let req = Request::Release(StageRelease { pool, handles });
            if let Err(err) = exchange(&member, &req, REPLY_TIMEOUT).await {
                // The results expire without the request.
                tracing::debug!(member = member.name, err, "results not freed");
            }
        }
    }
}

/// Asks the owner of a target's limit whether requests may be sent to the target.
pub(crate) async fn ask_limit(owner: &Member, ask: LimitAsk) -> Result<LimitGrant, String> {
    match exchange(owner, &Request::AskLimit(ask), limits::ASK_TIMEOUT).await? {
        Reply::LimitGrant(grant) => Ok(grant),
        reply => Err(unexpected(&reply)),
    }
}

/// Sends the record of a stream's origin to a gateway that is to keep it, or to write it to the store as well.
pub(crate) async fn record_origin(
    keeper: &Member,
    origin: messages::StreamOrigin,
    is_stored: bool,
) -> Result<(), String> {
    let req = if is_stored { Request::StoreOrigin(origin) } else { Request::RecordOrigin(origin) };
    match exchange(keeper, &req, origins::QUERY_TIMEOUT).await? {
        Reply::Accepted(true) => Ok(()),
        reply => Err(unexpected(&reply)),
    }
}

/// Asks a gateway where a stream began.
pub(crate) async fn read_origin(
    member: &Member,
    query: messages::OriginQuery,
) -> Result<messages::OriginAnswer, String> {
    match exchange(member, &Request::ReadOrigin(query), origins::QUERY_TIMEOUT).await? {
        Reply::Origin(answer) => Ok(answer),
        reply => Err(unexpected(&reply)),
    }
}

/// Sends the report of a crash to a detector of its pool.
pub(crate) async fn report_crash(detector: &Member, report: CrashReport) -> Result<(), String> {
    match exchange(detector, &Request::ReportCrash(report), evidence::MESSAGE_TIMEOUT).await? {
        Reply::Accepted(true) => Ok(()),
        reply => Err(unexpected(&reply)),
    }
}

/// Asks a gateway for answers to requests with some suspects.
pub(crate) async fn read_answers(
    member: &Member,
    query: AnswerQuery,
) -> Result<AnswerAges, String> {
    match exchange(member, &Request::ReadAnswers(query), evidence::MESSAGE_TIMEOUT).await? {
        Reply::AnswerAges(ages) => Ok(ages),
        reply => Err(unexpected(&reply)),
    }
}

/// Sends quarantines to a gateway, and returns all of its own if the list is complete.
pub(crate) async fn sync_quarantines(
    member: &Member,
    list: QuarantineList,
) -> Result<QuarantineList, String> {
    match exchange(member, &Request::SyncQuarantines(list), REPLY_TIMEOUT).await? {
        Reply::Quarantines(list) => Ok(list),
        reply => Err(unexpected(&reply)),
    }
}

/// Asks the owner of a quarantine for a probe.
pub(crate) async fn ask_probe(owner: &Member, ask: ProbeAsk) -> Result<bool, String> {
    match exchange(owner, &Request::AskProbe(ask), evidence::MESSAGE_TIMEOUT).await? {
        Reply::Accepted(is_granted) => Ok(is_granted),
        reply => Err(unexpected(&reply)),
    }
}

/// Polls the state of the relevant peers, until the process ends.
pub(crate) async fn poll_forever<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    loop {
        let now = boottime::now();
        shared.members.settle(now);
        shared.origins.remove_expired(now);
        shared
            .limits
            .remove_unused(now, |id, started_at_ms| shared.targets.has_start(id, started_at_ms));
        if shared.load.take_expired(now) {
            shared.targets.report_loads(&InFlight::new());
        }
        poison::maintain(&shared);
        for member in shared.members.to_poll(&shared.limits.in_use(now)) {
            tokio::spawn(poll(shared.clone(), member));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>, member: Member) {
    let sent = boottime::now();
    let req = Request::Facts(GatewayFacts { in_flight: shared.own_in_flight(), ..shared.facts() });
    let facts = match exchange(&member, &req, REPLY_TIMEOUT).await {
        Ok(Reply::Facts(facts)) => facts,
        Ok(reply) => {
            tracing::warn!(
                member = member.name,
                err = unexpected(&reply),
                "unexpected reply from gateway"
            );
            shared.members.on_poll_failure(&member.name);
            return;
        }
        Err(err) => {
            tracing::debug!(member = member.name, err, "gateway unreachable");
            if shared.members.on_poll_failure(&member.name) {
                member.peer.close().await;
            }
            return;
        }
    };
    if facts.name != member.name {
        tracing::warn!(
            member = member.name,
            answers = facts.name,
            "address belongs to another gateway"
        );
        shared.members.on_poll_failure(&member.name);
        return;
    }
    shared.members.on_facts(&facts);
    // Before the targets are read: entries that expired in an outage are kept for a while.
    if let Some(service) = &facts.store_service {
        merge_store_service(&shared, service, sent);
    }
    if let Some(state) = &facts.targets
        && let Err(err) = sync_targets(&shared, &member, state, sent).await
    {
        tracing::debug!(member = member.name, err, "changes of targets not read");
    }
    limits::merge_changed(&shared, facts.limits.clone(), sent);
    shared.merge_total_in_flight(facts.total_in_flight.clone());
    discovery::merge_evacuations(&shared, facts.evacuations.as_ref(), sent);
    spread::sync(&shared, &member, facts.quarantines).await;
    if let Err(err) = sync_config(&shared, &member, &facts, sent).await {
        tracing::warn!(
            member = member.name,
            version = facts.config_version,
            err,
            "failed to read configuration from gateway"
        );
    }
}

/// Adds what a peer knows of the store's service. The peer determined the ages between the request, sent at `sent`, and its
/// reply; the period is taken as short as that allows.
fn merge_store_service<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    service: &messages::StoreService,
    sent: Uptime,
) {
    let until = sent.saturating_sub(Duration::from_millis(service.until_age_ms));
    let since = boottime::now().saturating_sub(Duration::from_millis(service.since_age_ms));
    let period = Period { since: since.min(until), until };
    shared.store_service.lock().merge(period, shared.min_outage());
    shared.store_service_merged.notify_waiters();
}

/// Sends a request with a single reply. A timeout does not close the link, since stages may be running on it.
async fn exchange(member: &Member, req: &Request, timeout: Duration) -> Result<Reply, String> {
    let exchanged = async {
        let (_, mut replies) = member.peer.stream(req).await.map_err(|err| err.to_string())?;
        let reply = replies.next(timeout).await.map_err(|err| err.to_string())?;
        reply.ok_or_else(|| "no reply".to_owned())
    };
    time::timeout(timeout, exchanged)
        .await
        .unwrap_or_else(|_| Err(format!("no reply within {timeout:?}")))
}

/// Adopts newer changes of the list of targets, or a newer proof that there are none, from a peer.
async fn sync_targets<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    member: &Member,
    state: &messages::TargetsState,
    sent: Uptime,
) -> Result<(), String> {
    let step = {
        let mut recent = shared.target_changes.lock();
        shared.check_targets_gap(&recent, boottime::now());
        target_relay::compare(&mut recent, state, sent)
    };
    let after = match step {
        Step::Ignore => return Ok(()),
        Step::Verified(at) => {
            shared.record_relayed_targets(at);
            return Ok(());
        }
        Step::Ask(after) => after,
    };
    // Peers that are polled together have the same changes.
    if !shared.start_targets_read() {
        return Ok(());
    }
    let sent = boottime::now();
    let req = Request::ReadTargets(target_relay::question(after));
    let reply = exchange(member, &req, REPLY_TIMEOUT).await;
    shared.end_targets_read();
    let TargetChanges { state, objects, service } = match reply? {
        Reply::TargetChanges(changes) => changes,
        reply => return Err(unexpected(&reply)),
    };
    // Before the changes are applied: entries that expired in an outage are kept for a while.
    if let Some(service) = service {
        merge_store_service(shared, &service, sent);
    }
    let (changes, at) = target_relay::parse(&state, objects, sent, boottime::now())
        .map_err(|err| err.to_string())?;
    discovery::apply_target_changes(shared, &changes, after, at);
    if shared.target_changes.lock().version() == changes.version {
        shared.record_relayed_targets(at);
    }
    Ok(())
}

/// Adopts a newer configuration and a newer proof of freshness from a peer.
async fn sync_config<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    member: &Member,
    facts: &GatewayFacts,
    sent: Duration,
) -> Result<(), String> {
    let own_version = shared.config_version();
    if facts.config_version > own_version {
        // The store is preferred, since a configuration is large and the links of peers may be slow. A store that was
        // restored from an older copy does not have it until the operator has written it again.
        let since = *shared.newer_config_since.lock().get_or_insert(sent);
        let is_in_store = shared.is_store_reachable.load(Ordering::Relaxed)
            && sent.saturating_sub(since) < STORE_READ_TIME;
        if is_in_store || !shared.start_config_read() {
            return Ok(());
        }
        let reply = exchange(member, &Request::ReadConfig(own_version), CONFIG_TIMEOUT).await;
        shared.end_config_read();
        let Reply::Config(config) = reply? else { return Err("unexpected reply".to_owned()) };
        if shared.adopt(&config.text, "peer") == Adoption::InForce {
            origins::on_config(shared);
        }
    }
    // The peer determined the age after the request was sent, so the proof is not older than computed here.
    if let Some(age) =
        facts.proof_age_ms.filter(|_| facts.config_version == shared.config_version())
    {
        let at = sent.saturating_sub(Duration::from_millis(age));
        shared.freshness.lock().record_proof(at);
    }
    Ok(())
}

/// Handles the requests of peers.
pub(crate) struct PeerHandler<D, S>(pub(crate) Arc<Shared<D, S>>);

impl<D: Dialect, S: Store> Handler for PeerHandler<D, S> {
    async fn handle(&self, req: Request, mut replies: ReplySink) -> marigold_link::Result<()> {
        let PeerHandler(shared) = self;
        match req {
            Request::RunStage(_) if shared.is_stopping() => {
                replies.send(&Reply::Refused(STOPPING.to_owned())).await?;
            }
            // A gateway that has just started would refuse the stage as one whose pool has no targets.
            Request::RunStage(_) if !shared.knows_pools() => {
                replies.send(&Reply::Refused("the gateway is starting".to_owned())).await?;
            }
            Request::RunStage(req) => {
                let _running = shared.batcher.start_peer_stage();
                let stage = batcher::run(shared, req);
                tokio::pin!(stage);
                let done = loop {
                    replies.send(&Reply::Queued(shared.batcher.queued_count() as u64)).await?;
                    tokio::select! {
                        done = &mut stage => break done,
                        // Dropping the future cancels the pieces that have not been sent.
                        () = replies.closed() => return Ok(()),
                        () = time::sleep(HEARTBEAT_INTERVAL) => {}
                    }
                };
                let reply = match done {
                    Some(done) => Reply::StageDone(done),
                    None => Reply::Refused(STOPPING.to_owned()),
                };
                replies.send(&reply).await?;
            }
            Request::Release(StageRelease { pool, handles }) => {
                batcher::release(shared, &pool, handles);
                replies.send(&Reply::Accepted(true)).await?;
            }
            Request::Facts(facts) => {
                // A gateway that cannot reach the store discovers new gateways from their polls.
                let now = boottime::now();
                let earliest = now.saturating_sub(REPLY_TIMEOUT);
                let has_load = !facts.in_flight.is_empty();
                shared.load.record(facts.name.clone(), facts.in_flight, now);
                shared.members.put(facts.name.clone(), &facts.entry);
                if facts.leaving {
                    shared.members.on_leaving(&facts.name, facts.entry.incarnation);
                }
                limits::merge_changed(shared, facts.limits, earliest);
                discovery::merge_evacuations(shared, facts.evacuations.as_ref(), earliest);
                let total_in_flight = if has_load { shared.total_in_flight() } else { Vec::new() };
                let facts = GatewayFacts { total_in_flight, ..shared.facts() };
                replies.send(&Reply::Facts(facts)).await?;
            }
            Request::AskLimit(ask) => {
                replies.send(&Reply::LimitGrant(limits::answer(shared, ask))).await?;
            }
            Request::ReportCrash(report) => {
                let is_kept = evidence::keep(shared, report, boottime::now());
                replies.send(&Reply::Accepted(is_kept)).await?;
            }
            Request::ReadAnswers(query) => {
                replies.send(&Reply::AnswerAges(evidence::answer(shared, &query))).await?;
            }
            Request::SyncQuarantines(list) => {
                replies.send(&Reply::Quarantines(spread::exchange(shared, list))).await?;
            }
            Request::AskProbe(ProbeAsk { pool, suspects }) => {
                let key = (pool, suspects.into_iter().collect());
                replies.send(&Reply::Accepted(spread::grant_probe(shared, &key))).await?;
            }
            Request::RecordOrigin(origin) => {
                replies.send(&Reply::Accepted(origins::keep(shared, origin, false))).await?;
            }
            Request::StoreOrigin(origin) => {
                replies.send(&Reply::Accepted(origins::keep(shared, origin, true))).await?;
            }
            Request::ReadOrigin(query) => {
                replies.send(&Reply::Origin(origins::answer(shared, &query))).await?;
            }
            Request::ReadTargets(after) => {
                let (service, now) = (shared.store_service(), boottime::now());
                let changes = {
                    let recent = shared.target_changes.lock();
                    target_relay::changes_since(&recent, &after, service, now)
                };
                let reply = match changes {
                    Some(changes) => Reply::TargetChanges(changes),
                    None => Reply::Refused("changes since this version are not kept".to_owned()),
                };
                replies.send(&reply).await?;
            }
            Request::ReadConfig(newer_than) => {
                let adopted = shared.adopted.load_full();
                let reply = match adopted.filter(|adopted| adopted.routing.version > newer_than) {
                    Some(adopted) => Reply::Config(ConfigText { text: adopted.text.clone() }),
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
