//! Reports of driven load: attainment by pipeline, as text and JSON.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::drive::{End, Sample};

/// Longest latency kept.
const MAX_MICROS: u64 = 600_000_000;

/// Results of one pipeline.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole within the deadline.
    pub attained: u64,
    /// Ends by kind.
    pub ends: BTreeMap<End, u64>,
    /// Latency of the answered ones in milliseconds: median, 99th percentile, longest.
    pub latency_ms: [f64; 3],
    /// Tokens generated.
    pub tokens: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Results by pipeline.
    pub lines: Vec<Line>,
    /// Share of all requests answered whole within the deadline.
    pub attainment: f64,
}

/// Sums samples up; `deadline` gives the deadline of a pipeline.
pub fn sum_up(samples: &[Sample], deadline: impl Fn(&str) -> Duration) -> Report {
    let mut by_pipeline: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        by_pipeline.entry(&sample.arrival.pipeline).or_default().push(sample);
    }
    let lines: Vec<Line> = by_pipeline
        .into_iter()
        .map(|(pipeline, samples)| line(pipeline, &samples, deadline(pipeline)))
        .collect();
    let (attained, sent) =
        lines.iter().fold((0, 0), |(a, s), line| (a + line.attained, s + line.sent));
    Report { lines, attainment: attained as f64 / (sent.max(1)) as f64 }
}

fn line(pipeline: &str, samples: &[&Sample], deadline: Duration) -> Line {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid");
    let mut ends = BTreeMap::new();
    let mut attained = 0;
    for sample in samples {
        *ends.entry(sample.end).or_default() += 1;
        if sample.end == End::Done {
            histogram.saturating_record(sample.latency.as_micros() as u64);
            attained += u64::from(sample.latency <= deadline);
        }
    }
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Line {
        pipeline: pipeline.to_owned(),
        sent: samples.len() as u64,
        attained,
        ends,
        latency_ms: [millis(0.5), millis(0.99), millis(1.0)],
        tokens: samples.iter().map(|sample| sample.tokens).sum(),
    }
}

impl Report {
    /// The report as a table.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<22} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8}  ends\n",
            "pipeline", "sent", "attained", "p50 ms", "p99 ms", "max ms", "tokens"
        );
        for line in &self.lines {
            let attained = 100.0 * line.attained as f64 / line.sent.max(1) as f64;
            let ends: Vec<String> =
                line.ends.iter().map(|(end, count)| format!("{end:?} {count}")).collect();
            let [median, p99, longest] = line.latency_ms;
            let _ = writeln!(
                text,
                "{:<22} {:>6} {attained:>8.2}% {median:>8.1} {p99:>8.1} {longest:>8.1} {:>8}  {}",
                line.pipeline,
                line.sent,
                line.tokens,
                ends.join(", ")
            );
        }
        let _ = writeln!(text, "attainment {:.3}%", 100.0 * self.attainment);
        text
    }
}
