//! Calls of submitters, independent of the protocol of the platform.

use std::time::Duration;

use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::workload::admission::Action;
use cowslipport_lib::workload::admission::CallAnswer;
use cowslipport_lib::workload::admission::NotRunReason;
use cowslipport_lib::workload::admission::not_run;
use cowslipport_lib::workload::preview::PreviewAnswer;
use cowslipport_lib::workload::preview::PreviewQuestion;
use cowslipport_lib::workload::spec::Schedule;
use cowslipport_lib::workload::spec::StepSpec;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::node::messages::CoreMessage;

/// How long a call waits for the answer of the core. After that, the outcome of
/// a submission or a cancellation is unknown. The time is longer than that for
/// which a submission is retried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Largest body of a call, also before there is a configuration. No configuration of the
/// platform allows more.
pub const MAX_BODY_BYTES: u64 = 262_144;

/// A call of a submitter.
#[derive(Clone)]
pub struct CallRequest {
    /// Host that the call names.
    pub host: String,
    /// Path that the call names.
    pub path: String,
    /// Digest of the key in the call.
    pub key: Option<KeyDigest>,
    /// Requested action.
    pub action: Action,
    /// Job of a submission.
    pub draft: Option<JobDraft>,
}

/// A job as the submitter describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobDraft {
    /// Payload that each task receives.
    pub payload: String,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
    /// Schedule on which the steps run.
    pub schedule: Option<Schedule>,
}

/// Passes calls to the core of a node.
#[derive(Clone)]
pub struct CallHandler {
    pub(crate) core: mpsc::Sender<CoreMessage>,
    pub(crate) max_body_bytes: watch::Receiver<u64>,
}

impl CallHandler {
    /// Largest body of a call that the configuration allows.
    pub fn max_body_bytes(&self) -> u64 {
        (*self.max_body_bytes.borrow()).min(MAX_BODY_BYTES)
    }

    /// The refusal of a call that its head alone decides, so that its body need not be
    /// read. The call may still be refused later.
    pub async fn check_head(&self, request: CallRequest) -> Option<CallAnswer> {
        let action = request.action.as_str();
        let (reply, refusal) = oneshot::channel();
        let refusal = match self.core.try_send(CoreMessage::CheckHead { request, reply }) {
            Ok(()) => match timeout(ANSWER_TIMEOUT, refusal).await {
                Ok(Ok(refusal)) => refusal,
                Ok(Err(_)) | Err(_) => Some(not_run(NotRunReason::TooManyWaiting)),
            },
            Err(_) => Some(not_run(NotRunReason::TooManyWaiting)),
        };
        if let Some(refusal) = &refusal {
            count_call(action, refusal);
        }
        refusal
    }

    /// Handles a call and returns its answer.
    pub async fn handle(&self, request: CallRequest) -> CallAnswer {
        let (action, began_at) = (request.action.as_str(), Instant::now());
        let answer = self.call_core(request).await;
        count_call(action, &answer);
        metrics::histogram!("cowslipport_call_seconds", "action" => action)
            .record(began_at.elapsed());
        answer
    }

    /// Answers an operator who asks what would happen to a job; `None` if the node
    /// is too busy.
    pub async fn preview(&self, question: PreviewQuestion) -> Option<PreviewAnswer> {
        let (reply, answer) = oneshot::channel();
        self.core.try_send(CoreMessage::Preview { question, reply }).ok()?;
        timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
    }

    async fn call_core(&self, request: CallRequest) -> CallAnswer {
        let is_change = match request.action {
            Action::Submit | Action::Cancel => true,
            Action::Query => false,
        };
        let (reply, answer) = oneshot::channel();
        if self.core.try_send(CoreMessage::Call { request, reply }).is_err() {
            return not_run(NotRunReason::TooManyWaiting);
        }
        match timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) if is_change => CallAnswer::Unknown,
            Ok(Err(_)) | Err(_) => not_run(NotRunReason::StaleJobs),
        }
    }
}

fn count_call(action: &'static str, answer: &CallAnswer) {
    metrics::counter!("cowslipport_calls_total", "action" => action, "answer" => answer.as_str())
        .increment(1);
}
