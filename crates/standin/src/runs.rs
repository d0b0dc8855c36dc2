//! Counts of what a stand-in ran, by operation.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde_json::Value;

/// Runs by operation.
#[derive(Default)]
pub struct Runs {
    counts: Mutex<BTreeMap<String, u64>>,
}

impl Runs {
    /// Counts one run of the operation that a body names, and gives the count.
    pub fn count(&self, body: &Value) -> u64 {
        let mut counts = self.counts.lock();
        let count = counts.entry(operation(body)).or_default();
        *count += 1;
        *count
    }

    /// All counts.
    pub fn all(&self) -> BTreeMap<String, u64> {
        self.counts.lock().clone()
    }
}

/// Operation that a body names: the caller's own, or the request.
pub fn operation(body: &Value) -> String {
    let named =
        body.pointer("/input/operation").or_else(|| body.get("request")).and_then(Value::as_str);
    named.unwrap_or("unnamed").to_owned()
}

/// Digest of the caller's input, which every stage repeats so that crossed results show.
pub fn input_digest(body: &Value) -> String {
    marigold_core::digest::body(&body.get("input").unwrap_or(&Value::Null).to_string())
}
