//! Requests that are refused because they crash targets.

use std::time::Duration;

use futures::future;
use http::StatusCode;
use marigold_core::poison as core_poison;
use marigold_core::poison::quarantine::Entry;
use marigold_objects::Store;
use marigold_process::boottime;

use super::{Attempts, SentRequest};
use crate::crashes::{self, LostRun};
use crate::dialect::Dialect;
use crate::poison;
use crate::poison::spread;
use crate::response::Failure;
use crate::targets::TrackedTarget;
use crate::upstream;

/// Number of targets that a request may lose before it is given up, whatever the route allows.
const MAX_LOST_TARGETS: usize = 2;
/// Shortest Retry-After of a quarantined request.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl<D: Dialect, S: Store> Attempts<D, S> {
    /// Refuses the request, before any work is done, if it is known to crash targets and is not chosen as a probe.
    ///
    /// # Errors
    /// A refusal.
    pub(crate) async fn check_quarantine(&mut self) -> Result<(), Failure> {
        let Some(entry) = self.quarantine() else { return Ok(()) };
        let can_probe = self.shared.poison.can_probe(&entry, &self.suspects, boottime::now());
        self.is_probe = can_probe && spread::ask_probe(&self.shared, &entry).await;
        if self.is_probe { Ok(()) } else { Err(self.quarantine_failure(&entry)) }
    }

    /// Returns the quarantine that refuses the request.
    pub(super) fn quarantine(&self) -> Option<Entry> {
        if self.is_probe {
            return None;
        }
        self.shared.poison.find(&self.pool, &self.suspects, boottime::now())
    }

    pub(super) fn quarantine_failure(&self, entry: &Entry) -> Failure {
        poison::on_refusal(&self.shared, entry);
        let (suspects, crashes) = (poison::text(entry), entry.crashes);
        let reason = if entry.key.1.iter().any(|suspect| !core_poison::is_part(suspect)) {
            format!("the same request crashed {crashes} targets and is refused ({suspects})")
        } else {
            format!("requests with the same {suspects} crashed {crashes} targets and are refused")
        };
        if self.total_runs() > 0 {
            return Failure::new(StatusCode::BAD_GATEWAY, reason);
        }
        let retry_after = entry.time_to_probe(boottime::now()).max(MIN_RETRY_AFTER);
        Failure::refused(reason, retry_after)
    }

    /// Returns whether the request may have crashed the targets that it has lost, so that no further one is to run it.
    pub(super) async fn is_suspect(&self) -> bool {
        if self.is_probe || self.quarantine().is_some() {
            return true;
        }
        let lost = self.all_lost_targets();
        if lost.len() < MAX_LOST_TARGETS {
            return false;
        }
        let ended = lost.iter().map(|tracked| upstream::is_refused(tracked.target.addr));
        let ended = future::join_all(ended).await;
        ended.into_iter().filter(|has_ended| *has_ended).count() >= MAX_LOST_TARGETS
    }

    /// Records that the connection to a target broke before the request had an answer; `has_begun` is set after the head of
    /// the reply.
    pub(crate) fn on_break(&mut self, sent: &SentRequest, has_begun: bool) {
        self.lost_targets.push(sent.tracked().clone());
        let lost = LostRun { suspects: self.suspects.clone(), has_begun, sent_at: sent.sent_at() };
        crashes::on_break(&self.shared, sent.tracked(), Some(lost));
    }

    /// Records that a target began its answer to the request.
    pub(crate) fn on_answer(&self, tracked: &TrackedTarget) {
        let target = &tracked.target;
        let customer = self.customer_name();
        poison::on_answer(&self.shared, &target.pool, &target.version, customer, &self.suspects);
    }
}
