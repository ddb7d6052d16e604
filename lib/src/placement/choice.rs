//! Choice of the worker on which a job runs. Among the eligible workers, the
//! tasks of an organisation are spread over data centres and racks first; best
//! fit decides among workers that are equal in that respect.

use crate::ids::JobId;
use crate::ids::VmId;
use crate::placement::Scheduler;
use crate::placement::check::STARVATION_MS;
use crate::placement::start::Reservation;
use crate::placement::start::StartRound;
use crate::resources::Resources;
use crate::scheduler_decision::WaitReason;
use crate::scheduler_event::WorkerSpec;
use crate::time::TimeMs;
use crate::worker_health::WorkerHealth;
use crate::worker_view::Worker;

/// Size of the buckets into which racks are sorted by the number of the
/// organisation's tasks in them. Best fit decides among racks of one bucket;
/// otherwise small tasks would leave no worker with enough free capacity for a
/// large one.
const RACK_BUCKET_TASKS: u32 = 2;
/// The same for data centres.
const DATA_CENTRE_BUCKET_TASKS: u32 = 8;

/// Interval at which the number of admitted workers doubles after their data
/// centre returned to service.
const RAMP_STEP_MS: u64 = 1_000;

/// Number of first waiting jobs of each organisation that are checked for
/// starvation.
const STARVED_LOOK_AHEAD: usize = 16;

/// The worker chosen for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerChoice {
    pub(crate) vm: VmId,
    /// Resources that the job is expected to use on the worker.
    pub(crate) size: Resources,
    /// Number of other eligible workers.
    pub(crate) others: u32,
}

/// Rank of an eligible worker; the worker with the lowest score is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    failed_here: bool,
    data_centre_bucket: u32,
    rack_bucket: u32,
    left_ppm: u64,
    vm: VmId,
}

impl Scheduler {
    /// Chooses the worker on which a waiting job starts. Returns `None` if no
    /// worker has enough free capacity.
    pub(crate) fn choose_worker(
        &self,
        now: TimeMs,
        id: JobId,
        round: &StartRound,
    ) -> Option<WorkerChoice> {
        let job = self.queue.get(id)?;
        let organisation = job.spec.job.organisation;
        let failed = self.health.failed_workers(&job.spec.job);
        let mut eligible = 0_u32;
        let mut best: Option<(Score, Resources)> = None;
        for (vm, worker) in &self.workers {
            if !self.accepts_work(now, *vm, worker, job.spec.repeatable && !job.spec.urgent) {
                continue;
            }
            let size = worker.size_of(now, &job.class, job.spec.request, &self.classes);
            let free = self.available_for(*vm, id, job.spec.urgent, round);
            if !size.fits_in(free) {
                continue;
            }
            eligible += 1;
            let left = free.saturating_sub(size);
            let WorkerSpec { rack, data_centre, .. } = worker.spec;
            let in_rack = round.in_rack.get(&(organisation, rack)).copied().unwrap_or_default();
            let in_data_centre =
                round.in_data_centre.get(&(organisation, data_centre)).copied().unwrap_or_default();
            let score = Score {
                failed_here: failed.contains(vm),
                data_centre_bucket: in_data_centre / DATA_CENTRE_BUCKET_TASKS,
                rack_bucket: in_rack / RACK_BUCKET_TASKS,
                left_ppm: left.dominant_share_ppm(worker.spec.capacity),
                vm: *vm,
            };
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, size));
            }
        }
        let (score, size) = best?;
        Some(WorkerChoice { vm: score.vm, size, others: eligible - 1 })
    }

    /// True if a worker may take new work. A worker on probation takes one job
    /// at a time, and only if `may_probe` is true for the job.
    pub(crate) fn accepts_work(
        &self,
        now: TimeMs,
        vm: VmId,
        worker: &Worker,
        may_probe: bool,
    ) -> bool {
        if !worker.is_open()
            || now < worker.backoff_until
            || !self.is_admitted_after_return(now, vm, worker)
        {
            return false;
        }
        match self.health.health(now, vm) {
            WorkerHealth::Good => true,
            WorkerHealth::Quarantined { .. } => false,
            WorkerHealth::Probation => {
                may_probe && worker.live_tasks().all(|(_, task)| task.survived)
            }
        }
    }

    /// True if a worker is admitted after its data centre returned to service.
    /// Workers are admitted in the order of their ids; their number doubles
    /// every [`RAMP_STEP_MS`].
    fn is_admitted_after_return(&self, now: TimeMs, vm: VmId, worker: &Worker) -> bool {
        let data_centre = worker.spec.data_centre;
        let returned_at = self.data_centres.get(&data_centre).and_then(|entry| entry.returned_at);
        let Some(returned_at) = returned_at else { return true };
        let doublings = now.since(returned_at) / RAMP_STEP_MS;
        let Some(admitted) =
            u32::try_from(doublings).ok().and_then(|step| 1_usize.checked_shl(step))
        else {
            return true;
        };
        let before = self
            .workers
            .range(..vm)
            .filter(|(_, other)| other.spec.data_centre == data_centre)
            .count();
        before < admitted
    }

    /// Free capacity of a worker less what is reserved for other jobs. Urgent
    /// jobs may use what is reserved for jobs that are not urgent.
    pub(crate) fn available_for(
        &self,
        vm: VmId,
        id: JobId,
        urgent: bool,
        round: &StartRound,
    ) -> Resources {
        let free = round.free.get(&vm).copied().unwrap_or_default();
        self.reservations
            .iter()
            .filter(|reservation| {
                reservation.vm == vm && reservation.job != id && (reservation.urgent || !urgent)
            })
            .fold(free, |free, reservation| free.saturating_sub(reservation.size))
    }

    /// Reserves the worker with the most free capacity for a starved job, so
    /// that smaller jobs do not keep it from starting for ever. The job is
    /// taken from the organisation that is served next, not by waiting time:
    /// the job that has waited longest may be in a long queue whose
    /// organisation already gets its share.
    pub(crate) fn reserve_for_starved(&mut self, now: TimeMs, round: &StartRound) {
        if self.reservations.iter().any(|reservation| !reservation.urgent) {
            return;
        }
        let starved = self
            .queue
            .first_waiting(STARVED_LOOK_AHEAD)
            .filter(|(_, job)| {
                job.wait == WaitReason::NoRoom && now.since(job.since) >= STARVATION_MS
            })
            .min_by_key(|(_, job)| {
                (self.service_rank(job.spec.job.organisation, round), job.order)
            });
        let Some((id, job)) = starved else { return };
        let candidates = self
            .workers
            .iter()
            .filter(|(vm, worker)| {
                self.accepts_work(now, **vm, worker, false)
                    && job.spec.request.fits_in(worker.spec.capacity)
            })
            .map(|(vm, worker)| {
                let free = round.free.get(vm).copied().unwrap_or_default();
                (free.dominant_share_ppm(worker.spec.capacity), *vm, worker)
            });
        let Some((_, vm, worker)) = candidates.max_by_key(|(free, vm, _)| (*free, *vm)) else {
            return;
        };
        let size = worker.size_of(now, &job.class, job.spec.request, &self.classes);
        self.reservations.push(Reservation { vm, job: id, size, urgent: false, since: now });
    }
}
