//! Calls from entries: taken in once, run detached from the link, and read back as events.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marigold_core::attempts::{AttemptKey, Settled};
use marigold_core::digest;
use marigold_core::ids::{KeyDigest, Member};
use marigold_core::ledger::Decision;
use marigold_core::licence::Denied;
use marigold_core::outcome::{NotRunCause, Outcome};
use marigold_link::server::ReplySink;
use marigold_schema::messages::{Call, CallEvent, Reply, Settle, Token};

use crate::feed::{Feed, Next};
use crate::state::{Shared, Tables};
use crate::target::{MAX_CALL, Target as _, TargetCall};

/// Time between signs of life on a running attempt.
const PROGRESS_EVERY: Duration = Duration::from_millis(250);
/// Time that an idempotent attempt runs on without a reader.
const ORPHAN_GRACE: Duration = Duration::from_secs(3);
/// Calls that wait for each one that runs, before more are refused.
const QUEUE_FACTOR: usize = 1;
/// Time after which a refused caller may come back.
const OVERLOAD_RETRY: Duration = Duration::from_millis(500);

/// What becomes of a call.
enum Admission {
    Run(Arc<Feed>),
    Join(Arc<Feed>),
    Ended { outcome: Outcome, replayed: bool },
}

impl Admission {
    fn ended(outcome: Outcome) -> Self {
        Admission::Ended { outcome, replayed: false }
    }

    fn not_run(cause: NotRunCause) -> Self {
        Admission::ended(Outcome::not_run(cause))
    }
}

pub(crate) fn attempt_key(sender: &Member, attempt: u64) -> AttemptKey {
    (sender.name.clone(), sender.incarnation, attempt)
}

/// Takes in a call and sends its events until it ends.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    call: Call,
    replies: &mut ReplySink,
) -> marigold_link::Result<()> {
    let attempt = call.attempt;
    let resume_from = call.resume_from;
    match admit(shared, &call) {
        Admission::Run(feed) => {
            tokio::spawn(run(shared.clone(), call, feed.clone()));
            send_event(replies, CallEvent::Started(attempt)).await?;
            send_feed(&feed, attempt, resume_from, false, replies).await
        }
        Admission::Join(feed) => {
            send_event(replies, CallEvent::Started(attempt)).await?;
            send_feed(&feed, attempt, resume_from, true, replies).await
        }
        Admission::Ended { outcome, replayed } => {
            send_event(replies, outcome.into_event(attempt, replayed)).await
        }
    }
}

/// Tells what became of an attempt, with its events from a token on.
pub(crate) async fn settle(
    shared: &Arc<Shared>,
    req: Settle,
    replies: &mut ReplySink,
) -> marigold_link::Result<()> {
    let attempt = req.attempt;
    if req.agent_incarnation != shared.incarnation {
        let outcome = Outcome::Unknown("the agent was restarted".to_owned());
        return send_event(replies, outcome.into_event(attempt, false)).await;
    }
    let key = attempt_key(&req.sender.into(), attempt);
    let (settled, feed) = {
        let now = shared.now();
        let mut tables = shared.tables.lock();
        (tables.attempts.settle(key.clone(), now), tables.feeds.get(&key).cloned())
    };
    match (settled, feed) {
        (Settled::Fenced, _) => {
            let outcome = Outcome::not_run(NotRunCause::Fenced);
            send_event(replies, outcome.into_event(attempt, false)).await
        }
        (_, Some(feed)) => {
            send_event(replies, CallEvent::Started(attempt)).await?;
            send_feed(&feed, attempt, req.resume_from, false, replies).await
        }
        (Settled::Finished(outcome), None) => {
            send_event(replies, outcome.into_event(attempt, false)).await
        }
        (Settled::Running | Settled::Expired, None) => {
            let outcome = Outcome::Unknown("nothing is kept of the attempt any more".to_owned());
            send_event(replies, outcome.into_event(attempt, false)).await
        }
    }
}

async fn send_event(replies: &mut ReplySink, event: CallEvent) -> marigold_link::Result<()> {
    replies.send(&Reply::Event(event)).await
}

async fn send_feed(
    feed: &Feed,
    attempt: u64,
    from: u32,
    replayed: bool,
    replies: &mut ReplySink,
) -> marigold_link::Result<()> {
    let mut reader = feed.reader(from);
    loop {
        let event = match reader.next(PROGRESS_EVERY).await {
            Next::Token(index, text) => CallEvent::Token(Token { index, text }),
            Next::Idle => CallEvent::Progress(attempt),
            Next::End(outcome) => {
                return send_event(replies, outcome.into_event(attempt, replayed)).await;
            }
        };
        send_event(replies, event).await?;
    }
}

fn admit(shared: &Shared, call: &Call) -> Admission {
    if call.agent_incarnation != shared.incarnation {
        return Admission::not_run(NotRunCause::StaleIncarnation);
    }
    if !shared.takes_calls() {
        return Admission::not_run(NotRunCause::Leaving);
    }
    let Some(slice) = shared.slice.load_full() else {
        return Admission::not_run(NotRunCause::NoLicence);
    };
    let sender: Member = call.sender.clone().into();
    let key = attempt_key(&sender, call.attempt);
    let now = shared.now();
    let mut tables = shared.tables.lock();
    let key_digest = call.key.as_ref().and_then(|key_ref| digest::from_wire(&key_ref.digest));
    if call.key.is_some() {
        let Some(digest) = key_digest else { return Admission::not_run(NotRunCause::NoLicence) };
        if let Some(early) = admit_key(&mut tables, call, digest, &sender, now) {
            return early;
        }
    }
    if let Err(refused) = admit_attempt(&mut tables, &key, slice.concurrency) {
        if let Some(digest) = key_digest {
            tables.ledger.finish(digest, &refused, now);
        }
        return Admission::ended(refused);
    }
    let feed = Arc::new(Feed::new(call.resume_from));
    tables.feeds.insert(key, feed.clone());
    if let Some(digest) = key_digest {
        tables.key_feeds.insert(digest, feed.clone());
    }
    Admission::Run(feed)
}

/// Takes in an attempt unless the target is full or the attempt was seen before.
fn admit_attempt(tables: &mut Tables, key: &AttemptKey, concurrency: u32) -> Result<(), Outcome> {
    if tables.attempts.running() >= concurrency as usize * (1 + QUEUE_FACTOR) {
        return Err(Outcome::NotRun {
            cause: NotRunCause::Overloaded,
            retry_after: OVERLOAD_RETRY,
        });
    }
    if tables.attempts.start(key.clone()) {
        Ok(())
    } else {
        Err(Outcome::not_run(NotRunCause::Fenced))
    }
}

/// Decides on a keyed call; none means that it is to run.
fn admit_key(
    tables: &mut Tables,
    call: &Call,
    key: KeyDigest,
    sender: &Member,
    now: Duration,
) -> Option<Admission> {
    let key_ref = call.key.as_ref()?;
    let Some(holding) = tables.holdings.get(&key_ref.shard) else {
        return Some(Admission::not_run(NotRunCause::NoLicence));
    };
    match holding.admit(sender, key_ref.epoch, now) {
        Ok(()) => {}
        Err(Denied::NotRun(cause)) => return Some(Admission::not_run(cause)),
        Err(Denied::Quarantined) => {
            let reason =
                "an entry that may have sent the key is gone; the key's shard is quarantined";
            return Some(Admission::ended(Outcome::Unknown(reason.to_owned())));
        }
    }
    match tables.ledger.admit(key, key_ref.shard, &key_ref.body_digest, sender, now) {
        Decision::Start => None,
        Decision::Join => match tables.key_feeds.get(&key) {
            Some(feed) => Some(Admission::Join(feed.clone())),
            None => Some(Admission::ended(Outcome::Unknown("the key is running".to_owned()))),
        },
        Decision::Replay(answer) => {
            Some(Admission::Ended { outcome: Outcome::Done(answer), replayed: true })
        }
        Decision::Unknown => Some(Admission::ended(Outcome::Unknown(
            "the key may have run; its answer is not known".to_owned(),
        ))),
        Decision::Mismatch => Some(Admission::ended(Outcome::KeyMismatch)),
        Decision::Full => Some(Admission::not_run(NotRunCause::LedgerFull)),
    }
}

async fn run(shared: Arc<Shared>, call: Call, feed: Arc<Feed>) {
    let outcome = run_at_target(&shared, &call, &feed).await;
    let now = shared.now();
    {
        let mut tables = shared.tables.lock();
        tables.attempts.finish(
            attempt_key(&call.sender.clone().into(), call.attempt),
            outcome.clone(),
            now,
        );
        if let Some(digest) =
            call.key.as_ref().and_then(|key_ref| digest::from_wire(&key_ref.digest))
        {
            tables.ledger.finish(digest, &outcome, now);
            tables.key_feeds.remove(&digest);
        }
    }
    if let Outcome::Unknown(reason) = &outcome {
        tracing::info!(request = call.request, stage = call.stage, reason, "attempt ended unknown");
    }
    feed.end(outcome);
}

async fn run_at_target(shared: &Shared, call: &Call, feed: &Feed) -> Outcome {
    let slice = shared.slice.load_full();
    let is_engine = slice.as_ref().is_some_and(|slice| slice.engine);
    let deadline = Duration::from_millis(call.deadline_ms);
    let timeout = if call.idempotent { deadline.min(MAX_CALL) } else { MAX_CALL };
    let target_call = TargetCall {
        path: call.path.clone(),
        body: call.body.clone(),
        timeout,
        idempotent: call.idempotent,
    };
    let work = async {
        if is_engine {
            shared.target.generate(&target_call, |token| feed.push(token)).await
        } else {
            shared.target.call(&target_call).await
        }
    };
    if !call.idempotent {
        return work.await;
    }
    tokio::select! {
        outcome = work => outcome,
        () = feed.cancelled() => Outcome::Unknown("the caller went away".to_owned()),
        () = orphaned(feed) => Outcome::Unknown("nobody reads the attempt's events any more".to_owned()),
    }
}

/// Ends when nobody has read the feed for a while.
async fn orphaned(feed: &Feed) {
    let mut unread = 0;
    loop {
        tokio::time::sleep(ORPHAN_GRACE / 2).await;
        unread = if feed.readers() == 0 { unread + 1 } else { 0 };
        if unread == 2 {
            return;
        }
    }
}

/// Cancels an idempotent attempt.
pub(crate) fn cancel(shared: &Shared, sender: &Member, attempt: u64) -> bool {
    let feed = shared.tables.lock().feeds.get(&attempt_key(sender, attempt)).cloned();
    if let Some(feed) = &feed {
        feed.cancel();
    }
    feed.is_some()
}

/// Calls in progress as reported to entries: own count, or the target's word when that is larger.
pub(crate) fn reported_load(shared: &Shared) -> (u32, u32) {
    (shared.in_flight() as u32, shared.queued.load(Ordering::Relaxed))
}
