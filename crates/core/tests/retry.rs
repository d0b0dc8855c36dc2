//! Retry budgets of several gateways in a sliding window.

use std::time::Duration;

use marigold_core::retry::{WindowBudget, WindowLimit};
use proptest::prelude::*;

const LIMIT: WindowLimit =
    WindowLimit { ratio: 0.2, reserve: 56.0, window: Duration::from_secs(10) };

#[test]
fn withdraw_reserve_is_shared_among_gateways() {
    let mut budget = WindowBudget::default();
    let allowed = (0..100).filter(|_| budget.withdraw(Duration::from_secs(1), &LIMIT, 4)).count();
    assert!(allowed * 4 <= 56, "{allowed} retries on each of four gateways");
    assert!(allowed > 0);
}

#[test]
fn withdraw_window_slides() {
    let mut budget = WindowBudget::default();
    let mut at =
        |s| (0..100).filter(|_| budget.withdraw(Duration::from_secs(s), &LIMIT, 4)).count();
    let first = at(1);
    assert_eq!(at(10), 0);
    assert_eq!(at(12), first);
}

/// Gateways that had all lost their counts spent the reserve a second time.
#[test]
fn withdraw_all_restarted_within_the_reserve() {
    let retries = |limit: &WindowLimit| {
        let mut budget = WindowBudget::default();
        (0..100).filter(|_| budget.withdraw(Duration::from_secs(1), limit, 4)).count()
    };
    let restarted = retries(&LIMIT.after_restart());
    assert!(restarted > 0);
    assert!(4 * (retries(&LIMIT) + restarted) <= 56);
}

proptest! {
    /// For any sequence of requests and retries, no window contains more retries than the limit for all gateways.
    #[test]
    fn withdraw_no_window_exceeds_the_limit(steps in prop::collection::vec((0_u64..400, 0_u8..4, any::<bool>()), 1..400)) {
        let mut budgets: Vec<WindowBudget> = (0..4).map(|_| WindowBudget::default()).collect();
        let (mut now, mut requests, mut retries) = (Duration::ZERO, Vec::new(), Vec::new());
        for (interval, gateway, is_request) in steps {
            now += Duration::from_millis(interval);
            let budget = &mut budgets[usize::from(gateway)];
            if is_request {
                budget.on_request(now, &LIMIT);
                requests.push(now);
            } else if budget.withdraw(now, &LIMIT, 4) {
                retries.push(now);
            }
            let within = |times: &[Duration]| times.iter().filter(|at| **at + LIMIT.window >= now).count() as f64;
            prop_assert!(within(&retries) <= LIMIT.ratio * within(&requests) + LIMIT.reserve);
        }
    }
}
