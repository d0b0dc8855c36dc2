//! Lists of evacuated data centres from the store and from other gateways.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::evacuation::EvacuationList;
use marigold_core::ids::{Name, Uptime};
use proptest::prelude::*;

const HOLD: Duration = Duration::from_secs(6);

fn at(seconds: u64) -> Uptime {
    Duration::from_secs(seconds)
}

fn names(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn list(evacuated: &[&str]) -> EvacuationList {
    let mut list = EvacuationList::default();
    list.replace(names(evacuated), (1, 100), at(10), at(10), HOLD);
    list
}

/// Guards against requests to a data centre whose evacuation a slower answer had not seen yet.
#[test]
fn replace_ignores_an_answer_of_an_earlier_version() {
    let mut list = list(&["north"]);
    list.replace(names(&[]), (1, 99), at(11), at(11), HOLD);
    list.apply(vec![("north".to_owned(), false)], (1, 99), at(11));
    list.merge(names(&[]), (0, 500), at(11), at(11), HOLD);
    assert_eq!(list.evacuated(at(12)), names(&["north"]));
}

/// Guards against a data centre that stays empty after the operator took its evacuation back.
#[test]
fn apply_removed_evacuation_ends_at_once() {
    let mut list = list(&["north", "south"]);
    list.apply(vec![("north".to_owned(), false), ("west".to_owned(), true)], (1, 101), at(11));
    assert_eq!(list.evacuated(at(11)), names(&["south", "west"]));
    assert_eq!(list.age(at(13)), Some(Duration::from_secs(2)));
}

/// Guards against requests to an evacuated data centre while a restored store lacks its entry.
#[test]
fn replace_restored_store_keeps_missing_evacuations_for_a_while() {
    let mut list = list(&["north", "south"]);
    list.replace(names(&["south"]), (2, 50), at(11), at(11), HOLD);
    assert_eq!(list.evacuated(at(16)), names(&["north", "south"]));
    assert_eq!(list.evacuated(at(17)), names(&["south"]));
    assert_eq!(list.held_until(), Some(at(17)));
}

/// The operator may take an evacuation back before it was written again.
#[test]
fn apply_removal_ends_a_held_evacuation() {
    let mut list = list(&["north"]);
    list.replace(names(&[]), (2, 50), at(11), at(11), HOLD);
    list.apply(vec![("north".to_owned(), true)], (2, 51), at(12));
    list.apply(vec![("north".to_owned(), false)], (2, 52), at(13));
    assert_eq!(list.evacuated(at(13)), names(&[]));
}

/// A gateway without the store learns evacuations, and their ends, from others.
#[test]
fn merge_later_list_of_a_gateway_is_adopted() {
    let mut list = EvacuationList::default();
    assert_eq!(list.age(at(10)), None);
    list.merge(names(&["north"]), (1, 100), at(9), at(10), HOLD);
    assert_eq!(list.evacuated(at(10)), names(&["north"]));
    list.merge(names(&[]), (1, 120), at(12), at(13), HOLD);
    assert_eq!(list.evacuated(at(13)), names(&[]));
    list.merge(names(&[]), (1, 120), at(11), at(14), HOLD);
    assert_eq!(list.age(at(14)), Some(Duration::from_secs(2)));
}

proptest! {
    /// Two gateways that read the same history in parts, from the store and from each other and in any order of arrival,
    /// agree with the store once both have its last version.
    #[test]
    fn merge_parts_of_a_history_in_any_order_agrees_with_the_store(
        writes in prop::collection::vec((0_usize..3, any::<bool>()), 1..12),
        steps in prop::collection::vec((0_usize..12, any::<bool>(), any::<bool>()), 0..40),
    ) {
        let centres = ["north", "south", "west"];
        let mut states = vec![BTreeSet::new()];
        for (centre, is_evacuated) in &writes {
            let mut next: BTreeSet<Name> = states.last().cloned().unwrap();
            let name = centres[*centre].to_owned();
            if *is_evacuated { next.insert(name); } else { next.remove(&name); }
            states.push(next);
        }
        let mut gateways = [EvacuationList::default(), EvacuationList::default()];
        let end = states.len() - 1;
        let last = [(end, false, false), (end, true, false)];
        for (number, (write, is_second, is_relayed)) in steps.into_iter().chain(last).enumerate() {
            let now = at(number as u64);
            let write = write.min(end);
            let (gateway, other) = (usize::from(is_second), usize::from(!is_second));
            if is_relayed {
                let from = gateways[other].clone();
                if let Some(version) = from.version() {
                    gateways[gateway].merge(from.listed().clone(), version, now, now, HOLD);
                }
            } else if let Some((_, seen)) = gateways[gateway].version().filter(|_| number % 2 == 0) {
                let from = (seen as usize - 1).min(write);
                let changes = writes[from..write].iter();
                let changes = changes.map(|(centre, on)| (centres[*centre].to_owned(), *on));
                gateways[gateway].apply(changes.collect(), (1, 1 + write as u64), now);
            } else {
                gateways[gateway].replace(states[write].clone(), (1, 1 + write as u64), now, now, HOLD);
            }
            for list in &gateways {
                if let Some((_, seen)) = list.version() {
                    prop_assert_eq!(list.evacuated(now), states[seen as usize - 1].clone());
                }
            }
        }
        prop_assert_eq!(gateways[0].evacuated(at(99)), states[end].clone());
        prop_assert_eq!(gateways[1].evacuated(at(99)), states[end].clone());
    }
}
