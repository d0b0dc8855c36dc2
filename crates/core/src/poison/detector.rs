//! Finds what the crashes of a pool's targets have in common.
//!
//! A suspect is the cause if its requests were lost to several crashes and none of them was answered in between. Others
//! that were lost to the same crashes only happened to run there: the suspect with the most crashes within its answers
//! comes first, and the crashes that it explains do not count against others.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use marigold_schema::messages;

use super::Suspect;
use super::answers::Answer;
use crate::ids::{Name, SoftwareVersion, Uptime};

/// Number of crashes after which a suspect is the cause, if it was in [`HIGH_SHARE`] of the crashes since its first one.
/// Gateways may be told of one crash too few, and the fifth should be the last.
const LIKELY_CRASHES: usize = 4;
const HIGH_SHARE: f64 = 0.8;
/// Number of crashes after which a suspect is the cause, if it was in [`LOW_SHARE`] of the crashes since its first one and an
/// answer with it had begun. The head of a reply is often lost with its connection.
const BEGUN_CRASHES: usize = 5;
const LOW_SHARE: f64 = 0.4;
/// Number of crashes after which a suspect is the cause in any case.
const CERTAIN_CRASHES: usize = 6;
/// Number of crashes after which a suspect is the cause although requests with it were answered before, or a request body
/// although its prompts differ, if it was in [`HIGH_SHARE`] of them.
const MOST_CRASHES: usize = 6;
/// As [`LIKELY_CRASHES`] and [`CERTAIN_CRASHES`], for a whole request, since few requests come again as they are. If its
/// answer had begun in most of the crashes, [`LOW_SHARE`] is enough.
const LIKELY_REQUEST_CRASHES: usize = 3;
const CERTAIN_REQUEST_CRASHES: usize = 4;
/// Number of crashes from which a suspect is worth a question for its answers.
const MIN_CRASHES: usize = 2;
/// Crashes within so short a time may have one cause beside all requests, such as the loss of a data centre. A request that
/// was sent after the first of them shows that they have not.
const MIN_SEPARATION: Duration = Duration::from_millis(100);
/// Largest error of the time of a crash, which comes from the ages in messages.
const CLOCK_ERROR: Duration = Duration::from_millis(10);
/// Time for which crashes are remembered.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(2 * 3_600);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 128;
/// Maximum number of requests of one crash, and of their suspects in all, that are remembered.
const MAX_RUNS: usize = 256;
const MAX_SUSPECTS: usize = 2_048;
/// Number of answers from which those to requests with other suspects are dropped.
const MAX_ANSWERS: usize = 4_096;
/// Maximum number of suspects that are asked for at a time.
const MAX_ASKED: usize = 32;

/// A request that was lost to a crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LostRun {
    /// Its suspects, in ascending order.
    pub suspects: Vec<Suspect>,
    /// Whether the target had begun its answer.
    pub has_begun: bool,
    /// Time from its sending to the crash.
    pub ran: Duration,
}

impl From<messages::LostRun> for LostRun {
    fn from(wire: messages::LostRun) -> Self {
        let ran = Duration::from_millis(wire.ran_ms);
        Self { suspects: wire.suspects, has_begun: wire.has_begun, ran }
    }
}

/// What one gateway lost to the crash of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Id of the target.
    pub target: Name,
    /// Start of the target in milliseconds since the Unix epoch. A start crashes once, however many gateways report it.
    pub started_at_ms: u64,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// When it crashed.
    pub at: Uptime,
    /// Requests without an answer.
    pub runs: Vec<LostRun>,
}

#[derive(Clone, Debug)]
struct Crash {
    target: Name,
    started_at_ms: u64,
    version: SoftwareVersion,
    at: Uptime,
    runs: BTreeSet<LostRun>,
}

impl Crash {
    fn suspects(&self) -> BTreeSet<&Suspect> {
        self.runs.iter().flat_map(|run| &run.suspects).collect()
    }

    /// Returns whether a suspect ran, or `None` if it did not; the value tells whether an answer with it had begun.
    fn find(&self, suspect: &Suspect) -> Option<bool> {
        let runs = self.runs.iter().filter(|run| run.suspects.binary_search(suspect).is_ok());
        runs.map(|run| run.has_begun).max()
    }

    /// Returns whether a request with a suspect was sent to the target after `at`.
    fn was_sent_after(&self, suspect: &Suspect, at: Uptime) -> bool {
        let runs = self.runs.iter().filter(|run| run.suspects.binary_search(suspect).is_ok());
        let ran = runs.map(|run| run.ran).min();
        ran.is_some_and(|ran| self.at.saturating_sub(ran) + CLOCK_ERROR >= at)
    }

    /// As [`Self::find`], for a request that has all of `suspects`.
    fn find_all(&self, suspects: &BTreeSet<Suspect>) -> Option<bool> {
        let has_all = |run: &&LostRun| {
            suspects.iter().all(|suspect| run.suspects.binary_search(suspect).is_ok())
        };
        self.runs.iter().filter(has_all).map(|run| run.has_begun).max()
    }

    /// Returns whether one of `blamed` explains the crash as well as a suspect whose answer had begun or not.
    fn is_explained(&self, has_begun: bool, blamed: &[Verdict]) -> bool {
        blamed.iter().any(|verdict| self.find_all(&verdict.suspects) >= Some(has_begun))
    }
}

/// What crashes the targets of a pool: a request that has all of `suspects`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The cause, and what was in each of its requests as well.
    pub suspects: BTreeSet<Suspect>,
    /// When the targets crashed, in ascending order.
    pub times: Vec<Uptime>,
    /// Software versions of these targets.
    pub versions: BTreeSet<SoftwareVersion>,
}

/// What later evidence means for an earlier verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Review {
    /// Nothing else explains its crashes.
    Stands,
    /// Other causes explain so many of its crashes that it would not be certain any more.
    Doubtful,
    /// Other causes explain all of its crashes.
    Refuted,
}

/// Evidence of the crashes of one pool.
#[derive(Debug, Default)]
pub struct Detector {
    crashes: VecDeque<Crash>,
    answers: HashMap<(Suspect, SoftwareVersion), Uptime>,
}

impl Detector {
    /// Adds what a gateway lost to a crash; returns whether anything of it is new.
    pub fn record(&mut self, evidence: Evidence, now: Uptime) -> bool {
        while self.crashes.front().is_some_and(|crash| crash.at + EVIDENCE_WINDOW < now) {
            self.crashes.pop_front();
        }
        let Evidence { target, started_at_ms, version, at, runs } = evidence;
        let known = self
            .crashes
            .iter()
            .position(|crash| crash.target == target && crash.started_at_ms == started_at_ms);
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            let runs = BTreeSet::new();
            self.crashes.push_back(Crash { target, started_at_ms, version, at, runs });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        let before = crash.runs.len();
        let mut suspects: usize = crash.runs.iter().map(|run| run.suspects.len()).sum();
        for mut run in runs {
            run.suspects.sort_unstable();
            suspects += run.suspects.len();
            if crash.runs.len() < MAX_RUNS && suspects <= MAX_SUSPECTS {
                crash.runs.insert(run);
            }
        }
        let is_changed = known.is_none() || crash.runs.len() > before;
        self.crashes.make_contiguous().sort_by_key(|crash| crash.at);
        self.remove_unused_answers();
        is_changed
    }

    fn remove_unused_answers(&mut self) {
        if self.answers.len() <= MAX_ANSWERS {
            return;
        }
        let suspects: BTreeSet<&Suspect> = self.crashes.iter().flat_map(Crash::suspects).collect();
        self.answers.retain(|(suspect, _), _| suspects.contains(suspect));
    }

    /// Records that a target began an answer to a request with a suspect.
    pub fn record_answer(&mut self, answer: Answer) {
        let last = self.answers.entry((answer.suspect, answer.version)).or_default();
        *last = answer.at.max(*last);
    }

    /// Returns the suspects whose answers decide, those with the most crashes first.
    pub fn suspects_to_ask(&self) -> Vec<Suspect> {
        // Most suspects were lost to one crash only.
        let mut counts: BTreeMap<&Suspect, usize> = BTreeMap::new();
        for crash in &self.crashes {
            for suspect in crash.suspects() {
                *counts.entry(suspect).or_default() += 1;
            }
        }
        counts.retain(|_, crashes| *crashes >= MIN_CRASHES);
        let mut suspects: Vec<(usize, &Suspect)> = counts
            .into_keys()
            .map(|suspect| (self.charges(suspect, &[]).separated(), suspect))
            .filter(|(crashes, _)| *crashes >= MIN_CRASHES)
            .collect();
        suspects.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        suspects.into_iter().take(MAX_ASKED).map(|(_, suspect)| suspect.clone()).collect()
    }

    /// Returns the crashes that speak against a suspect: those to which requests with it were lost, after the last
    /// answer to such a request, unless one of `blamed` explains them.
    fn charges(&self, suspect: &Suspect, blamed: &[Verdict]) -> Charges<'_> {
        let mut answered: BTreeMap<&str, Uptime> = BTreeMap::new();
        let mut charges = Charges::new(suspect);
        for crash in &self.crashes {
            let Some(has_begun) = crash.find(suspect) else { continue };
            let last_answer = *answered.entry(&crash.version).or_insert_with(|| {
                let key = (suspect.clone(), crash.version.clone());
                self.answers.get(&key).copied().unwrap_or_default()
            });
            charges.has_answers |= last_answer > Uptime::ZERO;
            if last_answer < crash.at && !crash.is_explained(has_begun, blamed) {
                charges.crashes.push(crash);
                charges.begun += usize::from(has_begun);
            }
        }
        charges
    }

    /// Returns what has caused the crashes, as far as it is certain. Only suspects in `asked` are blamed. The verdicts are to
    /// be used once all gateways were asked for answers to requests with what is blamed, after the last crash.
    pub fn verdicts(&self, asked: &[Suspect]) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> = Vec::new();
        loop {
            let guilty = asked
                .iter()
                .map(|suspect| (suspect, self.charges(suspect, &verdicts)))
                .filter(|(_, charges)| self.is_certain(charges, &verdicts))
                .max_by(|(a, charges), (b, others)| {
                    charges.weight().cmp(&others.weight()).then(b.cmp(a))
                });
            let Some((suspect, charges)) = guilty else { return verdicts };
            let suspects = self.companions(suspect, &charges, asked);
            let versions = charges.crashes.iter().map(|crash| crash.version.clone()).collect();
            let times = charges.crashes.iter().map(|crash| crash.at).collect();
            verdicts.push(Verdict { suspects, times, versions });
        }
    }

    /// Returns the suspects that would be blamed if there were no answers to requests with them, besides those in `asked`.
    /// Answers can acquit the first of several, so there may be others after these were asked for.
    pub fn unasked(&self, suspects: &[Suspect], asked: &BTreeSet<Suspect>) -> Vec<Suspect> {
        let verdicts = self.verdicts(suspects);
        let blamed: BTreeSet<&Suspect> =
            verdicts.iter().flat_map(|verdict| &verdict.suspects).collect();
        blamed.into_iter().filter(|suspect| !asked.contains(*suspect)).cloned().collect()
    }

    fn is_certain(&self, charges: &Charges<'_>, blamed: &[Verdict]) -> bool {
        let count = charges.separated();
        let thresholds = charges.thresholds();
        if thresholds.certain.is_some_and(|certain| count >= certain) {
            return true;
        }
        let (Some(first), Some(last)) = (charges.crashes.first(), charges.crashes.last()) else {
            return false;
        };
        let is_open = |crash: &&Crash| {
            (first.at..=last.at).contains(&crash.at) && !crash.is_explained(true, blamed)
        };
        let open = self.crashes.iter().filter(is_open).count();
        let share = charges.crashes.len() as f64 / open.max(1) as f64;
        (count >= thresholds.likely && share >= HIGH_SHARE)
            || (thresholds.begun.is_some_and(|begun| count >= begun) && share >= LOW_SHARE)
    }

    /// Returns what `verdicts` mean for requests with all of `suspects`, which were blamed for a number of crashes before. Two
    /// causes that come with one sound part may blame that one first. The verdict stands if this detector does not know all of
    /// these crashes.
    pub fn review(
        &self,
        suspects: &BTreeSet<Suspect>,
        crashes: usize,
        verdicts: &[Verdict],
    ) -> Review {
        if verdicts.iter().any(|verdict| verdict.suspects == *suspects) {
            return Review::Stands;
        }
        // A set with a whole request is as narrow as that request.
        let Some(suspect) = suspects.iter().max_by_key(|suspect| super::is_request(suspect)) else {
            return Review::Stands;
        };
        let mut open = Charges::new(suspect);
        let mut explained = 0;
        for crash in &self.crashes {
            let Some(has_begun) = crash.find_all(suspects) else { continue };
            if crash.is_explained(has_begun, verdicts) {
                explained += 1;
            } else {
                open.crashes.push(crash);
                open.begun += usize::from(has_begun);
            }
        }
        let is_known = explained + open.crashes.len() >= crashes;
        if !is_known || explained == 0 || self.is_certain(&open, verdicts) {
            Review::Stands
        } else if open.crashes.is_empty() {
            Review::Refuted
        } else {
            Review::Doubtful
        }
    }

    /// Returns a suspect with all others that were in each of its requests and have no answer either. Which of them is
    /// the cause is not known, so only requests with all of them are to be refused.
    fn companions(
        &self,
        suspect: &Suspect,
        charges: &Charges<'_>,
        asked: &[Suspect],
    ) -> BTreeSet<Suspect> {
        let is_unanswered = |other: &Suspect, crash: &Crash| {
            let key = (other.clone(), crash.version.clone());
            self.answers.get(&key).is_none_or(|at| *at < crash.at)
        };
        let mut suspects = BTreeSet::from([suspect.clone()]);
        for other in asked {
            let mut wider = suspects.clone();
            wider.insert(other.clone());
            let is_in_all = charges.crashes.iter().all(|crash| {
                crash.find_all(&wider) >= crash.find(suspect) && is_unanswered(other, crash)
            });
            if is_in_all {
                suspects = wider;
            }
        }
        suspects
    }

    /// Returns the number of crashes that are remembered.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}

/// Crashes that speak against a suspect, in the order of their times.
struct Charges<'a> {
    suspect: Suspect,
    crashes: Vec<&'a Crash>,
    /// Number of crashes in which an answer with the suspect had begun.
    begun: usize,
    /// Whether requests with the suspect were answered before, at a version of these targets.
    has_answers: bool,
}

/// Numbers of crashes after which a suspect is the cause.
struct Thresholds {
    /// If it was in [`HIGH_SHARE`] of the crashes since its first one.
    likely: usize,
    /// If it was in [`LOW_SHARE`] of them; none if too few answers with it had begun.
    begun: Option<usize>,
    /// In any case.
    certain: Option<usize>,
}

impl Charges<'_> {
    fn new(suspect: &Suspect) -> Self {
        let suspect = suspect.clone();
        Self { suspect, crashes: Vec::new(), begun: 0, has_answers: false }
    }

    /// Returns the number of crashes, where those within [`MIN_SEPARATION`] that lost requests sent before count as one.
    fn separated(&self) -> usize {
        let mut last: Option<Uptime> = None;
        let mut count = 0;
        for crash in &self.crashes {
            let is_separate = |last: Uptime| {
                crash.at >= last + MIN_SEPARATION || crash.was_sent_after(&self.suspect, last)
            };
            if last.is_none_or(is_separate) {
                last = Some(crash.at);
                count += 1;
            }
        }
        count
    }

    /// Returns after how many crashes the suspect is the cause.
    fn thresholds(&self) -> Thresholds {
        // Requests with one body and different prompts may differ in what crashes targets.
        if self.has_answers || super::is_request_body(&self.suspect) {
            return Thresholds { likely: MOST_CRASHES, begun: None, certain: None };
        }
        if super::is_request(&self.suspect) {
            let has_begun = 2 * self.begun > self.crashes.len();
            return Thresholds {
                likely: LIKELY_REQUEST_CRASHES,
                begun: has_begun.then_some(LIKELY_REQUEST_CRASHES),
                certain: Some(CERTAIN_REQUEST_CRASHES),
            };
        }
        Thresholds {
            likely: LIKELY_CRASHES,
            begun: (self.begun > 0).then_some(BEGUN_CRASHES),
            certain: Some(CERTAIN_CRASHES),
        }
    }

    fn weight(&self) -> (usize, usize) {
        (self.begun, self.separated())
    }
}
