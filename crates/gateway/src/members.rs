//! The other gateways, and which of them gathers the calls to which pool.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use marigold_core::ids::{Incarnation, Name, Uptime};
use marigold_core::ownership::{self, Candidate};
use marigold_link::peer::Peer;
use marigold_link::security::Security;
use marigold_schema::messages::{GatewayEntry, GatewayFacts};
use marigold_schema::settings::GatewaySettings;
use parking_lot::Mutex;
use rand::seq::IteratorRandom as _;

/// Unanswered questions after which a gateway is taken as gone.
const MISSED_POLL_LIMIT: u32 = 2;
/// Gateways that watch the configuration for all; one may fail without a gap.
const WATCHER_COUNT: usize = 2;
/// Gateways never heard that are asked at a time: all of the deployments' within a second or two.
const MAX_UNREACHED_POLLED: usize = 8;

/// Another gateway.
#[derive(Clone)]
pub(crate) struct Member {
    pub(crate) name: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) peer: Arc<Peer>,
    weight: f64,
    missed_polls: u32,
    is_leaving: bool,
    is_settled: bool,
    /// Whether it ever answered; until then only its entry in the store tells whether it is settled.
    has_answered: bool,
}

impl Member {
    fn is_alive(&self) -> bool {
        self.missed_polls < MISSED_POLL_LIMIT && !self.is_leaving
    }

    fn candidate(&self) -> Candidate {
        let (name, weight) = (self.name.clone(), self.weight);
        Candidate { name, weight, is_settled: self.is_settled }
    }
}

/// Who gathers the calls to a pool.
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
    /// Whether this gateway is settled.
    is_settled: bool,
}

/// All gateways.
pub(crate) struct Members {
    name: Name,
    weight: f64,
    started: Uptime,
    security: Arc<Security>,
    state: Mutex<State>,
    /// Pools that another gateway owns; all others are this gateway's own.
    owners: ArcSwap<BTreeMap<Name, Member>>,
}

impl Members {
    /// Knows only this gateway; it is settled from the start when the whole system starts for the first time.
    pub(crate) fn new(settings: &GatewaySettings, security: Arc<Security>, now: Uptime) -> Self {
        let state = State { is_settled: settings.first_start, ..State::default() };
        Self {
            name: settings.name.clone(),
            weight: settings.weight,
            started: now,
            security,
            state: Mutex::new(state),
            owners: ArcSwap::default(),
        }
    }

    /// Whether this gateway takes on work for others.
    pub(crate) fn is_settled(&self) -> bool {
        self.state.lock().is_settled
    }

    /// Counts this gateway as settled once it has run long enough.
    pub(crate) fn settle(&self, now: Uptime) {
        let mut state = self.state.lock();
        if !state.is_settled && now >= self.started + ownership::SETTLING_TIME {
            tracing::info!("this gateway takes on work for others from now on");
            state.is_settled = true;
            self.reassign_pools(&state);
        }
    }

    /// Takes in a gateway; one that is known in this incarnation stays as it is.
    pub(crate) fn put(&self, name: Name, entry: &GatewayEntry) {
        let GatewayEntry { incarnation, weight, settled: is_settled, .. } = *entry;
        let addr: SocketAddr = match entry.address.parse() {
            Ok(addr) => addr,
            Err(err) => {
                tracing::warn!(member = name, %err, "address of a gateway cannot be read");
                return;
            }
        };
        let mut state = self.state.lock();
        let is_known = state
            .others
            .get(&name)
            .is_some_and(|known| known.incarnation == incarnation && known.peer.addr() == addr);
        if name == self.name || is_known {
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
            is_leaving: false,
            is_settled,
            has_answered: false,
        };
        state.others.insert(name, member);
        self.reassign_pools(&state);
    }

    /// Takes out a gateway.
    pub(crate) fn remove(&self, name: &str) {
        let mut state = self.state.lock();
        if state.others.remove(name).is_some() {
            tracing::info!(member = name, "gateway left");
            self.reassign_pools(&state);
        }
    }

    /// All other gateways.
    pub(crate) fn others(&self) -> Vec<Member> {
        self.state.lock().others.values().cloned().collect()
    }

    /// Gateways that answer, this one included.
    pub(crate) fn alive_count(&self) -> usize {
        1 + self.state.lock().others.values().filter(|member| member.is_alive()).count()
    }

    /// Notes that a gateway answered.
    pub(crate) fn on_facts(&self, facts: &GatewayFacts) {
        self.update(&facts.name, "gateway answers", |member| {
            member.missed_polls = 0;
            member.is_leaving = facts.leaving;
            member.is_settled = facts.entry.settled;
            member.has_answered = true;
        });
    }

    /// Notes that a gateway left a question unanswered.
    pub(crate) fn on_poll_failure(&self, name: &str) {
        self.update(name, "gateway does not answer", |member| {
            member.missed_polls = member.missed_polls.saturating_add(1);
        });
    }

    /// Notes that a gateway did not take in a stage, so that another is asked at once.
    pub(crate) fn on_stage_failure(&self, name: &str) {
        self.update(name, "gateway does not take stages", |member| {
            member.missed_polls = member.missed_polls.max(MISSED_POLL_LIMIT);
        });
    }

    fn update(&self, name: &str, message: &'static str, change: impl FnOnce(&mut Member)) {
        let mut state = self.state.lock();
        let Some(member) = state.others.get_mut(name) else { return };
        let before = (member.is_alive(), member.is_settled);
        change(member);
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

    /// Shares out the pools anew.
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

    fn reassign_pools(&self, state: &State) {
        let owners = ownership::owners(&state.pools, &self.candidates(state, Member::is_alive));
        let others = owners
            .into_iter()
            .filter_map(|(pool, owner)| Some((pool, state.others.get(owner.as_str())?.clone())));
        self.owners.store(Arc::new(others.collect()));
    }

    /// The gateways whose state matters here: owners of pools, those that would own one if they answered, watchers,
    /// some that were never heard, and one more by chance, so that word of everything gets around.
    pub(crate) fn to_poll(&self) -> Vec<Member> {
        let state = self.state.lock();
        let all = self.candidates(&state, |_| true);
        let alive = self.candidates(&state, Member::is_alive);
        let mut names: BTreeSet<Name> = [&all, &alive]
            .into_iter()
            .flat_map(|candidates| ownership::owners(&state.pools, candidates).into_values())
            .chain(ownership::watchers(&alive, WATCHER_COUNT))
            .chain(ownership::watchers(&all, WATCHER_COUNT))
            .collect();
        let unreached = state.others.values().filter(|member| !member.has_answered);
        names.extend(unreached.take(MAX_UNREACHED_POLLED).map(|member| member.name.clone()));
        names.extend(state.others.keys().choose(&mut rand::rng()).cloned());
        names.iter().filter_map(|name| state.others.get(name).cloned()).collect()
    }

    /// Whether this gateway watches the configuration for the others.
    pub(crate) fn is_watcher(&self) -> bool {
        let alive = self.candidates(&self.state.lock(), Member::is_alive);
        ownership::watchers(&alive, WATCHER_COUNT).contains(&self.name)
    }

    /// Who gathers the calls to a pool.
    pub(crate) fn owner(&self, pool: &str) -> Owner {
        self.owners.load().get(pool).map_or(Owner::Local, |member| Owner::Remote(member.clone()))
    }
}
