//! Number of connections from callers, and which of them is closed for a new one.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::head_timeout::HeadTimer;

struct Entry {
    timer: Arc<HeadTimer>,
    close: Arc<Notify>,
}

#[derive(Default)]
struct Table {
    next_id: u64,
    open: HashMap<u64, Entry>,
}

/// Open connections of one port.
#[derive(Clone, Default)]
pub(crate) struct Connections(Arc<Mutex<Table>>);

impl Connections {
    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.0.lock().open.len()
    }

    /// Adds a connection, which counts until the guard is dropped.
    pub(crate) fn open(&self, timer: &Arc<HeadTimer>) -> ConnectionGuard {
        let close = Arc::new(Notify::new());
        let mut table = self.0.lock();
        let id = table.next_id;
        table.next_id += 1;
        table.open.insert(id, Entry { timer: timer.clone(), close: close.clone() });
        ConnectionGuard { connections: self.clone(), id, close }
    }

    /// Closes the connection that has had no request in progress for the longest time; returns false if all have one.
    pub(crate) fn close_idle(&self) -> bool {
        let mut table = self.0.lock();
        let idle =
            table.open.iter().filter_map(|(id, entry)| Some((entry.timer.idle_since()?, *id)));
        let Some((_, id)) = idle.min() else { return false };
        if let Some(entry) = table.open.remove(&id) {
            entry.close.notify_one();
        }
        true
    }
}

/// Counts a connection as open until dropped.
pub(crate) struct ConnectionGuard {
    connections: Connections,
    id: u64,
    close: Arc<Notify>,
}

impl ConnectionGuard {
    /// Waits until the connection is to be closed for another one.
    pub(crate) async fn evicted(&self) {
        self.close.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.0.lock().open.remove(&self.id);
    }
}
