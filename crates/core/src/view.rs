//! Configuration compiled for the path of a request.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use marigold_schema::declarations::{Declarations, Pipeline, Pool, PoolKind, Preset, Target};
use marigold_schema::messages::PoolSlice;

use crate::config;
use crate::digest;
use crate::head::Replica;
use crate::ids::{Name, Revision};

/// A customer as requests see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub name: Name,
    /// Weight of its fair share.
    pub weight: u32,
    token_sha256: String,
}

/// A pool and its declared targets.
#[derive(Clone, Debug)]
pub struct PoolView {
    /// Name of the pool.
    pub name: Name,
    /// Its declaration.
    pub pool: Pool,
    /// Calls at a time on one target, scaled by the preset in force.
    pub concurrency: u32,
    /// Declared targets by name.
    pub targets: BTreeMap<Name, Target>,
}

impl PoolView {
    /// Whether the targets stream tokens.
    pub fn is_engine(&self) -> bool {
        self.pool.kind == PoolKind::Engine
    }

    /// Retention time of idempotency keys.
    pub fn retention(&self) -> Duration {
        Duration::from_secs(u64::from(self.pool.retention_s.get()))
    }

    /// The part of the configuration that the pool's agents need.
    pub fn slice(&self, revision: Revision, preset: &str) -> PoolSlice {
        PoolSlice {
            revision,
            preset: preset.to_owned(),
            pool: self.name.clone(),
            idempotent: self.pool.idempotent,
            concurrency: self.concurrency,
            key_shards: self.pool.key_shards.get(),
            retention_s: self.pool.retention_s.get(),
            licence_term_s: self.pool.licence_term_s,
            reports_load: self.pool.reports_load,
            engine: self.is_engine(),
            targets: self.targets.keys().cloned().collect(),
        }
    }
}

/// One revision of the configuration, ready for use.
#[derive(Debug)]
pub struct View {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Name of the preset in force.
    pub preset_name: Name,
    /// The preset in force.
    pub preset: Preset,
    /// Pools by name.
    pub pools: BTreeMap<Name, Arc<PoolView>>,
    /// Pipelines by name.
    pub pipelines: BTreeMap<Name, Arc<Pipeline>>,
    /// One-way delays between data centres.
    pub delays: BTreeMap<Name, BTreeMap<Name, f64>>,
    /// Targets that operators drain.
    pub draining: BTreeSet<Name>,
    customers: HashMap<String, Arc<Customer>>,
}

impl View {
    /// Compiles a replica.
    ///
    /// # Errors
    /// [`config::Error`] when an item cannot be read.
    pub fn compile(replica: &Replica) -> config::Result<View> {
        let declarations = config::from_items(&replica.items)?;
        let preset_name = config::preset_in_force(&replica.items);
        let preset = preset_of(&declarations, &preset_name).clone();
        let pools = declarations.pool.iter().map(|(name, pool)| {
            let view = pool_view(name, pool, &preset, &declarations.target);
            (name.clone(), Arc::new(view))
        });
        let customers = declarations.customer.iter().map(|(name, customer)| {
            let token_sha256 = customer.token_sha256.clone();
            let known =
                Customer { name: name.clone(), weight: customer.weight.get(), token_sha256 };
            (customer.token_sha256.clone(), Arc::new(known))
        });
        let centres = &declarations.data_centre;
        Ok(View {
            revision: replica.revision,
            pools: pools.collect(),
            pipelines: declarations
                .pipeline
                .iter()
                .map(|(name, pl)| (name.clone(), Arc::new(pl.clone())))
                .collect(),
            delays: centres
                .iter()
                .map(|(name, centre)| (name.clone(), centre.delay_ms.clone()))
                .collect(),
            draining: config::draining(&replica.items),
            customers: customers.collect(),
            preset_name,
            preset,
        })
    }

    /// The customer whose bearer token this is.
    pub fn authenticate(&self, token: &str) -> Option<Arc<Customer>> {
        let hash = digest::sha256_hex(token);
        let customer = self.customers.get(&hash)?;
        digest::same_hash(&hash, &customer.token_sha256).then(|| customer.clone())
    }

    /// One-way delay between two data centres.
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        let declared =
            |a: &str, b: &str| self.delays.get(a).and_then(|delays| delays.get(b)).copied();
        let millis = if from == to {
            0.0
        } else {
            declared(from, to).or_else(|| declared(to, from)).unwrap_or(0.0)
        };
        Duration::from_secs_f64(millis / 1e3)
    }
}

fn preset_of<'a>(declarations: &'a Declarations, name: &str) -> &'a Preset {
    match name {
        "peak" => &declarations.preset.peak,
        "maintenance" => &declarations.preset.maintenance,
        _ => &declarations.preset.ordinary,
    }
}

fn pool_view(
    name: &str,
    pool: &Pool,
    preset: &Preset,
    targets: &BTreeMap<Name, Target>,
) -> PoolView {
    let scaled = f64::from(pool.concurrency.get()) * preset.concurrency_scale;
    let own = targets.iter().filter(|(_, target)| target.pool == name);
    PoolView {
        name: name.to_owned(),
        pool: pool.clone(),
        concurrency: (scaled.round() as u32).max(1),
        targets: own.map(|(name, target)| (name.clone(), target.clone())).collect(),
    }
}
