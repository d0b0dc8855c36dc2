//! Requests of callers that are in progress, and what they wait for.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use marigold_core::ids::{Name, Uptime};
use parking_lot::Mutex;

/// What a request waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its head is checked, and its body read.
    #[default]
    Body,
    /// What other gateways know of it, and its admission.
    Checks,
    Stages,
    /// A target that may be sent the request, and the connection to it.
    Connecting,
    /// The answer of a target, up to the first event of a stream.
    Answer,
    /// The rest of a stream.
    Stream,
}

impl Phase {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Checks => "checks",
            Self::Stages => "stages",
            Self::Connecting => "connecting",
            Self::Answer => "answer",
            Self::Stream => "stream",
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Progress {
    number: u64,
    arrived: Uptime,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    request: String,
    route: Name,
    phase: Phase,
}

impl Progress {
    pub(crate) fn set_request(&self, request: &str) {
        request.clone_into(&mut self.state.lock().request);
    }

    pub(crate) fn set_route(&self, route: &str) {
        route.clone_into(&mut self.state.lock().route);
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.state.lock().phase = phase;
    }

    pub(crate) fn phase(&self) -> Phase {
        self.state.lock().phase
    }
}

#[derive(Default)]
struct Table {
    next_number: u64,
    open: HashMap<u64, Arc<Progress>>,
}

/// Requests in progress.
#[derive(Default)]
pub(crate) struct InProgress(Mutex<Table>);

impl InProgress {
    /// Adds a request, which counts until it is closed.
    pub(crate) fn open(&self, arrived: Uptime) -> Arc<Progress> {
        let mut table = self.0.lock();
        let number = table.next_number;
        table.next_number += 1;
        let progress = Arc::new(Progress { number, arrived, state: Mutex::default() });
        table.open.insert(number, progress.clone());
        progress
    }

    pub(crate) fn close(&self, progress: &Progress) {
        self.0.lock().open.remove(&progress.number);
    }

    /// Returns the number of requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.0.lock().open.len()
    }

    /// Returns the number of requests that wait for each of the phases, as text.
    pub(crate) fn summary(&self) -> String {
        let mut counts = std::collections::BTreeMap::new();
        for progress in self.0.lock().open.values() {
            *counts.entry(progress.phase().as_str()).or_insert(0_usize) += 1;
        }
        let counts: Vec<String> =
            counts.iter().map(|(phase, count)| format!("{phase} {count}")).collect();
        counts.join(", ")
    }

    /// Logs the requests that the end of the process cuts.
    pub(crate) fn log_cut(&self, now: Uptime) {
        for progress in self.0.lock().open.values() {
            let state = progress.state.lock();
            let age: Duration = now.saturating_sub(progress.arrived);
            tracing::error!(
                request = state.request,
                route = state.route,
                phase = state.phase.as_str(),
                took_ms = age.as_millis() as u64,
                "request cut by the end of the process"
            );
        }
    }
}
