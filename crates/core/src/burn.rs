//! Burn rates: how fast each pipeline and customer consumes its error budget, over several windows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Name, Uptime};

const SLOT_WIDTH: Duration = Duration::from_secs(10);
/// Windows of the report, in ascending order.
pub const WINDOWS: [Duration; 3] =
    [Duration::from_secs(300), Duration::from_secs(3_600), Duration::from_secs(6 * 3_600)];
/// Burn rate over the two shorter windows at which an operator is paged: 2% of a 30-day budget in one hour.
pub const PAGE_BURN_RATE: f64 = 14.4;

/// Pipeline and customer.
pub type SeriesKey = (Name, Name);

#[derive(Debug, Default, Clone)]
struct Slot {
    index: u64,
    good: u64,
    bad: u64,
}

#[derive(Debug, Default)]
struct Series {
    slots: VecDeque<Slot>,
    causes: BTreeMap<String, u64>,
}

/// Counts of good and bad requests by pipeline and customer.
#[derive(Debug, Default)]
pub struct BurnTracker {
    series: BTreeMap<SeriesKey, Series>,
}

/// Burn rate over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Width of the window in seconds.
    pub window_s: u64,
    /// Number of requests that met their deadline.
    pub good: u64,
    /// Number of requests that did not.
    pub bad: u64,
    /// Share of bad requests, divided by the share that the objective allows.
    pub rate: f64,
}

/// Burn rates of one pipeline and customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Pipeline of the series.
    pub pipeline: Name,
    /// Customer of the series.
    pub customer: Name,
    /// Objective of the pipeline: the share of requests that should be good.
    pub objective: f64,
    /// Burn rates by window, shortest window first.
    pub windows: Vec<WindowBurn>,
    /// Whether the burn rates of the two shorter windows both reach [`PAGE_BURN_RATE`].
    pub page: bool,
    /// Remaining share of the longest window's error budget; negative when it is exceeded.
    pub budget_left: f64,
    /// Causes of bad requests and their counts since the process started, most frequent first.
    pub causes: Vec<(String, u64)>,
}

impl BurnTracker {
    /// Records the end of a request. `bad` is the stage and cause of a bad request, and none for a good one.
    pub fn record(&mut self, pipeline: &str, customer: &str, bad: Option<&str>, now: Uptime) {
        let series = self.series.entry((pipeline.to_owned(), customer.to_owned())).or_default();
        let index = now.as_secs() / SLOT_WIDTH.as_secs();
        if series.slots.back().is_none_or(|slot| slot.index != index) {
            series.slots.push_back(Slot { index, ..Slot::default() });
        }
        let slot = series.slots.back_mut().expect("a slot was just added");
        match bad {
            None => slot.good += 1,
            Some(cause) => {
                slot.bad += 1;
                *series.causes.entry(cause.to_owned()).or_default() += 1;
            }
        }
        let longest = WINDOWS[WINDOWS.len() - 1].as_secs() / SLOT_WIDTH.as_secs();
        while series.slots.front().is_some_and(|slot| slot.index + longest < index) {
            series.slots.pop_front();
        }
    }

    /// Returns the burn rates by pipeline and customer; `objective` returns the objective of a pipeline.
    pub fn report(&self, objective: impl Fn(&str) -> f64, now: Uptime) -> Vec<Line> {
        let lines = self.series.iter();
        lines
            .map(|((pipeline, customer), series)| {
                line(pipeline, customer, series, objective(pipeline), now)
            })
            .collect()
    }
}

fn line(pipeline: &str, customer: &str, series: &Series, objective: f64, now: Uptime) -> Line {
    let windows: Vec<WindowBurn> =
        WINDOWS.iter().map(|window| window_burn(series, *window, objective, now)).collect();
    let mut causes: Vec<(String, u64)> = series.causes.clone().into_iter().collect();
    causes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let (pipeline, customer) = (pipeline.to_owned(), customer.to_owned());
    let mut line =
        Line { pipeline, customer, objective, page: false, budget_left: 1.0, windows, causes };
    update_page_and_budget(&mut line);
    line
}

/// Merges the reports of several writers.
pub fn merge(reports: impl IntoIterator<Item = Vec<Line>>) -> Vec<Line> {
    let mut merged: BTreeMap<SeriesKey, Line> = BTreeMap::new();
    for line in reports.into_iter().flatten() {
        let key = (line.pipeline.clone(), line.customer.clone());
        match merged.get_mut(&key) {
            Some(sum) => add_line(sum, line),
            None => drop(merged.insert(key, line)),
        }
    }
    merged.into_values().collect()
}

fn add_line(sum: &mut Line, line: Line) {
    for (window, other) in sum.windows.iter_mut().zip(&line.windows) {
        window.good += other.good;
        window.bad += other.bad;
        window.rate = rate(window.good, window.bad, sum.objective);
    }
    let mut causes: BTreeMap<String, u64> = std::mem::take(&mut sum.causes).into_iter().collect();
    for (cause, count) in line.causes {
        *causes.entry(cause).or_default() += count;
    }
    sum.causes = causes.into_iter().collect();
    sum.causes.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    update_page_and_budget(sum);
}

/// Derives `page` and `budget_left` from the windows.
fn update_page_and_budget(line: &mut Line) {
    line.page = line.windows[..2].iter().all(|window| window.rate >= PAGE_BURN_RATE);
    line.budget_left = 1.0 - line.windows[line.windows.len() - 1].rate;
}

fn rate(good: u64, bad: u64, objective: f64) -> f64 {
    let allowed = (1.0 - objective).max(1e-6);
    bad as f64 / (good + bad).max(1) as f64 / allowed
}

fn window_burn(series: &Series, window: Duration, objective: f64, now: Uptime) -> WindowBurn {
    let index = now.as_secs() / SLOT_WIDTH.as_secs();
    let slots = window.as_secs() / SLOT_WIDTH.as_secs();
    let inside = series.slots.iter().filter(|slot| slot.index + slots > index);
    let (good, bad) = inside.fold((0, 0), |(good, bad), slot| (good + slot.good, bad + slot.bad));
    WindowBurn { window_s: window.as_secs(), good, bad, rate: rate(good, bad, objective) }
}
