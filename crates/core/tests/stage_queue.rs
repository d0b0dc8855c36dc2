//! Selection of pieces for calls, and refusal of pieces, under the peak loads of the deployments.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::stage_queue::{Offer, QueuedPiece, StageQueue};

const CALL: Duration = Duration::from_millis(280);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn piece(group: u64, due: u64, priority: u8) -> QueuedPiece<u64> {
    QueuedPiece {
        ticket: group,
        group,
        queued_at: ms(1_000),
        due: ms(due),
        expires: ms(due + 7_000),
        priority,
        result_bytes: 3,
        has_inputs: false,
        preferred_data_centre: None,
    }
}

fn dequeue(
    queue: &mut StageQueue<u64>,
    now: u64,
    centre: &str,
    max_pieces: usize,
    free_bytes: u64,
) -> Vec<u64> {
    let centres = BTreeSet::from(["north", "south"]);
    let offer = Offer {
        data_centre: centre,
        pool_data_centres: &centres,
        max_pieces,
        call_duration: CALL,
        free_bytes,
    };
    queue.dequeue_batch(ms(now), &offer).into_iter().map(|piece| piece.ticket).collect()
}

fn queue(pieces: impl IntoIterator<Item = QueuedPiece<u64>>) -> StageQueue<u64> {
    let mut queue = StageQueue::default();
    pieces.into_iter().for_each(|piece| queue.push(piece));
    queue
}

#[test]
fn dequeue_batch_most_urgent_first() {
    let mut queue = queue([piece(1, 3_000, 1), piece(2, 2_000, 1), piece(3, 2_100, 1)]);
    assert_eq!(dequeue(&mut queue, 1_000, "north", 2, 100), [2, 3]);
}

#[test]
fn dequeue_batch_priority_outweighs_a_small_difference_in_time() {
    let mut queue = queue([piece(1, 2_000, 2), piece(2, 2_200, 0)]);
    assert_eq!(dequeue(&mut queue, 1_000, "north", 1, 100), [2]);
}

#[test]
fn dequeue_batch_request_is_not_split() {
    let mut queue = queue([
        piece(1, 2_000, 0),
        piece(1, 2_000, 0),
        piece(2, 2_100, 0),
        piece(2, 2_100, 0),
        piece(3, 2_200, 0),
    ]);
    assert_eq!(dequeue(&mut queue, 1_000, "north", 3, 100), [1, 1, 3]);
    assert_eq!(dequeue(&mut queue, 1_000, "north", 3, 100), [2, 2]);
}

#[test]
fn dequeue_batch_request_larger_than_a_call_is_split() {
    let mut queue = queue((0..5).map(|_| piece(1, 2_000, 0)));
    assert_eq!(dequeue(&mut queue, 1_000, "north", 3, 100).len(), 3);
    assert_eq!(dequeue(&mut queue, 1_000, "north", 3, 100).len(), 2);
}

#[test]
fn dequeue_batch_free_memory_limits_the_results() {
    let mut queue = queue([piece(1, 2_000, 0), piece(2, 2_100, 0), piece(3, 2_200, 0)]);
    assert_eq!(dequeue(&mut queue, 1_000, "north", 10, 7), [1, 2]);
    assert!(dequeue(&mut queue, 1_000, "north", 10, 0).is_empty());
}

#[test]
fn dequeue_batch_remote_target_is_not_used_while_there_is_time() {
    let piece_in_south =
        |due| QueuedPiece { preferred_data_centre: Some("south".to_owned()), ..piece(1, due, 0) };
    let mut not_urgent = queue([piece_in_south(3_000)]);
    assert!(dequeue(&mut not_urgent, 1_000, "north", 10, 100).is_empty());
    assert_eq!(dequeue(&mut not_urgent, 1_000, "south", 10, 100), [1]);
    let mut urgent = queue([piece_in_south(1_500)]);
    assert_eq!(dequeue(&mut urgent, 1_000, "north", 10, 100), [1]);
}

#[test]
fn dequeue_batch_remote_target_is_used_after_one_call() {
    let mut queue = queue([QueuedPiece {
        preferred_data_centre: Some("south".to_owned()),
        ..piece(1, 9_000, 0)
    }]);
    assert_eq!(dequeue(&mut queue, 1_000 + 280, "north", 10, 100), [1]);
}

#[test]
fn dequeue_batch_does_not_wait_for_a_data_centre_without_targets() {
    let mut queue = queue([QueuedPiece {
        preferred_data_centre: Some("west".to_owned()),
        ..piece(1, 9_000, 0)
    }]);
    assert_eq!(dequeue(&mut queue, 1_000, "north", 10, 100), [1]);
}

/// Under a burst of high-priority requests beyond capacity, pieces that can be on time precede late ones.
#[test]
fn dequeue_batch_burst_late_pieces_do_not_displace_others() {
    let late = (0..10).map(|group| piece(group, 1_100, 0));
    let on_time = (100..105).map(|group| piece(group, 2_500, 2));
    let mut queue = queue(late.chain(on_time));
    assert_eq!(dequeue(&mut queue, 1_000, "north", 5, 100), [100, 101, 102, 103, 104]);
}

/// In the same burst, late pieces far back in the queue are refused early, and those near its head are served.
#[test]
fn dequeue_unserviceable_burst_late_pieces_far_back_are_refused_early() {
    let rate = 10.0;
    let mut queue = queue((0..30).map(|group| piece(group, 1_100, 0)));
    let refused = queue.dequeue_unserviceable(ms(1_000), CALL, rate).len();
    assert_eq!((refused, queue.len()), (22, 8));
}

/// Guards against starvation of late pieces until their deadline: most targets of a pool have crashed, and pieces that
/// can be on time keep arriving.
#[test]
fn dequeue_unserviceable_crash_late_pieces_do_not_starve() {
    let mut queue = queue([piece(1, 1_100, 0)]);
    assert!(queue.dequeue_unserviceable(ms(1_500), CALL, 10.0).is_empty());
    assert_eq!(queue.dequeue_unserviceable(ms(1_600), CALL, 10.0).len(), 1);
}

#[test]
fn dequeue_unserviceable_keeps_pieces_that_can_be_on_time() {
    let mut queue = queue((0..30).map(|group| piece(group, 6_000, 0)));
    assert!(queue.dequeue_unserviceable(ms(1_000), CALL, 10.0).is_empty());
}

#[test]
fn dequeue_unserviceable_deadline_leaves_no_time_for_a_call() {
    let mut queue = queue([QueuedPiece { expires: ms(1_200), ..piece(1, 1_150, 0) }]);
    assert_eq!(queue.dequeue_unserviceable(ms(1_000), CALL, 10.0).len(), 1);
}

/// Refusing a request in its last stage wastes the calls of all earlier stages.
#[test]
fn dequeue_unserviceable_burst_keeps_pieces_with_inputs() {
    let mut queue =
        queue((0..30).map(|group| QueuedPiece { has_inputs: true, ..piece(group, 1_100, 0) }));
    assert!(queue.dequeue_unserviceable(ms(1_000), CALL, 10.0).is_empty());
}

#[test]
fn dequeue_batch_late_pieces_with_inputs_go_first() {
    let mut queue =
        queue([piece(1, 1_100, 0), QueuedPiece { has_inputs: true, ..piece(2, 1_150, 0) }]);
    assert_eq!(dequeue(&mut queue, 1_000, "north", 1, 100), [2]);
}

/// A stage of which some pieces were already sent would run twice if its others were moved to another gateway.
#[test]
fn dequeue_whole_groups_keeps_groups_with_pieces_in_calls() {
    let pieces =
        [(1, 2), (2, 3), (3, 1)].map(|(group, queued)| vec![piece(group, 2_000, 1); queued]);
    let mut queue = queue(pieces.into_iter().flatten());
    let whole = queue.dequeue_whole_groups(|_| 3);
    assert_eq!(whole.iter().map(|piece| piece.group).collect::<Vec<_>>(), [2, 2, 2]);
    assert_eq!(queue.len(), 3);
}
