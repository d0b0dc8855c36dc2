//! Configuration compiled for use while requests are handled; a change recompiles only the affected parts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use marigold_schema::declarations::{
    Customer as CustomerItem, DataCentre, Pipeline, Pool, PoolKind, Preset, Target,
};
use marigold_schema::messages::PoolSlice;
use serde::de::DeserializeOwned;

use crate::config::{self, Error, Result};
use crate::digest;
use crate::head::{ItemChange, Items, PRESET_ITEM};
use crate::ids::{Name, Revision};

/// Parts into which the customers are divided, so that a change copies only the parts that it affects.
const CUSTOMER_PARTS: usize = 64;

/// Attributes of a customer that requests need.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub name: Name,
    /// Weight for fair sharing of capacity between customers.
    pub weight: u32,
    token_sha256: String,
}

/// A pool and its declared targets.
#[derive(Clone, Debug)]
pub struct PoolView {
    /// Name of the pool.
    pub name: Name,
    /// Declaration of the pool.
    pub pool: Pool,
    /// Largest number of concurrent calls on one target, scaled by the preset in force.
    pub concurrency: u32,
    /// Declared targets by name.
    pub targets: BTreeMap<Name, Arc<Target>>,
    /// Part of the configuration that the agents of the pool need.
    pub slice: PoolSlice,
}

impl PoolView {
    /// Returns whether the targets are engines, which stream tokens.
    pub fn is_engine(&self) -> bool {
        self.pool.kind == PoolKind::Engine
    }

    /// Returns the retention time of idempotency keys.
    pub fn retention(&self) -> Duration {
        Duration::from_secs(u64::from(self.pool.retention_s.get()))
    }
}

type CustomerParts = Vec<Arc<HashMap<String, Arc<Customer>>>>;

/// One compiled revision of the configuration; unchanged parts are shared between clones and revisions.
#[derive(Clone, Debug)]
pub struct View {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Name of the preset in force.
    pub preset_name: Name,
    /// Preset in force.
    pub preset: Preset,
    /// Pools by name.
    pub pools: Arc<BTreeMap<Name, Arc<PoolView>>>,
    /// Pipelines by name.
    pub pipelines: Arc<BTreeMap<Name, Arc<Pipeline>>>,
    /// Targets that operators drain.
    pub draining: Arc<BTreeSet<Name>>,
    /// One-way delays between data centres in milliseconds.
    delays: Arc<BTreeMap<Name, BTreeMap<Name, f64>>>,
    presets: Arc<BTreeMap<Name, Preset>>,
    declared_pools: Arc<BTreeMap<Name, Pool>>,
    targets: Arc<BTreeMap<Name, Arc<Target>>>,
    customers: CustomerParts,
}

impl Default for View {
    fn default() -> Self {
        View {
            revision: 0,
            preset_name: config::PRESETS[0].to_owned(),
            preset: default_preset(),
            pools: Arc::default(),
            pipelines: Arc::default(),
            draining: Arc::default(),
            delays: Arc::default(),
            presets: Arc::default(),
            declared_pools: Arc::default(),
            targets: Arc::default(),
            customers: vec![Arc::default(); CUSTOMER_PARTS],
        }
    }
}

fn default_preset() -> Preset {
    serde_json::from_str("{}").expect("every field of a preset has a default")
}

/// Pools affected by a set of changes.
#[derive(Default)]
struct Touched {
    pools: BTreeSet<Name>,
    all_pools: bool,
}

impl View {
    /// Compiles all items of a revision.
    ///
    /// # Errors
    /// [`Error`] when an item cannot be read.
    pub fn compile(revision: Revision, items: &Items) -> Result<View> {
        let changes = items.iter().map(|(key, value)| (key.clone(), Some(value.clone())));
        View::default().apply(revision, changes)
    }

    /// Returns the view of a later revision, with the changes applied.
    ///
    /// # Errors
    /// [`Error`] when an item cannot be read.
    pub fn apply(
        &self,
        revision: Revision,
        changes: impl IntoIterator<Item = ItemChange>,
    ) -> Result<View> {
        let mut next = View { revision, ..self.clone() };
        let mut touched = Touched::default();
        for (key, value) in changes {
            next.apply_item(&key, value.as_deref(), &mut touched)?;
        }
        next.preset = next.presets.get(&next.preset_name).cloned().unwrap_or_else(default_preset);
        next.rebuild_pools(&touched);
        Ok(next)
    }

    fn apply_item(&mut self, key: &str, value: Option<&str>, touched: &mut Touched) -> Result<()> {
        if key == PRESET_ITEM {
            let name = value.map(|text| parse(key, text)).transpose()?;
            self.preset_name = name.unwrap_or_else(|| config::PRESETS[0].to_owned());
            touched.all_pools = true;
            return Ok(());
        }
        let Some((kind, name)) = key.split_once('/') else { return Ok(()) };
        match kind {
            "customer" => self.set_customer(key, name, value)?,
            "target" => {
                let targets = Arc::make_mut(&mut self.targets);
                let old = targets.get(name).cloned();
                set_item(targets, key, name, value, Arc::new)?;
                let new = targets.get(name);
                touched.pools.extend(old.iter().chain(new).map(|target| target.pool.clone()));
            }
            "pool" => {
                set_item(Arc::make_mut(&mut self.declared_pools), key, name, value, |pool| pool)?;
                touched.pools.insert(name.to_owned());
            }
            "pipeline" => {
                set_item(Arc::make_mut(&mut self.pipelines), key, name, value, Arc::new)?;
            }
            "data_centre" => {
                let delays = |centre: DataCentre| centre.delay_ms;
                set_item(Arc::make_mut(&mut self.delays), key, name, value, delays)?;
            }
            "preset" => {
                set_item(Arc::make_mut(&mut self.presets), key, name, value, |preset| preset)?;
                touched.all_pools |= name == self.preset_name;
            }
            "draining" => {
                let draining = Arc::make_mut(&mut self.draining);
                match value {
                    Some(_) => draining.insert(name.to_owned()),
                    None => draining.remove(name),
                };
            }
            _ => {}
        }
        Ok(())
    }

    fn set_customer(&mut self, key: &str, name: &str, value: Option<&str>) -> Result<()> {
        let find_by_name = |part: &Arc<HashMap<String, Arc<Customer>>>| {
            part.values().find(|customer| customer.name == name).cloned()
        };
        // The set of customers is large and most changes add or edit one, so only the part of the customer is copied.
        let old = self.customers.iter().find_map(find_by_name);
        if let Some(old) = old {
            self.customer_part(&old.token_sha256).remove(&old.token_sha256);
        }
        let Some(text) = value else { return Ok(()) };
        let item: CustomerItem = parse(key, text)?;
        let (weight, token_sha256) = (item.weight.get(), item.token_sha256);
        let customer =
            Customer { name: name.to_owned(), weight, token_sha256: token_sha256.clone() };
        self.customer_part(&token_sha256).insert(token_sha256, Arc::new(customer));
        Ok(())
    }

    fn customer_part(&mut self, token_sha256: &str) -> &mut HashMap<String, Arc<Customer>> {
        Arc::make_mut(&mut self.customers[customer_part_index(token_sha256)])
    }

    fn rebuild_pools(&mut self, touched: &Touched) {
        let names: Vec<Name> = if touched.all_pools {
            self.pools.keys().chain(self.declared_pools.keys()).cloned().collect()
        } else {
            touched.pools.iter().cloned().collect()
        };
        if names.is_empty() {
            return;
        }
        let mut pools = (*self.pools).clone();
        for name in names {
            match self.declared_pools.get(&name) {
                Some(pool) => pools.insert(name.clone(), Arc::new(self.pool_view(&name, pool))),
                None => pools.remove(&name),
            };
        }
        self.pools = Arc::new(pools);
    }

    fn pool_view(&self, name: &str, pool: &Pool) -> PoolView {
        let scaled = f64::from(pool.concurrency.get()) * self.preset.concurrency_scale;
        let concurrency = (scaled.round() as u32).max(1);
        let declared = self.targets.iter().filter(|(_, target)| target.pool == name);
        let targets: BTreeMap<Name, Arc<Target>> =
            declared.map(|(name, target)| (name.clone(), target.clone())).collect();
        let slice = PoolSlice {
            revision: self.revision,
            preset: self.preset_name.clone(),
            pool: name.to_owned(),
            idempotent: pool.idempotent,
            concurrency,
            key_shards: pool.key_shards.get(),
            retention_s: pool.retention_s.get(),
            licence_term_s: pool.licence_term_s,
            reports_load: pool.reports_load,
            engine: pool.kind == PoolKind::Engine,
            model: self.preset.models.get(name).cloned().or_else(|| pool.model.clone()),
            load_s: pool.load_s,
            targets: targets.keys().cloned().collect(),
        };
        PoolView { name: name.to_owned(), pool: pool.clone(), concurrency, targets, slice }
    }

    /// Returns the customer with this bearer token.
    pub fn authenticate(&self, token: &str) -> Option<Arc<Customer>> {
        let hash = digest::sha256_hex(token);
        let customer = self.customers[customer_part_index(&hash)].get(&hash)?;
        digest::same_hash(&hash, &customer.token_sha256).then(|| customer.clone())
    }

    /// Returns the one-way delay between two data centres, as declared in either direction; zero when it is not
    /// declared.
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        let declared =
            |a: &str, b: &str| self.delays.get(a).and_then(|delays| delays.get(b)).copied();
        let either = declared(from, to).or_else(|| declared(to, from));
        let millis = if from == to { 0.0 } else { either.unwrap_or(0.0) };
        Duration::from_secs_f64(millis / 1e3)
    }
}

fn customer_part_index(token_sha256: &str) -> usize {
    let prefix = token_sha256.get(..2).and_then(|digits| usize::from_str_radix(digits, 16).ok());
    prefix.unwrap_or(0) % CUSTOMER_PARTS
}

fn parse<T: DeserializeOwned>(key: &str, text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(|source| Error::Item { key: key.to_owned(), source })
}

fn set_item<T: DeserializeOwned, V>(
    map: &mut BTreeMap<Name, V>,
    key: &str,
    name: &str,
    value: Option<&str>,
    wrap: impl FnOnce(T) -> V,
) -> Result<()> {
    match value {
        Some(text) => map.insert(name.to_owned(), wrap(parse(key, text)?)),
        None => map.remove(name),
    };
    Ok(())
}
