//! Splits event streams whose bytes arrive in arbitrary chunks.

use marigold_core::events::Splitter;
use proptest::prelude::*;

#[test]
fn push_incomplete_event_is_buffered() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap(), "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert_eq!(splitter.push(b"ta: b\n").unwrap(), "");
    assert_eq!(splitter.push(b"\n").unwrap(), "id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn push_crlf_ends_events() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(b"id: 7\r\n\r").unwrap(), "");
    assert_eq!(splitter.push(b"\n").unwrap(), "id: 7\r\n\r\n");
    assert_eq!(splitter.last_id(), Some(7));
}

/// Guards against memory that counts as used after the events have been passed on, or not before.
#[test]
fn buffered_is_the_incomplete_event() {
    let mut splitter = Splitter::default();
    splitter.push(&[b'x'; 10_000]).unwrap();
    assert!(splitter.buffered() >= 10_000);
    splitter.push(b"\n\n").unwrap();
    assert_eq!(splitter.buffered(), 0);
}

#[test]
fn push_too_large_event_is_refused() {
    let mut splitter = Splitter::default();
    let result = (0..300).try_for_each(|_| splitter.push(&[b'x'; 1024]).map(drop));
    assert!(result.is_err());
}

#[test]
fn resume_keeps_the_last_id_until_an_event_has_one() {
    let mut splitter = Splitter::resume(Some(12));
    assert_eq!(splitter.last_id(), Some(12));
    splitter.push(b"data: no id\n\n").unwrap();
    assert_eq!(splitter.last_id(), Some(12));
}

proptest! {
    #[test]
    fn push_arbitrary_chunks_give_the_same_bytes(count in 1_usize..8, cuts in prop::collection::vec(0_usize..200, 0..10)) {
        let text: String = (1..=count).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id * 3))).collect();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.sort_unstable();
        cuts.push(text.len());
        let mut splitter = Splitter::default();
        let (mut start, mut seen) = (0, Vec::new());
        for cut in cuts {
            let events = splitter.push(&text.as_bytes()[start..cut]).unwrap();
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n"));
            seen.extend_from_slice(&events);
            start = cut;
        }
        prop_assert_eq!(seen, text.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(count as u64));
        prop_assert!(splitter.rest().is_empty());
    }
}
