//! Requests that crash the targets which run them: evidence of their cause, and what is refused because of it.
//!
//! A crash ends all requests of its target, so one crash says little of each of them. [`judge::Judge`] gathers what all
//! gateways lost to the crashes of one pool, [`answers::AnswerLog`] holds what speaks for a suspect, and
//! [`quarantine::Quarantines`] holds what is refused.

pub mod answers;
pub mod judge;
pub mod quarantine;

use sha2::{Digest as _, Sha256};

use crate::digest;

/// Something that requests have in common and that may crash targets: `part 5c1e07a2` of a prompt, or `request` with the
/// fingerprint of a whole one.
pub type Suspect = String;

/// Start of the names of suspects that are whole requests.
const REQUEST: &str = "request ";

/// Maximum length of an id that is used as it is, in bytes; longer ones are replaced by their hash.
const MAX_ID_BYTES: usize = 64;
/// Length of the fingerprint of a request.
const FINGERPRINT_BYTES: usize = 16;
/// Maximum number of parts of a prompt that are suspects.
const MAX_PARTS: usize = 256;

/// Returns the parts of a prompt that are suspects: those that other requests may share, which is all but the last.
pub fn suspects(prompt_parts: &[String]) -> Vec<Suspect> {
    let shared = prompt_parts.len().saturating_sub(1).min(MAX_PARTS);
    let mut suspects: Vec<Suspect> = prompt_parts[..shared].iter().map(|id| part(id)).collect();
    suspects.sort_unstable();
    suspects.dedup();
    suspects
}

/// Returns the suspect that a whole request is, with its fingerprint. Requests of two customers are never the same.
pub fn request(customer: Option<&str>, method: &str, path: &str, body: &[u8]) -> Suspect {
    let mut hasher = Sha256::new();
    hasher.update([u8::from(customer.is_some())]);
    for field in [customer.unwrap_or_default(), method, path] {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    hasher.update(body);
    let hash = hasher.finalize();
    let hex: String =
        hash.iter().take(FINGERPRINT_BYTES).map(|byte| format!("{byte:02x}")).collect();
    format!("{REQUEST}{hex}")
}

/// Returns whether a suspect is a whole request.
pub fn is_request(suspect: &str) -> bool {
    suspect.starts_with(REQUEST)
}

fn part(id: &str) -> Suspect {
    if id.len() <= MAX_ID_BYTES {
        format!("part {id}")
    } else {
        format!("part {}", digest::sha256_hex(id))
    }
}
