//! Account of gateways' logs by window of time: which requests were answered, who waited or was refused and for how long, and
//! how full the calls to stage pools were.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::BufRead;
use std::time::{Duration, SystemTime};

use anyhow::Context as _;
use hdrhistogram::Histogram;
use serde::Deserialize;

/// Time after which a refusal counts as late, in milliseconds.
const LATE_REFUSAL_MS: u64 = 50;
/// Longest duration that is told apart, in milliseconds.
const MAX_MS: u64 = 600_000;

/// Line of a log, as far as it is needed.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Line {
    timestamp: String,
    message: String,
    route: String,
    pool: String,
    status: u16,
    first_byte_ms: Option<u64>,
    took_ms: u64,
    pieces: u64,
    no_room: u64,
    waited_ms: u64,
}

/// Durations in milliseconds.
struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_MS, 3).expect("the bounds are valid"))
    }
}

impl Durations {
    fn record(&mut self, ms: u64) {
        self.0.saturating_record(ms.max(1));
    }

    /// Returns the median and the 90th percentile as text.
    fn to_text(&self) -> String {
        if self.0.is_empty() {
            return "-".to_owned();
        }
        format!("{} / {}", self.0.value_at_quantile(0.5), self.0.value_at_quantile(0.9))
    }
}

/// Requests of a route that ended in a window.
#[derive(Default)]
struct Requests {
    count: u64,
    answered: u64,
    refused: u64,
    refused_late: u64,
    first_byte: Durations,
    refusal: Durations,
}

/// Calls to a stage pool that ended in a window.
#[derive(Default)]
struct Calls {
    count: u64,
    pieces: u64,
    no_room: u64,
    waited: Durations,
    took: Durations,
}

/// Name of a route or a pool, and number of the window.
type Key = (String, u64);

/// The account of one or several logs.
#[derive(Default)]
pub struct Account {
    window: Duration,
    requests: BTreeMap<Key, Requests>,
    calls: BTreeMap<Key, Calls>,
    /// Number of lines that hold no log entry.
    skipped: u64,
}

impl Account {
    /// Reads a log with an entry in JSON on each line; what stands before it on the line is ignored. The first window begins
    /// with the first request that ended.
    ///
    /// # Errors
    /// When the log cannot be read, or when the window is zero.
    pub fn read(log: impl BufRead, window: Duration) -> anyhow::Result<Account> {
        anyhow::ensure!(!window.is_zero(), "the window must be longer than zero");
        let mut account = Account { window, ..Account::default() };
        let mut entries = Vec::new();
        for line in log.lines() {
            let line = line.context("reading the log")?;
            match parse(&line) {
                Some(entry) => entries.push(entry),
                None => account.skipped += 1,
            }
        }
        let ended = entries.iter().filter(|(_, line)| line.message == "request ended");
        let Some(start) = ended.map(|(at, _)| *at).min() else { return Ok(account) };
        for (at, line) in entries {
            let Ok(elapsed) = at.duration_since(start) else { continue };
            account.add(line, (elapsed.as_nanos() / window.as_nanos()) as u64);
        }
        Ok(account)
    }

    fn add(&mut self, line: Line, window: u64) {
        match line.message.as_str() {
            "request ended" if !line.route.is_empty() => {
                let requests = self.requests.entry((line.route, window)).or_default();
                requests.count += 1;
                if line.status == 503 {
                    requests.refused += 1;
                    requests.refused_late += u64::from(line.took_ms > LATE_REFUSAL_MS);
                    requests.refusal.record(line.took_ms);
                } else if (200..300).contains(&line.status) {
                    requests.answered += 1;
                }
                if let Some(first_byte_ms) = line.first_byte_ms {
                    requests.first_byte.record(first_byte_ms);
                }
            }
            "stage call ended" => {
                let calls = self.calls.entry((line.pool, window)).or_default();
                calls.count += 1;
                calls.pieces += line.pieces;
                calls.no_room += line.no_room;
                calls.waited.record(line.waited_ms);
                calls.took.record(line.took_ms);
            }
            _ => {}
        }
    }

    /// Formats the account as two text tables, of requests and of calls.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<14} {:>6} {:>8} {:>8} {:>7} {:>6} {:>14} {:>14}\n",
            "route",
            "from s",
            "requests",
            "answered",
            "refused",
            "late",
            "first byte ms",
            "refusal ms"
        );
        for ((route, window), requests) in &self.requests {
            let Requests { count, answered, refused, refused_late, .. } = requests;
            let _ = writeln!(
                text,
                "{route:<14} {:>6} {count:>8} {answered:>8} {refused:>7} {refused_late:>6} {:>14} {:>14}",
                self.start_s(*window),
                requests.first_byte.to_text(),
                requests.refusal.to_text()
            );
        }
        let _ = writeln!(
            text,
            "\n{:<14} {:>6} {:>8} {:>8} {:>7} {:>14} {:>14}",
            "pool", "from s", "calls", "pieces", "no room", "waited ms", "took ms"
        );
        for ((pool, window), calls) in &self.calls {
            let Calls { count, pieces, no_room, .. } = calls;
            let _ = writeln!(
                text,
                "{pool:<14} {:>6} {count:>8} {pieces:>8} {no_room:>7} {:>14} {:>14}",
                self.start_s(*window),
                calls.waited.to_text(),
                calls.took.to_text()
            );
        }
        let _ = writeln!(
            text,
            "\nPairs are median and 90th percentile; refusals are late after {LATE_REFUSAL_MS} ms; {} lines without an entry",
            self.skipped
        );
        text
    }

    fn start_s(&self, window: u64) -> u64 {
        (self.window * u32::try_from(window).unwrap_or(u32::MAX)).as_secs()
    }

    /// Returns the share of each route's requests that were answered, in percent by window, for a chart.
    pub fn answered_shares(&self) -> Vec<(String, f64)> {
        let share = |((route, window), requests): (&Key, &Requests)| {
            let share = 100.0 * requests.answered as f64 / requests.count as f64;
            (format!("{route} from {} s", self.start_s(*window)), share)
        };
        self.requests.iter().map(share).collect()
    }
}

/// Returns the entry on a line with its time, or `None` if it holds none.
fn parse(line: &str) -> Option<(SystemTime, Line)> {
    let json = &line[line.find('{')?..];
    let entry: Line = serde_json::from_str(json).ok()?;
    let at = humantime::parse_rfc3339_weak(&entry.timestamp).ok()?;
    Some((at, entry))
}
