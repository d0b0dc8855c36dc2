//! A small deployment: a store, replicas, and gateways in two zones.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use std::{env, fs, process, thread};

use crate::gateway::Gateway;
use crate::record::Record;
use crate::replica::{Options, Replica, Run};
use crate::store::Store;

/// Zones of the deployment; the first gateway is in the first one, the second in the second one.
pub const ZONES: [&str; 2] = ["braila-a", "braila-b"];

/// Time after the start from which a machine counts as in touch: `contactMs` of the deployment, and a margin.
const CONTACT_TIME: Duration = Duration::from_millis(3_500);
/// Number of further starts of a gateway that does not become ready.
const START_TRIES: usize = 3;

pub struct Setup {
    pub store: Arc<Store>,
    pub gateways: Vec<Gateway>,
    pub replicas: Vec<Arc<Replica>>,
    pub record: Arc<Record>,
    /// Temporary folder of settings and logs.
    folder: PathBuf,
}

impl Setup {
    /// Starts the store with a configuration, the replicas, and then the gateways; returns when these are in touch.
    pub fn start(
        folder: &Path,
        config: &str,
        replicas: Vec<Options>,
        gateways: usize,
    ) -> io::Result<Self> {
        let record = Arc::new(Record::open(&folder.join("record.txt"))?);
        let temporary = env::temp_dir().join(format!("review-case-{}", process::id()));
        fs::create_dir_all(&temporary)?;
        let store = Store::spawn()?;
        store.put("config", "main", config);
        let replicas: io::Result<Vec<_>> =
            replicas.into_iter().map(|options| Replica::spawn(options, &store, &record)).collect();
        let root = env::current_dir()?;
        let mut setup =
            Self { store, gateways: Vec::new(), replicas: replicas?, record, folder: temporary };
        for number in 0..gateways {
            let (name, zone) = (format!("front-{number}"), ZONES[number % ZONES.len()]);
            let start =
                || Gateway::start(&name, zone, &root, &setup.folder, &setup.store, &setup.record);
            let mut gateway = start()?;
            // A free port may have been taken by another process before the gateway listens on it.
            for _ in 0..START_TRIES {
                if gateway.wait_ready().is_ok() {
                    break;
                }
                gateway = start()?;
            }
            gateway.wait_ready()?;
            setup.gateways.push(gateway);
        }
        thread::sleep(CONTACT_TIME);
        Ok(setup)
    }

    /// Returns what the replicas ran, in the order of the beginnings.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs: Vec<Run> = self.replicas.iter().flat_map(|replica| replica.runs()).collect();
        runs.sort_by_key(|run| run.at);
        runs
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        self.gateways.clear();
        if env::var_os("KEEP_LOGS").is_some() {
            println!("logs are kept in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
