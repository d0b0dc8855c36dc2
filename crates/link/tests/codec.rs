//! Tests of the codec between processes: any bytes decode to a message or an error, and memory stays bounded.

use marigold_link::codec::{self, Decoder, Error, MAX_FRAME_BYTES, MessageMemory};
use marigold_schema::messages::{Heartbeat, Pull, Reply, Report, Request, ShardLicence};
use proptest::prelude::*;

/// Limit of the control traffic of a process, in bytes per second.
const MAX_CONTROL_BYTES_PER_S: usize = 25_000;
/// Links of an entry at the size that the system is designed for: 12,000 targets with 3 entries each, over 330
/// entries.
const LINKS_AT_FULL_SIZE: usize = 12_000 * 3 / 330 + 1;
/// Bytes of TCP, IP and HTTP/2 framing around a heartbeat and its report, on loopback.
const FRAMING_BYTES: usize = 120;

fn entry() -> marigold_schema::messages::EntryRef {
    marigold_schema::messages::EntryRef {
        name: "entry-braila-1".to_owned(),
        incarnation: 1_796_000_000_000,
        address: "10.12.34.56:7301".to_owned(),
    }
}

proptest! {
    #[test]
    fn decode_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = Decoder::default();
        decoder.extend(&bytes).unwrap();
        while let Ok(Some(_)) = decoder.next_message::<Request>() {}
    }

    #[test]
    fn decode_in_chunks(revision in any::<u64>(), cut in 1..20_usize) {
        let frame = codec::encode(&Request::Pull(Pull { revision })).unwrap();
        let mut decoder = Decoder::default();
        for chunk in frame.chunks(cut) {
            prop_assert!(decoder.next_message::<Request>().unwrap().is_none());
            decoder.extend(chunk).unwrap();
        }
        let decoded = decoder.next_message::<Request>().unwrap();
        prop_assert_eq!(decoded, Some(Request::Pull(Pull { revision })));
        prop_assert!(decoder.finish().is_ok());
    }

    #[test]
    fn decode_truncated(cut in 1..12_usize) {
        let frame = codec::encode(&Request::Pull(Pull { revision: u64::MAX })).unwrap();
        let mut decoder = Decoder::default();
        decoder.extend(&frame[..frame.len() - cut]).unwrap();
        prop_assert!(decoder.next_message::<Request>().unwrap().is_none());
        prop_assert!(decoder.finish().is_err());
    }
}

#[test]
fn decode_oversize_frame() {
    let mut decoder = Decoder::default();
    decoder.extend(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()).unwrap();
    assert!(decoder.next_message::<Request>().is_err(), "the length alone must be refused");
}

#[test]
fn decode_trailing_bytes() {
    let mut frame = codec::encode(&Request::Pull(Pull { revision: 1 })).unwrap().to_vec();
    frame.push(0);
    let len = frame.len() as u32 - 4;
    frame[..4].copy_from_slice(&len.to_be_bytes());
    let mut decoder = Decoder::default();
    decoder.extend(&frame).unwrap();
    assert!(decoder.next_message::<Request>().is_err());
}

#[test]
fn heartbeat_bytes_at_full_size() {
    let heartbeat =
        Request::Heartbeat(Heartbeat { sender: entry(), revision: 51_000, slice: None });
    let licence = ShardLicence { shard: 3, epoch: 12, enrolled: true, via: Vec::new() };
    let report = Reply::Report(Report {
        target: "assistants-12000".to_owned(),
        incarnation: 1_796_000_000_000,
        leaving: false,
        in_flight: 32,
        queued: 12,
        revision: 51_000,
        slice_revision: 50_000,
        heartbeat_ms: 1_000,
        licences: vec![licence],
    });
    let bytes = codec::encode(&heartbeat).unwrap().len()
        + codec::encode(&report).unwrap().len()
        + FRAMING_BYTES;
    let total = bytes * LINKS_AT_FULL_SIZE;
    println!(
        "{bytes} B per heartbeat, {total} B/s over {LINKS_AT_FULL_SIZE} links, limit {MAX_CONTROL_BYTES_PER_S}"
    );
    assert!(total <= MAX_CONTROL_BYTES_PER_S);
}

/// Guards against many incomplete messages that together fill the memory, and against a share that is not given back.
#[test]
fn incomplete_messages_share_memory() {
    const PART_BYTES: usize = 1024 * 1024;
    const STREAMS: usize = 40;
    let memory = MessageMemory::default();
    let part = [&(MAX_FRAME_BYTES as u32).to_be_bytes()[..], &[0; PART_BYTES]].concat();
    for _ in 0..2 {
        let mut decoders: Vec<Decoder> =
            (0..STREAMS).map(|_| Decoder::new(memory.clone())).collect();
        let kept = decoders.iter_mut().filter_map(|decoder| decoder.extend(&part).ok()).count();
        assert!((MAX_FRAME_BYTES / PART_BYTES..STREAMS / 2).contains(&kept), "{kept}");
        let mut small = Decoder::new(memory.clone());
        small.extend(&part[..1024]).unwrap();
        let refused = decoders.last_mut().unwrap().extend(&part);
        assert!(matches!(refused, Err(Error::NoMemory)), "{refused:?}");
    }
}
