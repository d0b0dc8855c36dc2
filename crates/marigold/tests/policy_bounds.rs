//! Bounds on the metrics of the simulated policy; the bounds are its stated objectives.

use marigold::measure::policy::{self, STRATEGIES};

const SEEDS: [u64; 2] = [1, 2];

#[test]
fn attainment_ordinary_load() {
    for seed in SEEDS {
        let metrics = policy::run_with(&policy::plan(seed, 0.6), 0);
        println!("seed {seed}: attained {:.4}, bound 0.995", metrics.attainment());
        assert!(metrics.attainment() >= 0.995, "seed {seed}: {:.4}", metrics.attainment());
        assert!(metrics.wasted_share() < 0.05, "seed {seed}: wasted {:.4}", metrics.wasted_share());
    }
}

#[test]
fn attainment_slow_targets_at_peak() {
    for seed in SEEDS {
        let by_strategy: Vec<_> = (0..STRATEGIES.len())
            .map(|i| policy::run_with(&policy::peak_with_slow_targets(seed), i))
            .collect();
        let policy_metrics = &by_strategy[0];
        let best = by_strategy[1..]
            .iter()
            .max_by(|a, b| a.attainment().total_cmp(&b.attainment()))
            .unwrap();
        let (misses, best_misses) = (1.0 - policy_metrics.attainment(), 1.0 - best.attainment());
        println!(
            "seed {seed}: misses {misses:.4}, best baseline {best_misses:.4}, bound half of that"
        );
        assert!(
            misses <= best_misses / 2.0,
            "seed {seed}: {misses:.4} against the best baseline with {best_misses:.4}"
        );
        assert!(
            policy_metrics.cost_per_answer() <= best.cost_per_answer(),
            "seed {seed}: costs more per answer than the best baseline"
        );
        assert!(
            policy_metrics.wasted_share() < 0.05,
            "seed {seed}: wasted {:.4}",
            policy_metrics.wasted_share()
        );
    }
}

#[test]
fn goodput_overload() {
    for seed in SEEDS {
        let ratio = policy::overload_ratio(seed, true);
        println!("seed {seed}: goodput at 2x over 1x {ratio:.3}, bound 0.95");
        assert!(ratio >= 0.95, "seed {seed}: {ratio:.3}");
    }
}

#[test]
fn attainment_after_burst() {
    for seed in SEEDS {
        let attained = policy::run_with(&policy::burst(seed), 0).attainment_between(35, 60);
        println!("seed {seed}: attained {attained:.4} from 5 s after the burst, bound 0.99");
        assert!(attained >= 0.99, "seed {seed}: {attained:.4}");
    }
}

#[test]
fn attainment_beside_greedy_customer() {
    for seed in SEEDS {
        let attained = policy::attainment_beside_greedy_customer(seed, true);
        println!("seed {seed}: others attain {attained:.4} beside a greedy customer, bound 0.99");
        assert!(attained >= 0.99, "seed {seed}: {attained:.4}");
    }
}

#[test]
fn metrics_same_seed() {
    let plan = policy::plan(7, 0.6);
    assert_eq!(policy::run_with(&plan, 0), policy::run_with(&plan, 0));
}
