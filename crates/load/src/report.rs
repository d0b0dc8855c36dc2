//! Reports of the load driver: latency and deadline attainment by pipeline, as text and JSON.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::drive::{Outcome, Sample};

/// Latencies above this, in microseconds, are recorded as this value.
const MAX_MICROS: u64 = 600_000_000;

/// Results of one pipeline.
#[derive(Clone, Debug, Serialize)]
pub struct PipelineReport {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete response within the deadline.
    pub attained: u64,
    /// Number of requests by outcome.
    #[serde(rename = "ends")]
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Latency of requests with the outcome [`Outcome::Done`], in milliseconds: median, 99th percentile and
    /// maximum.
    pub latency_ms: [f64; 3],
    /// Tokens generated.
    pub tokens: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Results by pipeline.
    pub lines: Vec<PipelineReport>,
    /// Share of all requests that got a complete response within the deadline.
    pub attainment: f64,
}

/// Summarises samples by pipeline; `deadline` returns the deadline of a pipeline.
pub fn summarise(samples: &[Sample], deadline: impl Fn(&str) -> Duration) -> Report {
    let mut by_pipeline: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        by_pipeline.entry(&sample.arrival.pipeline).or_default().push(sample);
    }
    let lines: Vec<PipelineReport> = by_pipeline
        .into_iter()
        .map(|(pipeline, samples)| pipeline_report(pipeline, &samples, deadline(pipeline)))
        .collect();
    let (attained, sent) =
        lines.iter().fold((0, 0), |(a, s), line| (a + line.attained, s + line.sent));
    Report { lines, attainment: attained as f64 / (sent.max(1)) as f64 }
}

fn pipeline_report(pipeline: &str, samples: &[&Sample], deadline: Duration) -> PipelineReport {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid");
    let mut outcomes = BTreeMap::new();
    let mut attained = 0;
    for sample in samples {
        *outcomes.entry(sample.outcome).or_default() += 1;
        if sample.outcome == Outcome::Done {
            histogram.saturating_record(sample.latency.as_micros() as u64);
            attained += u64::from(sample.latency <= deadline);
        }
    }
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    PipelineReport {
        pipeline: pipeline.to_owned(),
        sent: samples.len() as u64,
        attained,
        outcomes,
        latency_ms: [millis(0.5), millis(0.99), millis(1.0)],
        tokens: samples.iter().map(|sample| sample.tokens).sum(),
    }
}

impl Report {
    /// Formats the report as a text table.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<22} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8}  ends\n",
            "pipeline", "sent", "attained", "p50 ms", "p99 ms", "max ms", "tokens"
        );
        for line in &self.lines {
            let attained = 100.0 * line.attained as f64 / line.sent.max(1) as f64;
            let outcomes: Vec<String> = line
                .outcomes
                .iter()
                .map(|(outcome, count)| format!("{outcome:?} {count}"))
                .collect();
            let [median, p99, max] = line.latency_ms;
            let _ = writeln!(
                text,
                "{:<22} {:>6} {attained:>8.2}% {median:>8.1} {p99:>8.1} {max:>8.1} {:>8}  {}",
                line.pipeline,
                line.sent,
                line.tokens,
                outcomes.join(", ")
            );
        }
        let _ = writeln!(text, "attainment {:.3}%", 100.0 * self.attainment);
        text
    }
}
