//! Decisions on hedged requests.

use std::time::Duration;

use marigold_core::hedge::{self, FirstByteTimes, HedgeBudget};
use marigold_core::ids::Uptime;
use marigold_core::router::{Candidate, LoadSnapshot};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn target(total: u32, ejected: bool) -> Candidate {
    Candidate {
        load: LoadSnapshot { own: total, total, ejected, ..LoadSnapshot::default() },
        concurrency: 10,
        round_trip: Duration::ZERO,
        has_prefix: false,
    }
}

/// Guards against hedges on the grounds of a few answers.
#[test]
fn late_after_needs_samples() {
    let mut times = FirstByteTimes::default();
    for _ in 0..19 {
        times.observe(ms(20), ms(0));
        assert_eq!(times.late_after(ms(0)), None);
    }
    times.observe(ms(20), ms(0));
    assert!(times.late_after(ms(0)).is_some());
}

/// Guards against hedges of usual requests: one in twenty is above the quantile.
#[test]
fn late_after_is_the_quantile() {
    let mut times = FirstByteTimes::default();
    (1..=1_000).for_each(|sample| times.observe(ms(sample), ms(0)));
    let late = times.late_after(ms(0)).unwrap();
    assert!((ms(949)..=ms(1_000)).contains(&late), "{late:?}");
}

/// Guards against a time that is too short for good after the targets have become slower.
#[test]
fn late_after_follows_the_targets() {
    let mut times = FirstByteTimes::default();
    (0..1_000).for_each(|_| times.observe(ms(20), ms(0)));
    (0..200).for_each(|_| times.observe(ms(200), Uptime::from_secs(30)));
    assert!(times.late_after(Uptime::from_secs(30)).unwrap() >= ms(200));
}

/// Guards against hedges on the grounds of samples from long ago.
#[test]
fn late_after_forgets() {
    let mut times = FirstByteTimes::default();
    (0..1_000).for_each(|_| times.observe(ms(20), ms(0)));
    assert!(times.late_after(Uptime::from_secs(120)).is_some());
    assert_eq!(times.late_after(Uptime::from_secs(400)), None);
    assert_eq!(times.late_after(Uptime::from_secs(10_000)), None);
}

/// Guards against a gateway of a large fleet that never hedges: one request of the route every two seconds is enough.
#[test]
fn late_after_needs_few_requests_a_second() {
    let mut times = FirstByteTimes::default();
    for number in 0..300 {
        let now = Uptime::from_secs(2 * number);
        times.observe(ms(20), now);
        assert!(number < 40 || times.late_after(now).is_some(), "{now:?}");
    }
}

/// Guards against an overflow with durations outside the buckets.
#[test]
fn late_after_extreme_samples() {
    let mut times = FirstByteTimes::default();
    (0..50).for_each(|_| times.observe(Duration::ZERO, ms(0)));
    assert_eq!(times.late_after(ms(0)), Some(ms(1)));
    (0..1_000).for_each(|_| times.observe(Duration::MAX, ms(0)));
    assert!(times.late_after(ms(0)).unwrap() > Duration::from_secs(60));
}

/// Guards against hedges without requests, and against a reserve that each process would have.
#[test]
fn budget_is_a_share_of_the_window() {
    let mut budget = HedgeBudget::default();
    assert!(!budget.withdraw(ms(0), 0.1, WINDOW));
    (0..35).for_each(|_| budget.on_request(ms(0), 0.1, WINDOW));
    assert!(!budget.withdraw(ms(0), 0.0, WINDOW));
    let allowed = (0..10).filter(|_| budget.withdraw(ms(1), 0.1, WINDOW)).count();
    assert_eq!(allowed, 3);
    // The requests of the window before do not count any more.
    assert!(!budget.withdraw(ms(11_000), 0.1, WINDOW));
}

proptest! {
    /// Guards against processes that exceed the ratio together: the requests of any window bound the hedges in it.
    #[test]
    fn budget_never_exceeds_the_ratio(
        steps in prop::collection::vec((0..500_u64, any::<bool>()), 1..300),
        ratio in 0.0..1.0_f64,
    ) {
        let mut budget = HedgeBudget::default();
        let (mut now, mut requests, mut hedges) = (ms(0), Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            now += ms(pause);
            if is_request {
                budget.on_request(now, ratio, WINDOW);
                requests.push(now);
            } else if budget.withdraw(now, ratio, WINDOW) {
                hedges.push(now);
                let in_window = |times: &[Uptime]| {
                    times.iter().filter(|at| **at + WINDOW >= now).count() as f64
                };
                prop_assert!(in_window(&hedges) <= ratio * in_window(&requests));
            }
        }
    }
}

/// Guards against extra work in an overload: hedging ends when more than 70 % of the slots are in use.
#[test]
fn has_room_up_to_seven_tenths_of_the_slots() {
    assert!(hedge::has_room(&[target(7, false), target(7, false)], 1));
    assert!(!hedge::has_room(&[target(8, false), target(7, false)], 1));
    // Three gateways with five requests each use 13 to 15 of 20 slots.
    assert!(hedge::has_room(&[target(5, false), target(0, false)], 3));
    assert!(!hedge::has_room(&[target(3, false), target(3, false)], 3));
}

/// Guards against hedges to the targets that are left after others have failed.
#[test]
fn has_room_counts_no_slots_of_ejected_targets() {
    assert!(!hedge::has_room(&[target(4, false), target(4, true)], 1));
    assert!(!hedge::has_room(&[target(0, true)], 1));
    assert!(!hedge::has_room(&[], 1));
}

/// Guards against hedges that wait at a full target.
#[test]
fn is_free_needs_a_slot() {
    assert!(hedge::is_free(&target(9, false)));
    assert!(!hedge::is_free(&target(10, false)));
    assert!(!hedge::is_free(&target(0, true)));
}
