//! Running agent: its set-up, its handling of requests from entries, and its shutdown.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context as _;
use arc_swap::ArcSwapOption;
use marigold_core::ids::{Epoch, Member, Shard};
use marigold_link::security::Security;
use marigold_link::server::{Handler, ReplySink, Server};
use marigold_platform::store::PlatformStore;
use marigold_process::uptime::{Uptime, wall_clock_ms};
use marigold_schema::messages::{Heartbeat, Reply, Report, Request, ShardLicence};
use marigold_schema::settings::AgentSettings;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::calls;
use crate::licences;
use crate::load;
use crate::orders;
use crate::state::{Shared, Tables, heartbeat_interval};
use crate::target::HttpTarget;

/// Time for which a stopping agent without calls in progress still replies to heartbeats, so that entries learn
/// that it is leaving.
const LEAVING_NOTICE: Duration = Duration::from_millis(1500);

/// Largest number of enrolled entries that are reported to one that is not enrolled.
const MAX_VIA: usize = 2;

/// Handle of a running agent.
pub struct Agent {
    shared: Arc<Shared>,
    server: Server,
    tasks: Vec<JoinHandle<()>>,
}

impl Agent {
    /// Starts the agent: listens on the link address and serves entries in the background.
    ///
    /// # Errors
    /// An error that names the step, and the address or file, that failed.
    pub async fn bind(settings: AgentSettings) -> anyhow::Result<Agent> {
        let addr: SocketAddr =
            settings.link_address.parse().context("`link_address` is no IP:PORT")?;
        let security =
            Security::open(&settings.cluster, &settings.link_secret, settings.tls.clone())?;
        let shared = Arc::new(Shared {
            incarnation: wall_clock_ms(),
            clock: Uptime::default(),
            store: PlatformStore::open(&settings.platform)?,
            security: security.clone(),
            target: HttpTarget::open(&settings.target_url)
                .context("setting up the target's client")?,
            tables: Mutex::new(Tables::default()),
            slice: ArcSwapOption::empty(),
            revision: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            loading: AtomicBool::new(false),
            queued: AtomicU32::new(0),
            licence_wakeup: Notify::new(),
            settings,
        });
        let handler = Arc::new(AgentHandler { shared: shared.clone() });
        let server = Server::bind(addr, security, handler).await?;
        let tasks = vec![
            tokio::spawn(load::run(shared.clone())),
            tokio::spawn(licences::run(shared.clone())),
            tokio::spawn(orders::run(shared.clone())),
        ];
        let settings = &shared.settings;
        tracing::info!(target = settings.target, pool = settings.pool, addr = %server.addr(), "agent started");
        Ok(Agent { shared, server, tasks })
    }

    /// Returns the address on which the agent listens for entries.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the number of attempts in progress.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight()
    }

    /// Returns the bytes sent and received on links.
    pub fn link_bytes(&self) -> (u64, u64) {
        self.shared.security.traffic.bytes()
    }

    /// Refuses new calls, waits for those in progress until the drain timeout, and releases the licences.
    pub async fn drain(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
        let started = self.shared.now();
        let timeout = Duration::from_secs(u64::from(self.shared.settings.drain_s.get()));
        tracing::info!(in_flight = self.in_flight(), "agent is leaving");
        while self.shared.now() < started + LEAVING_NOTICE || self.in_flight() > 0 {
            if self.shared.now() > started + timeout {
                tracing::warn!(cut = self.in_flight(), "drain timeout reached");
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        licences::release(&self.shared).await;
        tracing::info!("agent stopped");
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

struct AgentHandler {
    shared: Arc<Shared>,
}

impl AgentHandler {
    fn heartbeat(&self, heartbeat: Heartbeat) -> Reply {
        let shared = &self.shared;
        let sender: Member = heartbeat.sender.into();
        shared.record_heartbeat(sender.clone());
        shared.adopt_slice(heartbeat.revision, heartbeat.slice);
        let (in_flight, queued) = calls::reported_load(shared);
        let now = shared.now();
        let tables = shared.tables.lock();
        let accepted_licences = tables.licences.iter().filter_map(|(shard, licence)| {
            let (epoch, enrolled) = licence.accepted_senders(now)?;
            Some(shard_licence(*shard, epoch, enrolled, &sender))
        });
        Reply::Report(Report {
            target: shared.settings.target.clone(),
            incarnation: shared.incarnation,
            leaving: !shared.accepts_calls(),
            in_flight,
            queued,
            revision: shared.revision.load(Ordering::SeqCst),
            slice_revision: shared.slice.load().as_ref().map_or(0, |slice| slice.revision),
            heartbeat_ms: heartbeat_interval(tables.entries.len()).as_millis() as u32,
            licences: accepted_licences.collect(),
        })
    }
}

/// Returns a licence as reported to an entry; one that is not enrolled gets the addresses of some that are.
fn shard_licence(
    shard: Shard,
    epoch: Epoch,
    enrolled: &BTreeSet<Member>,
    sender: &Member,
) -> ShardLicence {
    let is_enrolled = enrolled.contains(sender);
    let via = enrolled.iter().map(|member| member.address.clone()).take(if is_enrolled {
        0
    } else {
        MAX_VIA
    });
    ShardLicence { shard, epoch, enrolled: is_enrolled, via: via.collect() }
}

impl Handler for AgentHandler {
    async fn handle(&self, req: Request, mut replies: ReplySink) -> marigold_link::Result<()> {
        match req {
            Request::Heartbeat(heartbeat) => replies.send(&self.heartbeat(heartbeat)).await?,
            Request::Call(call) => calls::serve(&self.shared, call, &mut replies).await?,
            Request::Settle(settle) => calls::settle(&self.shared, settle, &mut replies).await?,
            Request::Cancel(cancel) => {
                let accepted = calls::cancel(&self.shared, &cancel.sender.into(), cancel.attempt);
                replies.send(&Reply::Accepted(accepted)).await?;
            }
            Request::TakeHint(hint) => {
                let accepted = licences::on_acquire_hint(&self.shared, hint.shard);
                replies.send(&Reply::Accepted(accepted)).await?;
            }
            Request::Seal(_)
            | Request::Tell(_)
            | Request::Push(_)
            | Request::Pull(_)
            | Request::Forward(_)
            | Request::RunStage(_)
            | Request::Release(_)
            | Request::Facts(_)
            | Request::ReadConfig(_)
            | Request::RecordOrigin(_)
            | Request::StoreOrigin(_)
            | Request::ReadOrigin(_)
            | Request::ReportCrash(_)
            | Request::ReadAnswers(_)
            | Request::SyncQuarantines(_)
            | Request::AskProbe(_)
            | Request::ReadTargets(_)
            | Request::AskLimit(_) => {
                replies.send(&Reply::Refused("an agent does not serve this".to_owned())).await?
            }
        }
        replies.finish();
        Ok(())
    }
}
