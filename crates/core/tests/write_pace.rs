//! Pace of writes to a store whose limit may differ from the expected one.

use std::time::Duration;

use marigold_core::write_pace::WritePace;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Delays after a refusal; gateways draw theirs from this range.
const RETRY_DELAY_MS: std::ops::Range<u64> = 300..600;

/// Sends writes for a minute from `writers` processes to a store that takes `limit` a second, in buckets of one second, where
/// `expected` are expected; returns how many it accepted and refused.
fn play(writers: usize, limit: usize, expected: f64) -> (usize, usize) {
    let mut writers: Vec<(Duration, WritePace)> = (0..writers)
        .map(|writer| (Duration::from_millis(writer as u64), WritePace::default()))
        .collect();
    let count = writers.len();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut accepted, mut refused, mut bucket) = (0, 0, (0, 0));
    loop {
        let (next, pace) = writers.iter_mut().min_by_key(|(next, _)| *next).unwrap();
        if *next >= Duration::from_secs(60) {
            return (accepted, refused);
        }
        if bucket.0 != next.as_secs() {
            bucket = (next.as_secs(), 0);
        }
        bucket.1 += 1;
        if bucket.1 <= limit {
            accepted += 1;
            pace.on_accepted();
        } else {
            refused += 1;
            pace.on_refused();
            *next += Duration::from_millis(rng.random_range(RETRY_DELAY_MS));
        }
        *next += pace.interval(count, expected);
    }
}

#[test]
fn interval_expected_rate_is_shared() {
    assert_eq!(WritePace::default().interval(40, 200.0), Duration::from_millis(200));
    let (accepted, refused) = play(40, 200, 200.0);
    assert_eq!(refused, 0);
    assert!(accepted >= 60 * 200 * 9 / 10, "{accepted}");
}

#[test]
fn interval_adapts_to_a_store_with_a_lower_limit() {
    for (writers, limit) in [(6, 20), (40, 50), (330, 100)] {
        let (accepted, refused) = play(writers, limit, 200.0);
        assert!(refused * 4 <= accepted, "{writers} writers: {refused} refused of {accepted}");
        assert!(accepted * 2 >= 60 * limit, "{writers} writers: {accepted} accepted");
    }
}

#[test]
fn interval_recovers_when_the_store_accepts_more() {
    let mut pace = WritePace::default();
    (0..10).for_each(|_| pace.on_refused());
    assert!(pace.interval(1, 200.0) >= Duration::from_millis(160));
    (0..100).for_each(|_| pace.on_accepted());
    assert_eq!(pace.interval(1, 200.0), Duration::from_millis(5));
}
