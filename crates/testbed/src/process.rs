//! Child processes and unused ports.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// First port to allocate; ports from [`END_PORT`] on are left to outgoing connections.
const FIRST_PORT: u32 = 10_000;
/// End of the range of ports to allocate, exclusive.
const END_PORT: u32 = 32_000;
/// Serial of the next port to try, before the offset of the process.
static NEXT_SERIAL: AtomicU32 = AtomicU32::new(0);
/// Held while a process is spawned and while a port is probed. Until a child process calls `exec` it holds the sockets
/// that are open in its parent, so a port that is probed meanwhile would stay in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

fn lock_spawn() -> MutexGuard<'static, ()> {
    // The lock guards no data, so a poisoned lock is safe to use.
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an unused loopback address; a port is allocated again only after all others of the range.
pub fn free_addr() -> SocketAddr {
    let _guard = lock_spawn();
    free_listener().local_addr().expect("a bound listener has an address")
}

/// Returns a listener on an unused loopback address, so that no other process can bind the port before its use.
pub fn free_listener() -> TcpListener {
    // The offset makes collisions between test programs that run at the same time unlikely.
    let offset = std::process::id().wrapping_mul(977);
    loop {
        let serial = NEXT_SERIAL.fetch_add(1, Ordering::SeqCst).wrapping_add(offset);
        let port = FIRST_PORT + serial % (END_PORT - FIRST_PORT);
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if let Ok(listener) = TcpListener::bind(addr) {
            return listener;
        }
    }
}

/// A child process, killed when dropped.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program whose standard output and standard error are appended to `log`.
    pub fn start(name: &str, program: &Path, args: &[String], log: &Path) -> Process {
        let stderr = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log file is opened");
        let stdout = stderr.try_clone().expect("the file handle is cloned");
        let _guard = lock_spawn();
        let child = Command::new(program)
            .args(args)
            .env(
                "RUST_LOG",
                std::env::var("MARIGOLD_TEST_LOG").unwrap_or_else(|_| "info".to_owned()),
            )
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .unwrap_or_else(|err| panic!("starting {name}: {err}"));
        Process { name: name.to_owned(), child }
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, given by its name without the prefix `SIG`.
    pub fn signal(&self, signal: &str) {
        let sent = {
            let _guard = lock_spawn();
            Command::new("kill").args([&format!("-{signal}"), &self.child.id().to_string()]).spawn()
        };
        let sent = sent.and_then(|mut kill| kill.wait());
        assert!(
            sent.is_ok_and(|status| status.success()),
            "sending signal {signal} to {} failed",
            self.name
        );
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process succeeded; none while it runs.
    pub fn try_wait(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Waits for the process to exit and returns whether it succeeded; none after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<bool> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Some(is_success) = self.try_wait() {
                return Some(is_success);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
