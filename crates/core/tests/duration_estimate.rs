//! Duration estimates under changing load.

use std::time::Duration;

use marigold_core::duration_estimate::{DurationEstimate, DurationEstimator};

const DEFAULT: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sampled(samples: impl IntoIterator<Item = u64>) -> DurationEstimator {
    let mut estimator = DurationEstimator::default();
    for (i, sample) in samples.into_iter().enumerate() {
        estimator.observe(ms(sample), ms(100 * i as u64));
    }
    estimator
}

#[test]
fn estimate_no_samples_is_the_default() {
    assert_eq!(
        DurationEstimator::default().estimate(DEFAULT, ms(5_000)),
        DurationEstimate::exact(DEFAULT)
    );
}

#[test]
fn estimate_covers_most_samples() {
    let samples = [400, 500, 600].repeat(10);
    let DurationEstimate { mean, upper } = sampled(samples).estimate(DEFAULT, ms(2_900));
    assert!((ms(450)..ms(560)).contains(&mean), "{mean:?}");
    assert!((ms(520)..ms(700)).contains(&upper), "{upper:?}");
}

/// In a burst, the durations of a stage grow; the estimate has to follow within twelve samples.
#[test]
fn estimate_follows_a_burst() {
    let samples = [vec![300; 10], vec![1_200; 12]].concat();
    let estimate = sampled(samples).estimate(DEFAULT, ms(2_100));
    assert!(estimate.mean > ms(1_100), "{estimate:?}");
}

/// Guards against refusing all requests permanently: an estimate so high that every request is refused gets no new
/// samples, so it has to decay without them.
#[test]
fn estimate_without_samples_returns_to_the_default() {
    let estimator = sampled([3_000; 10]);
    let (fresh, halfway) = (
        estimator.estimate(DEFAULT, ms(900)).mean,
        estimator.estimate(DEFAULT, ms(900 + 2_000)).mean,
    );
    assert_eq!(fresh, ms(3_000));
    assert!((ms(1_500)..ms(1_700)).contains(&halfway), "{halfway:?}");
    assert_eq!(estimator.estimate(DEFAULT, ms(900 + 3_000)), DurationEstimate::exact(DEFAULT));
}

#[test]
fn observe_after_a_gap_starts_over() {
    let mut estimator = sampled([3_000; 10]);
    estimator.observe(ms(250), ms(10_000));
    assert_eq!(estimator.estimate(DEFAULT, ms(10_000)), DurationEstimate::exact(ms(250)));
}
