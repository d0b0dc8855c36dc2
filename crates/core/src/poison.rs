//! Requests that crash the targets which run them: evidence of their cause, and what is refused because of it.
//!
//! A crash ends all requests of its target, so one crash says little of each of them. [`detector::Detector`] gathers what all
//! gateways lost to the crashes of one pool, [`answers::AnswerLog`] holds what speaks for a suspect, and
//! [`quarantine::Quarantines`] holds what is refused.

pub mod answers;
pub mod detector;
pub mod quarantine;
pub mod stored;

use sha2::{Digest as _, Sha256};

use crate::digest;

/// Something that requests have in common and that may crash targets: `part 5c1e07a2` of a prompt, `request` with the
/// fingerprint of a whole one, or `request-body` with that of one without its prompt.
pub type Suspect = String;

/// Starts of the names of suspects. Those of whole requests and bodies sort after those of parts.
const PART: &str = "part ";
const REQUEST: &str = "request ";
const REQUEST_BODY: &str = "request-body ";

/// Maximum length of an id that is used as it is, in bytes; longer ones are replaced by their hash.
const MAX_ID_BYTES: usize = 64;
/// Length of a fingerprint.
const FINGERPRINT_BYTES: usize = 16;
/// Maximum number of parts of a prompt that are suspects.
const MAX_PARTS: usize = 256;

/// What makes two requests the same one.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Name of the customer. Requests of two customers are never the same.
    pub customer: Option<&'a str>,
    /// Method.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Whole body.
    pub body: &'a [u8],
    /// Ids of the parts of the prompt, in order; empty for a request without one.
    pub prompt_parts: &'a [String],
}

/// Returns the suspects of a request in ascending order: the parts of its prompt that other requests may share, which is all
/// but the last, then the request itself, and what it is without its prompt if it has one.
pub fn suspects(identity: &Identity<'_>) -> Vec<Suspect> {
    let parts = identity.prompt_parts;
    let shared = parts.len().saturating_sub(1).min(MAX_PARTS);
    let mut suspects: Vec<Suspect> = parts[..shared].iter().map(|id| part(id)).collect();
    suspects.sort_unstable();
    suspects.dedup();
    let mut hasher = Sha256::new();
    hasher.update([u8::from(identity.customer.is_some())]);
    let customer = identity.customer.unwrap_or_default();
    update_with_length(&mut hasher, [customer, identity.method, identity.path]);
    hasher.update(identity.body);
    let of_body = hasher.finalize();
    if parts.is_empty() {
        suspects.push(name(REQUEST, &of_body));
        return suspects;
    }
    let mut hasher = Sha256::new();
    hasher.update(of_body);
    update_with_length(&mut hasher, parts.iter().map(String::as_str));
    suspects.push(name(REQUEST, &hasher.finalize()));
    suspects.push(name(REQUEST_BODY, &of_body));
    suspects
}

fn update_with_length<'a>(hasher: &mut Sha256, fields: impl IntoIterator<Item = &'a str>) {
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
}

fn name(start: &str, hash: &[u8]) -> Suspect {
    let hex: String =
        hash.iter().take(FINGERPRINT_BYTES).map(|byte| format!("{byte:02x}")).collect();
    format!("{start}{hex}")
}

/// Returns whether a suspect is a part of prompts.
pub fn is_part(suspect: &str) -> bool {
    suspect.starts_with(PART)
}

/// Returns whether a suspect is a whole request.
pub fn is_request(suspect: &str) -> bool {
    suspect.starts_with(REQUEST)
}

/// Returns whether a suspect is a request without its prompt.
fn is_request_body(suspect: &str) -> bool {
    suspect.starts_with(REQUEST_BODY)
}

fn part(id: &str) -> Suspect {
    if id.len() <= MAX_ID_BYTES {
        format!("{PART}{id}")
    } else {
        format!("{PART}{}", digest::sha256_hex(id))
    }
}
