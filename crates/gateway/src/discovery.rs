//! What a gateway learns from the platform's store: the configuration, the targets, and the other gateways.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_objects::{Changes, Error, Expect, Object, Store, Version};
use marigold_process::boottime;
use marigold_schema::messages::GatewayEntry;
use opentelemetry::KeyValue;
use tokio::time;

use crate::batcher;
use crate::dialect::Dialect;
use crate::shared::Shared;

/// Kind of the objects by which gateways find each other.
const MEMBER_KIND: &str = "gateways";
/// Wait of a watch of the configuration. Each answer proves that the knowledge is fresh, so the wait bounds its age.
const CONFIG_WAIT: Duration = Duration::from_millis(600);
/// Age of the knowledge from which a gateway that is no watcher asks the store itself: below the two seconds within
/// which a change has to be in force, and above what watchers and their peers need together.
const DIRECT_READ_AGE: Duration = Duration::from_millis(1_700);
/// Shortest pause between two looks at that age.
const MIN_AGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before a watch goes on, in which changes gather.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(700);
/// Wait of the other watches; calls are priced, and keep-alive probes show a connection that went silent.
const LIST_WAIT: Duration = Duration::from_secs(25);
/// Pause after a failed call, drawn between one and two times this, so that gateways do not call in step.
const BASE_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause after several failures.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time after which a name that could not be registered is tried again.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What follows one kind of objects.
trait WatchHandler<D: Dialect, S: Store>: Send + 'static {
    const KIND: &'static str;
    const WAIT: Duration;

    /// Takes in changes; `is_whole` tells that they are all objects of the kind. `sent` is when they were asked for.
    fn apply(&self, shared: &Arc<Shared<D, S>>, changes: Changes, is_whole: bool, sent: Uptime);

    /// Waits until it is time for the next call. Changes come in groups and each call is priced, so changes gather for
    /// a while, but for the first read and the first look after it: a gateway that has just started knows nobody.
    fn wait_before_read(
        &self,
        _shared: &Shared<D, S>,
        batches_changes: bool,
    ) -> impl Future<Output = ()> + Send {
        time::sleep(if batches_changes { CHANGE_BATCH_DELAY } else { Duration::ZERO })
    }

    /// Notes that a call failed.
    fn on_store_failure(&self, _shared: &Shared<D, S>) {}

    /// Notes that the store answers again after a failure.
    fn on_store_recovered(&self, _shared: &Shared<D, S>) {}
}

async fn watch_forever<D: Dialect, S: Store, F: WatchHandler<D, S>>(
    shared: Arc<Shared<D, S>>,
    handler: F,
) {
    let mut after: Version = 0;
    let mut failures = 0_u32;
    let mut batches_changes = false;
    loop {
        handler.wait_before_read(&shared, batches_changes).await;
        let sent = boottime::now();
        match shared.store.watch(F::KIND, after, F::WAIT).await {
            Ok(changes) => {
                if failures > 0 {
                    tracing::info!(kind = F::KIND, failures, "store answers again");
                    handler.on_store_recovered(&shared);
                }
                failures = 0;
                let is_whole = after == 0;
                batches_changes = !is_whole;
                after = changes.version;
                handler.apply(&shared, changes, is_whole, sent);
            }
            Err(Error::HistoryExpired { .. }) => {
                tracing::info!(
                    kind = F::KIND,
                    after,
                    "store has no history since the last look; reading all"
                );
                after = 0;
                batches_changes = true;
            }
            Err(err) => {
                shared.metrics.store_failures.add(1, &[KeyValue::new("kind", F::KIND)]);
                if failures == 0 {
                    tracing::warn!(kind = F::KIND, %err, "store does not answer");
                }
                handler.on_store_failure(&shared);
                failures += 1;
                let backoff = (BASE_BACKOFF * failures).min(MAX_BACKOFF);
                time::sleep(backoff.mul_f64(1.0 + rand::random::<f64>())).await;
            }
        }
    }
}

struct Config;

impl<D: Dialect, S: Store> WatchHandler<D, S> for Config {
    const KIND: &'static str = D::CONFIG_KIND;
    const WAIT: Duration = CONFIG_WAIT;

    /// Watchers call at once; others only when no watcher has told them for a while that their knowledge is fresh.
    async fn wait_before_read(&self, shared: &Shared<D, S>, _batches_changes: bool) {
        while !shared.members.is_watcher() {
            let age = shared.freshness.lock().age(boottime::now());
            match age.and_then(|age| DIRECT_READ_AGE.checked_sub(age)) {
                Some(left) if shared.adopted.load().is_some() => {
                    time::sleep(left.max(MIN_AGE_CHECK_INTERVAL)).await
                }
                _ => return,
            }
        }
    }

    fn apply(&self, shared: &Arc<Shared<D, S>>, changes: Changes, _is_whole: bool, sent: Uptime) {
        for object in changes.objects.iter().filter(|object| object.name == D::CONFIG_NAME) {
            match &object.value {
                Some(text) => {
                    shared.adopt(object.version, text, "store");
                }
                None => tracing::error!(
                    version = object.version,
                    "configuration removed from the store; the one in force stays"
                ),
            }
        }
        shared.freshness.lock().record_proof(sent);
        shared.is_store_reachable.store(true, Ordering::Relaxed);
    }

    fn on_store_failure(&self, shared: &Shared<D, S>) {
        shared.is_store_reachable.store(false, Ordering::Relaxed);
    }
}

struct Targets;

impl<D: Dialect, S: Store> WatchHandler<D, S> for Targets {
    const KIND: &'static str = D::TARGET_KIND;
    const WAIT: Duration = LIST_WAIT;

    fn apply(&self, shared: &Arc<Shared<D, S>>, changes: Changes, is_whole: bool, _sent: Uptime) {
        let now = boottime::now();
        let grace_period = Duration::from_millis(shared.settings().lapse_ms);
        shared.targets.update(|list| {
            if is_whole {
                let targets = changes.objects.iter().filter_map(read_target::<D>).collect();
                list.replace(targets, now, grace_period);
            } else {
                for object in &changes.objects {
                    match read_target::<D>(object) {
                        Some(target) => list.put(target),
                        None => list.remove(&object.name, now, grace_period),
                    }
                }
            }
        });
        if !changes.objects.is_empty() {
            tracing::info!(
                changed = changes.objects.len(),
                is_whole,
                usable = shared.targets.len(),
                version = changes.version,
                "targets changed"
            );
        }
        shared.has_targets.send_replace(true);
        for pool in shared.pools_with_stages() {
            batcher::dispatch(shared, &pool);
        }
        tokio::spawn(remove_expired_targets(shared.clone(), grace_period));
    }

    fn on_store_recovered(&self, shared: &Shared<D, S>) {
        shared.targets.update(|list| list.on_store_recovered(boottime::now()));
    }
}

async fn remove_expired_targets<D: Dialect, S: Store>(
    shared: Arc<Shared<D, S>>,
    grace_period: Duration,
) {
    time::sleep(grace_period).await;
    let expired = shared.targets.update(|list| list.remove_expired(boottime::now(), grace_period));
    if !expired.is_empty() {
        tracing::info!(gone = ?expired, "targets did not come back after the store's outage");
    }
}

/// The target that an object names; none for a removed object, or one that names no target to use.
fn read_target<D: Dialect>(object: &Object) -> Option<marigold_core::targets::Target> {
    let text = object.value.as_ref()?;
    match D::parse_target(&object.name, text) {
        Ok(target) => Some(target),
        Err(err) => {
            tracing::warn!(object = object.name, %err, "entry in the list of targets left out");
            None
        }
    }
}

struct Gateways;

impl<D: Dialect, S: Store> WatchHandler<D, S> for Gateways {
    const KIND: &'static str = MEMBER_KIND;
    const WAIT: Duration = LIST_WAIT;

    fn apply(&self, shared: &Arc<Shared<D, S>>, changes: Changes, is_whole: bool, _sent: Uptime) {
        if is_whole {
            for member in shared.members.others() {
                if !changes.objects.iter().any(|object| object.name == member.name) {
                    shared.members.remove(&member.name);
                }
            }
        }
        for object in changes.objects {
            let Some(text) = object.value else {
                shared.members.remove(&object.name);
                continue;
            };
            let entry = serde_json::from_str::<GatewayEntry>(&text);
            match entry {
                Ok(entry) => shared.members.put(object.name, &entry),
                Err(err) => {
                    tracing::warn!(member = object.name, %err, "entry of a gateway cannot be read")
                }
            }
        }
    }
}

/// Follows the store until the process ends.
pub(crate) fn spawn<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>) {
    tokio::spawn(watch_forever(shared.clone(), Config));
    tokio::spawn(watch_forever(shared.clone(), Targets));
    tokio::spawn(watch_forever(shared.clone(), Gateways));
    tokio::spawn(register(shared.clone()));
}

/// Writes where this gateway is reached, until the store has taken it.
async fn register<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    let settings = shared.settings();
    let text = match serde_json::to_string(&shared.entry()) {
        Ok(text) => text,
        Err(err) => return tracing::error!(%err, "own entry cannot be written"),
    };
    loop {
        match shared.store.put(MEMBER_KIND, &settings.name, text.clone(), Expect::Any).await {
            Ok(version) => return tracing::info!(version, "registered with the store"),
            Err(err) => tracing::warn!(%err, "not registered with the store; trying again"),
        }
        time::sleep(REGISTER_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
    }
}
