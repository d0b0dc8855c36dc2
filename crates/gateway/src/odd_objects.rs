//! Objects in the store that cannot be read. Other programs may have written them.

use std::collections::HashMap;
use std::fmt::Display;

use marigold_core::ids::Name;
use marigold_objects::Version;
use opentelemetry::KeyValue;
use parking_lot::Mutex;

use crate::shared::Shared;

/// Number of objects that are logged; beyond it they are only counted.
const MAX_LOGGED: usize = 256;
/// Number of characters of a name or reason that are logged.
const MAX_TEXT: usize = 200;

/// Objects that could not be read, with their versions.
#[derive(Default)]
pub(crate) struct OddObjects {
    known: Mutex<HashMap<(&'static str, Name), Version>>,
}

/// What is new about an object that cannot be read.
enum News {
    Object,
    Version,
    Nothing,
}

impl OddObjects {
    fn record(&self, kind: &'static str, name: &str, version: Version) -> News {
        let mut known = self.known.lock();
        let key = (kind, shorten(name));
        if let Some(before) = known.get_mut(&key) {
            let is_same = std::mem::replace(before, version) == version;
            return if is_same { News::Nothing } else { News::Version };
        }
        if known.len() >= MAX_LOGGED {
            return News::Version;
        }
        known.insert(key, version);
        News::Object
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_TEXT).collect()
}

/// Counts an object that cannot be read, and logs it the first time.
pub(crate) fn report<D, S>(
    shared: &Shared<D, S>,
    kind: &'static str,
    name: Option<&str>,
    version: Version,
    reason: impl Display,
) {
    let news = shared.odd_objects.record(kind, name.unwrap_or_default(), version);
    if !matches!(news, News::Nothing) {
        shared.metrics.odd_objects.add(1, &[KeyValue::new("kind", kind)]);
    }
    if matches!(news, News::Object) {
        let (name, reason) = (name.map(shorten), shorten(&reason.to_string()));
        tracing::warn!(kind, name, %version, reason, "object that cannot be read is passed over");
    }
}
