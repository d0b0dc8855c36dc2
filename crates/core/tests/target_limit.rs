//! Limits that targets name in their replies.

use std::time::Duration;

use marigold_core::target_limit::{self, Ask, Grant, Grants, Notice};

fn notice(per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> Notice {
    let (sent_at, received_at) =
        (Duration::from_millis(sent_ms), Duration::from_millis(received_ms));
    Notice { per_s, sent_at, received_at }
}

fn assert_merged(a: Notice, b: Notice, expected: Notice) {
    assert_eq!(a.merge(b), expected);
    assert_eq!(b.merge(a), expected);
}

#[test]
fn merge_later_reply_replaces_earlier_one() {
    let (limit, end) = (notice(Some(2.0), 10, 20), notice(None, 20, 30));
    assert_merged(limit, end, end);
    let raised = notice(Some(5.0), 21, 30);
    assert_merged(limit, raised, raised);
}

/// A reply without a limit that was overtaken by one with a limit must not end it.
#[test]
fn merge_overtaken_reply_does_not_end_the_limit() {
    let limit = notice(Some(2.0), 10, 20);
    assert_merged(limit, notice(None, 5, 30), limit);
    assert_merged(limit, notice(None, 5, 15), limit);
    assert_merged(limit, notice(None, 0, 10), limit);
}

#[test]
fn merge_lower_limit_stays_if_the_order_is_unknown() {
    let low = notice(Some(0.5), 10, 20);
    assert_merged(low, notice(Some(2.0), 12, 18), low);
}

fn ask(gateway: &str, priority: u8, customer: &str, wanted: u32) -> Ask {
    Ask { gateway: gateway.to_owned(), priority, customer: Some(customer.to_owned()), wanted }
}

/// Asks each `step_ms` in turn for `seconds`, and returns the times of all granted requests.
fn run(
    grants: &mut Grants,
    limit: f64,
    reachable: f64,
    seconds: u64,
    step_ms: u64,
    asks: &[Ask],
) -> Vec<(u64, usize)> {
    let rate = target_limit::granted_rate(limit, reachable);
    let mut sent = Vec::new();
    for (number, ms) in (0..seconds * 1_000).step_by(step_ms as usize).enumerate() {
        let index = number % asks.len();
        let now = Duration::from_millis(ms);
        if let Grant::Granted(count) = grants.ask(now, limit, rate, asks[index].clone()) {
            sent.extend((0..count).map(|_| (ms, index)));
        }
    }
    sent
}

fn busiest_window(sent: &[(u64, usize)]) -> usize {
    let count = |from: u64| sent.iter().filter(|(at, _)| (from..from + 4_000).contains(at)).count();
    sent.iter().map(|(at, _)| count(*at)).max().unwrap_or(0)
}

/// Two owners of one limit, whose gateways cannot agree, stay within one and a half times the limit and five requests.
#[test]
fn ask_two_owners_stay_within_the_bound() {
    for limit in [0.0, 0.1, 0.5, 1.0, 2.0, 7.5, 40.0, 1_000.0] {
        let asks = [ask("a", 0, "c", 64), ask("b", 0, "c", 64)];
        let mut sent: Vec<(u64, usize)> = Vec::new();
        for _ in 0..2 {
            let mut owner = Grants::new(Duration::ZERO);
            // One owner has been idle, so that its bucket is full.
            owner.ask(Duration::ZERO, limit, 1_000.0, ask("a", 0, "c", 0));
            sent.extend(run(&mut owner, limit, 1.0, 20, 5, &asks));
        }
        let busiest = busiest_window(&sent);
        assert!(busiest as f64 <= 6.0 * limit + 5.0, "limit {limit}: {busiest} in 4 s");
        assert!(busiest as f64 >= 2.0 * 4.0 * 0.6 * limit, "limit {limit}: only {busiest} in 4 s");
    }
}

/// Parts of a divided cluster together grant no more than the undivided one.
#[test]
fn granted_rate_of_partitions_adds_up() {
    let parts = [0.5, 0.25, 0.25];
    let sum: f64 = parts.iter().map(|part| target_limit::granted_rate(10.0, *part)).sum();
    assert!(sum <= target_limit::granted_rate(10.0, 1.0) + 1e-9);
}

/// With 330 gateways and one request a second, each gateway still gets its turn, and the asks stay few.
#[test]
fn ask_330_gateways_share_one_request_a_second() {
    let mut grants = Grants::new(Duration::ZERO);
    let rate = target_limit::granted_rate(1.0, 1.0);
    let mut ask_at: Vec<u64> = (0..330).collect();
    let (mut sent, mut asks) = (vec![0_u32; 330], 0);
    for ms in 0..60_000 {
        for gateway in 0..330 {
            if ask_at[gateway] > ms {
                continue;
            }
            asks += 1;
            let now = Duration::from_millis(ms);
            match grants.ask(now, 1.0, rate, ask(&format!("g{gateway}"), 0, "c", 1)) {
                Grant::Granted(count) => {
                    sent[gateway] += count;
                    ask_at[gateway] = ms + 1;
                }
                Grant::Denied { wait, .. } => ask_at[gateway] = ms + wait.as_millis() as u64,
            }
        }
    }
    let total: u32 = sent.iter().sum();
    assert!((35..=44).contains(&total), "{total} in 60 s");
    println!("{asks} asks in 60 s, {total} granted");
    assert!(asks <= 330 * 15, "{asks} asks in 60 s");
}

#[test]
fn ask_urgent_requests_come_first() {
    let asks = [ask("a", 0, "c", 1), ask("a", 4, "c", 1), ask("b", 4, "c", 1)];
    let sent = run(&mut Grants::new(Duration::ZERO), 2.0, 1.0, 60, 20, &asks);
    let urgent = sent.iter().filter(|(_, index)| *index == 0).count();
    assert!(urgent * 10 >= sent.len() * 9, "{urgent} of {} are urgent", sent.len());
}

#[test]
fn ask_customers_get_equal_shares() {
    let mut asks = vec![ask("a", 0, "large", 1); 9];
    asks.push(ask("a", 0, "small", 1));
    let sent = run(&mut Grants::new(Duration::ZERO), 2.0, 1.0, 60, 20, &asks);
    let small = sent.iter().filter(|(_, index)| *index == 9).count();
    assert!(small * 10 >= sent.len() * 4, "{small} of {} for the small customer", sent.len());
}

#[test]
fn ask_alone_uses_the_whole_rate() {
    let sent = run(&mut Grants::new(Duration::ZERO), 10.0, 1.0, 20, 5, &[ask("a", 0, "c", 8)]);
    assert!((135..=144).contains(&sent.len()), "{} in 20 s", sent.len());
}

#[test]
fn retry_after_urgent_callers_return_first() {
    use rand::SeedableRng as _;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let time_left = Duration::from_secs(3);
    for _ in 0..100 {
        let urgent = target_limit::retry_after(time_left, 0, &mut rng);
        let other = target_limit::retry_after(time_left, 200, &mut rng);
        assert!(urgent < other && other <= time_left / 3, "{urgent:?} {other:?}");
    }
}

/// A cold target took more than it could bear if its own limit replaced the cold rate, or the other way round.
#[test]
fn in_force_is_the_stricter_limit() {
    assert_eq!(target_limit::in_force(None, None), None);
    assert_eq!(target_limit::in_force(Some(2.0), None), Some(2.0));
    assert_eq!(target_limit::in_force(None, Some(8.0)), Some(8.0));
    assert_eq!(target_limit::in_force(Some(2.0), Some(8.0)), Some(2.0));
    assert_eq!(target_limit::in_force(Some(20.0), Some(8.0)), Some(8.0));
}

/// Two gateways that take themselves for the owner must together stay below the rate at which a cold target crashes, also in
/// the first second of a burst, when the buckets of both are full.
#[test]
fn cold_rate_of_two_owners_stays_below_the_bound() {
    for limit in [0.5, 1.0, 4.0, 8.0, 12.0, 20.0] {
        let rate = target_limit::granted_rate(limit, 1.0);
        let mut owners = [Grants::new(Duration::ZERO), Grants::new(Duration::ZERO)];
        let mut sent = 0;
        for ms in 60_000..61_000 {
            for owner in &mut owners {
                let grant = owner.ask(Duration::from_millis(ms), limit, rate, ask("g", 0, "a", 64));
                sent += if let Grant::Granted(count) = grant { count } else { 0 };
            }
        }
        println!("cold rate {limit}: {sent} in the first second of a burst");
        assert!(sent <= (1.5 * limit + 5.0) as u32, "{sent} at {limit}");
    }
}

/// Guards against a bucket that denies what a cold target can bear: each denied request asks for another target.
#[test]
fn cold_rate_far_above_the_demand_denies_few() {
    let limit = 8.0;
    let rate = target_limit::granted_rate(limit, 1.0);
    let mut grants = Grants::new(Duration::ZERO);
    let (mut granted, mut denied) = (0, 0);
    // 2 requests a second on the average, at irregular times, of several gateways and customers.
    let mut at = Duration::from_secs(1);
    for number in 0..2_000_u64 {
        at += Duration::from_millis(number * 7_919 % 1_000);
        let gateway = format!("g{}", number * 31 % 20);
        let customer = format!("c{}", number * 17 % 3);
        match grants.ask(at, limit, rate, ask(&gateway, 0, &customer, 1)) {
            Grant::Granted(_) => granted += 1,
            Grant::Denied { .. } => denied += 1,
        }
    }
    println!("granted {granted}, denied {denied}");
    assert!(denied * 5 <= granted, "granted {granted}, denied {denied}");
}
