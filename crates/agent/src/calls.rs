//! Calls from entries. Each attempt is admitted once and runs in a separate task, so that a lost link does not
//! stop it; entries read its events from a stream.

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

use crate::attempt_stream::{AttemptStream, Next};
use crate::state::{Shared, Tables};
use crate::target::{MAX_CALL_DURATION, Target as _, TargetCall};

/// Interval between the progress events of a running attempt that produces no tokens.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which an idempotent attempt keeps running without a reader.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(3);
/// Calls that may queue for each unit of the target's concurrency before further ones are refused.
const QUEUE_FACTOR: usize = 1;
/// Time to wait before a retry, as sent with a refusal because of overload.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Decision on a call.
enum Admission {
    Run(Arc<AttemptStream>),
    /// Another attempt with the same idempotency key is running; its events are sent.
    Join(Arc<AttemptStream>),
    Ended {
        outcome: Outcome,
        replayed: bool,
    },
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

/// Admits a call and sends its events until it ends.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    call: Call,
    replies: &mut ReplySink,
) -> marigold_link::Result<()> {
    let attempt = call.attempt;
    let resume_from = call.resume_from;
    match admit(shared, &call) {
        Admission::Run(stream) => {
            tokio::spawn(run(shared.clone(), call, stream.clone()));
            send_event(replies, CallEvent::Started(attempt)).await?;
            send_stream(&stream, attempt, resume_from, false, replies).await
        }
        Admission::Join(stream) => {
            send_event(replies, CallEvent::Started(attempt)).await?;
            send_stream(&stream, attempt, resume_from, true, replies).await
        }
        Admission::Ended { outcome, replayed } => {
            send_event(replies, outcome.into_event(attempt, replayed)).await
        }
    }
}

/// Sends the events of an attempt from the given token onwards, up to its outcome. An attempt that was never
/// received is fenced: it will not run if it arrives later.
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
    let (settled, stream) = {
        let now = shared.now();
        let mut tables = shared.tables.lock();
        (tables.attempts.settle(key.clone(), now), tables.streams.get(&key).cloned())
    };
    match (settled, stream) {
        (Settled::Fenced, _) => {
            let outcome = Outcome::not_run(NotRunCause::Fenced);
            send_event(replies, outcome.into_event(attempt, false)).await
        }
        (_, Some(stream)) => {
            send_event(replies, CallEvent::Started(attempt)).await?;
            send_stream(&stream, attempt, req.resume_from, false, replies).await
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

async fn send_stream(
    stream: &AttemptStream,
    attempt: u64,
    from: u32,
    replayed: bool,
    replies: &mut ReplySink,
) -> marigold_link::Result<()> {
    let mut reader = stream.reader(from);
    loop {
        let event = match reader.next(PROGRESS_INTERVAL).await {
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
    if !shared.accepts_calls() {
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
        if let Some(admission) = admit_key(&mut tables, call, digest, &sender, now) {
            return admission;
        }
    }
    if let Err(refusal) = admit_attempt(&mut tables, &key, slice.concurrency) {
        if let Some(digest) = key_digest {
            tables.ledger.finish(digest, &refusal, now);
        }
        return Admission::ended(refusal);
    }
    let stream = Arc::new(AttemptStream::new(call.resume_from));
    tables.streams.insert(key, stream.clone());
    if let Some(digest) = key_digest {
        tables.key_streams.insert(digest, stream.clone());
    }
    Admission::Run(stream)
}

/// Starts an attempt, unless the target's queue is full or the attempt was received or fenced before.
fn admit_attempt(tables: &mut Tables, key: &AttemptKey, concurrency: u32) -> Result<(), Outcome> {
    if tables.attempts.running() >= concurrency as usize * (1 + QUEUE_FACTOR) {
        return Err(Outcome::NotRun {
            cause: NotRunCause::Overloaded,
            retry_after: OVERLOAD_RETRY_AFTER,
        });
    }
    if tables.attempts.start(key.clone()) {
        Ok(())
    } else {
        Err(Outcome::not_run(NotRunCause::Fenced))
    }
}

/// Decides on a call with an idempotency key. Returns nothing if the call is to run.
fn admit_key(
    tables: &mut Tables,
    call: &Call,
    key: KeyDigest,
    sender: &Member,
    now: Duration,
) -> Option<Admission> {
    let key_ref = call.key.as_ref()?;
    let Some(licence) = tables.licences.get(&key_ref.shard) else {
        return Some(Admission::not_run(NotRunCause::NoLicence));
    };
    match licence.admit(sender, key_ref.epoch, now) {
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
        Decision::Join => match tables.key_streams.get(&key) {
            Some(stream) => Some(Admission::Join(stream.clone())),
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

async fn run(shared: Arc<Shared>, call: Call, stream: Arc<AttemptStream>) {
    let outcome = run_at_target(&shared, &call, &stream).await;
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
            tables.key_streams.remove(&digest);
        }
    }
    if let Outcome::Unknown(reason) = &outcome {
        tracing::info!(
            request = call.request,
            stage = call.stage,
            reason,
            "attempt ended with an unknown outcome"
        );
    }
    stream.end(outcome);
}

async fn run_at_target(shared: &Shared, call: &Call, stream: &AttemptStream) -> Outcome {
    let slice = shared.slice.load_full();
    let is_engine = slice.as_ref().is_some_and(|slice| slice.engine);
    let deadline = Duration::from_millis(call.deadline_ms);
    let timeout = if call.idempotent { deadline.min(MAX_CALL_DURATION) } else { MAX_CALL_DURATION };
    let target_call = TargetCall {
        path: call.path.clone(),
        body: call.body.clone(),
        timeout,
        idempotent: call.idempotent,
    };
    let work = async {
        if is_engine {
            shared.target.generate(&target_call, |token| stream.push(token)).await
        } else {
            shared.target.call(&target_call).await
        }
    };
    if !call.idempotent {
        return work.await;
    }
    tokio::select! {
        outcome = work => outcome,
        () = stream.cancelled() => Outcome::Unknown("the caller went away".to_owned()),
        () = orphaned(stream) => Outcome::Unknown("nobody reads the attempt's events any more".to_owned()),
    }
}

/// Completes when two checks in a row, half of [`ORPHAN_TIMEOUT`] apart, found no reader of the stream.
async fn orphaned(stream: &AttemptStream) {
    let mut idle_checks = 0;
    loop {
        tokio::time::sleep(ORPHAN_TIMEOUT / 2).await;
        idle_checks = if stream.readers() == 0 { idle_checks + 1 } else { 0 };
        if idle_checks == 2 {
            return;
        }
    }
}

/// Requests the cancellation of an attempt, which only stops an idempotent one. Returns whether its stream is
/// still stored.
pub(crate) fn cancel(shared: &Shared, sender: &Member, attempt: u64) -> bool {
    let stream = shared.tables.lock().streams.get(&attempt_key(sender, attempt)).cloned();
    if let Some(stream) = &stream {
        stream.cancel();
    }
    stream.is_some()
}

/// Returns the load reported to entries: attempts in progress, and the load that the target last reported.
pub(crate) fn reported_load(shared: &Shared) -> (u32, u32) {
    (shared.in_flight() as u32, shared.queued.load(Ordering::Relaxed))
}
