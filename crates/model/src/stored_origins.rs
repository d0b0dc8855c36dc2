//! Model of what is left of streams when all gateways are killed: the records of their origins in the store, and the set of
//! software versions that may have begun streams. A pool changes from one version to the next and back; writes are lost,
//! take effect late, or are undone by a restore of the store from an older copy.
//!
//! A stream is awaited for [`LIFE`] ticks. The 5 s up to which a list of targets counts as current are much shorter than a
//! tick, and an action of their own.
//!
//! Assumed: a target serves nothing once it has left the list, and comes back as another one; targets that a restore has
//! removed from the list are back within 5 s; a late write takes effect within the life of a stream, if at all.

use crate::search::{self, Exploration};

const GATEWAYS: usize = 2;
const VERSIONS: usize = 2;
/// Ticks for which the caller of a stream waits, and for which gateways remember a version that has left the list.
const LIFE: u8 = 2;

/// Software versions, as bits.
type Versions = u8;

const OLD: Versions = 1;
const NEW: Versions = 2;

/// A rule of the protocol that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A version is in the set before a gateway that has read the list uses it.
    AddBeforeUse,
    /// When a version appears in the list the set is read again; what was read of it before does not count.
    ReadSetAgain,
    /// After a gap in what a gateway knows of the list all versions count as new to it.
    CheckAfterGap,
    /// What is done to the set rests on a list of the same era.
    SameEra,
    /// The set is changed only if nobody else has changed it since it was read.
    ConditionalWrite,
    /// A version is marked before it is removed, and who uses it takes the mark away.
    MarkBeforeRemoval,
    /// A version is removed after it has been marked for the life of a stream and 10 s.
    MarkedForLife,
    /// A mark that was taken away and made again counts anew.
    NumberedMarks,
    /// The set is found complete only by a gateway that has known the list for the life of a stream without a gap.
    WholeWindow,
    /// Whoever finds the set complete adds all versions of its own history.
    CompleteFromHistory,
    /// The set is not found complete while gateways run whose software keeps none, nor from what was known meanwhile.
    AllKeepSet,
    /// Each era of the store has a set of its own.
    SetOfEra,
    /// An absent set is complete only at the first start of the system, in the first era.
    FirstEra,
    /// Without a record the set is read when the stream is taken up; a gateway's own history does not count.
    ReadForProof,
    /// A pool that has one version now may have had another one, also if no record says so.
    AbsenceProvesNothing,
}

/// Faults and changes that may happen in an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// A release, and the beginning of its roll-back.
    Release,
    /// The old version has left so long ago that it may be removed from the set, and comes back.
    Removal,
    /// The store is restored from a copy of the time before the release.
    Restore,
    /// The system starts for the first time; the store is restored from a copy without a set.
    FirstStart,
    /// A release. Records are kept, which the other scopes leave out as they let no more streams go on.
    Records,
    /// There is no set yet, and the gateways start one by one with software that keeps one.
    Upgrade,
}

/// States that have to be possible, or the model holds trivially.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Goal {
    /// After all gateways were killed a stream of a pool with two versions goes on by its record in the store.
    ByRecord,
    /// After all gateways were killed a stream of a pool with one version goes on, which nobody has recorded.
    BySet,
    /// The set is complete, and has one version.
    CompleteAndOnly,
    /// The set is complete again after a restore.
    CompleteAgain,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct List {
    versions: Versions,
    /// Number of the change of the list that it reflects.
    number: u8,
    era: u8,
    /// Whether it was read within the last 5 s.
    is_current: bool,
}

/// What a gateway has seen of the mark of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Mark {
    #[default]
    Absent,
    Seen,
    /// The list was read again 10 s after the mark was seen, and the mark has to stay for more ticks.
    Waited(u8),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Gateway {
    /// The list in use; `None` after a start.
    list: Option<List>,
    /// A list that was read from the store and has versions that may not be in the set.
    staged: Option<List>,
    /// Ticks for which each version is remembered.
    memory: [u8; VERSIONS],
    /// Ticks until the history covers the life of a stream without a gap.
    gap: u8,
    /// Versions of the set as last read, while [`Rule::ReadSetAgain`] is left out.
    noticed: Versions,
    /// How long each mark has been seen.
    marks: [Mark; VERSIONS],
    has_record: bool,
    is_first_start: bool,
    /// Whether its software keeps no set.
    is_old: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Set {
    versions: Versions,
    /// Versions that are marked for removal.
    marked: Versions,
    /// Whether it has all versions that may have begun streams which are still awaited.
    is_complete: bool,
}

/// Objects of the store that a restore takes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Stored {
    listed: Versions,
    set: Option<Set>,
    has_record: bool,
}

/// A write of the set that takes effect late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LateWrite {
    value: Set,
    /// Whether nobody has written the set since it was sent.
    is_met: bool,
    /// Ticks within which it takes effect, if it does.
    left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stream {
    Waiting,
    Begun {
        version: Versions,
        left: u8,
    },
    /// It went on at another version than the one that began it.
    Mixed,
    /// It went on where it began.
    WentOn(Goal),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    stored: Stored,
    copy: Stored,
    era: u8,
    /// Number of changes of the list.
    changes: u8,
    /// Versions of the targets that run. Those that a restore has removed from the list write themselves again.
    running: Versions,
    /// Number of the change with which the running targets of each version appeared.
    appeared: [u8; VERSIONS],
    gateways: [Gateway; GATEWAYS],
    stream: Stream,
    late_write: Option<LateWrite>,
    /// Whether a record is on its way to the store.
    is_record_late: bool,
    /// Whether all gateways were killed since the stream began.
    are_all_lost: bool,
    /// Whether records are kept at all; without them more streams go on by other proofs.
    are_records_kept: bool,
    changes_left: u8,
    kills_left: u8,
    losses_left: u8,
    late_left: u8,
    restores_left: u8,
}

fn bit(version: usize) -> Versions {
    1 << version
}

fn start(scope: Scope) -> State {
    let list = List { versions: OLD, number: 0, era: 0, is_current: true };
    let gateway = Gateway { list: Some(list), memory: [LIFE, 0], ..Gateway::default() };
    let set = Set { versions: OLD, marked: 0, is_complete: true };
    let stored = Stored { listed: OLD, set: Some(set), has_record: false };
    let release = State {
        stored,
        copy: stored,
        era: 0,
        changes: 0,
        running: OLD,
        appeared: [0; VERSIONS],
        gateways: [gateway; GATEWAYS],
        stream: Stream::Waiting,
        late_write: None,
        is_record_late: false,
        are_all_lost: false,
        are_records_kept: false,
        changes_left: 3,
        kills_left: 1,
        losses_left: 1,
        late_left: 1,
        restores_left: 0,
    };
    let starting = Gateway { gap: LIFE, ..Gateway::default() };
    match scope {
        Scope::Release => State { late_left: 0, kills_left: 0, ..release },
        Scope::Records => State {
            are_records_kept: true,
            changes_left: 2,
            late_left: 0,
            kills_left: 0,
            ..release
        },
        Scope::Removal => {
            let set = Some(Set { versions: OLD | NEW, ..set });
            let stored = Stored { listed: NEW, set, ..stored };
            let list = Some(List { versions: NEW, ..list });
            let gateway = Gateway { list, memory: [0, LIFE], ..gateway };
            let gateways = [gateway; GATEWAYS];
            State { stored, copy: stored, running: NEW, gateways, changes_left: 2, ..release }
        }
        Scope::Restore => {
            State { restores_left: 1, changes_left: 2, kills_left: 0, late_left: 0, ..release }
        }
        Scope::FirstStart => {
            let stored = Stored { set: None, ..stored };
            let gateways = [Gateway { is_first_start: true, ..starting }; GATEWAYS];
            let (restores_left, changes_left, kills_left) = (1, 2, 0);
            State {
                kills_left,
                late_left: 0,
                stored,
                copy: stored,
                gateways,
                restores_left,
                changes_left,
                ..release
            }
        }
        Scope::Upgrade => {
            let stored = Stored { set: None, ..stored };
            let gateways = [Gateway { is_old: true, ..gateway }; GATEWAYS];
            let (changes_left, kills_left, late_left) = (2, 0, 0);
            let start = State { stored, copy: stored, gateways, ..release };
            State { changes_left, kills_left, late_left, ..start }
        }
    }
}

/// Explores all states of a scope up to the first violation, without the `omitted` rule.
pub fn explore(scope: Scope, omitted: Option<Rule>) -> Exploration {
    let actions = Actions { omitted };
    let result = search::breadth_first(
        start(scope),
        |state| actions.successors(state),
        |state| state.stream == Stream::Mixed,
    );
    result.into_exploration(|_| Some("a stream goes on at another version"))
}

/// Returns whether the full protocol reaches a state.
pub fn is_reached(scope: Scope, goal: Goal) -> bool {
    let actions = Actions { omitted: None };
    let is_goal = |state: &State| match goal {
        Goal::ByRecord | Goal::BySet => state.stream == Stream::WentOn(goal),
        Goal::CompleteAndOnly => {
            state.stored.set.is_some_and(|set| set.versions.count_ones() == 1 && set.is_complete)
        }
        Goal::CompleteAgain => state.era > 0 && state.stored.set.is_some_and(|set| set.is_complete),
    };
    let result = search::breadth_first(start(scope), |state| actions.successors(state), is_goal);
    result.found.is_some()
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
        if matches!(state.stream, Stream::WentOn(_)) {
            return next;
        }
        change_targets(state, &mut next);
        self.land_late_write(state, &mut next);
        next.extend(self.restore(state));
        next.extend(lose_all(state));
        if state.stored.listed == state.running {
            next.push(five_seconds(state));
            next.push(self.tick(state));
        }
        for index in 0..GATEWAYS {
            next.extend(kill(state, index));
            next.extend(self.upgrade(state, index));
            next.extend(self.read_list(state, index));
            self.check(state, index, &mut next);
            next.extend(relay(state, index));
            self.keep_set(state, index, &mut next);
            self.begin(state, index, &mut next);
            self.share_record(state, index, &mut next);
            self.take_up(state, index, &mut next);
        }
        // The gateways are alike.
        next.iter_mut().for_each(|state| state.gateways.sort_unstable());
        next.retain(|other| other != state);
        next
    }

    /// Reads the list from the store. One with versions that are new to the gateway waits until the set has them.
    fn read_list(&self, state: &State, index: usize) -> Option<State> {
        let mut next = state.clone();
        let (era, number) = (state.era, state.changes);
        let gateway = &mut next.gateways[index];
        let before = gateway.list;
        // Targets that a restore has removed are kept until they have had time to come back.
        let is_restored = state.stored.listed != state.running;
        let kept = before.filter(|_| is_restored).map_or(0, |list| list.versions);
        let versions = state.stored.listed | kept;
        let list = List { versions, number, era, is_current: true };
        let is_gap = before.is_none_or(|before| !before.is_current || before.era != era);
        if is_gap {
            gateway.gap = LIFE;
        }
        let left = if self.is_enforced(Rule::MarkedForLife) { LIFE } else { 0 };
        for mark in gateway.marks.iter_mut().filter(|mark| **mark == Mark::Seen) {
            *mark = Mark::Waited(left);
        }
        let known = before.filter(|_| !is_gap || !self.is_enforced(Rule::CheckAfterGap));
        let appeared = versions & !known.map_or(0, |list| list.versions);
        let is_known = appeared & !gateway.noticed == 0 && !self.is_enforced(Rule::ReadSetAgain);
        let is_added = before.is_some() && (appeared == 0 || is_known);
        if is_added || gateway.is_old || !self.is_enforced(Rule::AddBeforeUse) {
            use_list(gateway, list);
        } else {
            gateway.staged = Some(list);
        }
        Some(next)
    }

    /// Reads the set, and adds the versions of a list that was read; takes the set as the history that was lost.
    fn check(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let gateway = &state.gateways[index];
        let Some(list) = gateway.staged else { return };
        if self.is_enforced(Rule::SameEra) && list.era != state.era {
            return;
        }
        let is_first_era = state.era == 0 || !self.is_enforced(Rule::FirstEra);
        let is_first = gateway.is_first_start && is_first_era;
        let absent = Set { is_complete: is_first, ..Set::default() };
        let set = state.stored.set.unwrap_or(absent);
        let versions = set.versions | list.versions;
        let value = Set { versions, marked: set.marked & !list.versions, ..set };
        let mut written = state.clone();
        if state.stored.set != Some(value) {
            self.write(state, value, next);
            self.store_set(&mut written, value);
        }
        let gateway = &mut written.gateways[index];
        gateway.staged = None;
        gateway.is_first_start = false;
        if gateway.list.is_none() && value.is_complete {
            // The set is the history that was lost, and all its versions may have been listed until now.
            gateway.gap = 0;
            remember(gateway, value.versions);
        }
        self.notice(gateway, &value);
        use_list(gateway, list);
        next.push(written);
    }

    /// A write whose answer is lost: it takes effect at once, or late.
    fn write(&self, state: &State, value: Set, next: &mut Vec<State>) {
        let mut written = state.clone();
        self.store_set(&mut written, value);
        next.push(written);
        if let Some(late_left) = state.late_left.checked_sub(1) {
            let late_write = Some(LateWrite { value, is_met: true, left: LIFE });
            next.push(State { late_write, late_left, ..state.clone() });
        }
    }

    /// Writes the set. Who has seen a mark that was taken away or made again will see that it is another one.
    fn store_set(&self, state: &mut State, value: Set) {
        let marked = state.stored.set.map_or(0, |set| set.marked);
        state.stored.set = Some(value);
        if let Some(write) = &mut state.late_write {
            write.is_met = false;
        }
        if !self.is_enforced(Rule::NumberedMarks) {
            return;
        }
        let changed = marked ^ value.marked;
        for gateway in &mut state.gateways {
            for (version, mark) in gateway.marks.iter_mut().enumerate() {
                if changed & bit(version) != 0 {
                    *mark = Mark::Absent;
                }
            }
        }
    }

    /// The store comes back from the copy. The set of the new era does not exist yet, and late writes change that of an old one.
    fn restore(&self, state: &State) -> Option<State> {
        let restores_left = state.restores_left.checked_sub(1)?;
        let (era, changes) = (state.era + 1, state.changes + 1);
        let mut next = State { restores_left, era, changes, stored: state.copy, ..state.clone() };
        if self.is_enforced(Rule::SetOfEra) {
            next.stored.set = None;
            next.late_write = None;
        }
        Some(next)
    }

    fn land_late_write(&self, state: &State, next: &mut Vec<State>) {
        if let Some(write) = state.late_write {
            let mut landed = State { late_write: None, ..state.clone() };
            next.push(landed.clone());
            if write.is_met || !self.is_enforced(Rule::ConditionalWrite) {
                self.store_set(&mut landed, write.value);
                next.push(landed);
            }
        }
        if state.is_record_late {
            let mut landed = State { is_record_late: false, ..state.clone() };
            landed.stored.has_record = true;
            next.push(landed);
        }
    }

    fn notice(&self, gateway: &mut Gateway, set: &Set) {
        if !self.is_enforced(Rule::ReadSetAgain) {
            gateway.noticed = set.versions;
        }
        for (version, mark) in gateway.marks.iter_mut().enumerate() {
            if set.marked & bit(version) == 0 {
                *mark = Mark::Absent;
            } else if *mark == Mark::Absent {
                *mark = Mark::Seen;
            }
        }
    }

    /// A watcher reads the set; it marks and removes what nobody needs, and finds the set complete.
    fn keep_set(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let is_new = |gateway: &&Gateway| !gateway.is_old;
        let list = Some(&state.gateways[index]).filter(is_new).and_then(|gateway| gateway.list);
        let Some(list) = list else { return };
        let is_of_era = list.era == state.era || !self.is_enforced(Rule::SameEra);
        let Some(set) = state.stored.set.filter(|_| is_of_era) else { return };
        let mut noticed = state.clone();
        self.notice(&mut noticed.gateways[index], &set);
        next.push(noticed.clone());
        let state = &noticed;
        let gateway = &state.gateways[index];
        let has_window = gateway.gap == 0 || !self.is_enforced(Rule::WholeWindow);
        if !list.is_current || gateway.staged.is_some() {
            return;
        }
        if !set.is_complete && has_window {
            let from_history = self.is_enforced(Rule::CompleteFromHistory);
            let own = if from_history { remembered(gateway) } else { 0 };
            let versions = set.versions | own;
            self.write(state, Set { versions, is_complete: true, ..set }, next);
        }
        if gateway.gap > 0 {
            return;
        }
        let unneeded = set.versions & !remembered(gateway);
        for (index, mark) in gateway.marks.iter().enumerate() {
            let version = bit(index);
            if unneeded & version == 0 {
                continue;
            }
            if set.marked & version == 0 {
                self.write(state, Set { marked: set.marked | version, ..set }, next);
            }
            if *mark == Mark::Waited(0) || !self.is_enforced(Rule::MarkBeforeRemoval) {
                let versions = set.versions & !version;
                self.write(state, Set { versions, marked: set.marked & !version, ..set }, next);
            }
        }
    }

    /// Returns the version of the pool if the gateway can prove that it has had no other: by the set as it is now, or by
    /// the gateway's own history.
    fn only_version(&self, state: &State, gateway: &Gateway) -> Option<Versions> {
        let list = gateway.list.filter(|_| !gateway.is_old)?;
        let versions = if self.is_enforced(Rule::ReadForProof) {
            state.stored.set.filter(|set| set.is_complete)?.versions
        } else {
            let is_known = list.is_current && gateway.gap == 0;
            Some(remembered(gateway)).filter(|_| is_known)?
        };
        (versions.count_ones() == 1).then_some(versions)
    }

    fn tick(&self, state: &State) -> State {
        let mut next = five_seconds(state);
        let is_kept_by_all = !state.gateways.iter().any(|gateway| gateway.is_old);
        let is_counted = is_kept_by_all || !self.is_enforced(Rule::AllKeepSet);
        if let Stream::Begun { left, .. } = &mut next.stream {
            *left -= 1;
            if *left == 0 {
                forget_stream(&mut next);
            }
        }
        next.late_write = next.late_write.and_then(|write| {
            let left = write.left - 1;
            (left > 0).then_some(LateWrite { left, ..write })
        });
        for gateway in &mut next.gateways {
            let listed = gateway.list.map_or(0, |list| list.versions);
            for (version, memory) in gateway.memory.iter_mut().enumerate() {
                if listed & bit(version) == 0 {
                    *memory = memory.saturating_sub(1);
                }
            }
            for mark in &mut gateway.marks {
                if let Mark::Waited(left) = mark {
                    *left = left.saturating_sub(1);
                }
            }
            let is_known = gateway.list.is_some_and(|list| list.is_current && is_counted);
            gateway.gap = if is_known { gateway.gap.saturating_sub(1) } else { LIFE };
        }
        next
    }

    /// A gateway starts with software that keeps the set. The others see that in its entry.
    fn upgrade(&self, state: &State, index: usize) -> Option<State> {
        if !state.gateways[index].is_old {
            return None;
        }
        let mut next = state.clone();
        if self.is_enforced(Rule::AllKeepSet) {
            next.gateways.iter_mut().for_each(|gateway| gateway.gap = LIFE);
        }
        next.gateways[index] = Gateway { gap: LIFE, ..Gateway::default() };
        Some(next)
    }

    fn begin(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let gateway = &state.gateways[index];
        let Some(list) = gateway.list.filter(|_| state.stream == Stream::Waiting) else { return };
        for (index_of_version, appeared) in state.appeared.into_iter().enumerate() {
            let version = bit(index_of_version);
            let is_listed = list.versions & state.running & version != 0;
            if !is_listed || list.number < appeared {
                continue;
            }
            let mut begun = state.clone();
            begun.stream = Stream::Begun { version, left: LIFE };
            begun.gateways[index].has_record = state.are_records_kept;
            next.push(begun);
        }
    }

    /// A record of a stream of a pool with several versions reaches another gateway, or the store at once or late; or is
    /// taken over from the store, by its owner or an heir, as often as it likes.
    fn share_record(&self, state: &State, index: usize, next: &mut Vec<State>) {
        if !state.are_records_kept || !matches!(state.stream, Stream::Begun { .. }) {
            return;
        }
        let gateway = &state.gateways[index];
        if state.stored.has_record && gateway.list.is_some() {
            let mut taken = state.clone();
            taken.gateways[index].has_record = true;
            next.push(taken);
        }
        if !gateway.has_record || self.only_version(state, gateway).is_some() {
            return;
        }
        let mut kept = state.clone();
        kept.gateways.iter_mut().for_each(|gateway| gateway.has_record = true);
        next.push(kept);
        if !state.stored.has_record {
            next.push(State { is_record_late: true, ..state.clone() });
        }
    }

    /// The stream is taken up. Whether the records and proofs of other gateways are found is open.
    fn take_up(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let Stream::Begun { version, .. } = state.stream else { return };
        let gateway = &state.gateways[index];
        if gateway.list.is_none() {
            return;
        }
        let has_record = state.gateways.iter().any(|gateway| gateway.has_record);
        let proofs = state.gateways.iter().filter_map(|gateway| self.only_version(state, gateway));
        let mut proofs: Vec<Versions> = proofs.collect();
        let is_mixed = state.stored.set.is_some_and(|set| set.versions == OLD | NEW);
        if state.are_all_lost {
            let by_record = (has_record && is_mixed).then_some(Goal::ByRecord);
            let by_set = (!has_record && !proofs.is_empty()).then_some(Goal::BySet);
            let goals = by_record.into_iter().chain(by_set);
            let went_on = |goal| State { stream: Stream::WentOn(goal), ..state.clone() };
            next.extend(goals.map(went_on));
        }
        if gateway.has_record {
            return;
        }
        let is_absence_proof = !self.is_enforced(Rule::AbsenceProvesNothing);
        let listed = gateway.list.map_or(0, |list| list.versions);
        if is_absence_proof && !state.stored.has_record && listed.count_ones() == 1 {
            proofs.push(listed);
        }
        if proofs.into_iter().any(|goes_on_at| goes_on_at != version) {
            next.push(State { stream: Stream::Mixed, ..state.clone() });
        }
    }
}

fn remembered(gateway: &Gateway) -> Versions {
    (0..VERSIONS).filter(|version| gateway.memory[*version] > 0).map(bit).sum()
}

fn remember(gateway: &mut Gateway, versions: Versions) {
    for version in (0..VERSIONS).filter(|version| versions & bit(*version) != 0) {
        gateway.memory[version] = LIFE;
    }
}

fn use_list(gateway: &mut Gateway, list: List) {
    remember(gateway, list.versions);
    gateway.list = Some(list);
    gateway.staged = None;
}

fn change_targets(state: &State, next: &mut Vec<State>) {
    if state.stored.listed != state.running {
        // Targets write themselves again, and those that had left before the restore expire.
        let mut again = state.clone();
        again.stored.listed = state.running;
        again.changes += 1;
        next.push(again);
        return;
    }
    let Some(changes_left) = state.changes_left.checked_sub(1) else { return };
    for version in (0..VERSIONS).map(bit) {
        let running = state.running ^ version;
        if running == 0 {
            continue;
        }
        let changes = state.changes + 1;
        let mut appeared = state.appeared;
        appeared[version.trailing_zeros() as usize] = changes;
        let mut changed = State { running, appeared, changes, changes_left, ..state.clone() };
        changed.stored.listed = running;
        next.push(changed);
    }
}

fn kill(state: &State, index: usize) -> Option<State> {
    let mut next = state.clone();
    next.kills_left = state.kills_left.checked_sub(1)?;
    next.gateways[index] = started(&state.gateways[index]);
    Some(next)
}

/// Returns a gateway that has been killed, after its start.
fn started(killed: &Gateway) -> Gateway {
    Gateway { gap: LIFE, is_old: killed.is_old, ..Gateway::default() }
}

fn lose_all(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.losses_left = state.losses_left.checked_sub(1)?;
    next.gateways = state.gateways.each_ref().map(started);
    next.are_all_lost = matches!(state.stream, Stream::Begun { .. });
    Some(next)
}

/// A gateway passes the list that it uses on to another one, which has an older one of the same era.
fn relay(state: &State, to: usize) -> Option<State> {
    let list = state.gateways[1 - to].list?;
    let mut next = state.clone();
    let gateway = &mut next.gateways[to];
    let before = gateway.list?;
    let is_newer = before.era == list.era && before.number <= list.number;
    if !is_newer || !list.is_current || gateway.staged.is_some() {
        return None;
    }
    if !before.is_current {
        gateway.gap = LIFE;
    }
    use_list(gateway, list);
    Some(next)
}

/// 5 s pass. Lists that are not the newest have become old.
fn five_seconds(state: &State) -> State {
    let mut next = state.clone();
    let newest = (state.changes, state.era);
    for gateway in &mut next.gateways {
        for list in gateway.list.iter_mut().chain(&mut gateway.staged) {
            list.is_current &= (list.number, list.era) == newest;
        }
    }
    next
}

/// The caller has given up, and another stream may begin.
fn forget_stream(state: &mut State) {
    state.stream = Stream::Waiting;
    state.are_all_lost = false;
    state.is_record_late = false;
    state.stored.has_record = false;
    for gateway in &mut state.gateways {
        gateway.has_record = false;
    }
}
