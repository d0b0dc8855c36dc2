//! Tests that a view updated by changes equals one compiled from all items, at a small part of the cost.

use std::time::Duration;

use marigold_core::head::{self, Items};
use marigold_core::router::{Candidate, ExpectedCompletion, Load, Strategy as _};
use marigold_core::view::View;
use proptest::prelude::*;
use rand::SeedableRng as _;

fn customer(serial: usize) -> (String, String) {
    let token = marigold_core::digest::sha256_hex(&format!("token-{serial}"));
    (format!("customer/c{serial}"), format!(r#"{{"token_sha256":"{token}","weight":1}}"#))
}

fn target(serial: usize, pool: usize) -> (String, String) {
    let address = format!("10.0.{}.{}:7400", serial / 250, serial % 250);
    (
        format!("target/t{serial}"),
        format!(r#"{{"pool":"p{pool}","data_centre":"d","address":"{address}"}}"#),
    )
}

fn items(customers: usize, targets: usize, pools: usize) -> Items {
    let mut items: Items = (0..customers).map(customer).collect();
    items.extend(
        (0..pools).map(|pool| (format!("pool/p{pool}"), r#"{"kind":"encoder"}"#.to_owned())),
    );
    items.extend((0..targets).map(|serial| target(serial, serial % pools.max(1))));
    items
}

fn change() -> impl Strategy<Value = (String, Option<String>)> {
    let item = prop_oneof![
        (0..6_usize).prop_map(customer),
        (0..8_usize, 0..3_usize).prop_map(|(serial, pool)| target(serial, pool)),
        (0..3_usize, 1..9_u32).prop_map(|(pool, n)| (
            format!("pool/p{pool}"),
            format!(r#"{{"kind":"encoder","concurrency":{n}}}"#)
        )),
        prop_oneof![Just("peak"), Just("ordinary")]
            .prop_map(|name| ("in_force/preset".to_owned(), format!("\"{name}\""))),
        (1..4_u32).prop_map(|scale| (
            "preset/peak".to_owned(),
            format!(r#"{{"concurrency_scale":{scale}.0}}"#)
        )),
        (0..8_usize).prop_map(|serial| (format!("draining/t{serial}"), "true".to_owned())),
    ];
    (item, any::<bool>()).prop_map(|((key, value), is_set)| (key, is_set.then_some(value)))
}

/// Returns the parts of a view that affect requests.
fn visible(view: &View) -> Vec<String> {
    let pools = view.pools.values().map(|pool| {
        format!("{} {} {:?} {:?}", pool.name, pool.concurrency, pool.targets, pool.slice.preset)
    });
    let customers = (0..6).map(|i| format!("{:?}", view.authenticate(&format!("token-{i}"))));
    let rest = [format!("{:?} {:?} {:?}", view.preset_name, view.preset, view.draining)];
    pools.chain(customers).chain(rest).collect()
}

proptest! {
    #[test]
    fn apply_equals_compile(changes in proptest::collection::vec(change(), 1..60)) {
        let (mut view, mut items) = (View::default(), Items::new());
        for (i, change) in changes.into_iter().enumerate() {
            head::apply(&mut items, [change.clone()]);
            view = view.apply(i as u64 + 1, [change]).unwrap();
        }
        prop_assert_eq!(visible(&view), visible(&View::compile(view.revision, &items).unwrap()));
    }
}

#[test]
fn allocations_customer_change() {
    for (customers, targets) in [(5, 10), (500, 1_000), (4_700, 12_000)] {
        let items = items(customers, targets, 20);
        let mut view = None;
        let all = allocation_counter::measure(|| view = Some(View::compile(1, &items).unwrap()));
        let (key, value) = customer(3);
        let mut next = None;
        let one = allocation_counter::measure(|| {
            next = Some(
                view.as_ref().unwrap().apply(2, [(key.clone(), Some(value.clone()))]).unwrap(),
            );
        });
        println!(
            "{customers} customers, {targets} targets: one change takes {} allocations and {} B, all items {} allocations; bound 1% of those plus 64",
            one.count_total, one.bytes_total, all.count_total
        );
        assert!(one.count_total <= all.count_total / 100 + 64);
    }
}

#[test]
fn allocations_routing() {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    for targets in [10, 100, 1_000] {
        let load = Load::default();
        let candidate = Candidate {
            load: load.snapshot(Duration::ZERO),
            concurrency: 16,
            round_trip: Duration::from_millis(1),
            has_prefix: false,
        };
        let candidates = vec![candidate; targets];
        let picked = allocation_counter::measure(|| {
            ExpectedCompletion.pick(&candidates, &mut rng);
        });
        println!("{targets} targets: {} allocations per choice, bound 16", picked.count_total);
        assert!(picked.count_total <= 16);
    }
}

#[test]
fn memory_configuration_at_full_size() {
    /// Memory limit of a process.
    const PROCESS_BYTES: i64 = 64_000_000;
    /// The configuration may use one part in this many; links, requests and the allocator need the rest.
    const SHARE: i64 = 3;
    let (customers, targets) = (4_700, 12_000);
    let mut kept = None;
    let live = allocation_counter::measure(|| {
        let items = items(customers, targets, 20);
        let view = View::compile(1, &items).unwrap();
        kept = Some((items, view));
    });
    println!(
        "{customers} customers and {targets} targets: {} B live, {} B at the peak; bound {}",
        live.bytes_current,
        live.bytes_max,
        PROCESS_BYTES / SHARE
    );
    assert!(live.bytes_current <= PROCESS_BYTES / SHARE);
}
