//! Where a job runs: workers that may take it, spread over racks and data
//! centres, best fit among those.

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

/// Tasks of an organisation in one rack, and in one data centre, that count as equally
/// spread. Within them best fit decides, or small tasks would leave no worker
/// with room for a large one.
const RACK_BUCKET_TASKS: u32 = 2;
const DATA_CENTRE_BUCKET_TASKS: u32 = 8;

/// Time after which the number of admitted workers of a data centre that came
/// back doubles.
const RAMP_STEP_MS: u64 = 1_000;

/// Waiting jobs of each organisation that may be found starved.
const STARVED_LOOK_AHEAD: usize = 16;

/// The worker chosen for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerChoice {
    pub(crate) vm: VmId,
    /// Size that the job is expected to need there.
    pub(crate) size: Resources,
    /// Other workers that were eligible.
    pub(crate) others: u32,
}

/// Order of eligible workers; the lowest is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    failed_here: bool,
    data_centre_bucket: u32,
    rack_bucket: u32,
    left_ppm: u64,
    vm: VmId,
}

impl Scheduler {
    /// The worker on which a waiting job starts, if one has room.
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
            let room = self.available_for(*vm, id, job.spec.urgent, round);
            if !size.fits_in(room) {
                continue;
            }
            eligible += 1;
            let left = room.saturating_sub(size);
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

    /// True if a worker may take new work. On probation it takes one job at a
    /// time that may be started again.
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

    /// After a data centre came back, its workers are admitted in the order of
    /// their ids, twice as many each second.
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

    /// Room on a worker without what is promised to other jobs. Urgent jobs
    /// take what is promised to those that are not.
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

    /// Promises the worker with the most room to a job that has waited long for
    /// room, so that smaller jobs do not keep it out for ever. It is the first
    /// one of the organisation that is served next; the job that has waited longest may
    /// be one of a long queue that is served as its share allows.
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
