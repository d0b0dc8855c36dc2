//! Model of a store that is restored from older copies, and of two gateways that watch one object in it: the configuration,
//! which the operator writes with rising versions, and writes again after a restore.

use crate::search::{self, Exploration};

const GATEWAYS: usize = 2;
/// Configurations that the operator writes.
const MAX_CONFIG: u8 = 3;
/// Revisions that are explored.
const MAX_REVISION: u8 = 5;

/// A rule of the protocol that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A watch goes on only from a version of the same era.
    Era,
    /// Configurations are ordered by the operator's version, not by the revision in the store.
    OperatorVersion,
}

/// What is stored: the version that the operator gave to the configuration, and the revision of its last write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Stored {
    revision: u8,
    config: u8,
    written_at: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    /// Era and revision from which the watch goes on.
    after: (u8, u8),
    in_force: u8,
    /// Revision under which the configuration in force was read.
    in_force_revision: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    era: u8,
    stored: Stored,
    copy: Stored,
    /// Highest version that the operator has written.
    written: u8,
    gateways: [Gateway; GATEWAYS],
    restores_left: u8,
    violation: Option<&'static str>,
}

/// Explores all states up to the first violation, without the `omitted` rule.
pub fn explore(omitted: Option<Rule>) -> Exploration {
    let stored = Stored { revision: 1, config: 1, written_at: 1 };
    let gateway = Gateway { after: (0, 1), in_force: 1, in_force_revision: 1 };
    let start = State {
        era: 0,
        stored,
        copy: stored,
        written: 1,
        gateways: [gateway; GATEWAYS],
        restores_left: 2,
        violation: None,
    };
    let actions = Actions { omitted };
    let result = search::breadth_first(
        start,
        |state| actions.successors(state),
        |state| state.violation.is_some(),
    );
    result.into_exploration(|state| state.violation)
}

struct Actions {
    omitted: Option<Rule>,
}

impl Actions {
    fn is_enforced(&self, rule: Rule) -> bool {
        self.omitted != Some(rule)
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        next.push(State { copy: state.stored, ..state.clone() });
        if let Some(restores_left) = state.restores_left.checked_sub(1) {
            let era = state.era + 1;
            next.push(State { era, stored: state.copy, restores_left, ..state.clone() });
        }
        if state.stored.revision < MAX_REVISION {
            let revision = state.stored.revision + 1;
            // A write of another object.
            let mut other = state.clone();
            other.stored.revision = revision;
            next.push(other);
            // The operator writes the newest configuration again, or a newer one.
            for config in state.written..=MAX_CONFIG.min(state.written + 1) {
                let stored = Stored { revision, config, written_at: revision };
                next.push(State { stored, written: config, ..state.clone() });
            }
        }
        for index in 0..GATEWAYS {
            next.push(self.watch(state, index));
            next.extend(self.learn_from_peer(state, index));
        }
        next
    }

    fn watch(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let Stored { revision, config, written_at } = state.stored;
        let (era, after) = state.gateways[index].after;
        let is_other_era = self.is_enforced(Rule::Era) && era != state.era;
        let is_lost = is_other_era || after > revision;
        let gateway = &mut next.gateways[index];
        gateway.after = (state.era, revision);
        if is_lost || written_at > after {
            self.adopt(gateway, config, written_at);
        }
        // A gateway that believes to be current must not lack a configuration that is stored.
        if next.gateways[index].in_force < config {
            next.violation = Some("a stored configuration is not in force after a read");
        }
        check_order(state, &mut next, index);
        next
    }

    fn learn_from_peer(&self, state: &State, index: usize) -> Option<State> {
        let peer = state.gateways[1 - index];
        let mut next = state.clone();
        self.adopt(&mut next.gateways[index], peer.in_force, peer.in_force_revision);
        check_order(state, &mut next, index);
        (next != *state).then_some(next)
    }

    fn adopt(&self, gateway: &mut Gateway, config: u8, revision: u8) {
        let is_newer = if self.is_enforced(Rule::OperatorVersion) {
            config > gateway.in_force
        } else {
            revision > gateway.in_force_revision
        };
        if is_newer {
            gateway.in_force = config;
            gateway.in_force_revision = revision;
        }
    }
}

fn check_order(before: &State, after: &mut State, index: usize) {
    if after.gateways[index].in_force < before.gateways[index].in_force {
        after.violation = Some("the configuration in force went back");
    }
}
