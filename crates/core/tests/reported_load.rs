//! Order of targets and the end of calls, from the load that targets report.

use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::reported_load::{LoadReport, ReportedLoad};

const CALL: Duration = Duration::from_millis(150);

const fn ms(ms: u64) -> Uptime {
    Duration::from_millis(ms)
}

fn report(waiting: u32, factor: f64, at: Uptime) -> LoadReport {
    let mut report = LoadReport::default();
    let load = ReportedLoad { running: 1, waiting, slots: 1, duration_factor: Some(factor) };
    report.observe(load, at);
    report
}

#[test]
fn time_to_end_without_a_report_is_as_measured() {
    let none = LoadReport::default();
    assert_eq!(none.slowdown(0.0, ms(0)), 0.0);
    assert_eq!(none.time_to_end(CALL, 2.0, ms(0)), ms(300));
    assert_eq!(none.planned_duration(CALL, ms(0)), CALL);
    let mut silent = LoadReport::default();
    silent.observe(ReportedLoad { running: 1, slots: 1, ..ReportedLoad::default() }, ms(0));
    assert_eq!(silent.time_to_end(CALL, 2.0, ms(0)), ms(300));
}

/// An average of the measured durations lags behind speeds that change many times a second.
#[test]
fn time_to_end_targets_whose_speed_changes_often_are_ordered_by_the_newest() {
    let (mut a, mut b) = (LoadReport::default(), LoadReport::default());
    let load =
        |factor| ReportedLoad { slots: 1, duration_factor: Some(factor), ..Default::default() };
    for step in 0..20 {
        let now = ms(step * 100);
        let is_a_slow = step % 2 == 0;
        a.observe(load(if is_a_slow { 3.0 } else { 0.8 }), now);
        b.observe(load(if is_a_slow { 0.8 } else { 3.0 }), now);
        let at = now + ms(20);
        let ends = [&a, &b].map(|report| report.time_to_end(CALL, 1.9, at));
        assert_eq!(ends, if is_a_slow { [ms(450), ms(120)] } else { [ms(120), ms(450)] });
    }
}

#[test]
fn slowdown_old_report_decays_to_what_was_measured() {
    let slow = report(0, 4.0, ms(1_000));
    let slowdowns = [1_000, 1_050, 1_275, 1_500, 9_000].map(|at| slow.slowdown(2.0, ms(at)));
    let expected = [4.0, 4.0, 3.0, 2.0, 2.0];
    let is_near = |(a, b): (f64, f64)| (a - b).abs() < 0.001;
    assert!(slowdowns.into_iter().zip(expected).all(is_near), "{slowdowns:?}");
}

/// A target at which calls of another owner wait looks free to this one.
#[test]
fn time_to_end_two_owners_at_one_target() {
    let (crowded, other) = (report(2, 1.0, ms(0)), report(0, 1.6, ms(0)));
    assert_eq!(crowded.time_to_end(CALL, 1.0, ms(0)), ms(450));
    assert!(other.time_to_end(CALL, 1.6, ms(0)) < crowded.time_to_end(CALL, 1.0, ms(0)));
    // What was waiting is worked off meanwhile.
    assert_eq!(crowded.time_to_end(CALL, 1.0, ms(200)), ms(250));
    assert_eq!(crowded.time_to_end(CALL, 1.0, ms(400)), CALL);
    assert_eq!(crowded.planned_duration(CALL, ms(400)), CALL);
}

#[test]
fn time_to_end_odd_values_are_bounded() {
    for factor in [1e-300, 1e300, f64::MAX] {
        let odd = report(u32::MAX, factor, ms(0));
        let end = odd.time_to_end(CALL, 1.0, ms(0));
        assert!(end >= ms(500) && end <= ms(150 * 10 * 17), "{factor}: {end:?}");
    }
    let without_slots =
        ReportedLoad { waiting: 1, duration_factor: Some(1.0), ..Default::default() };
    let mut report = LoadReport::default();
    report.observe(without_slots, ms(0));
    assert_eq!(report.time_to_end(CALL, 1.0, ms(0)), ms(300));
}
