//! Bounds on the policy in virtual time; the bounds are the stated targets.

use marigold::measure::policy::{self, STRATEGIES};

const SEEDS: [u64; 2] = [1, 2];

#[test]
fn attainment_ordinary_load() {
    for seed in SEEDS {
        let figures = policy::run_with(&policy::plan(seed, 0.6), 0);
        println!("seed {seed}: attained {:.4}, bound 0.995", figures.attainment());
        assert!(figures.attainment() >= 0.995, "seed {seed}: {:.4}", figures.attainment());
        assert!(figures.waste() < 0.05, "seed {seed}: wasted {:.4}", figures.waste());
    }
}

#[test]
fn attainment_slow_targets_at_peak() {
    for seed in SEEDS {
        let all: Vec<_> =
            (0..STRATEGIES.len()).map(|i| policy::run_with(&policy::slow_peak(seed), i)).collect();
        let ours = &all[0];
        let best =
            all[1..].iter().max_by(|a, b| a.attainment().total_cmp(&b.attainment())).unwrap();
        let (misses, best_misses) = (1.0 - ours.attainment(), 1.0 - best.attainment());
        println!(
            "seed {seed}: misses {misses:.4}, best baseline {best_misses:.4}, bound half of that"
        );
        assert!(misses <= best_misses / 2.0, "seed {seed}: {misses:.4} against {best_misses:.4}");
        assert!(
            ours.cost_per_answer() <= best.cost_per_answer(),
            "seed {seed}: dearer than the best baseline"
        );
        assert!(ours.waste() < 0.05, "seed {seed}: wasted {:.4}", ours.waste());
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
        let attained = policy::others_beside_greedy(seed, true);
        println!("seed {seed}: others attain {attained:.4} beside a greedy customer, bound 0.99");
        assert!(attained >= 0.99, "seed {seed}: {attained:.4}");
    }
}

#[test]
fn figures_same_seed() {
    let plan = policy::plan(7, 0.6);
    assert_eq!(policy::run_with(&plan, 0), policy::run_with(&plan, 0));
}
