//! Targets that ask for a pause when they refuse a request.

use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::target_hold::{MAX_HOLD, TargetHold};

const fn ms(ms: u64) -> Uptime {
    Duration::from_millis(ms)
}

fn held(now: u64, time: u64) -> TargetHold {
    let hold = TargetHold::default();
    assert!(hold.hold(ms(now), ms(time)));
    hold
}

#[test]
fn acquire_without_a_hold_is_never_refused() {
    let hold = TargetHold::default();
    assert!((0..5).all(|at| hold.acquire(ms(at))));
    assert_eq!(hold.until(ms(0)), None);
}

#[test]
fn hold_lasts_for_the_time_that_was_named() {
    let hold = held(1_000, 4_000);
    assert!(!hold.acquire(ms(1_000)));
    assert!(!hold.acquire(ms(4_999)));
    assert_eq!(hold.until(ms(2_000)), Some(ms(5_000)));
    assert!(hold.acquire(ms(5_000)));
}

/// All requests that were held would otherwise return in the same moment.
#[test]
fn acquire_after_the_hold_sends_one_request_first() {
    let hold = held(1_000, 4_000);
    assert!(hold.acquire(ms(5_000)));
    assert!(!hold.acquire(ms(5_001)));
    hold.on_answer(ms(5_000));
    assert!((0..5).all(|_| hold.acquire(ms(5_050))));
}

#[test]
fn acquire_first_request_is_not_answered_another_one_tries() {
    let hold = held(1_000, 4_000);
    assert!(hold.acquire(ms(5_000)));
    assert!(!hold.acquire(ms(5_999)));
    assert!(hold.acquire(ms(6_000)));
    hold.cancel();
    assert!(hold.acquire(ms(6_001)));
}

#[test]
fn hold_first_request_is_refused_again() {
    let hold = held(1_000, 4_000);
    assert!(hold.acquire(ms(5_000)));
    assert!(hold.hold(ms(5_020), ms(1_000)));
    assert!(!hold.acquire(ms(6_019)));
    assert!(hold.acquire(ms(6_020)));
}

/// Requests that were under way when the target asked for the pause are answered during it.
#[test]
fn on_answer_of_an_earlier_request_does_not_end_the_hold() {
    let hold = held(1_000, 4_000);
    hold.on_answer(ms(900));
    hold.on_answer(ms(1_001));
    assert!(!hold.acquire(ms(2_000)));
    assert!(hold.acquire(ms(5_000)));
    hold.on_answer(ms(900));
    assert!(!hold.acquire(ms(5_001)));
}

#[test]
fn hold_is_not_shortened_by_another_refusal() {
    let hold = held(1_000, 4_000);
    assert!(!hold.hold(ms(1_010), ms(100)));
    assert_eq!(hold.until(ms(1_200)), Some(ms(5_000)));
}

#[test]
fn hold_has_a_maximum() {
    let hold = held(0, u64::MAX / 2);
    assert_eq!(hold.until(ms(1)), Some(MAX_HOLD));
}
