//! Composition of a test cluster.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use marigold_core::digest;

/// Paths of the binaries that a test cluster runs.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// Path of `marigold-entry`.
    pub entry: PathBuf,
    /// Path of `marigold-agent`.
    pub agent: PathBuf,
    /// Path of `marigold-standin`.
    pub standin: PathBuf,
}

impl Binaries {
    /// Returns the paths of the binaries in a folder.
    pub fn in_folder(folder: &Path) -> Binaries {
        Binaries {
            entry: folder.join("marigold-entry"),
            agent: folder.join("marigold-agent"),
            standin: folder.join("marigold-standin"),
        }
    }
}

/// Expands to the [`Binaries`](crate::plan::Binaries) that cargo built for the calling test.
#[macro_export]
macro_rules! binaries {
    () => {
        $crate::plan::Binaries {
            entry: env!("CARGO_BIN_EXE_marigold-entry").into(),
            agent: env!("CARGO_BIN_EXE_marigold-agent").into(),
            standin: env!("CARGO_BIN_EXE_marigold-standin").into(),
        }
    };
}

/// A pool of the cluster.
#[derive(Clone, Debug)]
pub struct PoolPlan {
    /// Name of the pool.
    pub name: &'static str,
    /// Kind of the pool, as in its declaration.
    pub kind: &'static str,
    /// Number of targets in the pool.
    pub targets: usize,
    /// Additional TOML lines of the pool declaration.
    pub extra_toml: &'static str,
    /// Duration of a call to a service or of a step of an engine, in milliseconds.
    pub duration_ms: f64,
}

/// Composition of a cluster.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of entries.
    pub entries: usize,
    /// Pools of targets.
    pub pools: Vec<PoolPlan>,
    /// Declarations of the pipelines in TOML.
    pub pipelines: &'static str,
    /// Declarations of the presets in TOML.
    pub presets: &'static str,
    /// Whether the entries reach each agent through a relay.
    pub agent_relays: bool,
    /// Whether each entry reaches the other entries and the platform through relays.
    pub entry_relays: bool,
    /// Number of customers in addition to the one whose token is [`CUSTOMER_TOKEN`].
    pub extra_customers: usize,
    /// Whether all targets of a pool share one stand-in process.
    pub shared_targets: bool,
}

/// Token of the customer that calls.
pub const CUSTOMER_TOKEN: &str = "customer-token";
/// Token of the operators.
pub const OPERATOR_TOKEN: &str = "operator-token";

impl Plan {
    /// Returns a cluster of two entries with a four-stage pipeline, `record-receipt` and `balance`.
    pub fn small() -> Plan {
        let pool = |name, kind, targets, extra_toml, duration_ms| PoolPlan {
            name,
            kind,
            targets,
            extra_toml,
            duration_ms,
        };
        Plan {
            entries: 2,
            pools: vec![
                pool("encoders", "encoder", 2, "", 2.0),
                pool("retrievers", "retriever", 2, "", 3.0),
                pool("rerankers", "reranker", 2, "", 2.0),
                pool("assistants", "engine", 2, "reports_load = true\ntoken_price_micros = 3", 3.0),
                pool(
                    "receipts",
                    "service",
                    3,
                    "idempotent = false\ncall_price_micros = 50\nkey_shards = 6",
                    5.0,
                ),
            ],
            pipelines: r#"
                [pipeline.answer]
                deadline_ms = 6000
                max_tokens = 24
                stages = [
                  { name = "encode", pool = "encoders" },
                  { name = "retrieve", pool = "retrievers" },
                  { name = "rerank", pool = "rerankers" },
                  { name = "generate", pool = "assistants" },
                ]
                [pipeline.record-receipt]
                deadline_ms = 5000
                priority = 9
                stages = [{ name = "record", pool = "receipts", path = "/v1/record" }]
                [pipeline.balance]
                deadline_ms = 3000
                stages = [{ name = "look-up", pool = "receipts", path = "/v1/balance", idempotent = true }]
            "#,
            presets: "[preset.ordinary]\n[preset.peak]\nretry_share = 0.02\n[preset.maintenance]\nconcurrency_scale = 0.5\n",
            agent_relays: false,
            entry_relays: false,
            extra_customers: 0,
            shared_targets: false,
        }
    }

    /// Returns a cluster with the pool `receipts` and the pipeline `record-receipt` only.
    pub fn receipts(entries: usize) -> Plan {
        let mut plan = Plan::small();
        plan.entries = entries;
        plan.pools.retain(|pool| pool.name == "receipts");
        plan.pipelines = r#"
            [pipeline.record-receipt]
            deadline_ms = 5000
            priority = 9
            stages = [{ name = "record", pool = "receipts", path = "/v1/record" }]
        "#;
        plan
    }

    /// Returns a cluster with the pool `receipts` and two engines that stream 100 tokens in 1.5 s.
    pub fn streams(entries: usize) -> Plan {
        let mut plan = Plan::small();
        plan.entries = entries;
        plan.pools.retain(|pool| matches!(pool.name, "receipts" | "assistants"));
        plan.pools
            .iter_mut()
            .filter(|pool| pool.kind == "engine")
            .for_each(|pool| pool.duration_ms = 15.0);
        plan.pipelines = r#"
            [pipeline.tell]
            deadline_ms = 12000
            max_tokens = 100
            stages = [{ name = "generate", pool = "assistants" }]
            [pipeline.record-receipt]
            deadline_ms = 5000
            priority = 9
            stages = [{ name = "record", pool = "receipts", path = "/v1/record" }]
        "#;
        plan
    }

    /// Returns the same cluster with a relay in front of each agent.
    pub fn with_agent_relays(self) -> Plan {
        Plan { agent_relays: true, ..self }
    }

    /// Returns the declarations in TOML, given the name, pool and address of each target.
    pub(crate) fn declarations(&self, targets: &[(String, &PoolPlan, SocketAddr)]) -> String {
        let mut text = String::from("[data_centre.north]\nregion = \"delta\"\n");
        for pool in &self.pools {
            let _ = writeln!(
                text,
                "[pool.{}]\nkind = \"{}\"\n{}",
                pool.name, pool.kind, pool.extra_toml
            );
        }
        for (name, pool, addr) in targets {
            let _ = writeln!(
                text,
                "[target.{name}]\npool = \"{}\"\ndata_centre = \"north\"\naddress = \"{addr}\"",
                pool.name
            );
        }
        text.push_str(self.pipelines);
        let token = digest::sha256_hex(CUSTOMER_TOKEN);
        let _ = writeln!(text, "\n[customer.stalls]\ntoken_sha256 = \"{token}\"\nweight = 2");
        for i in 0..self.extra_customers {
            let token = digest::sha256_hex(&format!("{CUSTOMER_TOKEN}-{i}"));
            let _ = writeln!(text, "[customer.stall-{i}]\ntoken_sha256 = \"{token}\"");
        }
        text.push_str(self.presets);
        text
    }
}
