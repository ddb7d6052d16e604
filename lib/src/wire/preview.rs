//! Conversion of previews between the generated and the checked types.

use crate::findings::Findings;
use crate::protos::node as raw;
use crate::resources::Resources;
use crate::workload::preview::BlockedWorkers;
use crate::workload::preview::ChosenWorker;
use crate::workload::preview::OrganisationView;
use crate::workload::preview::PlacementPreview;
use crate::workload::preview::PreviewAnswer;
use crate::workload::preview::PreviewQuestion;
use crate::workload::spec::MAX_TASKS;
use crate::workload::spec::StepSpec;

impl TryFrom<raw::PreviewRequest> for PreviewQuestion {
    type Error = Findings;

    fn try_from(raw: raw::PreviewRequest) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        if raw.host.is_empty() {
            findings.add("host", "field is missing or empty");
        }
        if !raw.path.starts_with('/') {
            findings.add("path", format!("{:?} does not begin with a slash", raw.path));
        }
        if raw.tasks == 0 || u64::from(raw.tasks) > MAX_TASKS {
            findings.add("tasks", format!("must be from 1 to {MAX_TASKS}"));
        }
        let non_empty = |name: String| (!name.is_empty()).then_some(name);
        let step = StepSpec {
            task_count: raw.tasks,
            request: Resources {
                cpu_milli: raw.cpu_milli,
                memory_bytes: raw.memory_bytes,
                accelerators: raw.accelerators,
            },
            estimate_ms: raw.estimate_ms,
            required_label: non_empty(raw.required_label),
            data_rack: non_empty(raw.data_rack),
            max_tasks_per_worker: (raw.max_tasks_per_worker > 0)
                .then_some(raw.max_tasks_per_worker),
            long_running: raw.long_running,
            ..StepSpec::default()
        };
        let organisation = non_empty(raw.organisation);
        findings.into_result(Self { host: raw.host, path: raw.path, organisation, step })
    }
}

impl From<&PreviewAnswer> for raw::PreviewReply {
    fn from(answer: &PreviewAnswer) -> Self {
        let no_placement = answer.placement.as_ref().err().map(ToString::to_string);
        Self {
            node: answer.node.clone(),
            is_owner: answer.is_owner,
            configuration_version: answer.configuration_version.unwrap_or_default(),
            queue: answer.queue.clone(),
            pool: answer.pool.clone(),
            admission: answer.admission.to_owned(),
            retry_after_ms: answer.retry_after_ms,
            placement: answer
                .placement
                .as_ref()
                .ok()
                .map(|placement| preview(placement, answer.organisation)),
            no_placement: no_placement.unwrap_or_default(),
        }
    }
}

fn preview(preview: &PlacementPreview, organisation: OrganisationView) -> raw::Preview {
    raw::Preview {
        capacity_cpu_milli: preview.load.capacity_cpu_milli,
        used_cpu_milli: preview.load.used_cpu_milli,
        waiting_cpu_milli: preview.load.waiting_cpu_milli,
        jobs_ahead: preview.jobs_ahead as u64,
        organisation_used_cpu_milli: preview.organisation_used_cpu_milli,
        organisation_limit_cpu_milli: organisation.limit_cpu_milli,
        organisation_weight: organisation.weight,
        is_over_limit: preview.is_over_limit,
        chosen: preview.chosen.iter().map(chosen).collect(),
        waiting_tasks: preview.waiting_tasks,
        blocked: preview
            .blocked
            .iter()
            .map(|(blocker, workers)| blocked(blocker.as_str(), workers))
            .collect(),
    }
}

fn chosen(chosen: &ChosenWorker) -> raw::Chosen {
    raw::Chosen {
        worker: chosen.worker.clone(),
        data_centre: chosen.data_centre.clone(),
        rack: chosen.rack.clone().unwrap_or_default(),
        tasks: chosen.tasks,
        free_cpu_milli: chosen.free_cpu_milli,
    }
}

fn blocked(reason: &str, workers: &BlockedWorkers) -> raw::Blocked {
    raw::Blocked { reason: reason.to_owned(), count: workers.count, workers: workers.names.clone() }
}
