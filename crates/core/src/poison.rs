//! Requests that crash the targets which run them: evidence of their cause, and what is refused because of it.
//!
//! A crash ends all requests of its target, so one crash says little of each of them. [`judge::Judge`] gathers what all
//! gateways lost to the crashes of one pool, [`answers::AnswerLog`] holds what speaks for a suspect, and
//! [`quarantine::Quarantines`] holds what is refused.

pub mod answers;
pub mod judge;
pub mod quarantine;

use crate::digest;

/// Something that requests have in common and that may crash targets, such as `part 5c1e07a2` of a prompt.
pub type Suspect = String;

/// Maximum length of an id that is used as it is, in bytes; longer ones are replaced by their hash.
const MAX_ID_BYTES: usize = 64;
/// Maximum number of parts of a prompt that are suspects.
const MAX_PARTS: usize = 256;

/// Returns the suspects of a request: the parts of its prompt that other requests may share, which is all but the last.
pub fn suspects(prompt_parts: &[String]) -> Vec<Suspect> {
    let shared = prompt_parts.len().saturating_sub(1).min(MAX_PARTS);
    let mut suspects: Vec<Suspect> = prompt_parts[..shared].iter().map(|id| part(id)).collect();
    suspects.sort_unstable();
    suspects.dedup();
    suspects
}

fn part(id: &str) -> Suspect {
    if id.len() <= MAX_ID_BYTES {
        format!("part {id}")
    } else {
        format!("part {}", digest::sha256_hex(id))
    }
}
