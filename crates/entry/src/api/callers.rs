//! API of callers: runs a pipeline.

use std::sync::Arc;
use std::time::Duration;

use either::Either;
use rocket::data::Data;
use rocket::http::ContentType;
use rocket::response::stream::{Event, EventStream};
use rocket::{State, post};
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::guards::{Headers, read_json};
use super::problem::Problem;
use crate::pipeline::{self, RunAnswer, RunRequest};
use crate::state::{InFlight, Shared};

/// Retry delay returned to callers while the entry is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

type RunTask = JoinHandle<Result<RunAnswer, Problem>>;

/// Runs a pipeline with the body as its input, and returns the result or, on request, a stream of events.
#[post("/v1/run/<name>", data = "<data>")]
pub(crate) async fn run(
    shared: &State<Arc<Shared>>,
    headers: Headers<'_>,
    name: &str,
    data: Data<'_>,
) -> Result<Either<(ContentType, String), EventStream![]>, Problem> {
    let in_flight = InFlight::enter(shared);
    let mut req = admit(shared, &headers, name)?;
    req.input = read_json(data).await?;
    req.body_digest = pipeline::body_digest(&req.input);
    if headers.wants_stream() {
        return Ok(Either::Right(stream(shared.inner().clone(), req, in_flight)));
    }
    let task = spawn(shared.inner().clone(), req, None, in_flight);
    let answer = join(task).await?;
    let body = serde_json::to_string(&answer).map_err(|err| Problem::internal(&err.to_string()))?;
    Ok(Either::Left((ContentType::JSON, body)))
}

/// Authenticates the caller, finds the pipeline, and checks that the preset in force admits its priority.
fn admit(shared: &Shared, headers: &Headers<'_>, name: &str) -> Result<RunRequest, Problem> {
    let view = shared.view.load_full().filter(|_| shared.is_ready());
    let Some(view) = view else {
        return Err(Problem::refused_with_retry(
            503,
            "Not ready",
            "this entry takes no requests now",
            NOT_READY_RETRY_AFTER,
        ));
    };
    let Some(customer) = view.authenticate(headers.token()?) else {
        return Err(Problem::refused(401, "Unauthorized", "the bearer token is not known"));
    };
    let Some(pipeline) = view.pipelines.get(name).cloned() else {
        let names: Vec<&str> = view.pipelines.keys().map(String::as_str).collect();
        return Err(Problem::refused(
            404,
            "No such pipeline",
            format!("pipelines: {}", names.join(", ")),
        ));
    };
    if pipeline.priority < view.preset.min_priority {
        let detail = format!(
            "preset `{}` refuses pipelines below priority {}",
            view.preset_name, view.preset.min_priority
        );
        return Err(Problem::refused_with_retry(
            503,
            "Refused by the preset in force",
            detail,
            Duration::from_secs(60),
        ));
    }
    let millis = |ms: std::num::NonZeroU64| Duration::from_millis(ms.get());
    let deadline =
        headers.deadline(millis(pipeline.deadline_ms), millis(pipeline.deadline_cap_ms))?;
    Ok(RunRequest {
        id: shared.new_request_id(),
        customer,
        name: name.to_owned(),
        pipeline,
        input: Value::Null,
        body_digest: String::new(),
        key: headers.key()?,
        deadline: shared.now() + deadline,
        view,
    })
}

/// Runs a request in a separate task, so that the loss of the caller's connection does not cancel it. A streamed
/// request is cancelled when the receiver of its tokens is dropped.
fn spawn(
    shared: Arc<Shared>,
    req: RunRequest,
    tokens: Option<pipeline::TokenSender>,
    in_flight: InFlight,
) -> RunTask {
    tokio::spawn(async move {
        let _in_flight = in_flight;
        pipeline::run(&shared, req, tokens).await
    })
}

async fn join(task: RunTask) -> Result<RunAnswer, Problem> {
    task.await.unwrap_or_else(|err| Err(Problem::internal(&format!("the request failed: {err}"))))
}

fn stream(shared: Arc<Shared>, req: RunRequest, in_flight: InFlight) -> EventStream![] {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let task = spawn(shared.clone(), req, Some(tx), InFlight::enter(&shared));
    EventStream! {
        // Counts the stream as in flight until its last event was read.
        let _in_flight = in_flight;
        let mut index = 0_u32;
        while let Some(token) = rx.recv().await {
            yield Event::json(&serde_json::json!({ "index": index, "text": token })).event("token");
            index += 1;
        }
        match join(task).await {
            Ok(answer) => yield Event::json(&answer).event("done"),
            Err(problem) => yield Event::data(problem.to_json()).event("problem"),
        }
    }
}
