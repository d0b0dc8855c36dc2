//! Model of the grants for a target with a limit, with three gateways that lose sight of each other, are cut off and
//! restart. Time passes in ticks; in each, every gateway may send all that it can get from the owner in its view.
//!
//! The bound counts the requests of gateways that were neither cut off nor restarted.

use crate::search::{self, Exploration};

const GATEWAYS: usize = 3;
/// Length of the window of the bound, in ticks.
const WINDOW: u8 = 4;
/// Ticks that are explored; a bucket is full after three.
const TICKS: u8 = 7;
/// Requests that may reach the target in a window, at a limit of one in a tick: one and a half times the limit, and five.
const MAX_REQUESTS: u16 = 11;
/// Tokens of one request.
const REQUEST: u16 = 3;
/// Tokens that an owner that reaches all gateways gains in a tick; about seven tenths of the limit.
const RATE: u16 = 2;
/// Capacity of an owner's bucket, in tokens.
const CAPACITY: u16 = 2 * REQUEST;

/// A rule of the protocol that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// One gateway grants the requests of all that it reaches, instead of each its own.
    OneOwner,
    /// An owner grants at the rate of the part of the gateways that it reaches.
    ReachablePart,
    /// An owner that does not know what was granted before starts with an empty bucket.
    EmptyBucket,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    /// Whether it considers each gateway alive.
    sees: [bool; GATEWAYS],
    /// Tokens of its bucket; none before it has been asked.
    tokens: Option<u16>,
    is_cut_off: bool,
    /// Whether it was cut off or restarted, and its requests do not count.
    is_excused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: u8,
    gateways: [Gateway; GATEWAYS],
    /// First tick of the window of the bound, and the requests in it so far.
    window: Option<(u8, u16)>,
    cuts_left: u8,
    restarts_left: u8,
    /// Times that a gateway may still take another one that is alive for dead.
    mistakes_left: u8,
}

impl State {
    fn is_violated(&self) -> bool {
        self.window.is_some_and(|(_, sent)| sent > MAX_REQUESTS)
    }
}

/// Faults that may happen in an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Gateways that can reach each other lose sight of each other three times.
    Views,
    /// One gateway is cut off, and one restarts.
    Cut,
    /// Gateways restart four times, and one loses sight of another.
    Restarts,
}

/// Explores all states up to the first violation, without the `omitted` rule.
pub fn explore(scope: Scope, omitted: Option<Rule>) -> Exploration {
    let actions = Actions { omitted };
    let (mistakes_left, cuts_left, restarts_left) = match scope {
        Scope::Views => (3, 0, 0),
        Scope::Cut => (0, 1, 1),
        Scope::Restarts => (1, 0, 4),
    };
    let gateway =
        Gateway { sees: [true; GATEWAYS], tokens: None, is_cut_off: false, is_excused: false };
    let start = State {
        tick: 0,
        gateways: [gateway; GATEWAYS],
        window: None,
        cuts_left,
        restarts_left,
        mistakes_left,
    };
    let result =
        search::breadth_first(start, |state| actions.successors(state), State::is_violated);
    result.into_exploration(|_| Some("more requests than the limit allows"))
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
        let ends = state.window.map_or(TICKS, |(first, _)| first + WINDOW).min(TICKS);
        if state.tick + 1 < ends {
            next.push(self.pass_tick(state));
        }
        if state.window.is_none() && state.tick + WINDOW <= TICKS {
            next.push(State { window: Some((state.tick, 0)), ..state.clone() });
        }
        for gateway in 0..GATEWAYS {
            next.extend(self.send(state, gateway));
            self.change_view(state, gateway, &mut next);
            next.extend(cut_off(state, gateway));
            next.extend(restart(state, gateway));
        }
        next
    }

    /// All buckets that are in use gain tokens.
    fn pass_tick(&self, state: &State) -> State {
        let mut next = state.clone();
        next.tick += 1;
        for gateway in &mut next.gateways {
            let reached = gateway.sees.iter().filter(|sees| **sees).count() as u16;
            let part = if self.is_enforced(Rule::ReachablePart) { reached } else { 3 };
            let gained = (RATE * part).div_ceil(GATEWAYS as u16);
            gateway.tokens = gateway.tokens.map(|tokens| (tokens + gained).min(CAPACITY));
        }
        next
    }

    /// A gateway sends all requests that the owner in its view grants.
    fn send(&self, state: &State, gateway: usize) -> Option<State> {
        let sees = state.gateways[gateway].sees;
        let owner = if self.is_enforced(Rule::OneOwner) {
            (0..GATEWAYS).find(|other| sees[*other])?
        } else {
            gateway
        };
        let is_separated = state.gateways[gateway].is_cut_off || state.gateways[owner].is_cut_off;
        if owner != gateway && is_separated {
            return None;
        }
        let mut next = state.clone();
        let first = if self.is_enforced(Rule::EmptyBucket) { 0 } else { CAPACITY };
        let tokens = next.gateways[owner].tokens.get_or_insert(first);
        let count = *tokens / REQUEST;
        *tokens -= count * REQUEST;
        if let Some((_, sent)) = &mut next.window
            && !state.gateways[gateway].is_excused
        {
            *sent += count;
        }
        (next != *state).then_some(next)
    }

    /// A gateway takes another for dead, or sees one again that it can reach.
    fn change_view(&self, state: &State, gateway: usize, next: &mut Vec<State>) {
        for other in (0..GATEWAYS).filter(|other| *other != gateway) {
            let is_separated =
                state.gateways[gateway].is_cut_off || state.gateways[other].is_cut_off;
            let mut to = state.clone();
            let sees = &mut to.gateways[gateway].sees[other];
            *sees = !*sees;
            if *sees {
                if is_separated {
                    continue;
                }
            } else if !is_separated {
                let Some(left) = state.mistakes_left.checked_sub(1) else { continue };
                to.mistakes_left = left;
            }
            next.push(to);
        }
    }
}

fn cut_off(state: &State, gateway: usize) -> Option<State> {
    let mut next = state.clone();
    next.cuts_left = state.cuts_left.checked_sub(1)?;
    next.gateways[gateway].is_cut_off = true;
    next.gateways[gateway].is_excused = true;
    Some(next)
}

/// A restarted gateway has lost its bucket.
fn restart(state: &State, gateway: usize) -> Option<State> {
    let mut next = state.clone();
    next.restarts_left = state.restarts_left.checked_sub(1)?;
    next.gateways[gateway].tokens = None;
    next.gateways[gateway].is_excused = true;
    Some(next)
}
