//! How the core handles calls of submitters.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission;
use cowslipport_lib::workload::admission::AdmissionDecision;
use cowslipport_lib::workload::admission::AdmittedJob;
use cowslipport_lib::workload::admission::Call;
use cowslipport_lib::workload::admission::CallAnswer;
use cowslipport_lib::workload::admission::NotRunReason;
use cowslipport_lib::workload::admission::not_run;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::record;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::room_admission::RoomDecision;
use cowslipport_lib::workload::spec::JobSpec;
use slog::info;
use tokio::sync::oneshot;

use crate::node::calls::CallRequest;
use crate::node::calls::JobDraft;
use crate::node::core::Core;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Platform;
use crate::node::submissions::StoreOutcome;
use crate::node::submissions::Submission;

impl<P> Core<P>
where
    P: Platform,
{
    pub(crate) fn handle_call(&mut self, request: CallRequest, reply: oneshot::Sender<CallAnswer>) {
        match self.admit(&call_of(&request)) {
            AdmissionDecision::Answer(answer) => {
                self.log_refusal(&request, &answer);
                // The receiver is gone if the caller has disconnected.
                let _ = reply.send(answer);
            }
            AdmissionDecision::Store(admitted) => {
                let spec = match request.draft {
                    Some(draft) => self.job_spec(&admitted, draft),
                    None => Err(CallAnswer::Invalid("the body holds no job".to_owned())),
                };
                match spec {
                    Ok(spec) => self.store_if_room(admitted.job, &spec, reply),
                    Err(answer) => {
                        let _ = reply.send(answer);
                    }
                }
            }
            AdmissionDecision::StoreCancellation(job) => {
                let record = KeyedRecord {
                    key: RecordKey::Cancellation(job).encode().into(),
                    value: record::encode_cancellation().into(),
                };
                self.store(job, record, CallAnswer::Cancelled, reply);
            }
        }
    }

    /// The refusal of a call whose head alone decides it.
    pub(crate) fn head_refusal(&self, request: &CallRequest) -> Option<CallAnswer> {
        match self.admit(&call_of(request)) {
            AdmissionDecision::Answer(answer) if !answer.is_success() => {
                self.log_refusal(request, &answer);
                Some(answer)
            }
            AdmissionDecision::Answer(_)
            | AdmissionDecision::Store(_)
            | AdmissionDecision::StoreCancellation(_) => None,
        }
    }

    /// Decides what the node does with a call.
    pub(crate) fn admit(&self, call: &Call<'_>) -> AdmissionDecision {
        let state = &self.state;
        admission::admit(
            self.clock.now(),
            call,
            &state.catalog,
            &state.job_registry,
            state.confirmed_at,
            state.start_delay,
            self.settings.age_limits(),
        )
    }

    /// Logs a call that is not served, with the state that the decision used.
    fn log_refusal(&self, request: &CallRequest, answer: &CallAnswer) {
        if answer.is_success() {
            return;
        }
        let now = self.clock.now();
        let age_ms =
            |confirmed_at: Option<TimeMs>| confirmed_at.map(|confirmed_at| now.since(confirmed_at));
        let state = &self.state;
        info!(self.logger, "call not served"; "path" => &request.path,
            "action" => request.action.as_str(), "answer" => answer.as_str(),
            "has_key" => request.key.is_some(), "version" => state.catalog.version(),
            "configuration_age_ms" => age_ms(state.confirmed_at.configuration),
            "jobs_age_ms" => age_ms(state.confirmed_at.jobs),
            "start_delay_ms" => state.start_delay.delay_ms);
    }

    /// The checked job that a caller describes.
    pub(crate) fn job_spec(
        &self,
        admitted: &AdmittedJob,
        draft: JobDraft,
    ) -> Result<JobSpec, CallAnswer> {
        let catalog = &self.state.catalog;
        let Some(queue) = catalog.queue(admitted.queue) else {
            return Err(CallAnswer::NoSuchQueue);
        };
        let organisation = admitted.organisation.and_then(|id| catalog.organisation(id));
        let spec = JobSpec {
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            rules: queue.rules,
            organisation: organisation.map(|organisation| organisation.name.clone()),
            payload: draft.payload,
            steps: draft.steps,
            schedule: draft.schedule,
            accepted_unix_ms: self.platform.unix_now_ms(),
        };
        spec.check().map_err(|findings| CallAnswer::Invalid(findings.to_string()))?;
        Ok(spec)
    }

    /// Stores a new job, unless its pool has no room for it in time.
    fn store_if_room(&mut self, job: JobKey, spec: &JobSpec, reply: oneshot::Sender<CallAnswer>) {
        if let Some(answer) = self.refuse_for_room(job, spec) {
            // The receiver is gone if the caller has disconnected.
            let _ = reply.send(answer);
            return;
        }
        let key = RecordKey::Submission(job).encode().into();
        let record = KeyedRecord { key, value: spec.encode().into() };
        self.store(job, record, CallAnswer::Accepted, reply);
    }

    fn refuse_for_room(&mut self, job: JobKey, spec: &JobSpec) -> Option<CallAnswer> {
        if !self.settings.scheduling.refuse_late_jobs {
            return None;
        }
        let (now, share) = (self.clock.now(), self.state.candidacy.share());
        match self.state.room_admission.decide(now, spec, share) {
            RoomDecision::Accept => None,
            RoomDecision::Refuse { retry_after_ms, inputs } => {
                let reason = NotRunReason::NoRoom;
                info!(self.logger, "job refused"; "job" => %job, "reason" => reason.as_str(),
                    "pool" => &spec.pool, "retry_after_ms" => retry_after_ms,
                    "view_age_ms" => inputs.view_age_ms,
                    "free_cpu_milli" => inputs.free_cpu_milli,
                    "expected_wait_ms" => inputs.expected_wait_ms,
                    "tolerable_wait_ms" => inputs.tolerable_wait_ms);
                Some(CallAnswer::NotRun { reason, retry_after_ms })
            }
        }
    }

    /// Stores a record for a caller, and replies with `answer` once the store
    /// has it.
    fn store(
        &self,
        job: JobKey,
        record: KeyedRecord,
        answer: CallAnswer,
        reply: oneshot::Sender<CallAnswer>,
    ) {
        let (stored, outcome) = oneshot::channel();
        if self.submissions.try_send(Submission { job: Some(job), record, reply: stored }).is_err()
        {
            let _ = reply.send(not_run(NotRunReason::TooManyWaiting));
            return;
        }
        let logger = self.logger.clone();
        let (clock, began_at) = (self.clock, self.clock.now());
        actix_rt::spawn(async move {
            let answer = match outcome.await {
                Ok(StoreOutcome::Stored) => answer,
                Ok(StoreOutcome::NotStored(reason)) => not_run(reason),
                Ok(StoreOutcome::Unknown) | Err(_) => CallAnswer::Unknown,
            };
            info!(logger, "call answered"; "job" => %job, "answer" => answer.as_str(),
                "took_ms" => clock.now().since(began_at));
            // The receiver is gone if the caller has disconnected.
            let _ = reply.send(answer);
        });
    }
}

fn call_of(request: &CallRequest) -> Call<'_> {
    Call { host: &request.host, path: &request.path, key: request.key, action: request.action }
}
