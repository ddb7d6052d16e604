//! The job calls of the caller API: submit, list and cancel over HTTP.

use actix_http::Method;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use cowslipport_lib::protos::caller as raw;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::job_stream::JobAnswer;
use crate::tasks::jobs::JobsAnswer;
use crate::tasks::jobs::JobsMessage;
use crate::tasks::jobs::JobsRefusal;
use crate::tasks::jobs::NewJob;

/// Whether a call that was not successful had an effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    None,
    Unknown,
}

/// Answers a call to `/jobs` or a path below it.
pub(crate) async fn answer(
    method: &Method,
    path: &str,
    key: String,
    body: &[u8],
    jobs: &mpsc::Sender<JobsMessage>,
) -> Response<BoxBody> {
    let name = path.strip_prefix("/jobs").unwrap_or_default().trim_start_matches('/');
    match (method, name) {
        (&Method::POST, "") => submit(key, body, jobs).await,
        (&Method::GET, "") => list(key, jobs).await,
        (&Method::DELETE, name) if !name.is_empty() => cancel(key, name.to_owned(), jobs).await,
        _ => refuse(StatusCode::NOT_FOUND, "no such job call", Effect::None),
    }
}

async fn submit(key: String, body: &[u8], jobs: &mpsc::Sender<JobsMessage>) -> Response<BoxBody> {
    let raw: raw::SubmitJob = match serde_json::from_slice(body) {
        Ok(raw) => raw,
        Err(error) => {
            let error = format!("body is not valid: {error}");
            return refuse(StatusCode::BAD_REQUEST, &error, Effect::None);
        }
    };
    let job = match NewJob::try_from(&raw) {
        Ok(job) => job,
        Err(findings) => {
            let error = findings.lines().join("; ");
            return refuse(StatusCode::BAD_REQUEST, &error, Effect::None);
        }
    };
    let name = job.name.clone();
    let (reply, answer) = oneshot::channel();
    if jobs.send(JobsMessage::Submit { key, job, reply }).await.is_err() {
        return refused(JobsRefusal::NoOwner);
    }
    match answer.await {
        Ok(JobsAnswer::Refused(refusal)) => refused(refusal),
        Ok(JobsAnswer::Answered { organisation, answer }) => submitted(organisation, name, &answer),
        Err(_) => refuse(StatusCode::GATEWAY_TIMEOUT, "no answer of the owner", Effect::Unknown),
    }
}

fn submitted(organisation: String, name: String, answer: &JobAnswer) -> Response<BoxBody> {
    match answer {
        JobAnswer::Accepted => {
            json(StatusCode::ACCEPTED, &raw::JobAccepted { organisation, name, known: false })
        }
        JobAnswer::Known | JobAnswer::EndedBefore => {
            json(StatusCode::OK, &raw::JobAccepted { organisation, name, known: true })
        }
        JobAnswer::Conflict => {
            let error = format!("another job of the name {name} is open");
            refuse(StatusCode::CONFLICT, &error, Effect::None)
        }
        JobAnswer::KeyWithdrawn => refused(JobsRefusal::KeyNotAccepted),
        JobAnswer::NotOwner | JobAnswer::NotOpen | JobAnswer::Cancelled => {
            refused(JobsRefusal::NoOwner)
        }
        JobAnswer::LogUnavailable => {
            let error = "the log service does not take records, so the job cannot be kept";
            refuse(StatusCode::SERVICE_UNAVAILABLE, error, Effect::None)
        }
        JobAnswer::Unknown => {
            let error = "whether the job was recorded is not known; submit it again by its name";
            refuse(StatusCode::GATEWAY_TIMEOUT, error, Effect::Unknown)
        }
    }
}

async fn list(key: String, jobs: &mpsc::Sender<JobsMessage>) -> Response<BoxBody> {
    let (reply, answer) = oneshot::channel();
    if jobs.send(JobsMessage::List { key, reply }).await.is_err() {
        return refused(JobsRefusal::NoOwner);
    }
    match answer.await {
        Ok(Ok(summaries)) => {
            let jobs = summaries.iter().map(Into::into).collect();
            json(StatusCode::OK, &raw::JobList { jobs })
        }
        Ok(Err(refusal)) => refused(refusal),
        Err(_) => refused(JobsRefusal::NoOwner),
    }
}

async fn cancel(key: String, name: String, jobs: &mpsc::Sender<JobsMessage>) -> Response<BoxBody> {
    let (reply, answer) = oneshot::channel();
    let message = JobsMessage::Cancel { key, name: name.clone(), reply };
    if jobs.send(message).await.is_err() {
        return refused(JobsRefusal::NoOwner);
    }
    match answer.await {
        Ok(JobsAnswer::Refused(refusal)) => refused(refusal),
        Ok(JobsAnswer::Answered { organisation, answer: JobAnswer::Cancelled }) => {
            json(StatusCode::OK, &raw::JobCancelled { organisation, name })
        }
        Ok(JobsAnswer::Answered { answer: JobAnswer::NotOpen, .. }) => {
            let error = format!("no job of the name {name} is open");
            refuse(StatusCode::NOT_FOUND, &error, Effect::None)
        }
        Ok(JobsAnswer::Answered { answer: JobAnswer::LogUnavailable, .. }) => {
            let error = "the log service does not take records";
            refuse(StatusCode::SERVICE_UNAVAILABLE, error, Effect::None)
        }
        Ok(JobsAnswer::Answered { answer: JobAnswer::NotOwner, .. }) => {
            refused(JobsRefusal::NoOwner)
        }
        Ok(JobsAnswer::Answered { .. }) | Err(_) => {
            let error = "whether the job was cancelled is not known; cancel it again";
            refuse(StatusCode::GATEWAY_TIMEOUT, error, Effect::Unknown)
        }
    }
}

fn refused(refusal: JobsRefusal) -> Response<BoxBody> {
    let (status, error) = match refusal {
        JobsRefusal::KeyNotAccepted => (StatusCode::UNAUTHORIZED, "the key is not granted"),
        JobsRefusal::PoolUnknown => (StatusCode::NOT_FOUND, "the pool does not exist"),
        JobsRefusal::ViewStale => {
            (StatusCode::SERVICE_UNAVAILABLE, "the view of this process is stale")
        }
        JobsRefusal::NoOwner => {
            (StatusCode::SERVICE_UNAVAILABLE, "no process can take jobs of the pool now")
        }
    };
    refuse(status, error, Effect::None)
}

fn refuse(status: StatusCode, error: &str, effect: Effect) -> Response<BoxBody> {
    let body = raw::Refusal {
        error: error.to_owned(),
        not_run: effect == Effect::None,
        outcome: if effect == Effect::Unknown { "unknown".to_owned() } else { String::new() },
    };
    json(status, &body)
}

fn json<T>(status: StatusCode, body: &T) -> Response<BoxBody>
where
    T: Serialize,
{
    let mut builder = Response::build(status);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::GATEWAY_TIMEOUT {
        builder.insert_header((header::RETRY_AFTER, "1"));
    }
    // Serializing a struct of strings and numbers does not fail.
    let body = serde_json::to_string(body).unwrap_or_default();
    builder.body(body).map_into_boxed_body()
}
