//! Cost by stage: every attempt charged to customer, pipeline, stage, target and result.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Micros, Name};

/// What the attempt was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Worth {
    /// Its result went into an answer.
    Useful,
    /// It failed and was tried again.
    Retried,
    /// It was cancelled because the caller went away.
    Cancelled,
    /// It ended after the deadline.
    Late,
    /// It failed.
    Failed,
}

/// What is charged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Account {
    /// Customer that asked.
    pub customer: Name,
    /// Pipeline that ran.
    pub pipeline: Name,
    /// Stage of the pipeline.
    pub stage: Name,
    /// Target that ran the attempt.
    pub target: Name,
    /// What the attempt was worth.
    pub worth: Worth,
}

/// Sum of the charges on an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Attempts.
    pub attempts: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Price in millionths of the deployment's currency.
    pub micros: Micros,
}

impl Total {
    /// Adds another total.
    pub fn add(&mut self, other: &Total) {
        self.attempts += other.attempts;
        self.tokens += other.tokens;
        self.micros += other.micros;
    }
}

/// One line of a cost object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Account of the line.
    #[serde(flatten)]
    pub account: Account,
    /// Cumulative total of one writer.
    #[serde(flatten)]
    pub total: Total,
}

/// Cumulative totals of one writer; writing them again counts nothing twice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accounts {
    totals: BTreeMap<Account, Total>,
}

impl Accounts {
    /// Charges one attempt.
    pub fn charge(&mut self, account: Account, charge: Total) {
        self.totals.entry(account).or_default().add(&charge);
    }

    /// All lines, for the platform.
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

    /// Sum of all accounts.
    pub fn sum(&self) -> Total {
        let mut sum = Total::default();
        self.totals.values().for_each(|total| sum.add(total));
        sum
    }

    /// Totals grouped by a key of the account.
    pub fn by<K: Ord>(&self, key: impl Fn(&Account) -> K) -> BTreeMap<K, Total> {
        let mut grouped: BTreeMap<K, Total> = BTreeMap::new();
        for (account, total) in &self.totals {
            grouped.entry(key(account)).or_default().add(total);
        }
        grouped
    }
}
