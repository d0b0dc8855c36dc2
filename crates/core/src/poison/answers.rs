//! When requests with a suspect were last answered.

use std::collections::HashMap;
use std::time::Duration;

use super::Suspect;
use crate::ids::{Name, SoftwareVersion, Uptime};

/// Maximum number of answers that are remembered in one generation, of all customers and of one.
const MAX_ANSWERS: usize = 8_192;
const MAX_ANSWERS_OF_CUSTOMER: usize = 2_048;
/// Time after which a generation ends; answers are remembered for one to two generations.
const GENERATION: Duration = Duration::from_secs(60);

/// A suspect at one software version of a pool.
type Key = (Name, Suspect, SoftwareVersion);

#[derive(Debug, Default)]
struct Generation {
    since: Uptime,
    answers: HashMap<Key, Uptime>,
    customers: HashMap<Option<Name>, usize>,
}

/// An answer that a target began to a request with a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The suspect.
    pub suspect: Suspect,
    /// Software version of the target.
    pub version: SoftwareVersion,
    /// When the last such answer began.
    pub at: Uptime,
}

/// The last answers by suspect. Two generations bound the memory; a customer that uses up its part of a generation loses
/// what speaks for its own requests only.
#[derive(Debug, Default)]
pub struct AnswerLog {
    current: Generation,
    previous: HashMap<Key, Uptime>,
}

impl AnswerLog {
    /// Records an answer that a target of a pool began.
    pub fn record(
        &mut self,
        pool: &str,
        version: &str,
        customer: Option<&str>,
        suspects: &[Suspect],
        now: Uptime,
    ) {
        let is_full = self.current.answers.len() + suspects.len() > MAX_ANSWERS;
        if is_full || now >= self.current.since + GENERATION {
            let ended = std::mem::take(&mut self.current);
            self.previous = ended.answers;
            self.current.since = now;
        }
        let customer = customer.map(str::to_owned);
        let Generation { answers, customers, .. } = &mut self.current;
        let count = customers.entry(customer).or_default();
        for suspect in suspects {
            let key = (pool.to_owned(), suspect.clone(), version.to_owned());
            if let Some(at) = answers.get_mut(&key) {
                *at = now;
            } else if *count < MAX_ANSWERS_OF_CUSTOMER {
                *count += 1;
                answers.insert(key, now);
            }
        }
    }

    /// Returns the last answers with one of `suspects` in a pool, one for each suspect and version.
    pub fn find(&self, pool: &str, suspects: &[Suspect]) -> Vec<Answer> {
        let older =
            self.previous.iter().filter(|(key, _)| !self.current.answers.contains_key(*key));
        let all = self.current.answers.iter().chain(older);
        let found = all.filter(|((of, suspect, _), _)| of == pool && suspects.contains(suspect));
        let answer = |(key, at): (&Key, &Uptime)| {
            let (_, suspect, version) = key.clone();
            Answer { suspect, version, at: *at }
        };
        found.map(answer).collect()
    }

    /// Returns the number of answers that are remembered.
    pub fn len(&self) -> usize {
        self.current.answers.len() + self.previous.len()
    }

    /// Returns whether no answer is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
