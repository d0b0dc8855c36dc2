//! Cost accounting: each attempt is charged to an account of customer, pipeline, stage, target and outcome.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Micros, Name};

/// Category of an attempt's outcome for cost accounting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Worth {
    /// Its result was used for an answer.
    Useful,
    /// It failed and was retried.
    Retried,
    /// It was cancelled because the caller disconnected.
    Cancelled,
    /// It ended after the deadline.
    Late,
    /// It failed.
    Failed,
}

/// Account to which attempts are charged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Account {
    /// Customer that sent the request.
    pub customer: Name,
    /// Pipeline of the request.
    pub pipeline: Name,
    /// Stage of the pipeline.
    pub stage: Name,
    /// Target that ran the attempt.
    pub target: Name,
    /// Category of the outcome.
    pub worth: Worth,
}

/// Sum of the charges on an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Number of attempts.
    pub attempts: u64,
    /// Number of tokens generated.
    pub tokens: u64,
    /// Price in millionths of the deployment's currency.
    pub micros: Micros,
}

impl Total {
    /// Adds another total to this one.
    pub fn add(&mut self, other: &Total) {
        self.attempts += other.attempts;
        self.tokens += other.tokens;
        self.micros += other.micros;
    }
}

/// One line of a stored cost object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Account of the line.
    #[serde(flatten)]
    pub account: Account,
    /// Cumulative total of one writer.
    #[serde(flatten)]
    pub total: Total,
}

/// Cumulative totals by account. A writer always stores all its totals, so that a repeated write counts nothing
/// twice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accounts {
    totals: BTreeMap<Account, Total>,
}

impl Accounts {
    /// Charges one attempt.
    pub fn charge(&mut self, account: Account, charge: Total) {
        self.totals.entry(account).or_default().add(&charge);
    }

    /// Returns all totals as lines to store in the platform.
    pub fn lines(&self) -> Vec<Line> {
        let lines = self.totals.iter();
        lines.map(|(account, total)| Line { account: account.clone(), total: *total }).collect()
    }

    /// Adds the lines of a writer.
    pub fn add_lines(&mut self, lines: &[Line]) {
        for line in lines {
            self.charge(line.account.clone(), line.total);
        }
    }

    /// Returns the sum of all accounts.
    pub fn sum(&self) -> Total {
        let mut sum = Total::default();
        self.totals.values().for_each(|total| sum.add(total));
        sum
    }

    /// Returns totals grouped by a key derived from the account.
    pub fn by<K: Ord>(&self, key: impl Fn(&Account) -> K) -> BTreeMap<K, Total> {
        let mut grouped: BTreeMap<K, Total> = BTreeMap::new();
        for (account, total) in &self.totals {
            grouped.entry(key(account)).or_default().add(total);
        }
        grouped
    }
}
