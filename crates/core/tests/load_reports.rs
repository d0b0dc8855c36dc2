//! Loads that gateways report to each other, and the choice of targets by them.

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::load_reports::{InFlight, LoadReports, MAX_REPORTED, REPORT_LIFETIME};
use marigold_core::placement;
use marigold_core::router::{Candidate, Load};

const GATEWAYS: usize = 24;
const TARGETS: usize = 45;

fn at(seconds: u64) -> Uptime {
    Duration::from_secs(seconds)
}

fn name(target: usize) -> String {
    format!("engine-{target}")
}

/// One engine that has fallen behind, by long prompts, holds 37 requests of all gateways and the others 7; no gateway has more
/// than two of its own there.
fn counts_with_a_slow_engine(gateway: usize) -> InFlight {
    let count = |target: usize| {
        let all = if target == 0 { 37 } else { 7 };
        (all / GATEWAYS + usize::from(gateway < all % GATEWAYS)) as u32
    };
    (0..TARGETS).map(|target| (name(target), count(target))).collect()
}

fn candidates(own: &InFlight, totals: &InFlight) -> Vec<Candidate> {
    let candidate = |target: usize| {
        let load = Load::default();
        (0..own[&name(target)]).for_each(|_| load.on_send());
        load.on_report(totals.get(&name(target)).copied().unwrap_or_default());
        let load = load.snapshot(at(1));
        Candidate { load, concurrency: 128, round_trip: Duration::ZERO, has_prefix: false }
    };
    (0..TARGETS).map(candidate).collect()
}

/// Returns the number of prompts, of 1,000, that one gateway sends to the slow engine.
fn prompts_at_slow_engine(totals: &InFlight) -> usize {
    let own = counts_with_a_slow_engine(0);
    let candidates = candidates(&own, totals);
    let names: Vec<String> = (0..TARGETS).map(name).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let chosen = (0..1_000).map(|prompt| {
        placement::by_prompt(&format!("prompt-{prompt}"), &names, &candidates, &mut rand::rng())
    });
    chosen.filter(|target| *target == Some(0)).count()
}

/// On quiet-1 of a fleet with 24 gateways, requests at some engines took 5.7 s and at others 1 s, and each gateway went on to
/// send prompts to the former, since it saw two requests of its own there.
#[test]
fn totals_engine_that_has_fallen_behind_gets_no_prompts() {
    let mut reports = LoadReports::default();
    for gateway in 1..GATEWAYS {
        reports.record(format!("gateway-{gateway}"), counts_with_a_slow_engine(gateway), at(1));
    }
    let totals = reports.totals(&counts_with_a_slow_engine(0), GATEWAYS, at(1));
    assert_eq!(totals[&name(0)], 37);
    assert!(prompts_at_slow_engine(&InFlight::new()) > 10);
    assert_eq!(prompts_at_slow_engine(&totals), 0);
}

/// Guards against sums that shrink when polls are lost, which would draw requests to all targets alike.
#[test]
fn totals_missing_reports_count_as_the_mean_of_the_others() {
    let mut reports = LoadReports::default();
    let own = BTreeMap::from([(name(0), 2)]);
    reports.record("gateway-1".to_owned(), BTreeMap::from([(name(0), 4)]), at(1));
    assert_eq!(reports.totals(&own, 4, at(1))[&name(0)], 12);
    let later = at(1) + REPORT_LIFETIME;
    assert_eq!(reports.totals(&own, 4, later)[&name(0)], 8);
}

/// Guards against messages that grow with the number of targets: 12,000 at the size that the system is built for.
#[test]
fn totals_are_bounded_and_have_the_highest() {
    let own: InFlight = (0..12_000).map(|target| (name(target), target as u32)).collect();
    let totals = LoadReports::default().totals(&own, 1, at(1));
    assert_eq!(totals.len(), MAX_REPORTED);
    assert!(totals.values().all(|count| *count >= (12_000 - MAX_REPORTED) as u32));
}

/// Guards against a target that stays avoided after the reports have ended.
#[test]
fn report_without_the_target_leaves_the_own_requests() {
    let load = Load::default();
    load.on_send();
    load.on_report(30);
    load.on_send();
    assert_eq!(load.snapshot(at(1)).total, 31);
    load.on_report(0);
    assert_eq!(load.snapshot(at(1)).total, 2);
}
