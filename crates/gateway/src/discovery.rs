//! Watches on the platform's store: the configuration, the targets, and the other gateways.

mod evacuations;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::targets::Target;
use marigold_objects::{Changes, Error, Expect, Object, Store, Version};
use marigold_process::boottime;
use marigold_schema::messages::GatewayEntry;
use opentelemetry::KeyValue;
use tokio::time;

pub(crate) use self::evacuations::merge as merge_evacuations;
use crate::batcher;
use crate::dialect::Dialect;
use crate::odd_objects;
use crate::origins;
use crate::shared::{Adoption, Shared};

/// Kind of the objects in which gateways register their addresses.
const MEMBER_KIND: &str = "gateways";
/// Wait time of a watch on the configuration. Each reply proves that the local configuration is current, so this bounds
/// the age of the proof.
const CONFIG_WAIT: Duration = Duration::from_millis(600);
/// Age of the proof from which a gateway that is not a watcher reads the store itself. Below the two seconds within
/// which a change has to take effect, and above the time that watchers and polls between peers need together.
const DIRECT_READ_AGE: Duration = Duration::from_millis(1_700);
/// Minimum interval between two checks of that age.
const MIN_AGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay between two reads of a watch, so that each reads several changes.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(700);
/// Wait time of a watch on the targets, which bounds the age of the proof that others get from the watchers.
const TARGETS_WAIT: Duration = Duration::from_millis(600);
/// Delay between two reads of the targets that had changes. With the wait time and the interval of polls it stays below
/// [`DIRECT_READ_AGE`].
const TARGETS_BATCH_DELAY: Duration = Duration::from_millis(400);
/// Wait time of a watch on the gateways. It is long because each call to the store has a price, and gateways also learn
/// of each other by polls.
const MEMBERS_WAIT: Duration = Duration::from_secs(25);
/// Delay of the second read of the gateways, for those that start at the same time; they do so within a second.
const MEMBERS_SECOND_READ_DELAY: Duration = Duration::from_secs(1);
/// Interval between reads of the gateways that are not watchers. A new gateway polls all that it has found in the store, so
/// this is only for those that missed its polls.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(60);
/// Backoff from the start of a failed call, multiplied by the number of failures in a row and by a random factor between
/// one and two, so that the retries of gateways do not coincide.
const BASE_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff, before the random factor.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time over which gateways register again after a restore of the store.
const REGISTER_SPREAD: Duration = Duration::from_secs(3);
/// Minimum delay before a failed registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Handler of a watch on one kind of objects.
trait WatchHandler<D: Dialect, S: Store>: Send + 'static {
    const KIND: &'static str;
    const WAIT: Duration;

    /// Returns the wait time of the next call.
    fn wait_time(&self, _shared: &Shared<D, S>) -> Duration {
        Self::WAIT
    }

    /// Applies changes after the version `after` that were requested at `sent`; without a version they are a full list of
    /// the objects of the kind.
    fn apply(&self, shared: &Arc<Shared<D, S>>, changes: Changes, after: Version, sent: Uptime);

    /// Returns the version from which the next call goes on, if changes after `after` may have come from other gateways.
    fn position(&self, _shared: &Shared<D, S>, after: Version) -> Version {
        after
    }

    /// Waits until the next call is due, after one that had brought `last`. Changes come in groups and each call has a price,
    /// so the call after some changes is delayed.
    fn wait_before_read(
        &self,
        shared: &Shared<D, S>,
        last: LastRead,
    ) -> impl Future<Output = ()> + Send;

    /// Records that a call failed.
    fn on_store_failure(&self, _shared: &Shared<D, S>) {}
}

/// What the last call of a watch brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastRead {
    /// No answer, an expired history, or there was no call.
    Nothing,
    /// A full list.
    List,
    /// Changes.
    Changes,
    /// No changes within the wait time.
    NoChanges,
}

async fn watch_forever<D: Dialect, S: Store, F: WatchHandler<D, S>>(
    shared: Arc<Shared<D, S>>,
    handler: F,
) {
    let mut after = Version::default();
    let mut failures = 0_u32;
    let mut last = LastRead::Nothing;
    // Whether the history has expired since the last changes were read.
    let mut has_expired = false;
    loop {
        handler.wait_before_read(&shared, last).await;
        if !after.is_none() {
            after = handler.position(&shared, after);
        }
        let sent = boottime::now();
        // After a failure the store is asked for its state, which a watch without changes would delay.
        let wait = if failures == 0 { handler.wait_time(&shared) } else { Duration::ZERO };
        let mut era = shared.store_era.subscribe();
        let read = tokio::select! {
            read = shared.store.watch(F::KIND, after, wait) => read,
            // Another watch has found that the store was restored; what this one waits for may be in the list already.
            _ = era.changed() => {
                after = Version::default();
                last = LastRead::Nothing;
                continue;
            }
        };
        match read {
            Ok(changes) => {
                shared.record_store_era(changes.version.era);
                let answer_age = shared.record_store_answer(F::KIND, boottime::now());
                if failures > 0 {
                    let answer_age_ms = answer_age.map(|age| age.as_millis() as u64);
                    tracing::info!(kind = F::KIND, failures, answer_age_ms, "store recovered");
                }
                failures = 0;
                let is_whole = after.is_none();
                has_expired &= is_whole;
                last = match (is_whole, changes.objects.is_empty()) {
                    (true, _) => LastRead::List,
                    (false, false) => LastRead::Changes,
                    (false, true) => LastRead::NoChanges,
                };
                for odd in &changes.unreadable {
                    let name = odd.name.as_deref();
                    odd_objects::report(&shared, F::KIND, name, odd.version, &odd.reason);
                }
                let before = std::mem::replace(&mut after, changes.version);
                handler.apply(&shared, changes, before, sent);
            }
            Err(Error::HistoryExpired { .. }) => {
                shared.record_store_answer(F::KIND, boottime::now());
                tracing::info!(kind = F::KIND, %after, "store history expired; reading all objects");
                after = Version::default();
                last = LastRead::Nothing;
                // Spaces the calls while the store forgets its history again and again.
                if std::mem::replace(&mut has_expired, true) {
                    time::sleep(CHANGE_BATCH_DELAY).await;
                }
            }
            Err(err) => {
                shared.metrics.store_failures.add(1, &[KeyValue::new("kind", F::KIND)]);
                failures += 1;
                last = LastRead::Nothing;
                let took = boottime::now().saturating_sub(sent);
                let took_ms = took.as_millis() as u64;
                tracing::warn!(kind = F::KIND, %after, failures, took_ms, %err, "call to the store failed");
                handler.on_store_failure(&shared);
                let backoff = (BASE_BACKOFF * failures).min(MAX_BACKOFF);
                let backoff = backoff.mul_f64(1.0 + rand::random::<f64>());
                // The answer to a watch of another kind shows that the store has recovered.
                let _ =
                    time::timeout(backoff.saturating_sub(took), shared.store_answered.notified())
                        .await;
            }
        }
    }
}

/// Returns the wait time of a watcher, and none for other gateways. They call only when their proof is too old, and a store
/// without changes would delay the new one until the pause looks like an outage.
fn wait_time_of_watcher<D: Dialect, S>(shared: &Shared<D, S>, wait: Duration) -> Duration {
    if shared.members.is_watcher() { wait } else { Duration::ZERO }
}

struct Config;

impl<D: Dialect, S: Store> WatchHandler<D, S> for Config {
    const KIND: &'static str = D::CONFIG_KIND;
    const WAIT: Duration = CONFIG_WAIT;

    /// A gateway without a configuration waits for it.
    fn wait_time(&self, shared: &Shared<D, S>) -> Duration {
        match &*shared.adopted.load() {
            Some(_) => wait_time_of_watcher(shared, CONFIG_WAIT),
            None => CONFIG_WAIT,
        }
    }

    /// Watchers call at once. Other gateways call only if they have no configuration, or if the newest proof relayed by
    /// a watcher is too old.
    async fn wait_before_read(&self, shared: &Shared<D, S>, _last: LastRead) {
        while !shared.members.is_watcher() {
            let age = shared.freshness.lock().age(boottime::now());
            match age.and_then(|age| DIRECT_READ_AGE.checked_sub(age)) {
                Some(remaining) if shared.adopted.load().is_some() => {
                    let duration = remaining.max(MIN_AGE_CHECK_INTERVAL);
                    shared.members.sleep_while_unknown(duration).await;
                }
                _ => return,
            }
        }
    }

    fn apply(&self, shared: &Arc<Shared<D, S>>, changes: Changes, _after: Version, sent: Uptime) {
        let is_unread = &shared.is_stored_config_unread;
        let mut newest = Version::default();
        for object in changes.objects.iter().filter(|object| object.name == D::CONFIG_NAME) {
            newest = object.version;
            match &object.value {
                Some(text) => {
                    let adoption = shared.adopt(text, "store");
                    is_unread.store(adoption == Adoption::Invalid, Ordering::Relaxed);
                    if adoption == Adoption::InForce {
                        origins::on_config(shared);
                    }
                }
                None => tracing::error!(
                    version = %object.version,
                    "configuration removed from the store; keeping the one in force"
                ),
            }
        }
        let mut unreadable = changes.unreadable.iter();
        if unreadable.any(|odd| odd.name.as_deref() == Some(D::CONFIG_NAME) && odd.version > newest)
        {
            is_unread.store(true, Ordering::Relaxed);
        }
        if !is_unread.load(Ordering::Relaxed) {
            shared.freshness.lock().record_proof(sent);
        }
        shared.is_store_reachable.store(true, Ordering::Relaxed);
    }

    fn on_store_failure(&self, shared: &Shared<D, S>) {
        shared.is_store_reachable.store(false, Ordering::Relaxed);
    }
}

struct Targets;

impl<D: Dialect, S: Store> WatchHandler<D, S> for Targets {
    const KIND: &'static str = D::TARGET_KIND;
    const WAIT: Duration = TARGETS_WAIT;

    fn wait_time(&self, shared: &Shared<D, S>) -> Duration {
        wait_time_of_watcher(shared, TARGETS_WAIT)
    }

    /// As for the configuration: other gateways than the watchers call only if the list that they got from a watcher is too
    /// old.
    async fn wait_before_read(&self, shared: &Shared<D, S>, last: LastRead) {
        if last == LastRead::Changes && shared.members.is_watcher() {
            return time::sleep(TARGETS_BATCH_DELAY).await;
        }
        while !shared.members.is_watcher() {
            let age = shared.target_changes.lock().age(boottime::now());
            match age.and_then(|age| DIRECT_READ_AGE.checked_sub(age)) {
                Some(remaining) => {
                    let duration = remaining.max(MIN_AGE_CHECK_INTERVAL);
                    shared.members.sleep_while_unknown(duration).await;
                }
                None => return,
            }
        }
    }

    fn position(&self, shared: &Shared<D, S>, _after: Version) -> Version {
        shared.target_changes.lock().version()
    }

    fn apply(&self, shared: &Arc<Shared<D, S>>, changes: Changes, after: Version, sent: Uptime) {
        // A watch is answered at the latest after its wait time, so an entry was written before then.
        let read_at = sent + TARGETS_WAIT;
        let read = |object: &Object| Some(read_target(shared, object)?.read_at(read_at));
        let changes = changes.parse(read);
        apply_target_changes(shared, &changes, after, sent);
    }
}

/// Applies the changes of the targets after a version, which were current at `at`, from the store or from another gateway.
/// Without a version they are a full list.
pub(crate) fn apply_target_changes<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    changes: &Changes<Target>,
    after: Version,
    at: Uptime,
) {
    // Held until the list is changed, so that changes are applied in their order.
    let mut recent = shared.target_changes.lock();
    shared.check_targets_gap(&recent, boottime::now());
    let is_whole = after.is_none();
    let is_new = if is_whole {
        recent.replace(changes.version, at)
    } else {
        recent.extend(after, changes, at)
    };
    if !is_new {
        return;
    }
    if !is_whole && changes.objects.is_empty() {
        return;
    }
    let now = boottime::now();
    let listed = changes.objects.iter().filter_map(|object| object.value.as_ref());
    // Before the table is changed, so that no request is sent to a cold target without its limit.
    shared.limits.record_cold(listed, now);
    let grace_period = shared.grace_period();
    let recovered_at = shared.store_recovered_at();
    let held = shared.targets.update(|list| {
        if let Some(at) = recovered_at {
            list.on_store_recovered(at);
        }
        if is_whole {
            let targets =
                changes.objects.iter().filter_map(|object| object.value.clone()).collect();
            if shared.has_unread_restore.swap(false, Ordering::Relaxed) {
                list.replace_restored(targets, now, grace_period, shared.restore_hold());
            } else {
                list.replace(targets, now, grace_period);
            }
        } else {
            for object in &changes.objects {
                match object.value.clone() {
                    Some(target) => list.put(target),
                    None => list.remove(&object.name, now, grace_period),
                }
            }
        }
        list.release_held(now)
    });
    drop(recent);
    let mixed_pools = shared.targets.take_newly_mixed();
    if !mixed_pools.is_empty() {
        tokio::spawn(origins::send_own(shared.clone(), mixed_pools, "several_versions"));
    }
    if held > 0 {
        tokio::spawn(release_held_targets(shared.clone()));
    }
    let missing = shared.targets.missing_count();
    tracing::info!(
        changed = changes.objects.len(),
        is_whole,
        usable = shared.targets.len(),
        missing,
        held,
        version = %changes.version,
        "targets changed"
    );
    shared.has_targets.send_replace(true);
    for pool in shared.pools_with_stages() {
        batcher::dispatch(shared, &pool);
    }
    if missing > 0 {
        tokio::spawn(remove_missing_targets(shared.clone()));
    }
}

/// Uses the targets again that a restored store lists although they had left, when they are still listed after a while.
async fn release_held_targets<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    time::sleep(shared.restore_hold()).await;
    shared.targets.update(|list| list.release_held(boottime::now()));
}

/// Removes the missing targets when the grace period after the store's recovery has ended. The recovery may turn out to
/// be earlier while it waits.
async fn remove_missing_targets<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    while shared.targets.missing_count() > 0 {
        let merged = shared.store_service_merged.notified();
        let remaining = shared.remaining_grace_period(boottime::now());
        let _ = time::timeout(remaining, merged).await;
        update_missing_targets(&shared);
    }
}

/// Removes the missing targets if, as far as is known now, the grace period after the store's recovery has ended.
fn update_missing_targets<D: Dialect, S: Store>(shared: &Shared<D, S>) {
    let Some(recovered_at) = shared.store_recovered_at() else { return };
    let (now, grace_period) = (boottime::now(), shared.grace_period());
    let removed = shared.targets.update(|list| {
        list.on_store_recovered(recovered_at);
        list.remove_expired(now, grace_period)
    });
    if !removed.is_empty() {
        let store_up_ms = now.saturating_sub(recovered_at).as_millis() as u64;
        tracing::info!(gone = ?removed, store_up_ms, "missing targets removed");
    }
}

/// Returns the target that an object describes, or `None` if the object was removed or is invalid.
fn read_target<D: Dialect, S>(shared: &Shared<D, S>, object: &Object) -> Option<Target> {
    let text = object.value.as_ref()?;
    match D::parse_target(&object.name, text) {
        Ok(target) => Some(target),
        Err(err) => {
            let Object { name, version, .. } = object;
            odd_objects::report(shared, D::TARGET_KIND, Some(name), *version, err);
            None
        }
    }
}

struct Gateways;

impl<D: Dialect, S: Store> WatchHandler<D, S> for Gateways {
    const KIND: &'static str = MEMBER_KIND;
    const WAIT: Duration = MEMBERS_WAIT;

    async fn wait_before_read(&self, shared: &Shared<D, S>, last: LastRead) {
        let delay = match last {
            LastRead::Nothing => Duration::ZERO,
            LastRead::List => MEMBERS_SECOND_READ_DELAY,
            LastRead::Changes | LastRead::NoChanges if !shared.members.is_watcher() => {
                MEMBERS_INTERVAL
            }
            LastRead::Changes => CHANGE_BATCH_DELAY,
            LastRead::NoChanges => Duration::ZERO,
        };
        time::sleep(delay).await;
    }

    fn apply(&self, shared: &Arc<Shared<D, S>>, changes: Changes, after: Version, _sent: Uptime) {
        if after.is_none() {
            // A store that was restored from an older copy may have lost the entries of gateways that answer.
            for member in shared.members.others().iter().filter(|member| !member.is_alive()) {
                let is_unreadable =
                    changes.unreadable.iter().any(|odd| odd.name.as_ref() == Some(&member.name));
                if !is_unreadable
                    && !changes.objects.iter().any(|object| object.name == member.name)
                {
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
                    let (name, version) = (Some(object.name.as_str()), object.version);
                    odd_objects::report(shared, MEMBER_KIND, name, version, err);
                }
            }
        }
        shared.members.set_known();
    }
}

/// Starts the watches and the registration of this gateway; they run until the process ends.
pub(crate) fn spawn<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>) {
    tokio::spawn(watch_forever(shared.clone(), Config));
    tokio::spawn(watch_forever(shared.clone(), Targets));
    tokio::spawn(watch_forever(shared.clone(), Gateways));
    if shared.settings().evacuation_bound.is_some() {
        tokio::spawn(watch_forever(shared.clone(), evacuations::Evacuations));
    }
    tokio::spawn(register(shared.clone()));
}

/// Registers the address of this gateway with the store, and again each time that the store was restored from an older
/// copy; retries until it succeeds.
async fn register<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    let settings = shared.settings();
    let mut era = shared.store_era.subscribe();
    loop {
        let text = match serde_json::to_string(&shared.entry()) {
            Ok(text) => text,
            Err(err) => return tracing::error!(%err, "failed to serialise own entry"),
        };
        match shared.store.put(MEMBER_KIND, &settings.name, text, Expect::Any).await {
            Ok(version) => {
                tracing::info!(%version, "registered with the store");
                era.mark_unchanged();
                let is_current = era.borrow().era.is_none_or(|era| era == version.era);
                if is_current && era.changed().await.is_err() {
                    return;
                }
                // All gateways write at the same time, and the store takes some hundred writes a second.
                time::sleep(REGISTER_SPREAD.mul_f64(rand::random::<f64>())).await;
            }
            Err(err) => {
                tracing::warn!(%err, "failed to register with the store; retrying");
                time::sleep(REGISTER_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
            }
        }
    }
}
