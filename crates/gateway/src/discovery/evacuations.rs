//! Watch on the data centres that the operator evacuates, and its effect on the list of usable targets.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_objects::{Changes, Store, Version};
use marigold_process::boottime;
use marigold_schema::messages;
use tokio::time;

use super::{LastRead, MIN_AGE_CHECK_INTERVAL, WatchHandler, wait_time_of_watcher};
use crate::batcher;
use crate::dialect::Dialect;
use crate::shared::Shared;

/// Wait time of a watch. Each answer renews the proof that the others get from the watchers.
const WAIT: Duration = Duration::from_secs(1);
/// Age of the proof from which a gateway that is not a watcher reads the store itself. Above the time that watchers and polls
/// between gateways need together, and half of the time within which an evacuation has to be in force.
const DIRECT_READ_AGE: Duration = Duration::from_millis(2_500);

pub(super) struct Evacuations;

impl<D: Dialect, S: Store> WatchHandler<D, S> for Evacuations {
    const KIND: &'static str = D::EVACUATION_KIND;
    const WAIT: Duration = WAIT;

    fn wait_time(&self, shared: &Shared<D, S>) -> Duration {
        wait_time_of_watcher(shared, WAIT)
    }

    async fn wait_before_read(&self, shared: &Shared<D, S>, _last: LastRead) {
        while !shared.members.is_watcher() {
            let age = shared.evacuations.age(boottime::now());
            match age.and_then(|age| DIRECT_READ_AGE.checked_sub(age)) {
                Some(remaining) => {
                    let duration = remaining.max(MIN_AGE_CHECK_INTERVAL);
                    shared.members.sleep_while_unknown(duration).await;
                }
                None => return,
            }
        }
    }

    /// An object that cannot be read is an evacuation too: its name is all that matters.
    fn apply(&self, shared: &Arc<Shared<D, S>>, changes: Changes, after: Version, sent: Uptime) {
        let version = (changes.version.era, changes.version.revision);
        let unreadable = changes.unreadable.into_iter().filter_map(|odd| odd.name);
        let objects = changes.objects.into_iter();
        let changes = objects
            .map(|object| (object.name, object.value.is_some()))
            .chain(unreadable.map(|name| (name, true)));
        let now = boottime::now();
        let is_changed = if after.is_none() {
            let listed = changes.map(|(name, _)| name).collect();
            shared.evacuations.replace(listed, version, sent, now, shared.restore_hold())
        } else {
            shared.evacuations.apply(changes.collect(), version, sent, now)
        };
        on_list(shared, is_changed, "store");
    }
}

/// Merges the list that another gateway sent in a message at `sent` or later.
pub(crate) fn merge<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    list: Option<&messages::EvacuationList>,
    sent: Uptime,
) {
    let Some(list) = list.filter(|_| shared.settings().evacuation_bound.is_some()) else { return };
    let is_changed = shared.evacuations.merge(list, sent, boottime::now(), shared.restore_hold());
    on_list(shared, is_changed, "gateway");
}

fn on_list<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    is_changed: bool,
    source: &'static str,
) {
    if !is_changed {
        return;
    }
    update_targets(shared, source);
    if let Some(until) = shared.evacuations.held_until() {
        let shared = shared.clone();
        tokio::spawn(async move {
            time::sleep(until.saturating_sub(boottime::now())).await;
            update_targets(&shared, "hold");
        });
    }
}

/// Takes the targets of evacuated data centres out of use, and the others back.
fn update_targets<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, source: &'static str) {
    let data_centres = shared.evacuations.evacuated(boottime::now());
    shared.metrics.evacuated_data_centres.record(data_centres.len() as u64, &[]);
    let log_value = Vec::from_iter(data_centres.iter().cloned()).join(", ");
    if !shared.targets.update(|list| list.set_evacuated(data_centres)) {
        return;
    }
    tracing::info!(
        data_centres = log_value,
        usable = shared.targets.len(),
        source,
        "evacuated data centres changed"
    );
    for pool in shared.pools_with_stages() {
        batcher::dispatch(shared, &pool);
    }
}
