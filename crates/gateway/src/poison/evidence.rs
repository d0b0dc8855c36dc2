//! Reports of crashes, and the search for what a pool's crashes have in common.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use marigold_core::ids::{Incarnation, Name, Uptime};
use marigold_core::poison::Suspect;
use marigold_core::poison::answers::Answer;
use marigold_core::poison::detector::{Evidence, LostRun};
use marigold_core::poison::quarantine::Entry;
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::{self, AnswerAge, AnswerAges, AnswerQuery, CrashReport};
use tokio::time;

use super::{SentReport, spread};
use crate::crashes::Crash;
use crate::dialect::Dialect;
use crate::members::Owner;
use crate::peers;
use crate::shared::Shared;

/// Number of gateways that keep the evidence of a pool and search it. One of them may end, and lacks evidence when it is back.
const DETECTORS: usize = 2;
/// Time within which the other gateways report the same crash.
const REPORTING_TIME: Duration = Duration::from_millis(150);
/// Minimum time from one question for answers to the next, in a pool.
const DETECTION_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between questions for all suspects; the others are for those on whom a verdict depends. Gateways remember answers
/// for a minute.
const ALL_SUSPECTS_INTERVAL: Duration = Duration::from_secs(30);
/// Timeout of a message between gateways.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a gateway sends its reports again to detectors that do not have them.
const REPORT_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of reports that a gateway sends again.
const MAX_REPORTS: usize = 64;
/// Maximum number of pools with evidence; messages of other gateways could otherwise exhaust memory.
const MAX_POOLS: usize = 256;

/// Reports what this gateway lost to a crash.
pub(crate) fn report<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, crash: &Crash) {
    let target = &crash.tracked.target;
    let runs = crash.lost.iter().filter(|run| !run.suspects.is_empty());
    let runs: Vec<messages::LostRun> = runs
        .map(|run| messages::LostRun {
            suspects: run.suspects.to_vec(),
            has_begun: run.has_begun,
            ran_ms: crash.at.saturating_sub(run.sent_at).as_millis() as u64,
        })
        .collect();
    if runs.is_empty() {
        return;
    }
    let report = CrashReport {
        target: target.id.clone(),
        started_at_ms: target.started_at_ms,
        pool: target.pool.clone(),
        version: target.version.clone(),
        age_ms: 0,
        runs,
    };
    let mut reports = shared.poison.reports.lock();
    if reports.len() >= MAX_REPORTS {
        reports.remove(0);
    }
    reports.push(SentReport { report, at: crash.at, acknowledged: Vec::new() });
    drop(reports);
    resend(shared, boottime::now());
}

/// Sends the reports of this gateway to the detectors that do not have them.
pub(super) fn resend<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, now: Uptime) {
    let mut due = Vec::new();
    {
        let mut reports = shared.poison.reports.lock();
        reports.retain(|sent| now < sent.at + REPORT_RETENTION);
        for sent in reports.iter() {
            for detector in shared.members.detectors(&sent.report.pool, DETECTORS) {
                if !sent.acknowledged.contains(&incarnation(shared, &detector)) {
                    let age_ms = now.saturating_sub(sent.at).as_millis() as u64;
                    due.push((detector, CrashReport { age_ms, ..sent.report.clone() }));
                }
            }
        }
    }
    for (detector, report) in due {
        match detector {
            Owner::Local => {
                acknowledge(shared, &report, incarnation(shared, &Owner::Local));
                keep(shared, report, now);
            }
            Owner::Remote(member) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    match peers::report_crash(&member, report.clone()).await {
                        Ok(()) => {
                            let detector = incarnation(&shared, &Owner::Remote(member));
                            acknowledge(&shared, &report, detector);
                        }
                        Err(err) => {
                            tracing::debug!(member = member.name, err, "crash not reported");
                        }
                    }
                });
            }
        }
    }
}

/// Returns which run of a detector's process is meant; one that was restarted has no reports.
fn incarnation<D: Dialect, S>(shared: &Shared<D, S>, detector: &Owner) -> (Name, Incarnation) {
    match detector {
        Owner::Local => (shared.settings().name.clone(), shared.incarnation),
        Owner::Remote(member) => (member.name.clone(), member.incarnation),
    }
}

fn acknowledge<D: Dialect, S>(
    shared: &Shared<D, S>,
    report: &CrashReport,
    detector: (Name, Incarnation),
) {
    let mut reports = shared.poison.reports.lock();
    let sent = reports.iter_mut().find(|sent| {
        sent.report.target == report.target
            && sent.report.started_at_ms == report.started_at_ms
            && sent.report.runs == report.runs
    });
    if let Some(sent) = sent {
        sent.acknowledged.push(detector);
    }
}

/// Keeps a report of this or another gateway, as a detector; returns false if there is no room.
pub(crate) fn keep<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    report: CrashReport,
    now: Uptime,
) -> bool {
    let pool = report.pool.clone();
    let evidence = Evidence {
        target: report.target,
        started_at_ms: report.started_at_ms,
        version: report.version,
        at: now.saturating_sub(Duration::from_millis(report.age_ms)),
        runs: report.runs.into_iter().map(LostRun::from).collect(),
    };
    let mut detectors = shared.poison.detectors.lock();
    if detectors.len() >= MAX_POOLS && !detectors.contains_key(&pool) {
        tracing::warn!(pool, "too many pools with crashes; report dropped");
        return false;
    }
    let detector = detectors.entry(pool.clone()).or_default();
    if detector.detector.record(evidence, now) {
        detector.is_due = true;
        drop(detectors);
        detect_soon(shared, pool);
    }
    true
}

/// Searches the evidence of the pools of which this gateway is a detector.
pub(super) fn detect_due<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>) {
    let detectors = shared.poison.detectors.lock();
    let due = detectors.iter().filter(|(_, detector)| detector.is_due && !detector.is_detecting);
    let due: Vec<String> = due.map(|(pool, _)| pool.clone()).collect();
    drop(detectors);
    for pool in due {
        detect_soon(shared, pool);
    }
}

fn detect_soon<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, pool: String) {
    let detectors = shared.members.detectors(&pool, DETECTORS);
    if !detectors.iter().any(|detector| matches!(detector, Owner::Local)) {
        return;
    }
    let mut detectors = shared.poison.detectors.lock();
    let Some(detector) = detectors.get_mut(&pool) else { return };
    if std::mem::replace(&mut detector.is_detecting, true) {
        return;
    }
    tokio::spawn(detect_while_due(shared.clone(), pool));
}

async fn detect_while_due<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>, pool: String) {
    loop {
        time::sleep(REPORTING_TIME).await;
        let asked = {
            let mut detectors = shared.poison.detectors.lock();
            let Some(detector) = detectors.get_mut(&pool) else { return };
            if !detector.is_due {
                detector.is_detecting = false;
                return;
            }
            detector.is_due = false;
            detector.detector.suspects_to_ask()
        };
        if !asked.is_empty() {
            detect_in_pool(&shared, &pool, asked).await;
            time::sleep(DETECTION_INTERVAL - REPORTING_TIME).await;
        }
    }
}

/// Asks all gateways for answers to requests with the suspects that may be the cause, and blames those without any.
async fn detect_in_pool<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    pool: &str,
    suspects: Vec<Suspect>,
) {
    let mut asked = BTreeSet::new();
    let (verdicts, reviewed, now) = loop {
        let now = boottime::now();
        let question = {
            let mut detectors = shared.poison.detectors.lock();
            let Some(detector) = detectors.get_mut(pool) else { return };
            let is_all_due =
                detector.all_asked_at.is_none_or(|at| at + ALL_SUSPECTS_INTERVAL <= now);
            let question = if is_all_due {
                detector.all_asked_at = Some(now);
                suspects.clone()
            } else {
                detector.detector.unasked(&suspects, &asked)
            };
            if question.is_empty() {
                let detector = &detector.detector;
                let verdicts = detector.verdicts(&suspects);
                let review = |entry: &Entry| {
                    detector.review(&entry.key.1, entry.crashes as usize, &verdicts)
                };
                let reviewed = shared.poison.change(|all| all.review(pool, review, now));
                break (verdicts, reviewed, now);
            }
            question
        };
        let answers = read_answers(shared, pool, &question).await;
        asked.extend(question);
        let mut detectors = shared.poison.detectors.lock();
        let Some(detector) = detectors.get_mut(pool) else { return };
        answers.into_iter().for_each(|answer| detector.detector.record_answer(answer));
    };
    for entry in reviewed {
        tracing::warn!(
            pool,
            suspects = super::text(&entry),
            is_released = entry.is_released,
            "the crashes of a quarantine have other causes, too"
        );
        spread::announce(shared, &entry);
    }
    for verdict in verdicts {
        let entry = shared.poison.change(|quarantines| quarantines.blame(pool, &verdict, now));
        let Some(entry) = entry else { continue };
        tracing::warn!(
            pool,
            suspects = super::text(&entry),
            crashes = verdict.times.len(),
            software = ?verdict.versions,
            asked = asked.len(),
            "requests quarantined; they crash targets"
        );
        spread::announce(shared, &entry);
    }
}

/// Returns the last answers of all gateways to requests with the suspects.
async fn read_answers<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    pool: &str,
    suspects: &[Suspect],
) -> Vec<Answer> {
    let query = AnswerQuery { pool: pool.to_owned(), suspects: suspects.to_vec() };
    let mut answers = parse_answers(answer(shared, &query), boottime::now());
    let alive = shared.members.others().into_iter().filter(|member| member.is_alive());
    let mut replies: FuturesUnordered<_> = alive
        .map(|member| {
            let query = query.clone();
            async move { (peers::read_answers(&member, query).await, member) }
        })
        .collect();
    while let Some((reply, member)) = replies.next().await {
        match reply {
            Ok(ages) => answers.extend(parse_answers(ages, boottime::now())),
            Err(err) => tracing::debug!(member = member.name, err, "answers not read"),
        }
    }
    answers
}

/// Answers the question of a detector from the answers that this gateway remembers.
pub(crate) fn answer<D: Dialect, S>(shared: &Shared<D, S>, query: &AnswerQuery) -> AnswerAges {
    let now = boottime::now();
    let mut found = shared.poison.answers.lock().find(&query.pool, &query.suspects);
    found.extend(shared.poison.request_answers.lock().find(&query.pool, &query.suspects));
    let age = |answer: Answer| AnswerAge {
        age_ms: now.saturating_sub(answer.at).as_millis() as u64,
        suspect: answer.suspect,
        version: answer.version,
    };
    AnswerAges { answers: found.into_iter().map(age).collect() }
}

fn parse_answers(ages: AnswerAges, now: Uptime) -> Vec<Answer> {
    let parse = |age: AnswerAge| Answer {
        suspect: age.suspect,
        version: age.version,
        at: now.saturating_sub(Duration::from_millis(age.age_ms)),
    };
    ages.answers.into_iter().map(parse).collect()
}
