//! Comparison of the policy with baseline strategies in virtual time; every run prints the same tables.

use std::time::Duration;

use marigold_core::router::{ExpectedCompletion, LeastOutstanding, PowerOfTwo, Random, RoundRobin};
use marigold_load::simulation::{self, Burst, SimulationMetrics, SimulationPlan, StagePlan};

use crate::table;

/// Seeds over which each table cell is averaged.
pub const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Rate in requests per second at which the pool of [`plan`] with the lowest throughput is saturated.
pub const SATURATION_RATE_PER_S: f64 = 240.0;

/// Names of the strategies: that of the policy, then the baselines.
pub const STRATEGIES: [&str; 5] =
    ["expected completion", "power of two", "least outstanding", "round robin", "random"];

/// Returns a plan of four stages in pools of 4, 4, 4 and 20 targets, like those of the deployment
/// `souk-al-ahali`; `load` is relative to [`SATURATION_RATE_PER_S`].
pub fn plan(seed: u64, load: f64) -> SimulationPlan {
    let stage = |targets, concurrency, millis, cost_per_s| StagePlan {
        targets,
        concurrency,
        service_time: Duration::from_millis(millis),
        cost_per_s,
    };
    SimulationPlan {
        seed,
        duration: Duration::from_secs(60),
        rate: SATURATION_RATE_PER_S * load,
        deadline: Duration::from_millis(4000),
        stages: vec![
            stage(4, 16, 10, 1.0),
            stage(4, 16, 20, 1.5),
            stage(4, 16, 15, 1.2),
            stage(20, 16, 650, 8.0),
        ],
        slow_every_nth: 0,
        slow_factor: 5.0,
        burst: None,
        customers: vec![1; 5],
        greedy_share: 0.0,
        admission: true,
    }
}

/// Returns a plan at peak load (75% of saturation) with one target in ten slow.
pub fn peak_with_slow_targets(seed: u64) -> SimulationPlan {
    SimulationPlan { slow_every_nth: 10, ..plan(seed, 0.75) }
}

/// Returns a plan at 60% of saturation with a burst of three times that load for ten seconds.
pub fn burst(seed: u64) -> SimulationPlan {
    let burst =
        Burst { at: Duration::from_secs(20), duration: Duration::from_secs(10), factor: 3.0 };
    SimulationPlan { burst: Some(burst), ..plan(seed, 0.6) }
}

/// Runs a plan with a strategy by its index in [`STRATEGIES`].
pub fn run_with(plan: &SimulationPlan, strategy: usize) -> SimulationMetrics {
    match strategy {
        0 => simulation::run(plan, ExpectedCompletion),
        1 => simulation::run(plan, PowerOfTwo),
        2 => simulation::run(plan, LeastOutstanding),
        3 => simulation::run(plan, RoundRobin::default()),
        _ => simulation::run(plan, Random),
    }
}

fn format_mean_and_range(values: &[f64]) -> String {
    let min = values.iter().copied().fold(f64::MAX, f64::min);
    let max = values.iter().copied().fold(f64::MIN, f64::max);
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    format!("{mean:.3} ({min:.3} to {max:.3})")
}

fn print_comparison(title: &str, plan: impl Fn(u64) -> SimulationPlan) {
    println!("\n## {title}\n");
    let rows: Vec<Vec<String>> = STRATEGIES
        .iter()
        .enumerate()
        .map(|(i, name)| {
            let metrics: Vec<SimulationMetrics> =
                SEEDS.iter().map(|seed| run_with(&plan(*seed), i)).collect();
            let column = |value: fn(&SimulationMetrics) -> f64| {
                format_mean_and_range(&metrics.iter().map(value).collect::<Vec<_>>())
            };
            vec![
                (*name).to_owned(),
                column(|metrics| 100.0 * metrics.attainment()),
                column(SimulationMetrics::cost_per_answer),
                column(|metrics| 100.0 * metrics.wasted_share()),
                column(|metrics| metrics.refused as f64),
            ]
        })
        .collect();
    table::print(&["strategy", "attained %", "cost per answer", "wasted %", "refused"], &rows);
}

/// Returns the goodput at twice the saturation rate, divided by the goodput at the saturation rate.
pub fn overload_ratio(seed: u64, admission: bool) -> f64 {
    let goodput = |load: f64| {
        let plan = SimulationPlan { admission, ..plan(seed, load) };
        run_with(&plan, 0).attained as f64
    };
    goodput(2.0) / goodput(1.0)
}

/// Returns the attainment of the other customers while one sends nine tenths of a load of twice the saturation rate.
pub fn attainment_beside_greedy_customer(seed: u64, admission: bool) -> f64 {
    let plan = SimulationPlan { greedy_share: 0.88, admission, ..plan(seed, 2.0) };
    let metrics = run_with(&plan, 0);
    let (attained, sent) = metrics.by_customer[1..]
        .iter()
        .fold((0, 0), |(a, s), (attained, sent)| (a + attained, s + sent));
    attained as f64 / sent.max(1) as f64
}

/// Runs all comparisons and prints their tables.
pub fn run() {
    print_comparison("Ordinary load (60% of saturation)", |seed| plan(seed, 0.6));
    print_comparison(
        "Peak load (75%), one target in ten five times slower",
        peak_with_slow_targets,
    );
    print_comparison("Overload (200%)", |seed| plan(seed, 2.0));
    print_comparison("Burst of 3x for 10 s at 60%", burst);
    println!("\n## Admission\n");
    let rows: Vec<Vec<String>> = [true, false]
        .iter()
        .map(|admission| {
            let recovery = |seed: &u64| {
                let plan = SimulationPlan { admission: *admission, ..burst(*seed) };
                100.0 * run_with(&plan, 0).attainment_between(35, 60)
            };
            vec![
                if *admission { "with admission" } else { "without" }.to_owned(),
                format_mean_and_range(&SEEDS.map(|seed| overload_ratio(seed, *admission))),
                format_mean_and_range(&SEEDS.iter().map(recovery).collect::<Vec<_>>()),
                format_mean_and_range(
                    &SEEDS.map(|seed| 100.0 * attainment_beside_greedy_customer(seed, *admission)),
                ),
            ]
        })
        .collect();
    let headings = [
        "",
        "goodput at 2x / at 1x",
        "attained % from 5 s after a burst",
        "others beside a greedy customer %",
    ];
    table::print(&headings, &rows);
}
