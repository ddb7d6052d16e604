//! Calls of submitters, in the words of the product.

use std::time::Duration;

use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::workload::admission::Action;
use cowslipport_lib::workload::admission::CallAnswer;
use cowslipport_lib::workload::admission::NotRunReason;
use cowslipport_lib::workload::admission::not_run;
use cowslipport_lib::workload::spec::Schedule;
use cowslipport_lib::workload::spec::StepSpec;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::node::messages::CoreMessage;

/// A call that has no answer after this time gets the answer that its outcome
/// is unknown. It is above the time after which a submission is given up.
const ANSWER_WITHIN: Duration = Duration::from_millis(2_200);

/// A call of a submitter.
#[derive(Clone)]
pub struct CallRequest {
    /// Host that it names.
    pub host: String,
    /// Path that it names.
    pub path: String,
    /// Key that came with it.
    pub key: Option<KeyDigest>,
    /// What it asks.
    pub action: Action,
    /// The job to be handed in.
    pub draft: Option<JobDraft>,
}

/// A job as the submitter describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobDraft {
    /// What each task receives.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Set times at which the steps run.
    pub schedule: Option<Schedule>,
}

/// Hands calls to the core of a node.
#[derive(Clone)]
pub struct CallHandler {
    pub(crate) core: mpsc::Sender<CoreMessage>,
}

impl CallHandler {
    /// The answer to a call.
    pub async fn handle(&self, request: CallRequest) -> CallAnswer {
        let (action, began_at) = (request.action.as_str(), Instant::now());
        let answer = self.ask_core(request).await;
        metrics::counter!("cowslipport_calls_total", "action" => action,
            "answer" => answer.as_str())
        .increment(1);
        metrics::histogram!("cowslipport_call_seconds", "action" => action)
            .record(began_at.elapsed());
        answer
    }

    async fn ask_core(&self, request: CallRequest) -> CallAnswer {
        let is_change = match request.action {
            Action::Submit | Action::Cancel => true,
            Action::Query => false,
        };
        let (reply, answer) = oneshot::channel();
        if self.core.try_send(CoreMessage::Call { request, reply }).is_err() {
            return not_run(NotRunReason::TooManyWaiting);
        }
        match timeout(ANSWER_WITHIN, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) if is_change => CallAnswer::Unknown,
            Ok(Err(_)) | Err(_) => not_run(NotRunReason::StaleJobs),
        }
    }
}
