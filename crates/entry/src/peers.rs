//! Handler for the requests of other processes on links.

use std::sync::Arc;

use marigold_core::digest;
use marigold_core::ids::KeyDigest;
use marigold_link::server::{Handler, ReplySink};
use marigold_schema::messages::{CallEvent, Reply, Request, Taught};

use crate::config_push;
use crate::keyed_call;
use crate::state::{InFlight, Shared};

/// Interval between progress events of a forwarded call.
const PROGRESS_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);

pub(crate) struct PeerHandler {
    pub(crate) shared: Arc<Shared>,
}

impl PeerHandler {
    async fn serve(&self, req: Request, replies: &mut ReplySink) -> marigold_link::Result<()> {
        let shared = &self.shared;
        match req {
            Request::Push(delta) => {
                let revision = config_push::receive(shared, delta).await;
                replies.send(&Reply::Revision(revision)).await
            }
            Request::Pull(pull) => {
                let age = shared.confirmation_age().as_millis() as u64;
                let delta = shared.replica.lock().delta(pull.revision, age);
                replies.send(&Reply::Delta(delta)).await
            }
            Request::Seal(seal) => {
                if seal.entry_incarnation != shared.member.incarnation {
                    let taught =
                        Taught { incarnation: shared.member.incarnation, keys: Vec::new() };
                    return replies.send(&Reply::Taught(taught)).await;
                }
                let keys = shared.sent.lock().seal(&(seal.pool, seal.shard), seal.epoch);
                let keys = keys.into_iter().map(digest::to_wire).collect();
                replies
                    .send(&Reply::Taught(Taught { incarnation: shared.member.incarnation, keys }))
                    .await
            }
            Request::Tell(replicated) => {
                let keys: Option<Vec<KeyDigest>> =
                    replicated.keys.iter().map(|key| digest::from_wire(key)).collect();
                let keys =
                    keys.filter(|_| replicated.entry_incarnation == shared.member.incarnation);
                let accepted = keys.is_some();
                if let Some(keys) = keys {
                    shared.sent.lock().add_replicated(
                        &(replicated.pool, replicated.shard),
                        keys,
                        shared.now(),
                    );
                }
                replies.send(&Reply::Accepted(accepted)).await
            }
            Request::Forward(forward) => self.forward(forward, replies).await,
            Request::Heartbeat(_)
            | Request::Call(_)
            | Request::Settle(_)
            | Request::Cancel(_)
            | Request::TakeHint(_)
            | Request::RunStage(_)
            | Request::Release(_)
            | Request::Facts(_)
            | Request::ReadConfig(_)
            | Request::RecordOrigin(_)
            | Request::StoreOrigin(_)
            | Request::ReadOrigin(_)
            | Request::ReportCrash(_)
            | Request::ReadAnswers(_)
            | Request::SyncQuarantines(_)
            | Request::AskProbe(_)
            | Request::ReadTargets(_)
            | Request::AskLimit(_) => {
                replies.send(&Reply::Refused("an entry does not serve this".to_owned())).await
            }
        }
    }

    async fn forward(
        &self,
        forward: marigold_schema::messages::Forward,
        replies: &mut ReplySink,
    ) -> marigold_link::Result<()> {
        let attempt = forward.call.attempt;
        replies.send(&Reply::Event(CallEvent::Started(attempt))).await?;
        let shared = self.shared.clone();
        let _in_flight = InFlight::enter(&shared);
        // Runs on a task of its own, so that the call is not aborted when the other entry disconnects.
        let mut work =
            tokio::spawn(async move { keyed_call::run_forwarded(&shared, forward).await });
        let result = loop {
            match tokio::time::timeout(PROGRESS_INTERVAL, &mut work).await {
                Ok(Ok(result)) => break result,
                Ok(Err(err)) => {
                    let event =
                        CallEvent::Unknown(format!("the call that was passed on failed: {err}"));
                    return replies.send(&Reply::Event(event)).await;
                }
                Err(_) => replies.send(&Reply::Event(CallEvent::Progress(attempt))).await?,
            }
        };
        replies.send(&Reply::Event(result.outcome.into_event(attempt, result.replayed))).await
    }
}

impl Handler for PeerHandler {
    async fn handle(&self, req: Request, mut replies: ReplySink) -> marigold_link::Result<()> {
        self.serve(req, &mut replies).await?;
        replies.finish();
        Ok(())
    }
}
