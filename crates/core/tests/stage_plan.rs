//! Start times of stages on the routes of the deployments.

use std::time::Duration;

use marigold_core::duration_estimate::DurationEstimate;
use marigold_core::routes::Stage;
use marigold_core::stage_plan::{Plan, Progress};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stage(pool: &str, after: &[usize], result_bytes: u64) -> Stage {
    Stage { pool: pool.to_owned(), after: after.to_vec(), result_bytes }
}

/// A stage with large results, in parallel to three stages that depend on each other in turn.
fn stages() -> Vec<Stage> {
    vec![
        stage("encode", &[], 3_000_000),
        stage("encode", &[], 8_000),
        stage("retrieve", &[1], 60_000),
        stage("rerank", &[2], 6_000),
    ]
}

fn start_delay(progress: [Progress; 4], stage: usize, now: Duration) -> Duration {
    let estimates = [250, 250, 300, 400].map(|time| DurationEstimate::exact(ms(time)));
    let stages = stages();
    Plan { stages: &stages, estimates: &estimates, progress: &progress }.start_delay(stage, now)
}

#[test]
fn start_delay_large_results_wait_for_the_critical_path() {
    let waiting = [Progress::Waiting; 4];
    assert_eq!(start_delay(waiting, 0, ms(1_000)), ms(950 - 250 - 150));
    assert_eq!(start_delay(waiting, 1, ms(1_000)), Duration::ZERO);
}

#[test]
fn start_delay_subtracts_elapsed_time() {
    let running =
        [Progress::Waiting, Progress::Running(ms(1_000)), Progress::Waiting, Progress::Waiting];
    assert_eq!(start_delay(running, 0, ms(1_200)), ms(750 - 400));
}

#[test]
fn start_delay_is_zero_at_the_end_of_the_critical_path() {
    let last = [Progress::Waiting, Progress::Done, Progress::Done, Progress::Running(ms(2_000))];
    assert_eq!(start_delay(last, 0, ms(2_050)), Duration::ZERO);
    let alone = [Progress::Waiting, Progress::Done, Progress::Done, Progress::Done];
    assert_eq!(start_delay(alone, 0, ms(9_000)), Duration::ZERO);
}

/// The critical path is not delayed for shorter paths.
#[test]
fn start_delay_critical_path_is_zero() {
    let running =
        [Progress::Running(ms(1_000)), Progress::Waiting, Progress::Waiting, Progress::Waiting];
    assert_eq!(start_delay(running, 1, ms(1_000)), Duration::ZERO);
    let last = [Progress::Waiting, Progress::Done, Progress::Done, Progress::Waiting];
    assert_eq!(start_delay(last, 3, ms(1_000)), Duration::ZERO);
}
