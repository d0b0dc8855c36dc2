//! Time limits of a stop.

use std::time::Duration;

use marigold_core::stop::Stop;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn begin_leaves_time_to_send_the_last_answers() {
    let stop = Stop::begin(s(100.0), s(8.0));
    assert!(stop.last_stream < stop.answer_by, "{stop:?}");
    assert!(stop.answer_by < stop.exit_by && stop.exit_by < s(108.0), "{stop:?}");
    // Callers excuse what is still at a target in the last sixth of the stop time.
    assert!(stop.answer_by >= s(100.0) + s(8.0).mul_f64(5.0 / 6.0), "{stop:?}");
}

#[test]
fn begin_short_stop_time_is_over_at_once() {
    let stop = Stop::begin(s(100.0), s(0.1));
    assert_eq!((stop.answer_by, stop.exit_by), (s(100.0), s(100.0)));
}
