//! Tests that all errors in the declarations are reported at once.

use std::collections::BTreeMap;

use marigold_core::check;

const VALID: &str = r#"
[data_centre.north]
region = "delta"

[pool.encoders]
kind = "encoder"

[target.encoders-1]
pool = "encoders"
data_centre = "north"
address = "127.0.0.1:7400"

[pipeline.embed]
deadline_ms = 1000
stages = [{ name = "encode", pool = "encoders" }]

[customer.stalls]
token_sha256 = "0000000000000000000000000000000000000000000000000000000000000001"

[preset.ordinary]
[preset.peak]
[preset.maintenance]
"#;

fn diagnostics(text: &str) -> Vec<String> {
    let files = BTreeMap::from([("all.toml".to_owned(), text.to_owned())]);
    match check::check(&files) {
        Ok(_) => Vec::new(),
        Err(diagnostics) => diagnostics.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn check_valid() {
    assert_eq!(diagnostics(VALID), Vec::<String>::new());
}

#[test]
fn check_several_errors() {
    let text = VALID
        .replace("region", "regoin")
        .replace("kind = \"encoder\"", "kind = \"encoder\"\nconcurrency = \"many\"")
        .replace("127.0.0.1:7400", "localhost")
        .replace("deadline_ms = 1000", "deadline_ms = 0")
        .replace("[preset.peak]\n", "");
    insta::assert_snapshot!(diagnostics(&text).join("\n"), @r#"
    all.toml:2: `data_centre.north`: "region" is a required property
    all.toml:3: `data_centre.north.regoin`: unknown key `regoin`; accepted: delay_ms, region
    all.toml:7: `pool.encoders.concurrency`: "many" is not of type "integer"
    all.toml:12: `target.encoders-1.address`: `localhost` is no address; accepted: IP:PORT, such as 10.0.0.7:7400
    all.toml:15: `pipeline.embed.deadline_ms`: 0 is less than the minimum of 1
    all.toml:21: `preset`: "peak" is a required property
    "#);
}

#[test]
fn check_references() {
    let text = VALID
        .replace("pool = \"encoders\" }", "pool = \"encoder\" }")
        .replace("data_centre = \"north\"", "data_centre = \"south\"")
        .replace("127.0.0.1:7400", "localhost")
        .replace("0000000000000001", "1")
        .replace("deadline_ms = 1000", "deadline_ms = 90000");
    insta::assert_snapshot!(diagnostics(&text).join("\n"), @r#"
    all.toml:10: `target.encoders-1.data_centre`: data centre `south` is not declared; declared: north
    all.toml:11: `target.encoders-1.address`: `localhost` is no address; accepted: IP:PORT, such as 10.0.0.7:7400
    all.toml:14: `pipeline.embed.deadline_ms`: 90000 ms is above `deadline_cap_ms`, 60000 ms; accepted: up to the cap
    all.toml:15: `pipeline.embed.stages.0.pool`: pool `encoder` is not declared; declared: encoders
    all.toml:18: `customer.stalls.token_sha256`: `0000000000000000000000000000000000000000000000001` is no SHA-256; accepted: 64 digits of lower-case hexadecimal
    "#);
}

#[test]
fn check_syntax_and_duplicates() {
    let files = BTreeMap::from([
        ("a.toml".to_owned(), VALID.to_owned()),
        ("b.toml".to_owned(), "[pool.encoders]\nkind = \"encoder\"\n".to_owned()),
        ("c.toml".to_owned(), "[pool.\n".to_owned()),
    ]);
    let diagnostics = check::check(&files).unwrap_err();
    let text: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(text.join("\n"), @r#"
    b.toml:1: `pool.encoders`: declared twice; first in a.toml:5
    c.toml:1: unquoted keys cannot be empty, expected letters, numbers, `-`, `_`
    "#);
}

proptest::proptest! {
    #[test]
    fn check_any_text(text in "(\\PC|\n){0,200}") {
        diagnostics(&text);
    }

    #[test]
    fn check_truncated_text(at in 0..VALID.len()) {
        diagnostics(&VALID[..at]);
    }
}
