//! Limits that targets name in their replies.

use std::time::Duration;

use marigold_core::target_limit::Notice;

fn notice(per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> Notice {
    let (sent_at, received_at) =
        (Duration::from_millis(sent_ms), Duration::from_millis(received_ms));
    Notice { per_s, sent_at, received_at }
}

fn assert_merged(a: Notice, b: Notice, expected: Notice) {
    assert_eq!(a.merge(b), expected);
    assert_eq!(b.merge(a), expected);
}

#[test]
fn merge_later_reply_replaces_earlier_one() {
    let (limit, end) = (notice(Some(2.0), 10, 20), notice(None, 20, 30));
    assert_merged(limit, end, end);
    let raised = notice(Some(5.0), 21, 30);
    assert_merged(limit, raised, raised);
}

/// A reply without a limit that was overtaken by one with a limit must not end it.
#[test]
fn merge_overtaken_reply_does_not_end_the_limit() {
    let limit = notice(Some(2.0), 10, 20);
    assert_merged(limit, notice(None, 5, 30), limit);
    assert_merged(limit, notice(None, 5, 15), limit);
    assert_merged(limit, notice(None, 0, 10), limit);
}

#[test]
fn merge_lower_limit_stays_if_the_order_is_unknown() {
    let low = notice(Some(0.5), 10, 20);
    assert_merged(low, notice(Some(2.0), 12, 18), low);
}
