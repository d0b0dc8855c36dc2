//! Digests of idempotency keys, bodies and tokens.

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::ids::{KeyDigest, Shard};

/// Digest of a key in the scope of a customer, a pipeline and a stage.
pub fn key(customer: &str, pipeline: &str, stage: &str, key: &str) -> KeyDigest {
    let mut hasher = Sha256::new();
    for part in [customer, pipeline, stage, key] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    let mut high = [0; 16];
    high.copy_from_slice(&hash[..16]);
    KeyDigest::from_be_bytes(high)
}

/// Shard of a key; `shards` is at least one.
pub fn shard(key: KeyDigest, shards: u16) -> Shard {
    (key % u128::from(shards.max(1))) as Shard
}

/// SHA-256 of a text in lower-case hexadecimal.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Short digest of a request body.
pub fn body(text: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}

/// Compares two hashes in constant time.
pub fn same_hash(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

/// Writes a key digest for the wire.
pub fn to_wire(key: KeyDigest) -> String {
    format!("{key:032x}")
}

/// Reads a key digest from the wire.
pub fn from_wire(text: &str) -> Option<KeyDigest> {
    KeyDigest::from_str_radix(text, 16).ok()
}
