//! Gateways as separate processes, started with the command and the settings template of the deploy file.

use std::fs;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Ids of the processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that are left; for a case that takes too long.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL".to_owned(), pid.to_string()]).status();
    }
}

/// A gateway process; it is killed on drop.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    values: Vec<(&'static str, String)>,
    folder: PathBuf,
    child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Next port to try for a gateway. Outgoing connections get ports above this range, so none takes one that was found free.
static NEXT_PORT: Mutex<u16> = Mutex::new(0);

/// Returns four free addresses.
fn free_addrs() -> [SocketAddr; 4] {
    const PORTS: std::ops::Range<u16> = 12_000..32_000;
    let mut next = NEXT_PORT.lock().unwrap();
    if *next == 0 {
        // Runs side by side begin at different ports.
        *next = PORTS.start + (std::process::id().wrapping_mul(61) % 19_000) as u16;
    }
    std::array::from_fn(|_| {
        loop {
            *next = if *next + 1 < PORTS.end { *next + 1 } else { PORTS.start };
            let addr = SocketAddr::from(([127, 0, 0, 1], *next));
            if TcpListener::bind(addr).is_ok() {
                return addr;
            }
        }
    })
}

/// Returns the root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the root exists")
}

/// Fills in the settings template with the values of the small deployment `hvb-ruta`.
fn settings(values: &[(&str, String)]) -> String {
    let template = fs::read_to_string(root().join("platform/gateway.toml"));
    let mut text = template.expect("the settings template can be read");
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    let is_section = |line: &&str| line.starts_with("{{#") || line.starts_with("{{/");
    let lines: Vec<&str> = text.lines().filter(|line| !is_section(line)).collect();
    let text = lines.join("\n") + "\n";
    assert!(!text.contains("{{"), "the template has a placeholder that is not filled in: {text}");
    text
}

fn write_settings(folder: &Path, name: &str, values: &[(&str, String)]) {
    let path = folder.join(format!("{name}.toml"));
    fs::write(path, settings(values)).expect("the settings can be written");
}

fn spawn(folder: &Path, name: &str) -> Child {
    let log =
        fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{name}.log")));
    let log = log.expect("the log can be written");
    let child = Command::new(root().join("target/release/marigold-gateway"))
        .args([
            "--store-writes-per-s=400",
            "--evacuation-ms=",
            "--memory-mb=260",
            "--max-open-files=4100",
        ])
        .arg(folder.join(format!("{name}.toml")))
        .current_dir(root())
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log can be shared"))
        .stderr(log)
        .spawn()
        .expect("the gateway is built and can be started");
    STARTED.lock().unwrap().push(child.id());
    child
}

impl Gateway {
    /// Starts a gateway in a zone before a store; settings and log are written to a folder.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Self {
        let [callers, ready, link, metrics] = free_addrs();
        let values = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", callers.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip}}:{{internalPorts.0", link.to_string()),
            ("ip}}:{{internalPorts.1", metrics.to_string()),
            ("platform.address", store.to_string()),
            ("limits.cpuShare", "0.19".to_owned()),
            ("bootstrap", "true".to_owned()),
            ("heartbeatMs", "1200".to_owned()),
            ("bounds.configApplyMs", "2000".to_owned()),
            ("bounds.revokeMs", "5000".to_owned()),
            ("bounds.gracePeriodS", "8".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.retrySlack", "52".to_owned()),
        ];
        let (values, folder) = (values.to_vec(), folder.to_owned());
        write_settings(&folder, name, &values);
        let child = spawn(&folder, name);
        Self { name: name.to_owned(), callers, ready, values, folder, child }
    }

    /// Changes a value of the settings and writes the file again, as the platform does.
    pub fn change_settings(&mut self, name: &str, value: &str) {
        let known = self.values.iter_mut().find(|(known, _)| *known == name);
        known.expect("the value is one of the settings").1 = value.to_owned();
        write_settings(&self.folder, &self.name, &self.values);
    }

    /// Starts another process for this gateway, after the end of the one before.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.folder, &self.name);
    }

    /// Waits for the end of the process; returns false if it still runs after `time`.
    pub fn wait_end(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.child.try_wait().is_ok_and(|status| status.is_some()) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns the last line of the log.
    pub fn last_log_line(&self) -> String {
        let log = fs::read_to_string(self.folder.join(format!("{}.log", self.name)));
        let lines = log.unwrap_or_default();
        lines.trim_end().lines().last().unwrap_or_default().to_owned()
    }

    /// Returns the status of the readiness check.
    pub fn ready_status(&self) -> Option<u16> {
        use std::io::Write;
        let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream
            .write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            .ok()?;
        http::read_head(&mut BufReader::new(stream)).ok()?.map(|head| head.status())
    }

    /// Waits until the gateway says that it is ready; returns false if it does not.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.ready_status() == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by the `kill` command.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([format!("-{signal}"), pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}
