//! Look-up of the route and the customer of a request.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::routes::{self, Content, Customer, Refusal, Repeat, Route, Routing, Stage};

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "Rent.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        streams: false,
        repeat: Repeat::Never,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(150),
        priority: 2,
        pools: vec![("ledger".to_owned(), 1)],
        max_attempts: 1,
        stages: Vec::new(),
        is_public: false,
        shares_prompts: false,
    }
}

fn routing(routes: Vec<Route>, keys: &[&str]) -> Routing {
    routing_with(routes, Some(keys))
}

/// Returns a configuration with a customer that has `keys`, or without customers.
fn routing_with(routes: Vec<Route>, keys: Option<&[&str]>) -> Routing {
    let customer = Arc::new(Customer { name: "treasury".to_owned(), priority: Some(1) });
    let key = |key: &&str| ((*key).to_owned(), Some(customer.clone()));
    let keys = keys.map(|keys| keys.iter().map(key).collect());
    Content { version: 7, routes, keys, ..Content::default() }.into()
}

#[test]
fn route_longest_prefix_wins() {
    let routing =
        routing(vec![route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")], &[]);
    let name = |path| routing.route("rent.example", path).map(|route| route.name.clone());
    assert_eq!(name("/a/b/x"), Ok("long".to_owned()));
    assert_eq!(name("/a/x"), Ok("short".to_owned()));
    assert_eq!(name("/ab/"), Err(Refusal::NoRoute));
}

#[test]
fn route_ignores_host_case_and_port() {
    let routing = routing(vec![route("only", "/a/")], &[]);
    assert!(routing.route("RENT.example:8080", "/a/").is_ok());
    assert_eq!(routing.route("other.example", "/a/").err(), Some(Refusal::NoRoute));
}

#[test]
fn customer_needs_a_key_unless_the_route_is_public() {
    let public = Route { is_public: true, ..route("public", "/p/") };
    let private = route("private", "/a/");
    let routing = routing(vec![], &["k1"]);
    let name = |customer: Option<Arc<Customer>>| customer.map(|customer| customer.name.clone());
    assert_eq!(routing.customer(&private, Some("k1")).map(name), Ok(Some("treasury".to_owned())));
    assert_eq!(routing.customer(&private, Some("k2")).err(), Some(Refusal::UnknownKey));
    assert_eq!(routing.customer(&private, None).err(), Some(Refusal::UnknownKey));
    assert_eq!(routing.customer(&public, None).map(name), Ok(None));
}

/// Once a customer had lost its last key, requests ran with keys that had been removed, with unknown ones and without one.
#[test]
fn customer_without_keys_needs_a_key_that_does_not_exist() {
    let routing = routing(vec![], &[]);
    let private = route("private", "/a/");
    assert!(routing.needs_key(&private));
    for key in [None, Some("removed"), Some("")] {
        assert_eq!(routing.customer(&private, key).err(), Some(Refusal::UnknownKey), "{key:?}");
    }
}

#[test]
fn customer_needs_no_key_without_customers_in_the_configuration() {
    let routing = routing_with(vec![], None);
    let private = route("private", "/a/");
    assert_eq!(routing.customer(&private, None).map(|customer| customer.is_none()), Ok(true));
    assert!(!routing.needs_key(&private));
}

/// A key that is not in the configuration may have been removed, with the list of customers or before.
#[test]
fn customer_unknown_key_is_refused_without_customers_in_the_configuration() {
    let routing = routing_with(vec![], None);
    let public = Route { is_public: true, ..route("public", "/p/") };
    assert_eq!(
        routing.customer(&route("private", "/a/"), Some("removed")).err(),
        Some(Refusal::UnknownKey)
    );
    assert!(routing.customer(&public, Some("removed")).is_ok());
}

#[test]
fn pool_split_follows_weights() {
    let pools = vec![("old".to_owned(), 90), ("new".to_owned(), 10)];
    let split = Route { pools, ..route("split", "/s/") };
    let to_new = (0..1_000).filter(|hash_point| split.pool(*hash_point) == "new").count();
    assert_eq!(to_new, 100);
}

#[test]
fn last_stages_have_no_dependents() {
    let stage =
        |after: &[usize]| Stage { pool: "p".to_owned(), after: after.to_vec(), result_bytes: 1 };
    let stages = vec![stage(&[]), stage(&[]), stage(&[1]), stage(&[2])];
    let route = Route { stages, ..route("chain", "/c/") };
    assert_eq!(route.last_stages().collect::<Vec<_>>(), [0, 3]);
}

fn stages(after: &[&[usize]]) -> Vec<Stage> {
    let stage =
        |after: &&[usize]| Stage { pool: "p".to_owned(), after: after.to_vec(), result_bytes: 1 };
    after.iter().map(stage).collect()
}

#[test]
fn is_acyclic_any_order() {
    assert!(routes::is_acyclic(&stages(&[])));
    assert!(routes::is_acyclic(&stages(&[&[], &[0], &[0, 1]])));
    assert!(routes::is_acyclic(&stages(&[&[1], &[2], &[]])));
    assert!(!routes::is_acyclic(&stages(&[&[0]])));
    assert!(!routes::is_acyclic(&stages(&[&[1], &[0]])));
    assert!(!routes::is_acyclic(&stages(&[&[], &[2]])));
}

#[test]
fn whole_weights_are_scaled_only_when_needed() {
    let weights = |weights: &[f64]| {
        let pools = weights.iter().map(|weight| ("p".to_owned(), *weight)).collect();
        let pools = routes::whole_weights(pools);
        pools.into_iter().map(|(_, weight)| weight).collect::<Vec<_>>()
    };
    assert_eq!(weights(&[90.0, 0.0, 10.0, -1.0]), [90, 10]);
    assert!(weights(&[]).is_empty());
    for split in [[0.9, 0.1], [9e12, 1e12]] {
        let scaled = weights(&split);
        let share = f64::from(scaled[0]) / (f64::from(scaled[0]) + f64::from(scaled[1]));
        assert!(scaled[1] > 0 && (0.89..0.91).contains(&share), "{scaled:?}");
    }
    assert_eq!(weights(&[f64::INFINITY, 1.0]), [u32::MAX, 1]);
}

#[test]
fn route_that_cannot_be_used_hides_shorter_prefixes() {
    let content = Content {
        routes: vec![route("short", "/")],
        unusable_routes: vec![("RENT.example".to_owned(), "/a/".to_owned())],
        ..Content::default()
    };
    let routing = Routing::from(content.clone());
    assert_eq!(routing.route("rent.example", "/a/x").err(), Some(Refusal::Unusable));
    assert!(routing.route("rent.example", "/b/").is_ok());
    assert_eq!(routing.route("other.example", "/a/").err(), Some(Refusal::NoRoute));
    let routing = Routing::from(Content { has_unread_routes: true, ..content });
    assert_eq!(routing.route("other.example", "/a/").err(), Some(Refusal::Unusable));
}

/// Guards against bounds that are longer than their numbers: times were rounded to the nearest nanosecond.
#[test]
fn bounded_time_is_never_longer() {
    let nanos = |time: Option<Duration>| time.map(|time| time.as_nanos());
    for (seconds, wanted) in
        [(1.4e-9, 1), (1.6e-9, 1), (0.9e-9, 0), (5.000_000_000_8, 5_000_000_000)]
    {
        assert_eq!(nanos(routes::bounded_time(seconds)), Some(wanted), "{seconds}");
    }
    for ms in 0..100_000_u32 {
        let time = routes::bounded_time(f64::from(ms) / 1_000.0);
        assert_eq!(time, Some(Duration::from_millis(ms.into())), "{ms} ms");
    }
}
