//! Configuration: one head, deltas that join on, buckets that stay as long as a reader may need them.

use std::collections::{BTreeMap, BTreeSet};

use marigold_core::head::{self, Adoption, Head, ItemChange, Items, Replica};
use proptest::prelude::*;

fn change() -> impl Strategy<Value = ItemChange> {
    (0..40_u8, proptest::option::of("[a-z]{0,12}"))
        .prop_map(|(item, value)| (format!("customer/{item}"), value))
}

/// Heads and items after each change, and the buckets of a store that collects garbage.
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
        behind.adopt_whole(at as u64, states[at].1.clone());
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
        prop_assert!(buckets.keys().all(|hash| referenced.contains(hash)), "a bucket that nobody needs was left");
    }
}

#[test]
fn last_change_names_winner() {
    let change = |value: &str| vec![("in_force/preset".to_owned(), Some(value.to_owned()))];
    let first = Head::default().propose(&Items::new(), change("ordinary"), "one").head;
    let second = first.propose(&Items::new(), change("peak"), "two").head;
    assert_eq!(
        second.last_change_of("in_force/preset", 1).map(|entry| entry.by.as_str()),
        Some("two")
    );
    assert_eq!(second.last_change_of("in_force/preset", 2), None);
}
