//! Writes a log line, a metric and a journal entry for each decision of a
//! scheduler.

use cowslipport_lib::control::ControlState;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::scheduler_decision::SchedulerDecision;
use metrics::counter;
use slog::Logger;
use slog::error;
use slog::info;

use crate::tasks::journal::JournalEntry;
use crate::tasks::journal::JournalHandle;
use crate::tasks::journal::Subject;

struct DecisionLine {
    subjects: Vec<Subject>,
    decision: &'static str,
    choice: String,
    reason: String,
    eligible: u32,
}

/// Logs and counts a decision and adds it to the journal.
pub(crate) fn log_decision(
    logger: &Logger,
    state: &ControlState,
    decision: &SchedulerDecision,
    journal: &JournalHandle,
) {
    if let SchedulerDecision::Refused(violation) = decision {
        counter!("cowslipport_invariant_violations_total",
            "invariant" => violation.invariant.name())
        .increment(1);
        error!(logger, "action refused: it would violate an invariant";
            "invariant" => violation.invariant.name(), "detail" => &violation.detail);
        return;
    }
    let Some(line) = line(state, decision) else { return };
    counter!("cowslipport_placement_decisions_total", "decision" => line.decision).increment(1);
    let subject = line.subjects.first().map(Subject::name).unwrap_or_default().to_owned();
    info!(logger, "placement"; "subject" => subject, "decision" => line.decision,
        "choice" => &line.choice, "reason" => &line.reason, "eligible" => line.eligible);
    let decision = format!("{} {}", line.decision, line.choice);
    let decision = decision.trim_end().to_owned();
    journal.record(JournalEntry { subjects: line.subjects, decision, reason: line.reason });
}

fn line(state: &ControlState, decision: &SchedulerDecision) -> Option<DecisionLine> {
    Some(match decision {
        SchedulerDecision::Start { task, vm, reason, candidates, .. } => DecisionLine {
            subjects: vec![job_subject(state, &task.job), vm_subject(state, *vm)],
            decision: "start",
            choice: vm_name(state, *vm),
            reason: format!("{reason:?}"),
            eligible: *candidates,
        },
        SchedulerDecision::Control { task, vm, action, reason, candidates } => DecisionLine {
            subjects: vec![job_subject(state, &task.job), vm_subject(state, *vm)],
            decision: "control",
            choice: format!("{action:?}"),
            reason: format!("{reason:?}"),
            eligible: *candidates,
        },
        SchedulerDecision::TakeGrant { organisation, amount, reason } => DecisionLine {
            subjects: vec![Subject::Organisation(organisation_name(state, *organisation))],
            decision: "take_grant",
            choice: amount.to_string(),
            reason: format!("{reason:?}"),
            eligible: 0,
        },
        SchedulerDecision::ReturnGrant { organisation, amount, reason } => DecisionLine {
            subjects: vec![Subject::Organisation(organisation_name(state, *organisation))],
            decision: "return_grant",
            choice: amount.to_string(),
            reason: format!("{reason:?}"),
            eligible: 0,
        },
        SchedulerDecision::Quarantine { vm, reason, failed_jobs, duration_ms } => DecisionLine {
            subjects: vec![vm_subject(state, *vm)],
            decision: "quarantine",
            choice: format!("{duration_ms} ms"),
            reason: format!("{reason:?}, {failed_jobs} failed jobs"),
            eligible: 0,
        },
        SchedulerDecision::Release { vm, reason } => DecisionLine {
            subjects: vec![vm_subject(state, *vm)],
            decision: "release",
            choice: String::new(),
            reason: format!("{reason:?}"),
            eligible: 0,
        },
        SchedulerDecision::EndJob { job, outcome, reason, vm } => DecisionLine {
            subjects: std::iter::once(job_subject(state, job))
                .chain(vm.map(|vm| vm_subject(state, vm)))
                .collect(),
            decision: "end_job",
            choice: format!("{outcome:?}"),
            reason: format!("{reason:?}"),
            eligible: 0,
        },
        SchedulerDecision::Acknowledge { .. } | SchedulerDecision::Refused(_) => return None,
    })
}

fn job_subject(state: &ControlState, job: &JobRef) -> Subject {
    Subject::Job(format!("{}/{}", organisation_name(state, job.organisation), job.name))
}

fn vm_subject(state: &ControlState, vm: VmId) -> Subject {
    Subject::Vm(vm_name(state, vm))
}

/// Name of a VM, or its id if it has left.
pub(crate) fn vm_name(state: &ControlState, vm: VmId) -> String {
    state.vms.get(vm).map_or_else(|| vm.to_string(), |vm| vm.joined.name.clone())
}

/// Name of an organisation, or its id if it is not known.
pub(crate) fn organisation_name(state: &ControlState, organisation: OrganisationId) -> String {
    state
        .organisations
        .get(organisation)
        .map_or_else(|| organisation.to_string(), |organisation| organisation.spec.name.clone())
}
