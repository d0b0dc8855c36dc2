//! How quarantines reach all gateways, and the grants of probes.

use std::collections::BTreeSet;
use std::sync::Arc;

use marigold_core::ids::SoftwareVersion;
use marigold_core::poison::quarantine::{Entry, Key};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::{ProbeAsk, QuarantineList};

use crate::dialect::Dialect;
use crate::members::{Member, Owner};
use crate::peers;
use crate::shared::Shared;

/// Sends a quarantine that this gateway has changed to all gateways, and has it written to the store.
pub(super) fn announce<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, entry: &Entry) {
    shared.poison.changed.notify_one();
    send(shared, entry);
}

/// Sends the new state of a quarantine to all gateways. Those that miss it find the difference with their next polls.
pub(super) fn send<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, entry: &Entry) {
    let list =
        QuarantineList { entries: vec![entry.to_message(boottime::now())], is_complete: false };
    for member in shared.members.others() {
        let list = list.clone();
        tokio::spawn(async move {
            if let Err(err) = peers::sync_quarantines(&member, list).await {
                tracing::debug!(member = member.name, err, "quarantine not announced");
            }
        });
    }
}

fn all_entries<D: Dialect, S>(shared: &Shared<D, S>) -> QuarantineList {
    let now = boottime::now();
    let quarantines = shared.poison.quarantines.lock();
    let entries = quarantines.all().map(|entry| entry.to_message(now)).collect();
    QuarantineList { entries, is_complete: true }
}

/// Exchanges all quarantines with a gateway whose hash of them is `digest`, if they differ.
pub(crate) async fn sync<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    member: &Member,
    digest: u64,
) {
    if digest == shared.poison.digest() {
        return;
    }
    match peers::sync_quarantines(member, all_entries(shared)).await {
        Ok(list) => merge(shared, list),
        Err(err) => tracing::debug!(member = member.name, err, "quarantines not compared"),
    }
}

/// Merges the quarantines of another gateway, and returns the reply to it.
pub(crate) fn exchange<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    list: QuarantineList,
) -> QuarantineList {
    let is_complete = list.is_complete;
    merge(shared, list);
    if is_complete {
        all_entries(shared)
    } else {
        QuarantineList { entries: Vec::new(), is_complete: false }
    }
}

fn merge<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, list: QuarantineList) {
    let now = boottime::now();
    for message in list.entries {
        let entry = Entry::from_message(message, now);
        let Some(entry) = shared.poison.change(|quarantines| quarantines.merge(entry, now)) else {
            continue;
        };
        tracing::info!(
            pool = entry.key.0,
            suspects = super::text(&entry),
            crashes = entry.crashes,
            revision = entry.revision,
            is_released = entry.is_released,
            probes = entry.probes,
            "quarantine read from a gateway"
        );
    }
}

/// Returns whether a single request may find out if what a quarantine refuses still crashes targets. Its owner grants
/// that.
pub(crate) async fn ask_probe<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    entry: &Entry,
) -> bool {
    let listed = listed_versions(shared, &entry.key);
    if !entry.is_probe_due(&listed, boottime::now()) {
        return false;
    }
    match shared.members.quarantine_owner(&entry.key) {
        Owner::Local => grant_probe(shared, &entry.key),
        Owner::Remote(owner) => {
            let (pool, suspects) = entry.key.clone();
            let ask = ProbeAsk { pool, suspects: suspects.into_iter().collect() };
            match peers::ask_probe(&owner, ask).await {
                Ok(is_granted) => is_granted,
                Err(err) => {
                    tracing::warn!(
                        member = owner.name,
                        err,
                        "owner of a quarantine did not answer"
                    );
                    false
                }
            }
        }
    }
}

fn listed_versions<D: Dialect, S>(shared: &Shared<D, S>, key: &Key) -> BTreeSet<SoftwareVersion> {
    let targets = shared.targets.in_pool(&key.0);
    targets.iter().map(|tracked| tracked.target.version.clone()).collect()
}

/// Grants a probe as the owner of a quarantine, if one is due.
pub(crate) fn grant_probe<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, key: &Key) -> bool {
    let listed = listed_versions(shared, key);
    let granted = shared.poison.change(|all| all.grant_probe(key, &listed, boottime::now()));
    let Some(entry) = granted else { return false };
    tracing::info!(
        pool = entry.key.0,
        suspects = super::text(&entry),
        probes = entry.probes,
        "probe of a quarantine granted"
    );
    announce(shared, &entry);
    true
}
