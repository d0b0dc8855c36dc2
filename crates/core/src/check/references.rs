//! Checks of references between declared items, and of rules that a JSON schema cannot express.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use marigold_schema::declarations::{
    Customer, DataCentre, Pipeline, Pool, PoolKind, Preset, Stage, Target,
};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{Merged, extend, path};

/// Items of a kind by name; none for an item that cannot be deserialised.
type Items<T> = BTreeMap<String, Option<T>>;

fn items<T: DeserializeOwned>(root: &Map<String, Value>, kind: &str) -> Items<T> {
    let of_kind = root.get(kind).and_then(Value::as_object).into_iter().flatten();
    of_kind.map(|(name, item)| (name.clone(), serde_json::from_value(item.clone()).ok())).collect()
}

/// All declared items by kind and name.
struct Declared {
    data_centre: Items<DataCentre>,
    pool: Items<Pool>,
    target: Items<Target>,
    pipeline: Items<Pipeline>,
    customer: Items<Customer>,
    preset: Items<Preset>,
}

impl Merged {
    /// Checks the references between items and the values that the schema cannot check.
    pub(super) fn check_references(&mut self) {
        let declared = Declared {
            data_centre: items(&self.root, "data_centre"),
            pool: items(&self.root, "pool"),
            target: items(&self.root, "target"),
            pipeline: items(&self.root, "pipeline"),
            customer: items(&self.root, "customer"),
            preset: items(&self.root, "preset"),
        };
        self.check_data_centres(&declared);
        self.check_targets(&declared);
        self.check_pools(&declared);
        self.check_pipelines(&declared);
        self.check_customers(&declared);
        self.check_presets(&declared);
    }

    fn check_data_centres(&mut self, declared: &Declared) {
        for (name, centre) in valid_items(&declared.data_centre) {
            for other in
                centre.delay_ms.keys().filter(|other| !declared.data_centre.contains_key(*other))
            {
                let path = path(&["data_centre", name, "delay_ms", other]);
                self.report(&path, unknown_name("data centre", other, declared.data_centre.keys()));
            }
        }
    }

    fn check_targets(&mut self, declared: &Declared) {
        let mut addresses = BTreeMap::new();
        for (name, target) in valid_items(&declared.target) {
            if !declared.pool.contains_key(&target.pool) {
                let message = unknown_name("pool", &target.pool, declared.pool.keys());
                self.report(&path(&["target", name, "pool"]), message);
            }
            if !declared.data_centre.contains_key(&target.data_centre) {
                let message =
                    unknown_name("data centre", &target.data_centre, declared.data_centre.keys());
                self.report(&path(&["target", name, "data_centre"]), message);
            }
            let location = path(&["target", name, "address"]);
            if target.address.parse::<SocketAddr>().is_err() {
                let message = format!(
                    "`{}` is no address; accepted: IP:PORT, such as 10.0.0.7:7400",
                    target.address
                );
                self.report(&location, message);
            }
            if let Some(other) = addresses.insert(&target.address, name) {
                self.report(
                    &location,
                    format!("address `{}` is also that of target `{other}`", target.address),
                );
            }
        }
    }

    fn check_presets(&mut self, declared: &Declared) {
        for (name, preset) in valid_items(&declared.preset) {
            for pool in preset.models.keys() {
                let location = path(&["preset", name, "models", pool]);
                match declared.pool.get(pool) {
                    None => {
                        self.report(&location, unknown_name("pool", pool, declared.pool.keys()));
                    }
                    Some(Some(pool)) if pool.kind != PoolKind::Engine => {
                        let message = "only an engine's pool has models".to_owned();
                        self.report(&location, message);
                    }
                    Some(_) => {}
                }
            }
        }
        for (name, pool) in valid_items(&declared.pool) {
            if pool.model.is_some() && pool.kind != PoolKind::Engine {
                let message = "only an engine's pool has a model".to_owned();
                self.report(&path(&["pool", name, "model"]), message);
            }
        }
    }

    fn check_pools(&mut self, declared: &Declared) {
        if declared.target.values().any(Option::is_none) {
            return;
        }
        for name in declared.pool.keys() {
            if !valid_items(&declared.target).any(|(_, target)| target.pool == *name) {
                self.report(
                    &path(&["pool", name]),
                    "the pool has no target; declare at least one".to_owned(),
                );
            }
        }
    }

    fn check_pipelines(&mut self, declared: &Declared) {
        for (name, pipeline) in valid_items(&declared.pipeline) {
            let mut seen = BTreeSet::new();
            for (i, stage) in pipeline.stages.iter().enumerate() {
                let location = path(&["pipeline", name, "stages", &i.to_string()]);
                if !seen.insert(&stage.name) {
                    self.report(
                        &location,
                        format!("stage name `{}` is used twice in the pipeline", stage.name),
                    );
                }
                if !declared.pool.contains_key(&stage.pool) {
                    let message = unknown_name("pool", &stage.pool, declared.pool.keys());
                    self.report(&extend(&location, "pool"), message);
                }
                self.check_stage(&location, stage, declared);
            }
            if pipeline.deadline_ms > pipeline.deadline_cap_ms {
                let message = format!(
                    "{} ms is above `deadline_cap_ms`, {} ms; accepted: up to the cap",
                    pipeline.deadline_ms, pipeline.deadline_cap_ms
                );
                self.report(&path(&["pipeline", name, "deadline_ms"]), message);
            }
        }
    }

    /// Checks the idempotency of a stage: a pool with idempotent calls keeps no idempotency keys, and an engine's calls
    /// are always idempotent.
    fn check_stage(&mut self, location: &[String], stage: &Stage, declared: &Declared) {
        let Some(Some(pool)) = declared.pool.get(&stage.pool) else { return };
        if stage.idempotent == Some(false) && pool.idempotent {
            let message = format!(
                "`false` needs a pool with `idempotent = false`; `{}` has `true`",
                stage.pool
            );
            self.report(&extend(location, "idempotent"), message);
        }
        if !stage.idempotent.unwrap_or(pool.idempotent) && pool.kind == PoolKind::Engine {
            let message = "an engine's calls are idempotent; set `idempotent = true`".to_owned();
            self.report(&extend(location, "pool"), message);
        }
    }

    fn check_customers(&mut self, declared: &Declared) {
        let mut tokens = BTreeMap::new();
        for (name, customer) in valid_items(&declared.customer) {
            let location = path(&["customer", name, "token_sha256"]);
            let token = &customer.token_sha256;
            if token.len() != 64 || !token.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f')) {
                let message = format!(
                    "`{token}` is no SHA-256; accepted: 64 digits of lower-case hexadecimal"
                );
                self.report(&location, message);
            }
            if let Some(other) = tokens.insert(token, name) {
                self.report(
                    &location,
                    format!("the same token as customer `{other}`; each needs its own"),
                );
            }
        }
    }
}

/// Returns the items that can be deserialised.
fn valid_items<T>(items: &Items<T>) -> impl Iterator<Item = (&String, &T)> {
    items.iter().filter_map(|(name, item)| Some((name, item.as_ref()?)))
}

fn unknown_name<'a>(kind: &str, found: &str, declared: impl Iterator<Item = &'a String>) -> String {
    let declared: Vec<&str> = declared.map(String::as_str).collect();
    format!("{kind} `{found}` is not declared; declared: {}", declared.join(", "))
}
