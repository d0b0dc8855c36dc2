//! Membership of the gateways, and the owner of each pool.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use marigold_core::ids::{Incarnation, Name, Uptime};
use marigold_core::ownership::{self, Candidate};
use marigold_core::poison::quarantine;
use marigold_core::rendezvous;
use marigold_core::targets::Target;
use marigold_link::peer::Peer;
use marigold_link::security::Security;
use marigold_process::boottime;
use marigold_schema::messages::{GatewayEntry, GatewayFacts};
use parking_lot::Mutex;
use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use tokio::sync::watch;
use tokio::time;

use crate::settings::Settings;

/// Number of failed polls in a row after which a gateway counts as unresponsive.
const MISSED_POLL_LIMIT: u32 = 2;
/// Number of failed polls in a row after which the link to a gateway is closed. One that has gone silent never recovers,
/// and the kernel keeps it for many minutes; a gateway that is only slow keeps the stages that run on its link.
const SILENT_LINK_POLLS: u32 = 4;
/// Maximum number of gateways polled at a time that have never answered. Reaches all gateways of the deployments within
/// one or two seconds.
const MAX_UNREACHED_POLLED: usize = 8;
/// Maximum number of limited targets whose owners are polled.
const MAX_LIMITS_POLLED: usize = 16;
/// Time after which a gateway that is unresponsive counts as gone, and not as cut off with callers of its own.
const GONE_AFTER: Duration = Duration::from_secs(30);

/// Another gateway.
#[derive(Clone)]
pub(crate) struct Member {
    pub(crate) name: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) peer: Arc<Peer>,
    weight: f64,
    missed_polls: u32,
    /// When it was found to be unresponsive.
    silent_since: Option<Uptime>,
    /// Whether it is being stopped, or refuses stages.
    is_leaving: bool,
    is_settled: bool,
    /// Whether it has ever answered; until then `is_settled` comes from its entry in the store.
    has_answered: bool,
}

impl Member {
    pub(crate) fn is_alive(&self) -> bool {
        self.missed_polls < MISSED_POLL_LIMIT && !self.is_leaving
    }

    /// Returns whether it has not answered the last poll, or none yet.
    fn is_doubtful(&self) -> bool {
        self.missed_polls > 0 || !self.has_answered
    }

    fn candidate(&self) -> Candidate {
        let (name, weight) = (self.name.clone(), self.weight);
        Candidate { name, weight, is_settled: self.is_settled }
    }
}

/// Owner of a pool: the gateway that batches the calls to it.
#[derive(Clone)]
pub(crate) enum Owner {
    /// This gateway.
    Local,
    /// Another gateway.
    Remote(Member),
}

#[derive(Default)]
struct State {
    others: BTreeMap<Name, Member>,
    pools: Vec<Name>,
    is_settled: bool,
    /// Whether this gateway is being stopped.
    is_leaving: bool,
}

/// The membership: this gateway and all others that it knows.
pub(crate) struct Members {
    name: Name,
    weight: f64,
    started: Uptime,
    security: Arc<Security>,
    state: Mutex<State>,
    /// Whether the gateways in the store have been read.
    is_known: watch::Sender<bool>,
    /// Owners of the pools that other gateways own; this gateway owns all other pools.
    owners: ArcSwap<BTreeMap<Name, Member>>,
}

impl Members {
    /// Creates a membership of this gateway only. It is settled from the start if the whole system starts for the first
    /// time.
    pub(crate) fn new(settings: &Settings, security: Arc<Security>, now: Uptime) -> Self {
        let state = State { is_settled: settings.first_start, ..State::default() };
        Self {
            name: settings.name.clone(),
            weight: settings.weight,
            started: now,
            security,
            state: Mutex::new(state),
            is_known: watch::Sender::new(false),
            owners: ArcSwap::default(),
        }
    }

    /// Returns whether this gateway is settled and may own pools.
    pub(crate) fn is_settled(&self) -> bool {
        self.state.lock().is_settled
    }

    /// Marks this gateway as settled once it has run for [`ownership::SETTLING_TIME`].
    pub(crate) fn settle(&self, now: Uptime) {
        let mut state = self.state.lock();
        if !state.is_settled && now >= self.started + ownership::SETTLING_TIME {
            tracing::info!("gateway settled; it may own pools");
            state.is_settled = true;
            self.reassign_pools(&state);
        }
    }

    /// Adds a gateway, or replaces an earlier incarnation or address of it; an unchanged one keeps its state.
    pub(crate) fn put(&self, name: Name, entry: &GatewayEntry) {
        let GatewayEntry { incarnation, weight, settled: is_settled, .. } = *entry;
        let addr: SocketAddr = match entry.address.parse() {
            Ok(addr) => addr,
            Err(err) => {
                tracing::warn!(member = name, %err, "invalid address of gateway");
                return;
            }
        };
        let mut state = self.state.lock();
        let is_unchanged = state
            .others
            .get(&name)
            .is_some_and(|member| member.incarnation == incarnation && member.peer.addr() == addr);
        // An entry from before a restart, in a store that was restored from an older copy.
        let is_outdated = state.others.get(&name).is_some_and(|member| {
            member.is_alive() && member.has_answered && member.incarnation > incarnation
        });
        if name == self.name || is_unchanged || is_outdated {
            return;
        }
        tracing::info!(member = name, incarnation, %addr, "gateway joined");
        let peer = Arc::new(Peer::new(addr, self.security.clone()));
        let member = Member {
            name: name.clone(),
            incarnation,
            peer,
            weight,
            missed_polls: 0,
            silent_since: None,
            is_leaving: false,
            is_settled,
            has_answered: false,
        };
        state.others.insert(name, member);
        self.reassign_pools(&state);
    }

    /// Removes a gateway.
    pub(crate) fn remove(&self, name: &str) {
        let mut state = self.state.lock();
        if state.others.remove(name).is_some() {
            tracing::info!(member = name, "gateway removed");
            self.reassign_pools(&state);
        }
    }

    /// Returns all other gateways.
    pub(crate) fn others(&self) -> Vec<Member> {
        self.state.lock().others.values().cloned().collect()
    }

    /// Returns the number of responsive gateways, including this one.
    pub(crate) fn alive_count(&self) -> usize {
        1 + self.state.lock().others.values().filter(|member| member.is_alive()).count()
    }

    /// Records the state that a gateway reported.
    pub(crate) fn on_facts(&self, facts: &GatewayFacts) {
        self.update(&facts.name, "gateway reported a new state", |member| {
            member.missed_polls = 0;
            member.silent_since = None;
            member.is_leaving = facts.leaving;
            member.is_settled = facts.entry.settled;
            member.has_answered = true;
        });
    }

    /// Records a failed poll of a gateway; returns whether its link is to be closed.
    pub(crate) fn on_poll_failure(&self, name: &str) -> bool {
        let mut is_silent = false;
        self.update(name, "gateway unresponsive", |member| {
            member.missed_polls = member.missed_polls.saturating_add(1);
            is_silent = member.missed_polls.is_multiple_of(SILENT_LINK_POLLS);
        });
        is_silent
    }

    /// Marks this gateway as being stopped, so that it owns nothing while others are alive.
    pub(crate) fn leave(&self) {
        let mut state = self.state.lock();
        state.is_leaving = true;
        self.reassign_pools(&state);
    }

    /// Records that a gateway said that it is being stopped, so that its pools move to other owners at once. Its next facts
    /// replace this.
    pub(crate) fn on_leaving(&self, name: &str, incarnation: Incarnation) {
        self.update(name, "gateway is being stopped", |member| {
            member.is_leaving |= member.incarnation == incarnation;
        });
    }

    /// Marks a gateway that refused a stage, as one does that is being stopped or has just started. Its next facts replace this.
    pub(crate) fn on_stage_refusal(&self, member: &Member) {
        self.update(&member.name, "gateway refused a stage", |known| {
            known.is_leaving |= known.incarnation == member.incarnation;
        });
    }

    /// Marks a gateway as unresponsive because it failed to run a stage, so that its pools move to other owners at
    /// once.
    pub(crate) fn on_stage_failure(&self, name: &str) {
        self.update(name, "gateway failed to run a stage", |member| {
            member.missed_polls = member.missed_polls.max(MISSED_POLL_LIMIT);
        });
    }

    fn update(&self, name: &str, message: &'static str, change: impl FnOnce(&mut Member)) {
        let mut state = self.state.lock();
        let Some(member) = state.others.get_mut(name) else { return };
        let before = (member.is_alive(), member.is_settled);
        change(member);
        if !member.is_alive() {
            member.silent_since.get_or_insert_with(boottime::now);
        }
        if (member.is_alive(), member.is_settled) != before {
            tracing::info!(
                member = name,
                is_leaving = member.is_leaving,
                is_settled = member.is_settled,
                silent = member.missed_polls,
                "{message}"
            );
            self.reassign_pools(&state);
        }
    }

    /// Sets the pools, and reassigns their owners if the pools changed.
    pub(crate) fn set_pools(&self, pools: Vec<Name>) {
        let mut state = self.state.lock();
        if state.pools != pools {
            state.pools = pools;
            self.reassign_pools(&state);
        }
    }

    fn candidates(&self, state: &State, is_included: impl Fn(&Member) -> bool) -> Vec<Candidate> {
        let others = state.others.values().filter(|member| is_included(member));
        let (name, weight, is_settled) = (self.name.clone(), self.weight, state.is_settled);
        others.map(Member::candidate).chain([Candidate { name, weight, is_settled }]).collect()
    }

    /// Returns the gateways that may own something. Others leave out a gateway that is being stopped, so it leaves itself out too.
    fn owner_candidates(&self, state: &State) -> Vec<Candidate> {
        let mut candidates = self.candidates(state, Member::is_alive);
        if state.is_leaving && candidates.len() > 1 {
            candidates.retain(|candidate| candidate.name != self.name);
        }
        candidates
    }

    fn reassign_pools(&self, state: &State) {
        let owners = ownership::owners(&state.pools, &self.owner_candidates(state));
        let remote = owners
            .into_iter()
            .filter_map(|(pool, owner)| Some((pool, state.others.get(owner.as_str())?.clone())));
        self.owners.store(Arc::new(remote.collect()));
    }

    /// Returns the gateways to poll: some owners of pools and some watchers, those that would be owners or watchers if they were
    /// responsive, those whose first heir is this one, some that have never answered, and a random one, so that changes reach all gateways.
    /// `limited_targets` are the ids and pools of targets whose limits have owners.
    pub(crate) fn to_poll(&self, limited_targets: &[(Name, Name)]) -> Vec<Member> {
        let state = self.state.lock();
        let all = self.candidates(&state, |_| true);
        let alive = self.candidates(&state, Member::is_alive);
        let may_own = self.owner_candidates(&state);
        let owners = [&all, &may_own]
            .into_iter()
            .flat_map(|candidates| ownership::owners(&state.pools, candidates).into_values());
        let probability = ownership::owner_poll_probability(alive.len());
        let mut rng = rand::rng();
        let mut names: BTreeSet<Name> = owners
            .filter(|owner| {
                let member = state.others.get(owner);
                member.is_some_and(Member::is_doubtful) || rng.random_bool(probability)
            })
            .chain(ownership::watchers_polled_by(&self.name, &alive))
            .chain(ownership::watchers_polled_by(&self.name, &all))
            .collect();
        for (target, pool) in limited_targets.iter().take(MAX_LIMITS_POLLED) {
            if !state.pools.contains(pool) {
                let owners =
                    [&all, &may_own].map(|members| ownership::limit_owner(target, members));
                names.extend(owners.into_iter().flatten());
            }
        }
        let inherited = state.others.values().filter(|member| self.is_heir(&state, member));
        names.extend(inherited.map(|member| member.name.clone()));
        let unreached = state.others.values().filter(|member| !member.has_answered);
        names.extend(unreached.take(MAX_UNREACHED_POLLED).map(|member| member.name.clone()));
        names.extend(state.others.keys().choose(&mut rand::rng()).cloned());
        names.iter().filter_map(|name| state.others.get(name).cloned()).collect()
    }

    /// Marks the other gateways as known, after they have been read from the store.
    pub(crate) fn set_known(&self) {
        self.is_known.send_replace(true);
    }

    /// Waits for some time, or until the other gateways are known, after which this one may be a watcher.
    pub(crate) async fn sleep_while_unknown(&self, duration: Duration) {
        let mut is_known = self.is_known.subscribe();
        if *is_known.borrow_and_update() {
            return time::sleep(duration).await;
        }
        let _ = time::timeout(duration, is_known.changed()).await;
    }

    /// Returns whether this gateway watches the configuration and the targets for the others. One that does not know the
    /// others yet does not: at a start of all, each would.
    pub(crate) fn is_watcher(&self) -> bool {
        let state = self.state.lock();
        let alive = self.candidates(&state, Member::is_alive);
        *self.is_known.borrow() && ownership::watchers(&alive).contains(&self.name)
    }

    /// Returns the `count` other gateways that rank first for a key, only those that are alive if `is_alive` is set.
    pub(crate) fn ranked(&self, key: &str, count: usize, is_alive: bool) -> Vec<Member> {
        let state = self.state.lock();
        let others = state.others.values().filter(|member| !is_alive || member.is_alive());
        let ranked = rendezvous::rank(key, others.map(|member| &member.name));
        ranked.into_iter().take(count).map(|name| state.others[name].clone()).collect()
    }

    /// Returns whether this gateway is the first heir of another one, by the hash of its name among those that answer.
    fn is_heir(&self, state: &State, member: &Member) -> bool {
        let own_score = rendezvous::score(&member.name, &self.name);
        let mut others =
            state.others.values().filter(|other| other.is_alive() && other.name != member.name);
        others.all(|other| rendezvous::score(&member.name, &other.name) < own_score)
    }

    /// Returns the gateways that do not answer and whose first heir is this one, with the time since when.
    pub(crate) fn orphaned(&self) -> Vec<(Member, Uptime)> {
        let state = self.state.lock();
        let silent = state.others.values().filter(|m| m.missed_polls >= MISSED_POLL_LIMIT);
        let orphaned = silent.filter(|member| self.is_heir(&state, member));
        orphaned.filter_map(|member| Some((member.clone(), member.silent_since?))).collect()
    }

    /// Returns the owner of a target's limit: the owner of its pool where stages run, since that gateway sends the calls,
    /// and a gateway chosen by the target's id otherwise.
    pub(crate) fn limit_owner(&self, target: &Target) -> Owner {
        let state = self.state.lock();
        if state.pools.contains(&target.pool) {
            drop(state);
            return self.owner(&target.pool);
        }
        let owner = ownership::limit_owner(&target.id, &self.owner_candidates(&state));
        let member = owner.and_then(|owner| state.others.get(&owner).cloned());
        member.map_or(Owner::Local, Owner::Remote)
    }

    /// Returns the `count` gateways that search the crashes of a pool, in their order of rank.
    pub(crate) fn detectors(&self, pool: &str, count: usize) -> Vec<Owner> {
        let state = self.state.lock();
        let others = state.others.values().filter(|member| member.is_alive());
        let names = others.map(|member| &member.name).chain([&self.name]);
        let detectors = rendezvous::rank(pool, names).into_iter().take(count);
        let owner = |name: &Name| {
            state.others.get(name).map_or(Owner::Local, |member| Owner::Remote(member.clone()))
        };
        detectors.map(owner).collect()
    }

    /// Returns the owner of a quarantine, which grants its probes.
    pub(crate) fn quarantine_owner(&self, (pool, suspects): &quarantine::Key) -> Owner {
        let names: Vec<&str> = [pool].into_iter().chain(suspects).map(String::as_str).collect();
        let state = self.state.lock();
        let candidates = self.owner_candidates(&state);
        let owner = ownership::limit_owner(&names.join("\n"), &candidates);
        let member = owner.and_then(|owner| state.others.get(&owner).cloned());
        member.map_or(Owner::Local, Owner::Remote)
    }

    /// Returns which part of the gateways that serve callers this one reaches, itself included.
    pub(crate) fn reachable_part(&self, now: Uptime) -> f64 {
        self.alive_count() as f64 / self.serving_count(now) as f64
    }

    /// Returns the number of gateways that may serve callers, including this one and those that are cut off from it. Those that
    /// have been unresponsive for long and those that are being stopped do not count.
    pub(crate) fn serving_count(&self, now: Uptime) -> usize {
        let is_cut_off = |member: &Member| {
            member.silent_since.is_some_and(|since| now < since + GONE_AFTER) && !member.is_leaving
        };
        let state = self.state.lock();
        let others = state.others.values();
        1 + others.filter(|member| member.is_alive() || is_cut_off(member)).count()
    }

    /// Returns the owner of a pool.
    pub(crate) fn owner(&self, pool: &str) -> Owner {
        self.owners.load().get(pool).map_or(Owner::Local, |member| Owner::Remote(member.clone()))
    }
}
