//! What the cases share: the record, and a small deployment.

use std::fs::File;
use std::io::Write as _;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

use marigold_testbed::gateways::GatewayCluster;

/// Options of the deploy file, with the values of a small deployment. Data centres are not evacuated there.
const OPTIONS: [&str; 4] =
    ["--store-writes-per-s=400", "--evacuation-ms=", "--memory-mb=260", "--max-open-files=4100"];

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Program under test, record, and whether the disruption takes place.
pub struct Context {
    pub gateway: PathBuf,
    pub has_trouble: bool,
    pub started: Instant,
    record: Mutex<File>,
}

impl Context {
    pub fn new(gateway: PathBuf, record: PathBuf, has_trouble: bool) -> Self {
        let record = Mutex::new(File::create(record).expect("the record is created"));
        Self { gateway, has_trouble, started: Instant::now(), record }
    }

    /// Writes a line to the record, with the time since the start in milliseconds.
    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_millis();
        let mut record = self.record.lock().expect("no panic under the lock");
        writeln!(record, "{at:>6} {line}").expect("the record is written");
    }

    /// Starts a store, replicas and gateways, and waits until the gateways are ready.
    pub async fn start(&self, name: &str, gateways: usize, replicas: usize) -> GatewayCluster {
        self.start_with(name, gateways, replicas, &OPTIONS).await
    }

    /// As [`Context::start`], with other options of the deploy file.
    pub async fn start_with(
        &self,
        name: &str,
        gateways: usize,
        replicas: usize,
        options: &[&str],
    ) -> GatewayCluster {
        GatewayCluster::start_with_options(&self.gateway, name, gateways, replicas, options).await
    }
}
