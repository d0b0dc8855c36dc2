//! Telling an outage of the store from a partition of one process.

use std::time::Duration;

use marigold_core::store_service::{self, Period, StoreService};
use proptest::prelude::*;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn period(since: f64, until: f64) -> Period {
    Period { since: seconds(since), until: seconds(until) }
}

fn answered(at: impl IntoIterator<Item = f64>) -> StoreService {
    let mut service = StoreService::default();
    at.into_iter().for_each(|at| service.record_answer(seconds(at), min_outage()));
    service
}

fn min_outage() -> Duration {
    store_service::min_outage(HEARTBEAT)
}

/// A partition of one process was taken for an outage, so that targets removed meanwhile were still used.
#[test]
fn merge_answers_to_others_during_own_partition_leave_no_outage() {
    let mut service = answered([10.0, 12.0, 17.2]);
    assert_eq!(service.newest(), Some(period(17.2, 17.2)));
    service.merge(period(9.0, 17.0), min_outage());
    assert_eq!(service.newest(), Some(period(9.0, 17.2)));
}

#[test]
fn merge_answers_heard_during_own_partition_leave_no_outage() {
    let mut service = answered([10.0]);
    for until in [11.0, 13.0, 15.0] {
        service.merge(period(until, until), min_outage());
    }
    service.record_answer(seconds(16.0), min_outage());
    assert_eq!(service.newest(), Some(period(10.0, 16.0)));
}

/// Live targets whose entries expired in an outage must be kept, whatever others knew before it.
#[test]
fn merge_outage_for_all_ends_the_period() {
    let mut service = answered([10.0, 15.0]);
    service.merge(period(2.0, 10.5), min_outage());
    assert_eq!(service.newest(), Some(period(15.0, 15.0)));
    service.merge(period(14.8, 15.1), min_outage());
    assert_eq!(service.newest(), Some(period(14.8, 15.1)));
}

#[test]
fn record_answer_short_gap_is_no_outage() {
    assert_eq!(answered([10.0, 12.3]).newest(), Some(period(10.0, 12.3)));
    assert_eq!(answered([10.0, 12.4]).newest(), Some(period(12.4, 12.4)));
}

proptest! {
    /// Whatever subset of the answers reaches a process, in whatever order and grouping: an outage in which entries can
    /// expire is never hidden.
    #[test]
    fn merge_any_order_never_hides_an_outage(
        before in prop::collection::vec(0.0..20.0_f64, 1..12),
        after in prop::collection::vec(23.0..40.0_f64, 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 24),
    ) {
        let mut service = StoreService::default();
        let mut answers: Vec<f64> = before.iter().chain(&after).copied().collect();
        for index in order {
            if answers.is_empty() {
                break;
            }
            let at = answers.swap_remove(index.index(answers.len()));
            service.merge(period(at, at), min_outage());
        }
        answers.into_iter().for_each(|at| service.record_answer(seconds(at), min_outage()));
        prop_assert!(service.newest().unwrap().since >= seconds(23.0));
    }

    /// One process that reaches the store all along is enough for every other to see that there was no outage.
    #[test]
    fn merge_period_of_a_witness_covers_any_partition(cut in 0.0..30.0_f64, lasts in 0.0..20.0_f64, last in 0.0..2.0_f64) {
        let recovered = cut + lasts;
        let mut service = answered([cut]);
        service.record_answer(seconds(recovered), min_outage());
        service.merge(period(0.0, (recovered - last).max(0.0)), min_outage());
        prop_assert_eq!(service.newest().unwrap().since, Duration::ZERO);
    }
}
