//! Streams that go on: where they began, and at which targets they may go on.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use marigold_core::ids::SoftwareVersion;
use marigold_core::routes::Repeat;
use marigold_core::stream_origin::{self, Origin, Record};
use marigold_core::targets::Target;
use marigold_objects::Store;
use marigold_process::boottime;
use opentelemetry::KeyValue;

use super::Attempts;
use crate::dialect::Dialect;
use crate::origins::{self, Found, TakenUp};
use crate::relay::{self, EventStream};
use crate::response::Failure;
use crate::targets::TrackedTarget;

/// Retry-After of a stream that cannot go on. The caller may begin a new one at once.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Where the stream of a request began.
#[derive(Clone, Debug)]
pub(crate) struct Begun {
    pub(super) version: SoftwareVersion,
    /// The target that began it, unless only the version is known.
    origin: Option<Origin>,
}

impl Begun {
    /// Creates the beginning of a stream of which only the version is known.
    pub(super) fn at_version(version: SoftwareVersion) -> Self {
        Self { version, origin: None }
    }

    /// Returns whether there is a record of the stream.
    pub(super) fn is_recorded(&self) -> bool {
        self.origin.is_some()
    }
}

impl<D: Dialect, S: Store> Attempts<D, S> {
    /// Returns whether the request takes up a stream.
    fn is_taken_up(&self) -> bool {
        self.route.repeat == Repeat::Resumable
            && (self.head.last_event.is_some() || self.head.resumes.is_some())
    }

    /// Finds out at which software version the stream began that the caller takes up.
    ///
    /// # Errors
    /// A refusal when that is not known, or when the stream cannot go on there.
    pub(crate) async fn find_origin(&mut self) -> Result<(), Failure> {
        if !self.is_taken_up() {
            return Ok(());
        }
        let pools = &self.route.pools;
        let window = origins::window(self.route.timeout);
        let since = boottime::now().saturating_sub(window);
        let is_only_pool =
            pools.len() == 1 && !self.shared.was_moved_after(&self.route.name, since);
        let stream = TakenUp {
            customer: self.customer_name(),
            resumes: self.head.resumes.as_deref(),
            pool: is_only_pool.then(|| pools[0].0.as_str()),
            window,
        };
        let begun = match origins::find(&self.shared, stream).await {
            Found::Origin(origin) => {
                if !pools.iter().any(|(pool, _)| *pool == origin.pool) {
                    return Err(self.version_failure("pool_changed"));
                }
                self.pool.clone_from(&origin.pool);
                Begun { version: origin.version.clone(), origin: Some(origin) }
            }
            Found::Version(version) => Begun { version, origin: None },
            Found::Unknown { asked, answered } => {
                tracing::info!(
                    request = self.request(),
                    first_attempt = self.head.resumes,
                    pool = self.pool,
                    asked,
                    answered,
                    "no gateway knows where the stream began"
                );
                return Err(self.version_failure("unknown"));
            }
        };
        self.begun = Some(begun);
        self.check_version().map_err(|reason| self.version_failure(reason))
    }

    /// Records where the stream of this request begins, or goes on without a record, before the caller gets its first event.
    pub(crate) async fn record_origin(&mut self, target: &Target) {
        let is_recorded = self.begun.as_ref().is_some_and(Begun::is_recorded);
        if self.route.repeat != Repeat::Resumable || is_recorded {
            return;
        }
        let origin = Origin::from(target);
        self.begun = Some(Begun { version: origin.version.clone(), origin: Some(origin.clone()) });
        let record = Record {
            key: stream_origin::key(self.customer_name(), self.first_attempt()),
            customer: self.customer_name().map(str::to_owned),
            origin,
            expires: self.arrived + self.head.timeout.unwrap_or_default().max(self.route.timeout),
        };
        origins::record(&self.shared, record, &self.route).await;
    }

    /// Returns the caller's attempt that brought the first event of the stream.
    fn first_attempt(&self) -> &str {
        self.head.resumes.as_deref().unwrap_or(self.request())
    }

    /// Records that the stream has ended with its last event.
    pub(crate) fn on_stream_end(&self) {
        if self.route.repeat == Repeat::Resumable {
            origins::on_end(&self.shared, self.customer_name(), self.first_attempt());
        }
    }

    /// Checks that the stream can go on at the version that began it; the error is the reason why not.
    fn check_version(&self) -> Result<(), &'static str> {
        let Some(begun) = &self.begun else { return Ok(()) };
        if !self.shared.has_current_targets(boottime::now()) {
            // A target may have started again under its id with another version.
            return Err("list_old");
        }
        if begun.origin.as_ref().is_some_and(|origin| self.shared.targets.is_doubted(origin)) {
            return Err("restarted");
        }
        let targets = self.shared.targets.in_pool(&self.pool);
        let is_candidate = |tracked: &Arc<TrackedTarget>| {
            tracked.target.version == begun.version && !self.tried.contains(&tracked.target.id)
        };
        if targets.iter().any(is_candidate) { Ok(()) } else { Err("no_target") }
    }

    /// Logs why the stream cannot go on, and returns the failure that tells the caller.
    pub(super) fn version_failure(&self, reason: &'static str) -> Failure {
        tracing::info!(
            request = self.request(),
            first_attempt = self.head.resumes,
            software = self.begun.as_ref().map(|begun| begun.version.as_str()),
            reason,
            "stream cannot go on"
        );
        let labels = [KeyValue::new("reason", reason)];
        self.shared.metrics.streams_not_continued.add(1, &labels);
        let text = "the stream cannot go on at the software version that began it; \
                    start a new stream, without the id of an event";
        Failure::refused(text, RESTART_DELAY)
    }

    /// Resumes a stream at another target; returns `None` when that is not allowed or fails.
    pub(crate) async fn resume(&mut self, last_event: Option<u64>) -> Option<EventStream> {
        let last_event = last_event.or(self.head.last_event);
        if let Err(reason) = self.check_version() {
            self.version_failure(reason);
            return None;
        }
        if self.quarantine().is_some() || !self.start_retry("stream_broken").await {
            return None;
        }
        // The stream has started, so its stages are as urgent as those of a request that has just arrived.
        let resumed = match self.run_stages(boottime::now()).await {
            Ok(results) => self.send(results, last_event).await,
            Err(failure) => Err(failure),
        };
        let reply = match resumed {
            Ok(reply) => reply,
            Err(failure) => {
                tracing::warn!(
                    request = self.request(),
                    reason = failure.reason,
                    "stream not resumed"
                );
                return None;
            }
        };
        let is_stream =
            reply.response.status() == StatusCode::OK && reply.is_reply_to(self.request());
        is_stream.then(|| {
            let hold = self.shared.incomplete_events.open(relay::MIN_BUFFERED_BYTES);
            EventStream::new(reply.sent, reply.response.into_body(), hold, last_event, true)
        })
    }
}
