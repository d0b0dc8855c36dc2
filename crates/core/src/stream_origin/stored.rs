//! Records of the origins of streams as the store holds them. Targets and customers are listed once, since many streams share
//! them.

use std::time::Duration;

use marigold_schema::messages::{StoredOrigin, StoredStream, StoredStreams};

use super::{Origin, Record};
use crate::digest;
use crate::ids::{Name, Uptime};

/// Maximum time for which a record that was read from the store is kept.
const MAX_LEFT: Duration = Duration::from_secs(600);

impl From<&Origin> for StoredOrigin {
    fn from(origin: &Origin) -> Self {
        let Origin { pool, version, target, started_at_ms } = origin.clone();
        Self { pool, version, target, started_at_ms }
    }
}

impl From<&StoredOrigin> for Origin {
    fn from(stored: &StoredOrigin) -> Self {
        let StoredOrigin { pool, version, target, started_at_ms } = stored.clone();
        Self { pool, version, target, started_at_ms }
    }
}

/// Returns the index of a value, which is added if it is not listed yet.
fn index_of<T: PartialEq>(values: &mut Vec<T>, value: T) -> u32 {
    let index = values.iter().position(|other| *other == value).unwrap_or_else(|| {
        values.push(value);
        values.len() - 1
    });
    index as u32
}

/// Returns the stored form of records.
pub fn encode(records: &[Record], now: Uptime) -> StoredStreams {
    let mut origins: Vec<StoredOrigin> = Vec::new();
    let mut customers: Vec<Name> = Vec::new();
    let to_stream = |record: &Record| StoredStream {
        key: digest::to_wire(record.key),
        customer: record.customer.clone().map(|customer| index_of(&mut customers, customer)),
        origin: index_of(&mut origins, StoredOrigin::from(&record.origin)),
        left_ms: record.expires.saturating_sub(now).as_millis() as u64,
    };
    let streams = records.iter().map(to_stream).collect();
    StoredStreams { origins, customers, streams }
}

/// Returns the records of a stored form that was read now. Streams that cannot be read are left out.
pub fn decode(stored: &StoredStreams, now: Uptime) -> Vec<Record> {
    let to_record = |stream: &StoredStream| {
        let customer = match stream.customer {
            Some(index) => Some(stored.customers.get(index as usize)?.clone()),
            None => None,
        };
        Some(Record {
            key: digest::from_wire(&stream.key)?,
            customer,
            origin: Origin::from(stored.origins.get(stream.origin as usize)?),
            expires: now + Duration::from_millis(stream.left_ms).min(MAX_LEFT),
        })
    };
    stored.streams.iter().filter_map(to_record).collect()
}
