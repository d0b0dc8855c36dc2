//! Passes changes of the list of targets from the gateways that watch the store on to the others, with the age of the proof
//! that there are no newer ones.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_objects::{Changes, Object, RecentChanges, Store, Version};
use marigold_process::boottime;
use marigold_schema::messages::{
    GatewayFacts, StoreVersion, TargetChanges, TargetObject, TargetsState,
};

use crate::dialect::Dialect;
use crate::discovery;
use crate::members::Member;
use crate::peers;
use crate::shared::Shared;

fn to_message(version: Version) -> StoreVersion {
    StoreVersion { era: version.era, revision: version.revision }
}

fn from_message(version: &StoreVersion) -> Version {
    Version { era: version.era, revision: version.revision }
}

/// Returns the version and the age of the list that a gateway has; none before it has read the list.
pub(crate) fn state(recent: &RecentChanges, now: Uptime) -> Option<TargetsState> {
    let age_ms = recent.age(now)?.as_millis() as u64;
    Some(TargetsState { version: to_message(recent.version()), age_ms })
}

/// Answers another gateway that has a version of the list; none if some of the changes since then are not kept.
pub(crate) fn changes_since<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    version: &StoreVersion,
) -> Option<TargetChanges> {
    let service = shared.store_service();
    let recent = shared.target_changes.lock();
    let changes = recent.since(from_message(version))?;
    let objects = changes.objects.into_iter().map(|object| TargetObject {
        name: object.name,
        version: to_message(object.version),
        value: object.value,
    });
    let state = state(&recent, boottime::now())?;
    Some(TargetChanges { state, objects: objects.collect(), service })
}

/// Adopts newer changes, or a newer proof that there are none, from a gateway that has answered a poll sent at `sent`.
///
/// A list of another era is not used: this gateway reads the store once its own list is too old, and learns the era there.
pub(crate) async fn sync<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    member: &Member,
    facts: &GatewayFacts,
    sent: Uptime,
) {
    let Some(state) = &facts.targets else { return };
    let version = from_message(&state.version);
    let own = shared.target_changes.lock().version();
    if own.is_none() || version.era != own.era || version < own {
        return;
    }
    if version == own {
        let at = verified_at(state, sent);
        if shared.target_changes.lock().verify(version, at) {
            shared.record_relayed_targets(at);
        }
        return;
    }
    let sent = boottime::now();
    match peers::read_targets(member, to_message(own)).await {
        Ok(TargetChanges { state, objects, service }) => {
            // Before the changes are applied: entries that expired in an outage are kept for a while.
            if let Some(service) = service {
                peers::merge_store_service(shared, &service, sent);
            }
            let objects = objects.into_iter().map(|object| Object {
                name: object.name,
                version: from_message(&object.version),
                value: object.value,
            });
            let version = from_message(&state.version);
            let changes = Changes { version, objects: objects.collect() };
            let at = verified_at(&state, sent);
            discovery::apply_target_changes(shared, &changes, own, at);
            if shared.target_changes.lock().version() == version {
                shared.record_relayed_targets(at);
            }
        }
        Err(err) => tracing::debug!(member = member.name, err, "changes of targets not read"),
    }
}

/// The peer determined the age after the request was sent, so the proof is not older than computed here.
fn verified_at(state: &TargetsState, sent: Uptime) -> Uptime {
    sent.saturating_sub(Duration::from_millis(state.age_ms))
}
