//! Reads a folder of declarations and names every mistake in it at once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use jsonschema::error::ValidationErrorKind;
use marigold_schema::declarations::{
    Customer, DataCentre, Declarations, Pipeline, Pool, PoolKind, Preset, Stage, Target,
};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use toml::de::{DeTable, DeValue};

/// Result of this module.
pub type Result<T> = std::result::Result<T, Vec<Mistake>>;

/// One mistake in the declarations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mistake {
    /// File in the folder; empty when the mistake is in the whole.
    pub file: String,
    /// Line in the file, from one; zero when the mistake is in the whole.
    pub line: usize,
    /// Key, with dots between its parts.
    pub key: String,
    /// What was found and what would be accepted.
    pub message: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}:{}: ", self.file, self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, "`{}`: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

#[derive(Clone, Debug, Default)]
struct Place {
    file: String,
    line: usize,
}

/// Text of one file, by name.
pub type Files = BTreeMap<String, String>;

/// Reads every `.toml` file of a folder.
///
/// # Errors
/// A mistake for the folder or each file that cannot be read, and all mistakes that [`check`] finds.
pub fn check_folder(folder: &Path) -> Result<Declarations> {
    let mut files = Files::new();
    let mut mistakes = Vec::new();
    let whole =
        |message: String| Mistake { file: String::new(), line: 0, key: String::new(), message };
    let entries = match std::fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(err) => {
            return Err(vec![whole(format!("folder {} cannot be read: {err}", folder.display()))]);
        }
    };
    for path in entries.filter_map(|entry| Some(entry.ok()?.path())) {
        if path.extension().is_none_or(|ending| ending != "toml") {
            continue;
        }
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        match std::fs::read_to_string(&path) {
            Ok(text) => drop(files.insert(name, text)),
            Err(err) => mistakes.push(whole(format!("file {name} cannot be read: {err}"))),
        }
    }
    if files.is_empty() && mistakes.is_empty() {
        mistakes.push(whole(format!("folder {} holds no .toml file", folder.display())));
    }
    if mistakes.is_empty() { check(&files) } else { Err(mistakes) }
}

/// Checks files of declarations that are merged into one.
///
/// # Errors
/// Every mistake found, in the order of files and lines.
pub fn check(files: &Files) -> Result<Declarations> {
    let mut merged = Merged::default();
    for (name, text) in files {
        merged.add(name, text);
    }
    merged.check_schema();
    merged.check_references();
    merged.finish()
}

/// Checks declarations that come without files.
///
/// # Errors
/// Every mistake found, without a place.
pub fn check_declarations(declarations: &Declarations) -> Result<()> {
    let value = serde_json::to_value(declarations).expect("declarations serialise");
    let root = value.as_object().cloned().unwrap_or_default();
    let mut merged = Merged { root, ..Merged::default() };
    merged.check_references();
    merged.finish().map(drop)
}

/// Items of a kind by name; none for one that does not fit the schema.
type Items<T> = BTreeMap<String, Option<T>>;

fn items<T: DeserializeOwned>(root: &Map<String, Value>, kind: &str) -> Items<T> {
    let of_kind = root.get(kind).and_then(Value::as_object).into_iter().flatten();
    of_kind.map(|(name, item)| (name.clone(), serde_json::from_value(item.clone()).ok())).collect()
}

/// What fits the schema, and the names of all that is declared.
struct Lenient {
    data_centre: Items<DataCentre>,
    pool: Items<Pool>,
    target: Items<Target>,
    pipeline: Items<Pipeline>,
    customer: Items<Customer>,
    preset: Items<Preset>,
}

#[derive(Default)]
struct Merged {
    root: Map<String, Value>,
    places: BTreeMap<Vec<String>, Place>,
    mistakes: Vec<Mistake>,
}

impl Merged {
    /// The declarations, when nothing was found.
    fn finish(mut self) -> Result<Declarations> {
        if self.mistakes.is_empty() {
            match serde_json::from_value(Value::Object(self.root.clone())) {
                Ok(declarations) => return Ok(declarations),
                Err(err) => self.report(&[], err.to_string()),
            }
        }
        self.mistakes.sort();
        self.mistakes.dedup();
        Err(self.mistakes)
    }

    fn add(&mut self, file: &str, text: &str) {
        let table = match DeTable::parse(text) {
            Ok(table) => table,
            Err(err) => {
                let line = err.span().map_or(0, |span| line_of(text, span.start));
                let message = err.message().to_owned();
                self.mistakes.push(Mistake {
                    file: file.to_owned(),
                    line,
                    key: String::new(),
                    message,
                });
                return;
            }
        };
        for (key, value) in table.get_ref() {
            let kind = key.get_ref().to_string();
            self.note(vec![kind.clone()], file, text, key.span().start);
            let Some(items) = value.get_ref().as_table() else {
                self.root.insert(kind, Value::Null);
                continue;
            };
            for (name, item) in items {
                let path = vec![kind.clone(), name.get_ref().to_string()];
                self.add_item(path, file, text, name.span().start, item.get_ref());
            }
        }
    }

    fn add_item(
        &mut self,
        path: Vec<String>,
        file: &str,
        text: &str,
        start: usize,
        item: &DeValue<'_>,
    ) {
        if let Some(first) = self.places.get(&path) {
            let message = format!("declared twice; first in {}:{}", first.file, first.line);
            let (file, line) = (file.to_owned(), line_of(text, start));
            self.mistakes.push(Mistake { file, line, key: path.join("."), message });
            return;
        }
        self.note(path.clone(), file, text, start);
        let value = self.convert(&path, file, text, item);
        let kind =
            self.root.entry(path[0].clone()).or_insert_with(|| Value::Object(Default::default()));
        if let Value::Object(items) = kind {
            items.insert(path[1].clone(), value);
        }
    }

    fn convert(&mut self, path: &[String], file: &str, text: &str, value: &DeValue<'_>) -> Value {
        match value {
            DeValue::String(text) => Value::from(text.as_ref()),
            DeValue::Integer(number) => {
                let parsed = i64::from_str_radix(number.as_str(), number.radix());
                parsed.map(Value::from).unwrap_or(Value::from(number.as_str()))
            }
            DeValue::Float(number) => number
                .as_str()
                .parse::<f64>()
                .map(Value::from)
                .unwrap_or(Value::from(number.as_str())),
            DeValue::Boolean(flag) => Value::from(*flag),
            DeValue::Datetime(time) => Value::from(time.to_string()),
            DeValue::Array(items) => {
                let converted = items.iter().enumerate().map(|(i, item)| {
                    let path = extend(path, &i.to_string());
                    self.note(path.clone(), file, text, item.span().start);
                    self.convert(&path, file, text, item.get_ref())
                });
                Value::Array(converted.collect())
            }
            DeValue::Table(table) => {
                let converted = table.iter().map(|(key, item)| {
                    let path = extend(path, key.get_ref());
                    self.note(path.clone(), file, text, key.span().start);
                    (key.get_ref().to_string(), self.convert(&path, file, text, item.get_ref()))
                });
                Value::Object(converted.collect())
            }
        }
    }

    fn note(&mut self, path: Vec<String>, file: &str, text: &str, start: usize) {
        self.places
            .entry(path)
            .or_insert_with(|| Place { file: file.to_owned(), line: line_of(text, start) });
    }

    /// Reports a mistake at the nearest known place of a key.
    fn report(&mut self, path: &[String], message: String) {
        let known = (0..=path.len()).rev().find_map(|len| self.places.get(&path[..len]));
        let place = known.cloned().unwrap_or_default();
        self.mistakes.push(Mistake {
            file: place.file,
            line: place.line,
            key: path.join("."),
            message,
        });
    }

    fn check_schema(&mut self) {
        let schema: Value = serde_json::from_str(marigold_schema::DECLARATIONS_SCHEMA)
            .expect("the committed schema is JSON");
        let validator = jsonschema::validator_for(&schema).expect("the committed schema is valid");
        let instance = Value::Object(self.root.clone());
        let errors: Vec<(Vec<String>, String)> = validator
            .iter_errors(&instance)
            .flat_map(|err| {
                let pointer = err.instance_path().to_string();
                let path: Vec<String> = pointer.split('/').skip(1).map(unescape).collect();
                match err.kind() {
                    ValidationErrorKind::AdditionalProperties { unexpected } => {
                        let accepted = accepted_keys(&schema, &err.schema_path().to_string());
                        let named = unexpected.iter().map(|key| {
                            (
                                extend(&path, key),
                                format!("unknown key `{key}`; accepted: {accepted}"),
                            )
                        });
                        named.collect::<Vec<_>>()
                    }
                    _ => vec![(path, err.to_string())],
                }
            })
            .collect();
        for (path, message) in errors {
            self.report(&path, message);
        }
    }

    fn check_references(&mut self) {
        let declared = Lenient {
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

    fn check_data_centres(&mut self, declared: &Lenient) {
        for (name, centre) in fitting(&declared.data_centre) {
            for other in
                centre.delay_ms.keys().filter(|other| !declared.data_centre.contains_key(*other))
            {
                let path = path(&["data_centre", name, "delay_ms", other]);
                self.report(&path, unknown_name("data centre", other, declared.data_centre.keys()));
            }
        }
    }

    fn check_targets(&mut self, declared: &Lenient) {
        let mut addresses = BTreeMap::new();
        for (name, target) in fitting(&declared.target) {
            if !declared.pool.contains_key(&target.pool) {
                let message = unknown_name("pool", &target.pool, declared.pool.keys());
                self.report(&path(&["target", name, "pool"]), message);
            }
            if !declared.data_centre.contains_key(&target.data_centre) {
                let message =
                    unknown_name("data centre", &target.data_centre, declared.data_centre.keys());
                self.report(&path(&["target", name, "data_centre"]), message);
            }
            let place = path(&["target", name, "address"]);
            if target.address.parse::<SocketAddr>().is_err() {
                let message = format!(
                    "`{}` is no address; accepted: IP:PORT, such as 10.0.0.7:7400",
                    target.address
                );
                self.report(&place, message);
            }
            if let Some(other) = addresses.insert(&target.address, name) {
                self.report(
                    &place,
                    format!("address `{}` is also that of target `{other}`", target.address),
                );
            }
        }
    }

    fn check_presets(&mut self, declared: &Lenient) {
        for (name, preset) in fitting(&declared.preset) {
            for pool in preset.models.keys() {
                let place = path(&["preset", name, "models", pool]);
                match declared.pool.get(pool) {
                    None => {
                        self.report(&place, unknown_name("pool", pool, declared.pool.keys()));
                    }
                    Some(Some(pool)) if pool.kind != PoolKind::Engine => {
                        let message = "only an engine's pool has models".to_owned();
                        self.report(&place, message);
                    }
                    Some(_) => {}
                }
            }
        }
        for (name, pool) in fitting(&declared.pool) {
            if pool.model.is_some() && pool.kind != PoolKind::Engine {
                let message = "only an engine's pool has a model".to_owned();
                self.report(&path(&["pool", name, "model"]), message);
            }
        }
    }

    fn check_pools(&mut self, declared: &Lenient) {
        if declared.target.values().any(Option::is_none) {
            return;
        }
        for name in declared.pool.keys() {
            if !fitting(&declared.target).any(|(_, target)| target.pool == *name) {
                self.report(
                    &path(&["pool", name]),
                    "the pool has no target; declare at least one".to_owned(),
                );
            }
        }
    }

    fn check_pipelines(&mut self, declared: &Lenient) {
        for (name, pipeline) in fitting(&declared.pipeline) {
            let mut seen = BTreeSet::new();
            for (i, stage) in pipeline.stages.iter().enumerate() {
                let place = path(&["pipeline", name, "stages", &i.to_string()]);
                if !seen.insert(&stage.name) {
                    self.report(
                        &place,
                        format!("stage name `{}` is used twice in the pipeline", stage.name),
                    );
                }
                if !declared.pool.contains_key(&stage.pool) {
                    let message = unknown_name("pool", &stage.pool, declared.pool.keys());
                    self.report(&extend(&place, "pool"), message);
                }
                self.check_stage(&place, stage, declared);
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

    /// A pool whose calls may all be repeated keeps no idempotency keys, and an engine's calls may always be.
    fn check_stage(&mut self, place: &[String], stage: &Stage, declared: &Lenient) {
        let Some(Some(pool)) = declared.pool.get(&stage.pool) else { return };
        if stage.idempotent == Some(false) && pool.idempotent {
            let message = format!(
                "`false` needs a pool with `idempotent = false`; `{}` has `true`",
                stage.pool
            );
            self.report(&extend(place, "idempotent"), message);
        }
        if !stage.idempotent.unwrap_or(pool.idempotent) && pool.kind == PoolKind::Engine {
            let message = "an engine's calls are idempotent; set `idempotent = true`".to_owned();
            self.report(&extend(place, "pool"), message);
        }
    }

    fn check_customers(&mut self, declared: &Lenient) {
        let mut tokens = BTreeMap::new();
        for (name, customer) in fitting(&declared.customer) {
            let place = path(&["customer", name, "token_sha256"]);
            let token = &customer.token_sha256;
            if token.len() != 64 || !token.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f')) {
                let message = format!(
                    "`{token}` is no SHA-256; accepted: 64 digits of lower-case hexadecimal"
                );
                self.report(&place, message);
            }
            if let Some(other) = tokens.insert(token, name) {
                self.report(
                    &place,
                    format!("the same token as customer `{other}`; each needs its own"),
                );
            }
        }
    }
}

/// Items that fit the schema.
fn fitting<T>(items: &Items<T>) -> impl Iterator<Item = (&String, &T)> {
    items.iter().filter_map(|(name, item)| Some((name, item.as_ref()?)))
}

fn extend(path: &[String], last: &str) -> Vec<String> {
    path.iter().cloned().chain([last.to_owned()]).collect()
}

fn path(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|part| (*part).to_owned()).collect()
}

fn unescape(part: &str) -> String {
    part.replace("~1", "/").replace("~0", "~")
}

fn line_of(text: &str, start: usize) -> usize {
    text.bytes().take(start).filter(|byte| *byte == b'\n').count() + 1
}

fn unknown_name<'a>(kind: &str, found: &str, known: impl Iterator<Item = &'a String>) -> String {
    let known: Vec<&str> = known.map(String::as_str).collect();
    format!("{kind} `{found}` is not declared; declared: {}", known.join(", "))
}

/// Keys accepted where a schema forbids others.
fn accepted_keys(schema: &Value, schema_path: &str) -> String {
    let parent = schema_path.rsplit_once('/').map_or("", |(parent, _)| parent);
    let properties = schema.pointer(&format!("{parent}/properties")).and_then(Value::as_object);
    let keys: Vec<&str> = properties.into_iter().flatten().map(|(key, _)| key.as_str()).collect();
    keys.join(", ")
}
