//! Start of an entry.

use std::net::{SocketAddr, TcpListener, TcpStream};

use marigold_core::digest;
use marigold_entry::entry::Entry;
use marigold_schema::settings::EntrySettings;
use marigold_testbed::process::free_addr;
use serde_json::json;

fn settings(http: SocketAddr) -> EntrySettings {
    let settings = json!({
        "cluster": "test", "name": "e", "data_centre": "d", "http_address": http.to_string(),
        "link_address": free_addr().to_string(), "platform": format!("http://{}", free_addr()),
        "link_secret": "a-secret-for-the-test", "operator_token_sha256": digest::sha256_hex("operator"),
    });
    serde_json::from_value(settings).unwrap()
}

/// The first callers and operators of an entry that had reported its start were refused a connection.
#[tokio::test]
async fn bind_returned_entry_accepts_connections() {
    let http = free_addr();
    let _entry = Entry::bind(settings(http)).await.unwrap();
    // Connects without yielding, so that tasks in the background cannot run first.
    assert!(TcpStream::connect(http).is_ok(), "the HTTP port is closed");
}

/// An entry whose HTTP address was in use ran on without serving anybody.
#[tokio::test]
async fn bind_http_address_in_use_is_an_error() {
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let http = occupied.local_addr().unwrap();
    let err = Entry::bind(settings(http)).await.err().expect("the address is in use");
    let text = format!("{err:#}");
    assert!(text.contains(&http.to_string()), "the error does not name the address: {text}");
}
