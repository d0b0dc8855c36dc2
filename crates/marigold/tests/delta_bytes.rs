//! Bytes of a change on its way to one process: a delta against a copy of all items and against the head.

use marigold_core::digest;
use marigold_core::head::{Head, ItemChange, Items, Replica};
use marigold_link::codec;
use marigold_schema::messages::Request;

/// Changes a second at the target size.
const CHANGES_PER_S: f64 = 51_000.0 / 86_400.0;
/// Share of 25 KB a second that receiving changes may take.
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
