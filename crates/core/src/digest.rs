//! Digests of idempotency keys, bodies and tokens.

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::ids::{KeyDigest, Shard};

/// Returns the digest of an idempotency key in the scope of a customer, a pipeline and a stage.
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

/// Returns the shard of a key; a `shards` of zero counts as one.
pub fn shard(key: KeyDigest, shards: u16) -> Shard {
    (key % u128::from(shards.max(1))) as Shard
}

/// Returns the SHA-256 of a text in lower-case hexadecimal.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the 64-bit digest of a request body in hexadecimal.
pub fn body(text: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}

/// Returns whether two hashes are equal; compares them in constant time.
pub fn same_hash(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}

/// Formats a key digest for messages.
pub fn to_wire(key: KeyDigest) -> String {
    format!("{key:032x}")
}

/// Parses a key digest from a message; none if it is not a hexadecimal number of at most 128 bits.
pub fn from_wire(text: &str) -> Option<KeyDigest> {
    KeyDigest::from_str_radix(text, 16).ok()
}
