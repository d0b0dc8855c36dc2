//! Which replies are believed on connections that are used again, and for how long connections are kept.

use std::time::Duration;

use marigold_core::connection_reuse::{ConnectionHistory, ConnectionTerms, MAX_AGE, reply_timeout};
use marigold_core::ids::Uptime;

const fn ms(ms: u64) -> Uptime {
    Duration::from_millis(ms)
}

const SUCCESS: ConnectionTerms =
    ConnectionTerms { is_success: true, is_closing: false, idle_timeout: None };

fn terms(idle_timeout_ms: u64) -> ConnectionTerms {
    ConnectionTerms { idle_timeout: Some(ms(idle_timeout_ms)), ..SUCCESS }
}

/// A duplicate of the last reply, or of an earlier one, was taken for the next reply.
#[test]
fn accept_results_duplicate_is_not_believed() {
    for duplicate in [["a", "b"], ["c", "d"]] {
        let mut history = ConnectionHistory::new(ms(0));
        assert!(!history.is_reused());
        assert!(history.accept_results(SUCCESS, ["a", "b"]));
        assert!(history.accept_results(SUCCESS, ["c", "d"]));
        assert!(history.is_reused() && history.idle_until(ms(5)).is_some());
        assert!(!history.accept_results(SUCCESS, duplicate));
        assert_eq!(history.idle_until(ms(5)), None);
    }
}

#[test]
fn accept_results_one_repeated_handle_is_not_believed() {
    let mut history = ConnectionHistory::new(ms(0));
    assert!(history.accept_results(SUCCESS, ["a", "b"]));
    assert!(!history.accept_results(SUCCESS, ["c", "b"]));
    // Once in doubt, the connection is not used again.
    assert!(history.accept_results(SUCCESS, ["e"]));
    assert_eq!(history.idle_until(ms(5)), None);
}

/// The next reply without a handle could be a duplicate of the first.
#[test]
fn accept_results_connection_is_closed_after_a_reply_without_handles() {
    let mut history = ConnectionHistory::new(ms(0));
    assert!(history.accept_results(SUCCESS, []));
    assert_eq!(history.idle_until(ms(5)), None);
    // All earlier replies have handles, so this one is no duplicate.
    let mut history = ConnectionHistory::new(ms(0));
    assert!(history.accept_results(SUCCESS, ["a"]));
    assert!(history.accept_results(SUCCESS, []));
    assert_eq!(history.idle_until(ms(5)), None);
}

#[test]
fn idle_until_is_none_after_a_failure_or_an_announced_close() {
    let failure = ConnectionTerms { is_success: false, ..SUCCESS };
    let closing = ConnectionTerms { is_closing: true, ..SUCCESS };
    for terms in [failure, closing] {
        let mut history = ConnectionHistory::new(ms(0));
        assert!(history.accept_results(terms, ["a"]));
        assert_eq!(history.idle_until(ms(5)), None);
        let mut history = ConnectionHistory::new(ms(0));
        assert!(history.accept_release(terms, true));
        assert_eq!(history.idle_until(ms(5)), None);
    }
}

#[test]
fn idle_until_ends_before_the_timeout_of_the_target() {
    let cases = [(10_000, Some(7_500)), (1_000, Some(700)), (300, None), (0, None)];
    for (timeout, idle_time) in cases {
        let mut history = ConnectionHistory::new(ms(0));
        assert!(history.accept_results(terms(timeout), ["a"]));
        let until = idle_time.map(|idle_time| ms(100 + idle_time));
        assert_eq!(history.idle_until(ms(100)), until, "timeout {timeout}");
    }
    // A timeout without meaning neither overflows nor keeps a connection for long.
    let mut history = ConnectionHistory::new(ms(0));
    let endless = ConnectionTerms { idle_timeout: Some(Duration::MAX), ..SUCCESS };
    assert!(history.accept_release(endless, true));
    assert_eq!(history.idle_until(ms(0)), Some(ms(20_000)));
}

#[test]
fn idle_until_bounds_age_and_memory() {
    let mut history = ConnectionHistory::new(ms(0));
    assert!(history.accept_results(SUCCESS, ["a"]));
    assert_eq!(history.idle_until(MAX_AGE - ms(1)), Some(MAX_AGE));
    assert_eq!(history.idle_until(MAX_AGE), None);
    let mut history = ConnectionHistory::new(ms(0));
    let replies = (0..).take_while(|number| {
        let handles: Vec<String> = (0..48).map(|piece| format!("{number}-{piece}")).collect();
        assert!(history.accept_results(SUCCESS, handles.iter().map(String::as_str)));
        history.idle_until(ms(1)).is_some()
    });
    let replies = replies.count();
    assert!((80..100).contains(&replies), "{replies} replies of 48 handles");
}

#[test]
fn reply_timeout_leaves_slow_targets_their_time() {
    assert_eq!(reply_timeout(ms(150), 0.0, ms(800)), ms(400));
    assert_eq!(reply_timeout(ms(150), 2.0, ms(800)), ms(700));
    assert_eq!(reply_timeout(ms(150), 50.0, ms(800)), ms(800));
    assert_eq!(reply_timeout(ms(150), f64::NAN, ms(800)), ms(400));
}

/// A duplicate confirmed a call that the target had not received, so that its results no longer counted as used memory.
#[test]
fn accept_release_doubtful_reply_frees_nothing() {
    let mut history = ConnectionHistory::new(ms(0));
    assert!(history.accept_release(SUCCESS, true));
    assert!(history.idle_until(ms(5)).is_some());
    assert!(!history.accept_release(SUCCESS, false));
    assert_eq!(history.idle_until(ms(5)), None);
    // The first reply on a connection is the answer, whatever follows.
    let mut history = ConnectionHistory::new(ms(0));
    assert!(history.accept_release(SUCCESS, false));
    assert_eq!(history.idle_until(ms(5)), None);
}
