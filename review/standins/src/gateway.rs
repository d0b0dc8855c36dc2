//! Gateways as separate processes, started as the deploy file says.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Program of the role in `deploy/system.toml`, from the root of the repository.
const PROGRAM: &str = "target/release/marigold-gateway";
/// Template of the settings in `deploy/system.toml`.
const TEMPLATE: &str = "platform/gateway.toml";
/// Time within which a gateway has to be ready.
const READY_TIME: Duration = Duration::from_secs(15);
/// Time within which a gateway ends after SIGTERM: `gracePeriodS` of the settings.
const END_TIME: Duration = Duration::from_secs(8);
const SIGTERM: i32 = 15;
const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all gateways that still run, when a case is given up.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        // SAFETY: `kill` takes two integers; the process is a child that has not been waited for.
        unsafe { kill(id as i32, SIGKILL) };
    }
}

pub struct Gateway {
    pub name: String,
    pub addr: SocketAddr,
    ready_addr: SocketAddr,
    settings: PathBuf,
    root: PathBuf,
    record: Arc<Record>,
    child: Child,
}

/// Returns an address of loopback that is free now.
fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Gateway {
    /// Starts a gateway with the settings of a small deployment.
    pub fn start(
        name: &str,
        zone: &str,
        root: &Path,
        folder: &Path,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let (addr, ready_addr) = (free_addr()?, free_addr()?);
        let (link_port, metrics_port) = (free_addr()?.port(), free_addr()?.port());
        let mut text = fs::read_to_string(root.join(TEMPLATE))?;
        let values = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", addr.to_string()),
            ("listen.ready", ready_addr.to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("internalPorts.0", link_port.to_string()),
            ("internalPorts.1", metrics_port.to_string()),
            ("platform.address", store.addr.to_string()),
            ("limits.cpuShare", "0.19".to_owned()),
            ("bootstrap", "true".to_owned()),
            ("bounds.configApplyMs", "2000".to_owned()),
            ("#bounds.revokeStrict", String::new()),
            ("/bounds.revokeStrict", String::new()),
            ("bounds.revokeMs", "5000".to_owned()),
            ("heartbeatMs", "1200".to_owned()),
            ("bounds.gracePeriodS", "8".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.retrySlack", "52".to_owned()),
        ];
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(io::Error::other("the template has a placeholder that is not known here"));
        }
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let child = spawn(root, &settings, true)?;
        record.line(&format!("{name} started on {addr}"));
        let (name, root, record) = (name.to_owned(), root.to_owned(), record.clone());
        Ok(Self { name, addr, ready_addr, settings, root, record, child })
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let to = http::Destination { addr: self.ready_addr, pause: Duration::ZERO };
        let headers = [("Host", "ready")];
        let message =
            http::Message { method: "GET", path: "/readyz", headers: &headers, body: b"" };
        http::exchange(to, &message, Duration::from_millis(500), || {}).status == Some(200)
    }

    /// Waits until the gateway is ready.
    pub fn wait_ready(&mut self) -> io::Result<()> {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > READY_TIME || self.child.try_wait()?.is_some() {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line(&format!("{} is ready", self.name));
        Ok(())
    }

    pub fn terminate(&self) {
        self.record.line(&format!("{} gets SIGTERM", self.name));
        // SAFETY: `kill` takes two integers; the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    /// Tells the process that its settings file has changed.
    pub fn hang_up(&self) {
        self.record.line(&format!("{} gets SIGHUP", self.name));
        // SAFETY: `kill` takes two integers; the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, SIGHUP) };
    }

    fn end(&mut self) {
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended by itself.
    pub fn wait_end(&mut self) -> io::Result<()> {
        let started = Instant::now();
        while self.child.try_wait()?.is_none() {
            if started.elapsed() > END_TIME {
                return Err(io::Error::other(format!("{} does not end", self.name)));
            }
            thread::sleep(Duration::from_millis(20));
        }
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
        self.record.line(&format!("{} has ended", self.name));
        Ok(())
    }

    /// Starts the process again, on the same ports.
    pub fn restart(&mut self) -> io::Result<()> {
        // Only the first start of the whole system is told so.
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("first_start = true", "first_start = false"))?;
        self.child = spawn(&self.root, &self.settings, false)?;
        self.record.line(&format!("{} started again", self.name));
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(root: &Path, settings: &Path, is_first: bool) -> io::Result<Child> {
    let log = settings.with_extension("log");
    let log = if is_first { File::create(log)? } else { File::options().append(true).open(log)? };
    let child = Command::new(root.join(PROGRAM))
        .arg(settings)
        .current_dir(root)
        .env_remove("RUST_LOG")
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    STARTED.lock().unwrap().push(child.id());
    Ok(child)
}
