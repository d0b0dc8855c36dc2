//! Reports of crashes, and the judging of a pool's crashes.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use marigold_core::ids::{Incarnation, Name, Uptime};
use marigold_core::poison::Suspect;
use marigold_core::poison::answers::Answer;
use marigold_core::poison::judge::{Evidence, LostRun};
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

/// Number of gateways that keep the evidence of a pool and judge it. One of them may end, and lacks evidence when it is back.
const JUDGES: usize = 2;
/// Time within which the other gateways report the same crash.
const REPORTING_TIME: Duration = Duration::from_millis(150);
/// Minimum time from one question for answers to the next, in a pool.
const JUDGING_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a message between gateways.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a gateway sends its reports again to judges that do not have them.
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

/// Sends the reports of this gateway to the judges that do not have them.
pub(super) fn resend<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, now: Uptime) {
    let mut due = Vec::new();
    {
        let mut reports = shared.poison.reports.lock();
        reports.retain(|sent| now < sent.at + REPORT_RETENTION);
        for sent in reports.iter() {
            for judge in shared.members.judges(&sent.report.pool, JUDGES) {
                if !sent.acknowledged.contains(&incarnation(shared, &judge)) {
                    let age_ms = now.saturating_sub(sent.at).as_millis() as u64;
                    due.push((judge, CrashReport { age_ms, ..sent.report.clone() }));
                }
            }
        }
    }
    for (judge, report) in due {
        match judge {
            Owner::Local => {
                acknowledge(shared, &report, incarnation(shared, &Owner::Local));
                keep(shared, report, now);
            }
            Owner::Remote(member) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    match peers::report_crash(&member, report.clone()).await {
                        Ok(()) => {
                            let judge = incarnation(&shared, &Owner::Remote(member));
                            acknowledge(&shared, &report, judge);
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

/// Returns which run of a judge's process is meant; one that was restarted has no reports.
fn incarnation<D: Dialect, S>(shared: &Shared<D, S>, judge: &Owner) -> (Name, Incarnation) {
    match judge {
        Owner::Local => (shared.settings().name.clone(), shared.incarnation),
        Owner::Remote(member) => (member.name.clone(), member.incarnation),
    }
}

fn acknowledge<D: Dialect, S>(
    shared: &Shared<D, S>,
    report: &CrashReport,
    judge: (Name, Incarnation),
) {
    let mut reports = shared.poison.reports.lock();
    let sent = reports.iter_mut().find(|sent| {
        sent.report.target == report.target
            && sent.report.started_at_ms == report.started_at_ms
            && sent.report.runs == report.runs
    });
    if let Some(sent) = sent {
        sent.acknowledged.push(judge);
    }
}

/// Keeps a report of this or another gateway, as a judge; returns false if there is no room.
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
    let mut judges = shared.poison.judges.lock();
    if judges.len() >= MAX_POOLS && !judges.contains_key(&pool) {
        tracing::warn!(pool, "too many pools with crashes; report dropped");
        return false;
    }
    let judge = judges.entry(pool.clone()).or_default();
    if judge.judge.record(evidence, now) {
        judge.is_due = true;
        drop(judges);
        judge_soon(shared, pool);
    }
    true
}

/// Judges the pools with new evidence of which this gateway is a judge.
pub(super) fn judge_due<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>) {
    let judges = shared.poison.judges.lock();
    let due = judges.iter().filter(|(_, judge)| judge.is_due && !judge.is_judging);
    let due: Vec<String> = due.map(|(pool, _)| pool.clone()).collect();
    drop(judges);
    for pool in due {
        judge_soon(shared, pool);
    }
}

fn judge_soon<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, pool: String) {
    let judges = shared.members.judges(&pool, JUDGES);
    if !judges.iter().any(|judge| matches!(judge, Owner::Local)) {
        return;
    }
    let mut judges = shared.poison.judges.lock();
    let Some(judge) = judges.get_mut(&pool) else { return };
    if std::mem::replace(&mut judge.is_judging, true) {
        return;
    }
    tokio::spawn(judge_while_due(shared.clone(), pool));
}

async fn judge_while_due<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>, pool: String) {
    loop {
        time::sleep(REPORTING_TIME).await;
        let asked = {
            let mut judges = shared.poison.judges.lock();
            let Some(judge) = judges.get_mut(&pool) else { return };
            if !judge.is_due {
                judge.is_judging = false;
                return;
            }
            judge.is_due = false;
            judge.judge.suspects_to_ask()
        };
        if !asked.is_empty() {
            judge_pool(&shared, &pool, asked).await;
            time::sleep(JUDGING_INTERVAL - REPORTING_TIME).await;
        }
    }
}

/// Asks all gateways for answers to requests with the suspects, and blames those without any.
async fn judge_pool<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    pool: &str,
    asked: Vec<Suspect>,
) {
    let query = AnswerQuery { pool: pool.to_owned(), suspects: asked.clone() };
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
    let now = boottime::now();
    let (verdicts, reviewed) = {
        let mut judges = shared.poison.judges.lock();
        let Some(judge) = judges.get_mut(pool) else { return };
        answers.into_iter().for_each(|answer| judge.judge.record_answer(answer));
        let verdicts = judge.judge.verdicts(&asked);
        let review =
            |entry: &Entry| judge.judge.review(&entry.key.1, entry.crashes as usize, &verdicts);
        let reviewed = shared.poison.change(|all| all.review(pool, review, now));
        (verdicts, reviewed)
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

/// Answers the question of a judge from the answers that this gateway remembers.
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
