//! Memory that is held for callers and targets: the budget of the process, and what is charged to it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigold_core::ids::Uptime;
use marigold_core::memory_budget::{self, Grant, HolderId, Kind, MemoryBudget};
use marigold_process::boottime;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Interval between two log lines of one reason; the metric counts all.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The memory is used by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for requests in progress is used up")]
pub(crate) struct Denied;

#[derive(Default)]
struct LogState {
    last: Option<Uptime>,
    suppressed: u64,
}

struct State {
    budget: Mutex<MemoryBudget>,
    /// Notified when a body is given up.
    shed: Mutex<HashMap<HolderId, Arc<Notify>>>,
    logs: Mutex<HashMap<&'static str, LogState>>,
    refusals: Counter<u64>,
}

/// Handle of the budget.
#[derive(Clone)]
pub(crate) struct Memory(Arc<State>);

impl Memory {
    /// Creates a budget for a process with so many megabytes; `refusals` counts what is given up or refused, by reason.
    pub(crate) fn new(memory_mb: f64, refusals: Counter<u64>) -> Self {
        Self(Arc::new(State {
            budget: Mutex::new(MemoryBudget::new(memory_budget::capacity(memory_mb))),
            shed: Mutex::default(),
            logs: Mutex::default(),
            refusals,
        }))
    }

    /// Applies a changed setting.
    pub(crate) fn set_megabytes(&self, memory_mb: f64) {
        self.0.budget.lock().set_capacity(memory_budget::capacity(memory_mb));
    }

    /// Returns the number of bytes in use, and the size of the budget.
    pub(crate) fn usage(&self) -> (usize, usize) {
        let budget = self.0.budget.lock();
        (budget.used(), budget.capacity())
    }

    /// Adds a holder, which holds nothing yet.
    pub(crate) fn open(&self, kind: Kind) -> Hold {
        let id = self.0.budget.lock().open(kind, boottime::now());
        let shed = Arc::new(Notify::new());
        if matches!(kind, Kind::Body { .. }) {
            self.0.shed.lock().insert(id, shed.clone());
        }
        Hold { memory: self.clone(), id, charged: 0, shed }
    }

    /// Gives up the unfinished body that comes last; returns whether there is one.
    pub(crate) fn shed_one(&self) -> bool {
        let given_up = self.0.budget.lock().shed_one(boottime::now());
        let Some(id) = given_up else { return false };
        if let Some(shed) = self.0.shed.lock().get(&id) {
            shed.notify_one();
        }
        true
    }

    /// Counts and logs something that is refused or closed to stay within the limits.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.0.refusals.add(1, &[KeyValue::new("reason", reason)]);
        let now = boottime::now();
        let mut logs = self.0.logs.lock();
        let log = logs.entry(reason).or_default();
        if log.last.is_some_and(|last| now < last + LOG_INTERVAL) {
            log.suppressed += 1;
            return;
        }
        let (used, capacity) = self.usage();
        let suppressed = std::mem::take(&mut log.suppressed);
        log.last = Some(now);
        tracing::warn!(
            reason,
            used,
            capacity,
            suppressed,
            "refused, the memory or descriptor limit is reached"
        );
    }
}

/// What one body or response is charged; released on drop.
pub(crate) struct Hold {
    memory: Memory,
    id: HolderId,
    charged: usize,
    shed: Arc<Notify>,
}

impl Hold {
    /// Raises the charge to `bytes`.
    ///
    /// # Errors
    /// [`Denied`] when others come before it.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), Denied> {
        if bytes <= self.charged {
            return Ok(());
        }
        let grant = self.memory.0.budget.lock().grow(self.id, bytes, boottime::now());
        let Grant::Granted(given_up) = grant else { return Err(Denied) };
        self.charged = bytes;
        let shed = self.memory.0.shed.lock();
        given_up.iter().filter_map(|id| shed.get(id)).for_each(|shed| shed.notify_one());
        Ok(())
    }

    /// Records that bytes of the body have arrived.
    pub(crate) fn record_arrival(&self, bytes: usize) {
        self.memory.0.budget.lock().record_arrival(self.id, bytes);
    }

    /// Waits until the body is given up in favour of others.
    pub(crate) async fn shed(&self) {
        self.shed.notified().await;
    }

    /// Marks a body as complete, after which it is not given up.
    ///
    /// # Errors
    /// [`Denied`] when it was given up before.
    pub(crate) fn complete(&self) -> Result<(), Denied> {
        if self.memory.0.budget.lock().complete(self.id) { Ok(()) } else { Err(Denied) }
    }

    /// Returns bytes that are charged until their last copy is dropped.
    pub(crate) fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        if self.charged == 0 {
            return Bytes::copy_from_slice(bytes.as_ref());
        }
        Bytes::from_owner(HeldBytes { bytes, _hold: self })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.memory.0.budget.lock().close(self.id);
        self.memory.0.shed.lock().remove(&self.id);
    }
}

struct HeldBytes<T> {
    bytes: T,
    _hold: Hold,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
