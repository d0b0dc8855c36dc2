//! Upper estimates of response times.

use std::time::Duration;

use marigold_core::response_time::ResponseTime;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sampled(samples: impl IntoIterator<Item = u64>) -> ResponseTime {
    let mut time = ResponseTime::default();
    samples.into_iter().for_each(|sample| time.observe(ms(sample)));
    time
}

#[test]
fn upper_without_samples_is_unknown() {
    assert_eq!(ResponseTime::default().upper(false), None);
}

#[test]
fn upper_after_one_sample_is_that_sample() {
    let time = sampled([400]);
    assert_eq!((time.upper(false), time.upper(true)), (Some(ms(400)), Some(ms(400))));
}

#[test]
fn upper_covers_the_stated_share_of_scattered_samples() {
    let samples = (1..=20).map(|number| 100 * (number * 7 % 20 + 1));
    let time = sampled(samples);
    assert_eq!((time.upper(false), time.upper(true)), (Some(ms(1_900)), Some(ms(1_500))));
}

/// One slow answer raised the estimate above the stop time, so that a stopping gateway refused everything.
#[test]
fn upper_one_slow_answer_of_many_does_not_count() {
    let time = sampled((0..40).map(|number| if number == 30 { 7_000 } else { 15 }));
    assert_eq!((time.upper(false), time.upper(true)), (Some(ms(15)), Some(ms(15))));
}

#[test]
fn upper_forgets_old_samples() {
    let time = sampled(std::iter::repeat_n(4_000, 100).chain(std::iter::repeat_n(200, 64)));
    assert_eq!(time.upper(false), Some(ms(200)));
}
