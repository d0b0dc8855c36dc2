//! Encoded size of a configuration change pushed to one process: the delta, compared with a full copy of all items
//! and with the head.

use marigold_core::digest;
use marigold_core::head::{Head, ItemChange, Items, Replica};
use marigold_link::codec;
use marigold_schema::messages::Request;

/// Changes per second at the intended size of a deployment (51,000 a day).
const CHANGES_PER_S: f64 = 51_000.0 / 86_400.0;
/// Bandwidth that receiving changes may use: 1% of 25 KB/s.
const MAX_BYTES_PER_S: f64 = 0.01 * 25_000.0;

fn customer(serial: usize, weight: u32) -> ItemChange {
    let token = digest::sha256_hex(&format!("token-{serial}"));
    let value = format!(r#"{{"token_sha256":"{token}","weight":{weight}}}"#);
    (format!("customer/customer-{serial}"), Some(value))
}

#[test]
fn delta_bytes_by_customers() {
    for customers in [5, 500, 4_700] {
        let items: Items = (0..customers)
            .map(|i| customer(i, 1))
            .filter_map(|(key, value)| Some((key, value?)))
            .collect();
        let mut replica = Replica::default();
        replica.adopt_snapshot(1, items.clone());
        let full_copy = codec::encode(&Request::Push(replica.delta(0, 0))).unwrap().len();
        let before = Head { revision: 1, ..Head::default() };
        let proposal = before.propose(&items, vec![customer(3, 2)], "operator");
        let delta =
            codec::encode(&Request::Push(proposal.head.delta(1, 0).unwrap())).unwrap().len();
        let head = serde_json::to_string(&proposal.head).unwrap().len();
        let bound = (MAX_BYTES_PER_S / CHANGES_PER_S) as usize;
        println!(
            "{customers} customers: delta {delta} B, full copy {full_copy} B, head {head} B; bound {bound} B"
        );
        assert!(delta <= bound);
    }
}
