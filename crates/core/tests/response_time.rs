//! Upper estimates of response times.

use std::time::Duration;

use marigold_core::response_time::ResponseTime;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn upper_after_one_sample_leaves_room() {
    assert_eq!(ResponseTime::new(ms(400)).upper(false), ms(800));
}

#[test]
fn upper_of_equal_samples_approaches_them() {
    let mut time = ResponseTime::new(ms(400));
    (0..40).for_each(|_| time.observe(ms(400)));
    assert!((ms(400)..ms(410)).contains(&time.upper(false)), "{time:?}");
}

#[test]
fn upper_of_scattered_samples_covers_all_of_them() {
    let mut time = ResponseTime::new(ms(400));
    for sample in (0..40).map(|number| 300 + 50 * (number * 7 % 9)) {
        time.observe(ms(sample));
    }
    assert!((ms(700)..ms(1_500)).contains(&time.upper(false)), "{time:?}");
}

#[test]
fn upper_of_a_repeatable_request_covers_most_samples() {
    let mut time = ResponseTime::new(ms(400));
    let samples = (0..40).map(|number| 300 + 50 * (number * 7 % 9));
    samples.clone().for_each(|sample| time.observe(ms(sample)));
    let covered = samples.filter(|sample| ms(*sample) <= time.upper(true)).count();
    // More than half, but not all.
    assert!((21..40).contains(&covered), "{covered}: {time:?}");
    assert!(time.upper(true) < time.upper(false));
}

#[test]
fn upper_follows_a_step_within_a_few_samples() {
    let mut time = ResponseTime::new(ms(400));
    (0..40).for_each(|_| time.observe(ms(400)));
    (0..3).for_each(|_| time.observe(ms(4_000)));
    assert!(time.upper(false) > ms(4_000), "{time:?}");
}
