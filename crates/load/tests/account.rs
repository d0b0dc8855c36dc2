//! The account of gateways' logs.

use std::time::Duration;

use marigold_load::account::Account;

/// Two gateways in the form of the users' bench, which puts time and VM before each entry.
const LOG: &str = r#"built in 0.3 s
  0.100 front-a {"timestamp":"2026-12-04T16:00:00.100Z","level":"INFO","message":"request ended","request":"1","route":"letters","status":200,"first_byte_ms":80,"took_ms":400,"outcome":"whole"}
  0.200 front-b {"timestamp":"2026-12-04T16:00:00.200Z","level":"INFO","message":"request ended","request":"2","route":"letters","status":503,"first_byte_ms":null,"took_ms":3700,"outcome":"a stage's targets are overloaded"}
  0.300 front-a {"timestamp":"2026-12-04T16:00:00.300Z","level":"INFO","message":"request ended","request":"3","route":"letters","status":503,"first_byte_ms":null,"took_ms":1,"outcome":"too many requests wait for the stages"}
  4.300 front-a {"timestamp":"2026-12-04T16:00:04.300Z","level":"INFO","message":"request ended","request":"4","route":"letters","status":502,"first_byte_ms":null,"took_ms":5,"outcome":"the target gave no reply"}
  1.000 front-a {"timestamp":"2026-12-04T16:00:01Z","level":"INFO","message":"stage call ended","target":"t1","pool":"roll","pieces":24,"no_room":2,"waited_ms":310,"took_ms":330,"outcome":"done"}
  1.500 front-a {"timestamp":"2026-12-04T16:00:01.5Z","level":"INFO","message":"stage call ended","target":"t2","pool":"roll","pieces":8,"no_room":0,"waited_ms":10,"took_ms":180,"outcome":"done"}
  1.600 front-a {"timestamp":"2026-12-04T16:00:01.6Z","level":"INFO","mess
"#;

fn words<'a>(text: &'a str, start: &str) -> Vec<Vec<&'a str>> {
    let lines = text.lines().filter(|line| line.starts_with(start));
    lines.map(|line| line.split_whitespace().collect()).collect()
}

fn row(text: &str) -> Vec<&str> {
    text.split(' ').collect()
}

#[test]
fn account_counts_by_route_and_window() {
    let account = Account::read(LOG.as_bytes(), Duration::from_secs(4)).unwrap();
    let text = account.to_text();
    let requests = [row("letters 0 3 1 2 1 80 / 80 1 / 3701"), row("letters 4 1 0 0 0 - -")];
    assert_eq!(words(&text, "letters"), requests);
    assert_eq!(words(&text, "roll"), [row("roll 0 2 32 2 10 / 310 180 / 330")]);
    assert!(text.contains("2 lines without an entry"), "{text}");
}

#[test]
fn account_shares_are_of_each_window() {
    let account = Account::read(LOG.as_bytes(), Duration::from_secs(10)).unwrap();
    assert_eq!(account.answered_shares(), [("letters from 0 s".to_owned(), 25.0)]);
}

#[test]
fn account_of_other_text_is_empty() {
    let account = Account::read(&b"no log\n"[..], Duration::from_secs(4)).unwrap();
    assert!(account.answered_shares().is_empty());
    assert!(Account::read(&b""[..], Duration::ZERO).is_err());
}
