//! Tests of the configuration head: conflicts, deltas, and retention of buckets that a reader may need.

use std::collections::{BTreeMap, BTreeSet};

use marigold_core::head::{self, Adoption, Conflict, Head, ItemChange, Items, Replica};
use proptest::prelude::*;

fn change() -> impl Strategy<Value = ItemChange> {
    (0..40_u8, proptest::option::of("[a-z]{0,12}"))
        .prop_map(|(item, value)| (format!("customer/{item}"), value))
}

/// Returns the heads and items after each change, and the buckets of a store that deletes garbage.
fn history(changes: &[ItemChange]) -> (Vec<(Head, Items)>, BTreeMap<String, String>) {
    let (mut head, mut items) = (Head::default(), Items::new());
    let (mut states, mut buckets) = (vec![(head.clone(), items.clone())], BTreeMap::new());
    for change in changes {
        let proposal = head.propose(&items, vec![change.clone()], "operator");
        buckets.extend(proposal.buckets);
        head::apply(&mut items, [change.clone()]);
        head = proposal.head;
        for hash in proposal.garbage {
            buckets.remove(&hash);
        }
        states.push((head.clone(), items.clone()));
    }
    (states, buckets)
}

proptest! {
    #[test]
    fn adopt_any_order(changes in proptest::collection::vec(change(), 1..100), order in proptest::collection::vec((0..100_usize, 0..100_usize), 1..60)) {
        let (states, _) = history(&changes);
        let mut replica = Replica::default();
        for (from, to) in order {
            let (from, to) = (from % states.len(), to % states.len());
            let before = replica.revision;
            let Some(delta) = states[to].0.delta(from as u64, 0) else { continue };
            let adoption = replica.adopt(&delta);
            prop_assert!(replica.revision >= before);
            prop_assert_eq!(adoption == Adoption::Gap, from as u64 > before && to as u64 > before);
            prop_assert_eq!(&replica.items, &states[replica.revision as usize].1);
        }
    }

    #[test]
    fn delta_from_peer(changes in proptest::collection::vec(change(), 1..100), at in 0..100_usize) {
        let (states, _) = history(&changes);
        let at = at % states.len();
        let mut peer = Replica::default();
        for (revision, (head, _)) in states.iter().enumerate().skip(1) {
            peer.adopt(&head.delta(revision as u64 - 1, 0).unwrap());
        }
        let mut behind = Replica::default();
        behind.adopt_snapshot(at as u64, states[at].1.clone());
        behind.adopt(&peer.delta(behind.revision, 0));
        prop_assert_eq!(behind.items, peer.items);
    }

    #[test]
    fn buckets_of_head_are_kept(changes in proptest::collection::vec(change(), 1..150)) {
        let (states, buckets) = history(&changes);
        let (head, items) = states.last().unwrap();
        let read: Items = head.buckets.iter().filter(|hash| !hash.is_empty())
            .flat_map(|hash| serde_json::from_str::<Items>(&buckets[hash]).unwrap()).collect();
        prop_assert_eq!(&read, items);
        prop_assert!(head.history.len() <= head::HISTORY_REVISIONS);
        let referenced: BTreeSet<&String> = head.buckets.iter().chain(head.history.iter().flat_map(|entry| &entry.replaced)).collect();
        prop_assert!(buckets.keys().all(|hash| referenced.contains(hash)), "an unreferenced bucket was kept");
    }
}

fn preset(value: &str) -> Vec<ItemChange> {
    vec![("in_force/preset".to_owned(), Some(value.to_owned()))]
}

#[test]
fn conflict_names_earlier_change() {
    let first = Head::default().propose(&Items::new(), preset("ordinary"), "one").head;
    let second = first.propose(&Items::new(), preset("peak"), "two").head;
    let conflict = second.check_conflicts(1, &preset("maintenance")).unwrap_err();
    assert_eq!(
        conflict,
        Conflict::Item { key: "in_force/preset".to_owned(), revision: 2, by: "two".to_owned() }
    );
    assert_eq!(
        second.check_conflicts(1, &preset("peak")),
        Ok(()),
        "the same change is no conflict"
    );
    assert_eq!(second.check_conflicts(2, &preset("maintenance")), Ok(()));
}

#[test]
fn conflict_base_before_history() {
    let mut head = Head::default();
    let total = head::HISTORY_REVISIONS as u64 + 10;
    for i in 0..total {
        let change = vec![(format!("customer/{i}"), Some("{}".to_owned()))];
        head = head.propose(&Items::new(), change, "one").head;
    }
    // Customer 0 was changed in revision 1, which the history does not contain.
    let stale = vec![("customer/0".to_owned(), Some("{\"weight\":2}".to_owned()))];
    assert_eq!(head.check_conflicts(0, &stale), Err(Conflict::TooOld { base: 0, oldest: 10 }));
    assert_eq!(head.check_conflicts(10, &stale), Ok(()));
}

#[test]
fn history_drops_change_above_size_limit() {
    let large = (0..2_000).map(|i| (format!("customer/{i}"), Some("x".repeat(100)))).collect();
    let head = Head::default().propose(&Items::new(), large, "one").head;
    assert!(head.history.is_empty());
    assert_eq!(head.delta(0, 0), None, "a reader without the change has to read the buckets");
    assert!(serde_json::to_string(&head).unwrap().len() < head::HISTORY_BYTES);
}
