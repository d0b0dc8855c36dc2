//! Memory for results, which bounds the throughput of a pool whose results are large or needed for long.

use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::result_memory::ResultMemory;

const CAPACITY: u64 = 100;

const fn ms(ms: u64) -> Uptime {
    Duration::from_millis(ms)
}

fn handles(numbers: std::ops::Range<u64>) -> Vec<String> {
    numbers.map(|number| format!("result-{number}")).collect()
}

/// Runs a call from 0 to 300 ms that makes `made` results of one byte.
fn run_call(memory: &mut ResultMemory, made: std::ops::Range<u64>) {
    let call = memory.start_call(made.end - made.start, ms(0));
    memory.end_call(call);
    for handle in handles(made) {
        memory.add(handle, 1, ms(4_000));
    }
}

/// In a burst, calls fill the memory of their targets, and most of it is freed while the next call runs. One result that did
/// not fit made a target count as full for a second.
#[test]
fn on_full_what_was_freed_during_the_call_is_free() {
    let mut memory = ResultMemory::default();
    run_call(&mut memory, 0..60);
    let call = memory.start_call(40, ms(400));
    memory.free(&handles(0..60));
    memory.end_call(call);
    for handle in handles(60..98) {
        memory.add(handle, 1, ms(4_000));
    }
    memory.on_full(call, CAPACITY, 38, ms(700));
    assert_eq!(memory.used(ms(700)), 40);
}

/// Results of another owner, or whose handles were lost, use memory until they expire.
#[test]
fn on_full_unknown_results_count_for_a_while() {
    let mut memory = ResultMemory::default();
    let call = memory.start_call(40, ms(0));
    memory.end_call(call);
    for handle in handles(0..10) {
        memory.add(handle, 1, ms(4_000));
    }
    memory.on_full(call, CAPACITY, 10, ms(300));
    assert_eq!(memory.used(ms(300)), 100);
    assert_eq!(memory.used(ms(1_050)), 55);
    assert_eq!(memory.used(ms(1_800)), 10);
}

#[test]
fn used_counts_running_calls_and_results_until_they_expire() {
    let mut memory = ResultMemory::default();
    run_call(&mut memory, 0..10);
    let call = memory.start_call(30, ms(100));
    assert_eq!(memory.used(ms(200)), 40);
    memory.end_call(call);
    assert_eq!(memory.used(ms(3_999)), 10);
    assert_eq!(memory.used(ms(4_000)), 0);
}

/// Results whose handles did not arrive fill the target without being counted.
#[test]
fn add_lost_counts_until_the_results_expire() {
    let mut memory = ResultMemory::default();
    let call = memory.start_call(300, Duration::from_millis(0));
    memory.end_call(call);
    memory.add_lost(300, Duration::from_millis(4_000));
    assert_eq!(memory.used(Duration::from_millis(3_999)), 300);
    assert_eq!(memory.used(Duration::from_millis(4_000)), 0);
}
