//! Log lines and metrics of the owner's decisions.

use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::workload::catalog::Catalog;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::event::DispatcherEvent;
use cowslipport_lib::workload::event::PlacementBlockers;
use cowslipport_lib::workload::event::PlacementReleaseReason;
use cowslipport_lib::workload::fair_share::OrganisationUse;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::pool_load::PoolLoad;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::report::TaskEnd;
use cowslipport_lib::workload::run_time::CalibrationReport;
use cowslipport_lib::workload::run_time::QUANTILES_MILLI;
use slog::Logger;
use slog::info;
use slog::warn;

/// Logs and counts the events since the last call.
pub(crate) fn log(logger: &Logger, catalog: &Catalog, dispatcher: &mut Dispatcher) {
    for event in dispatcher.take_events() {
        match event {
            DispatcherEvent::Placed { task, attempt, worker, waited_ms } => {
                log_placement(logger, task, attempt, dispatcher.worker_name(worker), waited_ms);
            }
            DispatcherEvent::WorkerRestarted {
                worker,
                former_unix_ms,
                present_unix_ms,
                reported,
            } => {
                let worker = dispatcher.worker_name(worker);
                log_restart(logger, worker, former_unix_ms, present_unix_ms, reported);
            }
            DispatcherEvent::RestartInferred { worker, task } => {
                log_inferred_restart(logger, dispatcher.worker_name(worker), task);
            }
            DispatcherEvent::LeaseTooLong { worker, remaining_ms } => {
                log_long_lease(logger, dispatcher.worker_name(worker), remaining_ms);
            }
            DispatcherEvent::FormerOwnerEnding { node, remaining_ms, earlier_ms } => {
                log_former_owner(logger, &node, remaining_ms, earlier_ms);
            }
            DispatcherEvent::Ended { task, attempt, worker, end } => {
                log_end(logger, task, attempt, dispatcher.worker_name(worker), end);
            }
            DispatcherEvent::PlacementReleased { task, attempt, worker, reason } => {
                log_release(logger, task, attempt, dispatcher.worker_name(worker), reason);
            }
            DispatcherEvent::JobEnded { job, outcome } => {
                log_job_end(logger, job, outcome);
            }
            DispatcherEvent::WorkerAvoided { worker, until } => {
                warn!(logger, "worker avoided after failed tasks";
                    "worker" => dispatcher.worker_name(worker), "until" => %until);
            }
            DispatcherEvent::CheckpointsNotStored { job, bytes } => {
                log_left_out_checkpoints(logger, job, bytes);
            }
            DispatcherEvent::PoolMeasured { pool, load } => {
                log_pool(logger, catalog.pool_name(pool), &load);
            }
            DispatcherEvent::RunTimesCompared { report, sources } => {
                log_run_times(logger, &report, sources);
            }
            DispatcherEvent::ShareMeasured { pool, organisation, share } => {
                log_share(logger, catalog, pool, organisation, &share);
            }
            DispatcherEvent::StepWaiting { job, occurrence, step, tasks, waited_ms, blockers } => {
                let logger = logger.new(slog::o!("job" => job.to_string(),
                    "occurrence" => occurrence, "step" => step, "tasks" => tasks,
                    "waited_ms" => waited_ms));
                log_waiting(&logger, &blockers);
            }
        }
    }
}

fn log_placement(logger: &Logger, task: TaskName, attempt: u32, worker: &str, waited_ms: u64) {
    metrics::counter!("cowslipport_tasks_placed_total").increment(1);
    metrics::histogram!("cowslipport_task_wait_ms").record(as_float(waited_ms));
    info!(logger, "task placed"; "task" => %task, "attempt" => attempt,
        "worker" => worker, "waited_ms" => waited_ms);
}

fn log_former_owner(logger: &Logger, node: &str, remaining_ms: u64, earlier_ms: u64) {
    info!(logger, "witnesses of a former owner have answered"; "node" => node,
        "remaining_ms" => remaining_ms, "earlier_ms" => earlier_ms);
}

fn log_left_out_checkpoints(logger: &Logger, job: JobKey, bytes: usize) {
    warn!(logger, "checkpoints not stored"; "job" => %job, "bytes" => bytes,
        "effect" => "tasks that a successor starts again begin anew");
}

fn log_waiting(logger: &Logger, blockers: &PlacementBlockers) {
    info!(logger, "tasks wait for a worker";
        "over_limit" => blockers.over_limit, "leaving" => blockers.leaving,
        "unreached" => blockers.unreached, "restarted" => blockers.restarted,
        "cordoned" => blockers.cordoned,
        "avoided" => blockers.avoided, "unsuited" => blockers.unsuited,
        "spread" => blockers.spread, "without_ticket" => blockers.without_ticket,
        "full" => blockers.full, "kept" => blockers.kept);
}

fn log_share(
    logger: &Logger,
    catalog: &Catalog,
    pool: PoolId,
    organisation: Option<OrganisationId>,
    share: &OrganisationUse,
) {
    let organisation = organisation.and_then(|id| catalog.organisation(id));
    info!(logger, "share measured"; "pool" => catalog.pool_name(pool),
        "organisation" => organisation.map_or("", |spec| spec.name.as_str()),
        "used_ppm" => share.used_ppm, "due_ppm" => share.due_ppm,
        "surplus_ppm" => share.surplus_ppm);
}

fn log_restart(
    logger: &Logger,
    worker: &str,
    former_unix_ms: u64,
    present_unix_ms: u64,
    reported: usize,
) {
    metrics::counter!("cowslipport_worker_restarts_total").increment(1);
    warn!(logger, "worker has restarted"; "worker" => worker,
        "former_unix_ms" => former_unix_ms, "present_unix_ms" => present_unix_ms,
        "reported_tasks" => reported);
}

fn log_inferred_restart(logger: &Logger, worker: &str, lacking: TaskName) {
    metrics::counter!("cowslipport_worker_restarts_total").increment(1);
    warn!(logger, "worker has restarted under a former owner"; "worker" => worker,
        "lacking_task" => %lacking);
}

fn log_long_lease(logger: &Logger, worker: &str, remaining_ms: u64) {
    metrics::counter!("cowslipport_long_leases_total").increment(1);
    warn!(logger, "leases on a worker last too long"; "worker" => worker,
        "remaining_ms" => remaining_ms);
}

fn log_release(
    logger: &Logger,
    task: TaskName,
    attempt: u32,
    worker: &str,
    reason: PlacementReleaseReason,
) {
    metrics::counter!("cowslipport_places_freed_total", "reason" => reason.as_str()).increment(1);
    warn!(logger, "placement released"; "task" => %task, "attempt" => attempt,
        "worker" => worker, "reason" => reason.as_str());
}

fn log_end(logger: &Logger, task: TaskName, attempt: u32, worker: &str, end: TaskEnd) {
    metrics::counter!("cowslipport_tasks_ended_total", "end" => end.as_str()).increment(1);
    match end {
        TaskEnd::Done | TaskEnd::Stopped => {
            info!(logger, "task ended"; "task" => %task, "attempt" => attempt,
                "worker" => worker, "end" => end.as_str());
        }
        TaskEnd::Failed | TaskEnd::LeaseExpired | TaskEnd::GangBroken | TaskEnd::GangIncomplete => {
            warn!(logger, "task ended"; "task" => %task, "attempt" => attempt,
                "worker" => worker, "end" => end.as_str());
        }
    }
}

fn log_job_end(logger: &Logger, job: JobKey, outcome: JobOutcome) {
    let outcome = match outcome {
        JobOutcome::Completed => "completed",
        JobOutcome::Failed => "failed",
    };
    metrics::counter!("cowslipport_jobs_ended_total", "outcome" => outcome).increment(1);
    info!(logger, "job ended"; "job" => %job, "outcome" => outcome);
}

fn log_pool(logger: &Logger, pool: &str, load: &PoolLoad) {
    let gauge = |name: &'static str, value: u64| {
        metrics::gauge!(name, "pool" => pool.to_owned()).set(as_float(value));
    };
    gauge("cowslipport_pool_capacity_cpu_milli", load.capacity_cpu_milli);
    gauge("cowslipport_pool_used_cpu_milli", load.used_cpu_milli);
    gauge("cowslipport_pool_waiting_cpu_milli", load.waiting_cpu_milli);
    gauge("cowslipport_pool_need_cpu_milli", load.need_cpu_milli);
    gauge("cowslipport_pool_keep_cpu_milli", load.keep_cpu_milli);
    gauge("cowslipport_pool_forecast", u64::from(load.is_forecast));
    info!(logger, "pool load measured"; "pool" => pool, "workers" => load.workers,
        "capacity_cpu_milli" => load.capacity_cpu_milli,
        "used_cpu_milli" => load.used_cpu_milli,
        "waiting_cpu_milli" => load.waiting_cpu_milli,
        "arriving_cpu_milli" => load.arriving_cpu_milli,
        "need_cpu_milli" => load.need_cpu_milli,
        "keep_cpu_milli" => load.keep_cpu_milli,
        "forecast" => load.is_forecast, "falling" => load.is_falling,
        "spread_workers" => load.spread_workers);
}

fn log_run_times(logger: &Logger, report: &CalibrationReport, sources: usize) {
    let CalibrationReport { queue, runs, declared_error_milli, learned_error_milli, .. } = report;
    let queue_label = || queue.clone();
    metrics::counter!("cowslipport_run_times_compared_total", "queue" => queue_label())
        .increment(*runs);
    let gauge = |estimate: &'static str, value: u64| {
        let name = "cowslipport_run_time_error_milli";
        metrics::gauge!(name, "queue" => queue_label(), "estimate" => estimate)
            .set(as_float(value));
    };
    gauge("declared", *declared_error_milli);
    gauge("learned", *learned_error_milli);
    metrics::gauge!("cowslipport_run_time_sources").set(as_float(sources as u64));
    info!(logger, "run times compared"; "queue" => queue, "runs" => runs,
        "quantiles_milli" => format!("{QUANTILES_MILLI:?}"),
        "seen_milli" => format!("{:?}", report.seen_milli),
        "declared_error_milli" => declared_error_milli,
        "learned_error_milli" => learned_error_milli, "sources" => sources);
}

/// Converts a count to the value of a metric. The value is exact below 2^52,
/// far above real waits and pools.
#[expect(clippy::cast_precision_loss, reason = "waits and pools are far below 2^52")]
fn as_float(value: u64) -> f64 {
    value as f64
}
