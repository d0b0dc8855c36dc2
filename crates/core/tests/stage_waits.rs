//! Waits of a stage pool, from which gateways learn that a request cannot be on time.

use std::time::Duration;

use marigold_core::admission;
use marigold_core::ids::Uptime;
use marigold_core::stage_waits::{ToldWaits, WaitMeter, Waits};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waits(meter: &WaitMeter, queued: &[(u8, Uptime)], now: Uptime) -> Waits {
    meter.waits(queued.iter().copied(), now)
}

/// In an overload, pieces of low priority wait until their inputs expire, for 3.7 s. Their wait was learned when they were
/// refused, and meanwhile all others of their kind were admitted to the same end.
#[test]
fn waits_of_starved_pieces_are_known_while_they_wait() {
    let mut meter = WaitMeter::default();
    for call in 0..20 {
        meter.observe(0, ms(50), ms(100 * call));
    }
    let waits = waits(&meter, &[(8, ms(900)), (8, ms(1_700))], ms(2_000));
    assert_eq!(waits[&8], ms(1_100));
    assert_eq!(waits[&0], ms(50));
    // A request with an objective of 1.8 s, of which its work takes 1.1 s.
    let wait = ToldWaits::new(waits, ms(2_000)).expected(8, ms(2_100)).unwrap();
    let refused = admission::refusal_probability(ms(1_100) + wait, ms(1_100), ms(1_800));
    assert!(refused > 0.9, "{refused}");
}

#[test]
fn waits_end_with_the_overload() {
    let mut meter = WaitMeter::default();
    meter.observe(8, ms(1_500), ms(1_000));
    assert_eq!(waits(&meter, &[], ms(1_500))[&8], ms(1_500));
    assert_eq!(waits(&meter, &[], ms(5_000))[&8], ms(0));
}

/// Pieces of a priority that nobody has sent lately have to wait for the more urgent ones, and not for the others.
#[test]
fn waits_of_more_urgent_pieces_delay_others() {
    let told = ToldWaits::new(Waits::from([(4, ms(300)), (9, ms(900))]), ms(0));
    assert_eq!(told.expected(0, ms(10)), Some(ms(0)));
    assert_eq!(told.expected(5, ms(10)), Some(ms(300)));
    assert_eq!(told.expected(10, ms(10)), Some(ms(900)));
}

#[test]
fn waits_that_are_old_do_not_count() {
    let told = ToldWaits::new(Waits::from([(4, ms(300))]), ms(500));
    assert_eq!(told.expected(4, ms(1_500)), Some(ms(300)));
    assert_eq!(told.expected(4, ms(1_501)), None);
}
