//! Runs a request, and a second attempt beside it when the first one is late.

use std::pin::pin;
use std::time::Duration;

use http::StatusCode;
use marigold_objects::Store;

use super::{TargetResponse, read_full, run_attempts, start_stream};
use crate::attempts::Attempts;
use crate::attempts::hedge::Race;
use crate::dialect::Dialect;
use crate::response::Failure;

/// Runs a request. The first answer that decides it is returned, and the other attempt is cancelled by closing its connection.
pub(super) async fn run<D: Dialect, S: Store>(
    attempts: &mut Attempts<D, S>,
) -> Result<TargetResponse, Failure> {
    let Some(race) = attempts.begin_race() else { return run_attempts(attempts).await };
    let Some((second, delay)) = attempts.second_attempt() else {
        let result = run_attempts(attempts).await;
        attempts.end_race(false);
        return result;
    };
    let mut first_result = None;
    let mut second_answer = None;
    {
        let mut first = pin!(run_attempts(attempts));
        let mut second = pin!(run_second(second, &race, delay));
        let mut has_second_ended = false;
        loop {
            tokio::select! {
                // An answer of the first attempt that is there takes precedence.
                biased;
                result = &mut first, if first_result.is_none() => {
                    let is_success = is_first_success(&result);
                    first_result = Some(result);
                    if is_success || !race.is_hedge_running() {
                        break;
                    }
                }
                answer = &mut second, if !has_second_ended => {
                    has_second_ended = true;
                    // While the first attempt records where its stream begins, no other one may begin it.
                    let is_won =
                        answer.as_ref().is_some_and(is_hedge_success) && !race.is_answered();
                    second_answer = answer;
                    if is_won || first_result.is_some() {
                        break;
                    }
                }
            }
        }
    }
    let is_won = !first_result.as_ref().is_some_and(is_first_success)
        && second_answer.as_ref().is_some_and(is_hedge_success);
    attempts.end_race(is_won);
    match (first_result, second_answer) {
        (_, Some(answer)) if is_won => {
            if let TargetResponse::Stream { stream, .. } = &answer {
                attempts.record_origin(stream.target_start()).await;
            }
            Ok(answer)
        }
        (Some(Ok(response)), _) => Ok(response),
        // The target's own failure tells the caller more than that of the gateway.
        (Some(Err(_)), Some(answer @ TargetResponse::Full { .. })) => Ok(answer),
        (Some(Err(failure)), _) => Err(attempts.hedged_failure(failure)),
        (None, _) => {
            let reason = "the request was given up before it had an answer";
            Err(Failure::new(StatusCode::BAD_GATEWAY, reason))
        }
    }
}

fn is_first_success(result: &Result<TargetResponse, Failure>) -> bool {
    result.as_ref().is_ok_and(TargetResponse::is_success)
}

/// Returns whether the answer to a hedge is a success. Other answers are returned only if the first attempt fails.
fn is_hedge_success(answer: &TargetResponse) -> bool {
    match answer {
        TargetResponse::Full { status, .. } => status.is_success() || status.is_redirection(),
        TargetResponse::Stream { first_events, .. } => first_events.is_some(),
    }
}

/// Makes the second attempt; returns its answer, which may be a failure of the target.
async fn run_second<D: Dialect, S: Store>(
    mut attempts: Attempts<D, S>,
    race: &Race<D, S>,
    delay: Duration,
) -> Option<TargetResponse> {
    let answer = match attempts.send_hedge(race, delay).await {
        Some(reply) => {
            let is_stream = attempts.route.streams && reply.response.status() == StatusCode::OK;
            let answer = if is_stream {
                start_stream(&mut attempts, reply, false).await
            } else {
                read_full(&mut attempts, reply).await
            };
            answer
                .inspect_err(|reason| {
                    let request = attempts.request();
                    tracing::warn!(request, ?reason, "response to a hedged request ended early");
                })
                .ok()
        }
        None => None,
    };
    race.on_second_end(std::mem::take(&mut attempts.lost_targets));
    answer
}
