//! What a request's remaining time tells of the time before it.

use std::time::Duration;

use marigold_core::patience::UsualPatience;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn waited_first_attempts_have_not() {
    let mut usual = UsualPatience::default();
    assert!((0..50).all(|i| usual.waited(ms(8_000 - i % 3)).is_zero()));
}

/// A burst: half of the requests come back after a refusal, and are told from the first attempts.
#[test]
fn waited_burst_repeats_are_told_from_first_attempts() {
    let mut usual = UsualPatience::default();
    for _ in 0..200 {
        assert_eq!(usual.waited(ms(8_000)), Duration::ZERO);
        assert_eq!(usual.waited(ms(6_500)), ms(1_500));
    }
}

/// Callers with a patience of their own each: nothing is told from it.
#[test]
fn waited_unlike_callers_are_not_judged() {
    let mut usual = UsualPatience::default();
    let told = (0..2_000).map(|i| usual.waited(ms(2_000 + i * 37 % 6_000))).skip(500);
    let judged = told.filter(|waited| !waited.is_zero()).count();
    assert!(judged < 300, "{judged} of 1500");
}

#[test]
fn waited_one_patient_caller_is_an_exception() {
    let mut usual = UsualPatience::default();
    usual.waited(ms(60_000));
    let told: Vec<Duration> = (0..400).map(|_| usual.waited(ms(8_000))).collect();
    assert!(told[200..].iter().all(Duration::is_zero));
    assert_eq!(usual.waited(ms(7_000)), ms(1_000));
}
