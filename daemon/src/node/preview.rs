//! How the core answers an operator who asks what would happen to a job.

use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::workload::admission::Action;
use cowslipport_lib::workload::admission::AdmissionDecision;
use cowslipport_lib::workload::admission::Call;
use cowslipport_lib::workload::admission::CallAnswer;
use cowslipport_lib::workload::admission::NotRunReason;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::preview::OrganisationView;
use cowslipport_lib::workload::preview::PlacementPreview;
use cowslipport_lib::workload::preview::PreviewAnswer;
use cowslipport_lib::workload::preview::PreviewError;
use cowslipport_lib::workload::preview::PreviewQuestion;
use cowslipport_lib::workload::room_admission::RoomDecision;
use cowslipport_lib::workload::spec::JobSpec;
use slog::info;
use tokio::sync::oneshot;

use crate::node::calls::JobDraft;
use crate::node::core::Core;
use crate::node::platform::Platform;

/// Shortest time between two previews: each copies the state of the owner, which
/// must not delay the placement of jobs.
const MIN_INTERVAL_MS: u64 = 1_000;

impl<P> Core<P>
where
    P: Platform,
{
    pub(crate) fn handle_preview(
        &mut self,
        question: PreviewQuestion,
        reply: oneshot::Sender<PreviewAnswer>,
    ) {
        let answer = self.preview(question);
        info!(self.logger, "preview answered"; "queue" => &answer.queue,
            "admission" => answer.admission,
            "chosen" => answer.placement.as_ref().map_or(0, |preview| preview.chosen.len()),
            "reason" => answer.placement.as_ref().err().map(ToString::to_string));
        // The receiver is gone if the operator has disconnected.
        let _ = reply.send(answer);
    }

    fn preview(&mut self, question: PreviewQuestion) -> PreviewAnswer {
        let now = self.clock.now();
        // No job has the time of day as its key: callers choose their keys.
        let job = JobKey(self.platform.unix_now_ms());
        let path = format!("{}/{job}", question.path.trim_end_matches('/'));
        let (organisation, key) = self.organisation(question.organisation.as_deref());
        let call = Call { host: &question.host, path: &path, key, action: Action::Submit };
        let decision = self.admit(&call);
        let catalog = &self.state.catalog;
        let queue = catalog.find_queue(&question.host, &path);
        let queue = queue.and_then(|found| catalog.queue(found.queue));
        let mut answer = PreviewAnswer {
            node: self.settings.name.clone(),
            is_owner: self.state.owner.is_some(),
            configuration_version: self.state.catalog.version(),
            queue: queue.map(|queue| queue.name.clone()).unwrap_or_default(),
            pool: queue.map(|queue| queue.pool.clone()).unwrap_or_default(),
            admission: CallAnswer::Accepted.as_str(),
            retry_after_ms: 0,
            organisation,
            placement: Err(PreviewError::Refused),
        };
        let admitted = match decision {
            AdmissionDecision::Store(admitted) => admitted,
            AdmissionDecision::Answer(refusal) => {
                answer.admission = refusal.as_str();
                if let CallAnswer::NotRun { retry_after_ms, .. } = refusal {
                    answer.retry_after_ms = retry_after_ms;
                }
                return answer;
            }
            AdmissionDecision::StoreCancellation(_) => return answer,
        };
        let draft = JobDraft { payload: String::new(), steps: vec![question.step], schedule: None };
        let spec = match self.job_spec(&admitted, draft) {
            Ok(spec) => spec,
            Err(refusal) => {
                answer.admission = refusal.as_str();
                return answer;
            }
        };
        if self.settings.scheduling.refuse_late_jobs {
            // A copy, so that the job does not count as accepted.
            let mut room_admission = self.state.room_admission.clone();
            let decision = room_admission.decide(now, &spec, self.state.candidacy.share());
            if let RoomDecision::Refuse { retry_after_ms, .. } = decision {
                answer.admission = NotRunReason::NoRoom.as_str();
                answer.retry_after_ms = retry_after_ms;
                return answer;
            }
        }
        let is_too_soon =
            self.state.previewed_at.is_some_and(|last| now.since(last) < MIN_INTERVAL_MS);
        answer.placement = match is_too_soon {
            true => Err(PreviewError::TooSoon),
            false => self.preview_placement(admitted.job, spec),
        };
        answer
    }

    fn preview_placement(
        &mut self,
        job: JobKey,
        spec: JobSpec,
    ) -> Result<PlacementPreview, PreviewError> {
        self.state.previewed_at = Some(self.clock.now());
        let mut preview = Err(PreviewError::NotOwner);
        self.with_owner(|owner, view| {
            let dispatcher = &owner.dispatcher;
            preview = dispatcher.preview(view.now, view.now_unix_ms, view.catalog, job, spec);
        });
        preview
    }

    /// What the configuration says of an organisation, and one of its keys.
    fn organisation(&mut self, name: Option<&str>) -> (OrganisationView, Option<KeyDigest>) {
        let Some(name) = name else { return (OrganisationView::default(), None) };
        let id = self.state.catalog.find_organisation_id(name);
        let spec = id.and_then(|id| self.state.catalog.organisation(id));
        let Some(spec) = spec else { return (OrganisationView::default(), None) };
        let view = OrganisationView { weight: spec.weight, limit_cpu_milli: spec.limit.cpu_milli };
        (view, spec.keys.first().map(|key| KeyDigest::of(key.as_bytes())))
    }
}
