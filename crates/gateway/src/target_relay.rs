//! Passes changes of the list of targets from the gateways that watch the store on to the others, with the age of the proof
//! that there are no newer ones.

use std::net::AddrParseError;
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::targets::Target;
use marigold_objects::{Changes, Object, RecentChanges, Version};
use marigold_schema::messages::{
    StoreService, StoreVersion, TargetChanges, TargetObject, TargetsState,
};

fn to_message(version: Version) -> StoreVersion {
    StoreVersion { era: version.era, revision: version.revision }
}

fn from_message(version: &StoreVersion) -> Version {
    Version { era: version.era, revision: version.revision }
}

/// Returns the version and the age of the list that a gateway has; none before it has read the list.
pub(crate) fn state(recent: &RecentChanges<Target>, now: Uptime) -> Option<TargetsState> {
    let age_ms = recent.age(now)?.as_millis() as u64;
    Some(TargetsState { version: to_message(recent.version()), age_ms })
}

/// Answers another gateway that has a version of the list; none if some of the changes since then are not kept. `service` is the
/// period in which the store has answered.
pub(crate) fn changes_since(
    recent: &RecentChanges<Target>,
    version: &StoreVersion,
    service: Option<StoreService>,
    now: Uptime,
) -> Option<TargetChanges> {
    let changes = recent.since(from_message(version))?;
    let objects = changes.objects.into_iter().map(|object| TargetObject {
        name: object.name,
        version: to_message(object.version),
        target: object.value.map(|target| target.sent_at(now).into()),
    });
    Some(TargetChanges { state: state(recent, now)?, objects: objects.collect(), service })
}

/// What a gateway does when it learns which list another one has.
pub(crate) enum Step {
    /// Nothing: the list is older, or of another era. With another era this gateway reads the store once its own list is too
    /// old, and learns the era there.
    Ignore,
    /// It has the same list, which was the newest at this time.
    Verified(Uptime),
    /// It asks for the changes after its own version.
    Ask(Version),
}

/// Compares the list with that of a gateway which has answered a poll sent at `sent`, and adopts a newer proof.
pub(crate) fn compare(
    recent: &mut RecentChanges<Target>,
    state: &TargetsState,
    sent: Uptime,
) -> Step {
    let (own, version) = (recent.version(), from_message(&state.version));
    if own.is_none() || version.era != own.era || version < own {
        return Step::Ignore;
    }
    if version > own {
        return Step::Ask(own);
    }
    let at = verified_at(state, sent);
    recent.verify(version, at);
    Step::Verified(at)
}

/// Returns the question for the changes after a version.
pub(crate) fn question(after: Version) -> StoreVersion {
    to_message(after)
}

/// Converts an answer to a question sent at `sent` into the changes and the time at which they were the newest. `received` is
/// when the answer arrived: cold times count from then, since the peer determined the remaining ones before.
///
/// # Errors
/// When the address of a target is invalid.
pub(crate) fn parse(
    state: &TargetsState,
    objects: Vec<TargetObject>,
    sent: Uptime,
    received: Uptime,
) -> Result<(Changes<Target>, Uptime), AddrParseError> {
    let convert = |object: TargetObject| {
        let target = object.target.map(|wire| Target::try_from((object.name.clone(), wire)));
        let version = from_message(&object.version);
        let target = target.transpose()?.map(|target| target.read_at(received));
        Ok(Object { name: object.name, version, value: target })
    };
    let objects = objects.into_iter().map(convert).collect::<Result<_, _>>()?;
    let version = from_message(&state.version);
    let changes = Changes { version, objects, unreadable: Vec::new() };
    Ok((changes, verified_at(state, sent)))
}

/// The peer determined the age after the request was sent, so the proof is not older than computed here.
fn verified_at(state: &TargetsState, sent: Uptime) -> Uptime {
    sent.saturating_sub(Duration::from_millis(state.age_ms))
}
