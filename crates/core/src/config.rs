//! Conversion between declarations and items of the configuration.

use std::collections::{BTreeMap, BTreeSet};

use marigold_schema::declarations::{Declarations, Preset, Presets};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::head::{Items, PRESET_ITEM};
use crate::ids::Name;

/// Names of the three presets.
pub const PRESETS: [&str; 3] = ["ordinary", "peak", "maintenance"];

const DRAINING_PREFIX: &str = "draining/";

/// Result type of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Errors of reading configuration items.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The JSON text of an item does not match the type of its kind.
    #[error("configuration item `{key}` cannot be read: {source}")]
    Item {
        /// Key of the item.
        key: String,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A preset is missing.
    #[error("the configuration has no preset `{0}`")]
    NoPreset(&'static str),
}

/// Converts declarations to items, without the item of the preset in force.
pub fn to_items(declarations: &Declarations) -> Items {
    let mut items = Items::new();
    put_all(&mut items, "data_centre", &declarations.data_centre);
    put_all(&mut items, "pool", &declarations.pool);
    put_all(&mut items, "target", &declarations.target);
    put_all(&mut items, "pipeline", &declarations.pipeline);
    put_all(&mut items, "customer", &declarations.customer);
    let presets = &declarations.preset;
    put(&mut items, "preset", "ordinary", &presets.ordinary);
    put(&mut items, "preset", "peak", &presets.peak);
    put(&mut items, "preset", "maintenance", &presets.maintenance);
    items
}

/// Converts items to declarations.
///
/// # Errors
/// [`Error`] when an item does not match the type of its kind, or a preset is missing.
pub fn from_items(items: &Items) -> Result<Declarations> {
    let mut presets: BTreeMap<Name, Preset> = get_all(items, "preset")?;
    let mut preset = |name: &'static str| presets.remove(name).ok_or(Error::NoPreset(name));
    Ok(Declarations {
        data_centre: get_all(items, "data_centre")?,
        pool: get_all(items, "pool")?,
        target: get_all(items, "target")?,
        pipeline: get_all(items, "pipeline")?,
        customer: get_all(items, "customer")?,
        preset: Presets {
            ordinary: preset("ordinary")?,
            peak: preset("peak")?,
            maintenance: preset("maintenance")?,
        },
    })
}

/// Returns the name of the preset in force; `ordinary` until an operator chooses one.
pub fn preset_in_force(items: &Items) -> Name {
    items
        .get(PRESET_ITEM)
        .and_then(|text| serde_json::from_str(text).ok())
        .unwrap_or_else(|| PRESETS[0].to_owned())
}

/// Returns the JSON text of the item that puts a preset in force.
pub fn preset_item(name: &str) -> String {
    serde_json::Value::from(name).to_string()
}

/// Returns the targets that operators drain.
pub fn draining(items: &Items) -> BTreeSet<Name> {
    items.keys().filter_map(|key| key.strip_prefix(DRAINING_PREFIX)).map(str::to_owned).collect()
}

/// Returns the key of the item that drains a target.
pub fn draining_key(target: &str) -> String {
    format!("{DRAINING_PREFIX}{target}")
}

/// Returns whether an item comes from declarations, not from an operator's command.
pub fn is_declared(key: &str) -> bool {
    key != PRESET_ITEM && !key.starts_with(DRAINING_PREFIX)
}

fn put<T: Serialize>(items: &mut Items, kind: &str, name: &str, value: &T) {
    let text = serde_json::to_string(value).expect("declarations serialise");
    items.insert(format!("{kind}/{name}"), text);
}

fn put_all<T: Serialize>(items: &mut Items, kind: &str, values: &BTreeMap<Name, T>) {
    for (name, value) in values {
        put(items, kind, name, value);
    }
}

fn get_all<T: DeserializeOwned>(items: &Items, kind: &str) -> Result<BTreeMap<Name, T>> {
    let prefix = format!("{kind}/");
    let of_kind =
        items.iter().filter_map(|(key, text)| Some((key, key.strip_prefix(&prefix)?, text)));
    of_kind
        .map(|(key, name, text)| match serde_json::from_str(text) {
            Ok(value) => Ok((name.to_owned(), value)),
            Err(source) => Err(Error::Item { key: key.clone(), source }),
        })
        .collect()
}
