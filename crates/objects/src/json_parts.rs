//! Parts of a JSON text, of which some may be no JSON.
//!
//! The text is split at its brackets, commas and strings only, so that a part that cannot be read costs only itself.

use std::fmt;

use serde::de::{DeserializeOwned, Error as _, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Result of this module; the error is the reason why a text cannot be read.
pub type Result<T> = std::result::Result<T, String>;

/// Splits the content of an object or array at its commas; the parts are not checked. Returns `None` if the brackets or
/// quotes do not match.
fn split(text: &[u8], [open, close]: [u8; 2]) -> Option<Vec<&[u8]>> {
    let content = text.trim_ascii().strip_prefix(&[open])?.strip_suffix(&[close])?;
    let (mut parts, mut start, mut depth) = (Vec::new(), 0, 0_usize);
    let (mut is_in_string, mut is_escaped) = (false, false);
    for (at, byte) in content.iter().enumerate() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' => is_escaped = is_in_string,
            b'"' => is_in_string = !is_in_string,
            _ if is_in_string => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.checked_sub(1)?,
            b',' if depth == 0 => {
                parts.push(&content[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    if !parts.is_empty() || !content.trim_ascii().is_empty() {
        parts.push(&content[start..]);
    }
    (depth == 0 && !is_in_string).then_some(parts)
}

/// Members of a JSON object, as `"name": value`. The values are not checked.
#[derive(Default)]
pub struct Members<'a>(Vec<&'a [u8]>);

impl<'a> Members<'a> {
    /// Splits an object.
    ///
    /// # Errors
    /// When the text is no object, or its brackets or quotes do not match.
    pub fn parse(text: &'a [u8]) -> Result<Self> {
        split(text, *b"{}").map(Self).ok_or_else(|| "no object in JSON".to_owned())
    }

    fn values(&self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter_map(move |member| {
            let member = member.trim_ascii().strip_prefix(b"\"")?.strip_prefix(name.as_bytes())?;
            Some(member.strip_prefix(b"\"")?.trim_ascii_start().strip_prefix(b":")?.trim_ascii())
        })
    }

    /// Returns the value of a member if there is exactly one with this name.
    pub fn get(&self, name: &str) -> Option<&'a [u8]> {
        let mut values = self.values(name);
        values.next().filter(|_| values.next().is_none())
    }

    /// Returns whether there are members with this name.
    pub fn has(&self, name: &str) -> bool {
        self.values(name).next().is_some()
    }

    /// Reads a value.
    ///
    /// # Errors
    /// When the member is missing or repeated, or its value is no such JSON.
    pub fn read<T: DeserializeOwned>(&self, name: &str) -> Result<T> {
        let text = self.get(name).ok_or_else(|| format!("`{name}` is missing or repeated"))?;
        serde_json::from_slice(text).map_err(|err| format!("`{name}`: {err}"))
    }

    /// Returns an error for each of some members that is a negative number.
    pub fn negative_numbers(&self, names: &[&str]) -> Vec<String> {
        let number = |name| self.read::<Option<Number>>(name).ok().flatten().unwrap_or_default();
        names.iter().filter_map(|name| number(name).zero_or_more(name).err()).collect()
    }

    /// Returns the elements of an array, which are not checked.
    ///
    /// # Errors
    /// When the member is missing or repeated, or is no array.
    pub fn elements(&self, name: &str) -> Result<Vec<&'a [u8]>> {
        let elements = self.get(name).and_then(|text| split(text, *b"[]"));
        elements.ok_or_else(|| format!("`{name}` is no array"))
    }
}

/// Reads a value as an `E` and converts it.
///
/// # Errors
/// When the text is no such JSON, or the value cannot be converted.
pub fn read_as<E, T>(text: &[u8]) -> Result<T>
where
    E: DeserializeOwned,
    T: TryFrom<E, Error: fmt::Display>,
{
    let value: E = serde_json::from_slice(text).map_err(|err| err.to_string())?;
    value.try_into().map_err(|err: T::Error| err.to_string())
}

/// Decoded bytes of a JSON string, which need not be UTF-8.
#[derive(Debug)]
pub struct StringBytes(pub Vec<u8>);

impl<'de> Deserialize<'de> for StringBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        struct BytesVisitor;

        impl Visitor<'_> for BytesVisitor {
            type Value = StringBytes;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a string")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> std::result::Result<StringBytes, E> {
                Ok(StringBytes(bytes.to_vec()))
            }
        }

        deserializer.deserialize_bytes(BytesVisitor)
    }
}

/// JSON number in any notation, also one that is out of the range of the number types, such as `1e999`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Number {
    value: f64,
    whole: Option<u64>,
}

impl Default for Number {
    fn default() -> Self {
        Self { value: 0.0, whole: Some(0) }
    }
}

impl Number {
    /// Returns the value, infinite if it is out of range.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Returns the exact value if it is a whole number that fits; `1.0` and `1e3` are whole numbers.
    pub fn whole(self) -> Option<u64> {
        self.whole
    }

    /// Returns the value of a field that has to be above zero.
    ///
    /// # Errors
    /// Names the field, its value, and what is wanted.
    pub fn positive(self, field: &str) -> Result<f64> {
        self.checked(field, self.value > 0.0, "a number above zero")
    }

    /// Returns the value of a field that must not be negative.
    ///
    /// # Errors
    /// As for [`Number::positive`].
    pub fn zero_or_more(self, field: &str) -> Result<f64> {
        self.checked(field, self.value >= 0.0, "zero or a number above it")
    }

    fn checked(self, field: &str, is_valid: bool, wanted: &str) -> Result<f64> {
        let value = is_valid.then_some(self.value);
        value.ok_or_else(|| format!("`{field}` is {}; {wanted} is wanted", self.value))
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        let raw = Box::<RawValue>::deserialize(deserializer)?;
        let text = raw.get();
        if !text.starts_with(|c: char| c == '-' || c.is_ascii_digit()) {
            return Err(D::Error::custom(format!("`{text:.40}` is no number")));
        }
        let value: f64 = text.parse().map_err(D::Error::custom)?;
        // 2^64, the first value that does not fit.
        let is_whole = value.fract() == 0.0 && (0.0..18_446_744_073_709_551_616.0).contains(&value);
        let whole = text.parse().ok().or(is_whole.then_some(value as u64));
        Ok(Self { value, whole })
    }
}
