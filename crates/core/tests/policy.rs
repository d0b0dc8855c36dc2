//! Tests of cost accounting, burn rates, retry budgets, shares, fan-out and links.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::burn::{self, BurnTracker};
use marigold_core::cost::{Account, Accounts, Total, Worth};
use marigold_core::fanout::{self, Peer};
use marigold_core::rendezvous;
use marigold_core::retry::RetryBudget;
use marigold_core::shares::Shares;
use proptest::prelude::*;

fn account(customer: u8, stage: u8, worth: bool) -> Account {
    Account {
        customer: format!("c{customer}"),
        pipeline: "p".to_owned(),
        stage: format!("s{stage}"),
        target: "t".to_owned(),
        worth: if worth { Worth::Useful } else { Worth::Retried },
    }
}

proptest! {
    #[test]
    fn cost_parts_equal_total(charges in proptest::collection::vec((0..4_u8, 0..4_u8, any::<bool>(), 0..1_000_u64), 0..100)) {
        let mut accounts = Accounts::default();
        for (customer, stage, worth, micros) in &charges {
            accounts.charge(account(*customer, *stage, *worth), Total { attempts: 1, tokens: 2, micros: *micros });
        }
        let expected: u64 = charges.iter().map(|(_, _, _, micros)| micros).sum();
        prop_assert_eq!(accounts.sum().micros, expected);
        for parts in [accounts.by(|account| account.customer.clone()), accounts.by(|account| account.stage.clone())] {
            prop_assert_eq!(parts.values().map(|total| total.micros).sum::<u64>(), expected);
        }
        // Lines that a writer writes twice replace each other, so a reader adds each writer once.
        let mut sum = Accounts::default();
        sum.add_lines(&accounts.lines());
        prop_assert_eq!(sum.sum(), accounts.sum());
    }

    #[test]
    fn shares_admitted_are_released(steps in proptest::collection::vec((0..5_u8, any::<bool>()), 0..300)) {
        let mut shares = Shares::new(8);
        let mut held: Vec<String> = Vec::new();
        for (customer, enters) in steps {
            let customer = format!("c{customer}");
            if enters {
                if shares.admit(&customer, 1) {
                    held.push(customer);
                }
            } else if let Some(customer) = held.pop() {
                shares.release(&customer);
            }
            prop_assert_eq!(shares.in_flight() as usize, held.len());
            prop_assert!(held.len() <= 8 * 2);
        }
    }
}

#[test]
fn retry_budget_is_share_of_successes() {
    let budget = RetryBudget::default();
    while budget.withdraw() {}
    (0..100).for_each(|_| budget.deposit(0.1));
    let granted =
        std::iter::repeat_with(|| budget.withdraw()).take_while(|granted| *granted).count();
    assert_eq!(granted, 10);
}

#[test]
fn burn_pages_when_both_windows_burn() {
    let mut burn = BurnTracker::default();
    let now = Duration::from_secs(7_200);
    for i in 0..1_000 {
        let cause = (i % 5 == 0).then_some("generate: late");
        burn.record("p", "c", cause, now);
    }
    let report = burn.report(|_| 0.99, now);
    let rate = report[0].windows[0].rate;
    assert!(
        (rate - 20.0).abs() < 1e-9,
        "20% bad requests against an objective of 99% are a burn rate of 20: {rate}"
    );
    assert!(report[0].page);
    assert_eq!(report[0].causes, vec![("generate: late".to_owned(), 200)]);
    let merged = burn::merge([report.clone(), report]);
    assert_eq!((merged[0].windows[0].bad, merged[0].windows[0].rate), (400, rate));
}

fn peers(count: usize, centres: usize) -> Vec<Peer> {
    (0..count)
        .map(|i| Peer { name: format!("e{i}"), data_centre: format!("dc{}", i % centres) })
        .collect()
}

#[test]
fn fanout_reaches_all_with_failed_relay() {
    let all = peers(330, 14);
    for revision in 0..20 {
        let sender = &all[revision as usize];
        let others: Vec<Peer> = all.iter().filter(|peer| *peer != sender).cloned().collect();
        let mut relays: Vec<Peer> =
            fanout::first_hop(&others, revision).into_iter().cloned().collect();
        assert!(relays.len() <= 28, "{} sends at the accepting entry", relays.len());
        // One relay of the first data centre has failed.
        relays.remove(0);
        let mut reached: BTreeSet<Peer> = relays.iter().cloned().collect();
        for relay in &relays {
            let relay_peers: Vec<Peer> =
                others.iter().filter(|peer| *peer != relay).cloned().collect();
            reached
                .extend(fanout::second_hop(&relay.data_centre, &relay_peers).into_iter().cloned());
        }
        assert_eq!(reached.len(), others.len(), "revision {revision}");
    }
}

#[test]
fn fanout_watchers_per_data_centre() {
    let all = peers(330, 14);
    let watchers = all.iter().filter(|entry| {
        let others: Vec<Peer> = all.iter().filter(|peer| peer != entry).cloned().collect();
        fanout::is_watcher(entry, &others)
    });
    assert_eq!(watchers.count(), 14 * fanout::RELAYS_PER_DATA_CENTRE);
}

#[test]
fn rendezvous_links_unchanged_when_entry_removed() {
    let entries: Vec<String> = (0..330).map(|i| format!("e{i}")).collect();
    let fewer: Vec<String> = entries[1..].to_vec();
    let targets: Vec<String> = (0..1_000).map(|i| format!("t{i}")).collect();
    let links = |entries: &[String]| -> BTreeSet<(String, String)> {
        targets
            .iter()
            .flat_map(|target| {
                let linked =
                    entries.iter().filter(|entry| rendezvous::is_linked(target, entry, entries, 3));
                linked.map(|entry| (target.clone(), entry.clone())).collect::<Vec<_>>()
            })
            .collect()
    };
    let (before, after) = (links(&entries), links(&fewer));
    assert_eq!(before.len(), 3_000);
    let kept = before.intersection(&after).count();
    let of_removed = before.iter().filter(|(_, entry)| entry == "e0").count();
    assert_eq!(kept, 3_000 - of_removed, "only the links of the removed entry are replaced");
}
