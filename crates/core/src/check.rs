//! Validation of a folder of declarations; reports all errors at once.

mod references;

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use jsonschema::error::ValidationErrorKind;
use marigold_schema::declarations::Declarations;
use serde_json::{Map, Value};
use toml::de::{DeTable, DeValue};

/// Result type of this module.
pub type Result<T> = std::result::Result<T, Vec<Diagnostic>>;

/// An error in the declarations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Name of the file; empty when the error has no single location.
    pub file: String,
    /// Line in the file, counted from one; zero when the error has no single location.
    pub line: usize,
    /// Key with dots between its parts.
    pub key: String,
    /// Description of what was found and what is accepted.
    pub message: String,
}

impl fmt::Display for Diagnostic {
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
struct Location {
    file: String,
    line: usize,
}

/// Texts of files by name.
pub type Files = BTreeMap<String, String>;

/// Reads all `.toml` files of a folder and checks them with [`check`].
///
/// # Errors
/// A diagnostic for the folder or each file that cannot be read; otherwise all diagnostics of [`check`].
pub fn check_folder(folder: &Path) -> Result<Declarations> {
    let mut files = Files::new();
    let mut diagnostics = Vec::new();
    let unlocated =
        |message: String| Diagnostic { file: String::new(), line: 0, key: String::new(), message };
    let entries = match std::fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(err) => {
            return Err(vec![unlocated(format!(
                "folder {} cannot be read: {err}",
                folder.display()
            ))]);
        }
    };
    for path in entries.filter_map(|entry| Some(entry.ok()?.path())) {
        if path.extension().is_none_or(|ending| ending != "toml") {
            continue;
        }
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        match std::fs::read_to_string(&path) {
            Ok(text) => drop(files.insert(name, text)),
            Err(err) => diagnostics.push(unlocated(format!("file {name} cannot be read: {err}"))),
        }
    }
    if files.is_empty() && diagnostics.is_empty() {
        diagnostics.push(unlocated(format!("folder {} holds no .toml file", folder.display())));
    }
    if diagnostics.is_empty() { check(&files) } else { Err(diagnostics) }
}

/// Merges files of declarations and checks the result.
///
/// # Errors
/// All errors found, ordered by file and line.
pub fn check(files: &Files) -> Result<Declarations> {
    let mut merged = Merged::default();
    for (name, text) in files {
        merged.add_file(name, text);
    }
    merged.check_schema();
    merged.check_references();
    merged.finish()
}

/// Checks the references and values of declarations that were not read from files.
///
/// # Errors
/// All errors found, without locations.
pub fn check_declarations(declarations: &Declarations) -> Result<()> {
    let value = serde_json::to_value(declarations).expect("declarations serialise");
    let root = value.as_object().cloned().unwrap_or_default();
    let mut merged = Merged { root, ..Merged::default() };
    merged.check_references();
    merged.finish().map(drop)
}

#[derive(Default)]
struct Merged {
    root: Map<String, Value>,
    locations: BTreeMap<Vec<String>, Location>,
    diagnostics: Vec<Diagnostic>,
}

impl Merged {
    /// Returns the declarations, or all diagnostics if there are any.
    fn finish(mut self) -> Result<Declarations> {
        if self.diagnostics.is_empty() {
            match serde_json::from_value(Value::Object(self.root.clone())) {
                Ok(declarations) => return Ok(declarations),
                Err(err) => self.report(&[], err.to_string()),
            }
        }
        self.diagnostics.sort();
        self.diagnostics.dedup();
        Err(self.diagnostics)
    }

    fn add_file(&mut self, file: &str, text: &str) {
        let table = match DeTable::parse(text) {
            Ok(table) => table,
            Err(err) => {
                let line = err.span().map_or(0, |span| line_of(text, span.start));
                let message = err.message().to_owned();
                self.diagnostics.push(Diagnostic {
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
            self.record_location(vec![kind.clone()], file, text, key.span().start);
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
        if let Some(first) = self.locations.get(&path) {
            let message = format!("declared twice; first in {}:{}", first.file, first.line);
            let (file, line) = (file.to_owned(), line_of(text, start));
            self.diagnostics.push(Diagnostic { file, line, key: path.join("."), message });
            return;
        }
        self.record_location(path.clone(), file, text, start);
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
                    self.record_location(path.clone(), file, text, item.span().start);
                    self.convert(&path, file, text, item.get_ref())
                });
                Value::Array(converted.collect())
            }
            DeValue::Table(table) => {
                let converted = table.iter().map(|(key, item)| {
                    let path = extend(path, key.get_ref());
                    self.record_location(path.clone(), file, text, key.span().start);
                    (key.get_ref().to_string(), self.convert(&path, file, text, item.get_ref()))
                });
                Value::Object(converted.collect())
            }
        }
    }

    fn record_location(&mut self, path: Vec<String>, file: &str, text: &str, start: usize) {
        self.locations
            .entry(path)
            .or_insert_with(|| Location { file: file.to_owned(), line: line_of(text, start) });
    }

    /// Adds a diagnostic at the location of a key, or of its nearest ancestor with a known location.
    fn report(&mut self, path: &[String], message: String) {
        let nearest = (0..=path.len()).rev().find_map(|len| self.locations.get(&path[..len]));
        let location = nearest.cloned().unwrap_or_default();
        self.diagnostics.push(Diagnostic {
            file: location.file,
            line: location.line,
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
                        let unknown_keys = unexpected.iter().map(|key| {
                            (
                                extend(&path, key),
                                format!("unknown key `{key}`; accepted: {accepted}"),
                            )
                        });
                        unknown_keys.collect::<Vec<_>>()
                    }
                    _ => vec![(path, err.to_string())],
                }
            })
            .collect();
        for (path, message) in errors {
            self.report(&path, message);
        }
    }
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

/// Returns the keys that a schema accepts where it forbids additional ones.
fn accepted_keys(schema: &Value, schema_path: &str) -> String {
    let parent = schema_path.rsplit_once('/').map_or("", |(parent, _)| parent);
    let properties = schema.pointer(&format!("{parent}/properties")).and_then(Value::as_object);
    let keys: Vec<&str> = properties.into_iter().flatten().map(|(key, _)| key.as_str()).collect();
    keys.join(", ")
}
