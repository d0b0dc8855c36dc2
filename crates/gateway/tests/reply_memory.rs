//! Tests of the memory that replies share while they are read.

use marigold_gateway::reply_memory::{Exhausted, ReplyMemory};

/// Guards against replies that together take more than there is, and against a share that is not given back.
#[test]
fn resize_shares_and_gives_back() {
    let memory = ReplyMemory::new(1_000);
    let (mut first, mut second) = (memory.open(100), memory.open(100));
    assert_eq!(first.resize(900), Ok(()));
    assert_eq!(second.resize(300), Ok(()));
    assert_eq!(second.resize(301), Err(Exhausted));
    assert_eq!(memory.open(100).resize(100), Ok(()), "its own part is not shared");
    assert_eq!(first.resize(50), Ok(()));
    assert_eq!(second.resize(1_100), Ok(()));
    drop(second);
    assert_eq!(first.resize(1_100), Ok(()));
    assert_eq!(first.resize(1_101), Err(Exhausted));
}
