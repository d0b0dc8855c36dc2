//! Counts of runs of a stand-in by operation.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde_json::Value;

/// Number of runs by operation.
#[derive(Default)]
pub struct RunCounts {
    counts: Mutex<BTreeMap<String, u64>>,
}

impl RunCounts {
    /// Counts a run of the operation of a request body and returns the new count.
    pub fn increment(&self, body: &Value) -> u64 {
        let mut counts = self.counts.lock();
        let count = counts.entry(operation(body)).or_default();
        *count += 1;
        *count
    }

    /// Returns all counts.
    pub fn all(&self) -> BTreeMap<String, u64> {
        self.counts.lock().clone()
    }
}

/// Returns the operation of a request body: the one in the input of the caller or, without it, the request ID.
pub fn operation(body: &Value) -> String {
    let name =
        body.pointer("/input/operation").or_else(|| body.get("request")).and_then(Value::as_str);
    name.unwrap_or("unnamed").to_owned()
}

/// Returns the digest of the input of the caller. Each stage returns it, so that tests detect mixed-up results.
pub fn input_digest(body: &Value) -> String {
    marigold_core::digest::body(&body.get("input").unwrap_or(&Value::Null).to_string())
}
