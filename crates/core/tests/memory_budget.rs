//! Which callers' data a process holds, and what it gives up when the memory is short.

use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::memory_budget::{self, Grant, HolderId, Kind, MemoryBudget, SMALL_BYTES};
use proptest::prelude::*;

const MB: usize = 1024 * 1024;
const KEYED: Kind = Kind::Body { has_key: true };

fn at(ms: u64) -> Uptime {
    Duration::from_millis(ms)
}

fn open(
    budget: &mut MemoryBudget,
    kind: Kind,
    bytes: usize,
    arrived: usize,
    now: Uptime,
) -> HolderId {
    let id = budget.open(kind, now);
    assert_eq!(budget.grow(id, bytes, now), Grant::Granted(vec![]));
    budget.record_arrival(id, arrived);
    id
}

/// Guards against a crowd of unfinished bodies that keeps a faster one out.
#[test]
fn grow_sheds_the_slowest_first() {
    let mut budget = MemoryBudget::new(8 * MB);
    let slow = open(&mut budget, KEYED, 2 * MB, MB, at(0));
    let slower = open(&mut budget, KEYED, 2 * MB, MB / 2, at(0));
    let fast = budget.open(KEYED, at(900));
    budget.record_arrival(fast, MB);
    assert_eq!(budget.grow(fast, 3 * MB, at(1_000)), Grant::Granted(vec![slower]));
    assert!(!budget.complete(slower));
    assert!(budget.complete(slow));
}

/// Guards against two equal bodies of which one is given up for the other only because of its age, again and again.
#[test]
fn grow_slower_body_is_denied() {
    let mut budget = MemoryBudget::new(8 * MB);
    let fast = open(&mut budget, KEYED, 4 * MB, 3 * MB, at(0));
    let slow = open(&mut budget, KEYED, MB, MB / 2, at(0));
    assert_eq!(budget.grow(slow, 4 * MB, at(1_000)), Grant::Denied);
    assert!(budget.complete(fast));
}

/// Guards against ordinary requests that wait behind a crowd of large bodies.
#[test]
fn grow_small_body_is_granted_beside_large_ones() {
    let mut budget = MemoryBudget::new(8 * MB);
    let large = open(&mut budget, KEYED, 6 * MB, 6 * MB, at(0));
    assert!(budget.complete(large));
    let next = budget.open(KEYED, at(0));
    assert_eq!(budget.grow(next, 2 * SMALL_BYTES, at(0)), Grant::Denied);
    assert_eq!(budget.grow(next, SMALL_BYTES, at(0)), Grant::Granted(vec![]));
}

/// Guards against callers without a key that push out customers.
#[test]
fn grow_sheds_bodies_without_a_key_first() {
    let mut budget = MemoryBudget::new(8 * MB);
    let keyless = open(&mut budget, Kind::Body { has_key: false }, 3 * MB, 3 * MB, at(0));
    let keyed = open(&mut budget, KEYED, 3 * MB, 100, at(0));
    let next = budget.open(KEYED, at(100));
    assert_eq!(budget.grow(next, MB, at(200)), Grant::Granted(vec![keyless]));
    assert!(budget.complete(keyed));
}

/// A request whose body is complete may run already.
#[test]
fn grow_complete_body_is_kept() {
    let mut budget = MemoryBudget::new(8 * MB);
    let complete = open(&mut budget, KEYED, 6 * MB, 10, at(0));
    assert!(budget.complete(complete));
    let next = budget.open(Kind::Response, at(1_000));
    assert_eq!(budget.grow(next, MB, at(1_000)), Grant::Denied);
    budget.close(complete);
    assert_eq!(budget.grow(next, MB, at(1_000)), Grant::Granted(vec![]));
    budget.close(next);
    assert_eq!(budget.used(), 0);
}

/// Guards against unfinished bodies that keep all connections.
#[test]
fn shed_one_takes_the_slowest_that_has_not_just_begun() {
    let mut budget = MemoryBudget::new(8 * MB);
    let silent = budget.open(KEYED, at(0));
    let complete = open(&mut budget, KEYED, 100, 100, at(0));
    assert!(budget.complete(complete));
    budget.open(KEYED, at(950));
    assert_eq!(budget.shed_one(at(1_000)), Some(silent));
    assert_eq!(budget.shed_one(at(1_000)), None);
}

/// Guards against memory that is taken for an announcement.
#[test]
fn buffer_capacity_follows_what_has_arrived() {
    let capacity = memory_budget::buffer_capacity;
    assert_eq!(capacity(600, Some(600), 4 * MB), 600);
    assert!(capacity(600, Some(4 * MB), 4 * MB) <= 16 * 1024);
    assert_eq!(capacity(SMALL_BYTES + 1, Some(3 * MB), 4 * MB), 3 * MB);
    assert!(capacity(600, None, 4 * MB) <= 16 * 1024);
    assert_eq!(capacity(3 * MB, None, 4 * MB), 4 * MB);
}

/// Guards against limits with which a deployment cannot serve.
#[test]
fn capacity_leaves_room_for_the_process() {
    assert!(memory_budget::capacity(120.0) >= 8 * 4 * MB);
    assert!(memory_budget::capacity(120.0) <= 50 * MB);
    assert!(memory_budget::capacity(0.0) >= 4 * MB * 4 / 3);
    assert_eq!(memory_budget::max_connections(3_075.0), 1_487);
    assert!(memory_budget::max_connections(0.0) > 0);
}

proptest! {
    /// Guards against charges that are lost or counted twice.
    #[test]
    fn used_stays_within_the_capacity(steps in prop::collection::vec((0..4_u8, 0..6_u64, 0..3 * MB), 0..200)) {
        let mut budget = MemoryBudget::new(8 * MB);
        for (number, (step, id, bytes)) in steps.into_iter().enumerate() {
            let now = at(number as u64 * 37);
            match step {
                0 => { budget.open(KEYED, now); }
                1 => { budget.grow(id, bytes, now); }
                2 => { budget.complete(id); }
                _ => budget.close(id),
            }
            prop_assert!(budget.used() <= budget.capacity());
        }
        (0..200).for_each(|id| budget.close(id));
        prop_assert_eq!(budget.used(), 0);
    }
}
