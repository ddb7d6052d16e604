//! Decides on each node whether a new job is refused for want of room.
//!
//! A job is refused only if it would certainly be of no value when it ends: the rooms
//! that the owner states are recent, the pool has no room for the first tasks of the job,
//! and the work that is placed before it takes longer than the job can wait. All doubts
//! count for the job, since a job that waits in vain costs its caller a wait, while one
//! that is refused in vain costs the caller the job.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::time::TimeMs;
use crate::workload::pool_room::OrderPlace;
use crate::workload::pool_room::PoolRoom;
use crate::workload::rank::OVERDUE_FACTOR;
use crate::workload::return_schedule::ReturnSchedule;
use crate::workload::return_schedule::ReturnShare;
use crate::workload::spec::JobSpec;

/// Rooms that were received longer ago say nothing. It covers two ownership records,
/// which are written once a second, and the pause between two reads.
const VIEW_AGE_MAX_MS: u64 = 2_500;
/// A job that was accepted this long before rooms arrive may be missing from them: the
/// owner reads it, measures, and stores the record, and this node reads it.
const VIEW_LAG_MS: u64 = 700;

/// What a node knows of the rooms of pools.
#[derive(Clone, Debug, Default)]
pub struct RoomAdmission {
    rooms: BTreeMap<String, PoolRoom>,
    /// When the rooms arrived; none before the first ones.
    received_at: Option<TimeMs>,
    /// Jobs that this node has accepted and that the rooms may lack, by time.
    accepted: VecDeque<AcceptedJob>,
    /// Callers that were sent away, by pool.
    returns: BTreeMap<String, ReturnSchedule>,
}

/// A job that this node has accepted.
#[derive(Clone, Debug)]
struct AcceptedJob {
    at: TimeMs,
    pool: String,
    place: OrderPlace,
    /// CPU of the tasks that start first.
    first_cpu_milli: u64,
    work_core_ms: u64,
}

/// A decision on a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomDecision {
    /// The job is accepted.
    Accept,
    /// The job would be of no value when it ends.
    Refuse {
        /// Time after which the caller should return.
        retry_after_ms: u64,
        /// What the decision used.
        inputs: RoomInputs,
    },
}

/// What a refusal was decided by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomInputs {
    /// Age of the rooms.
    pub view_age_ms: u64,
    /// CPU that no task takes, in thousandths of a core.
    pub free_cpu_milli: u64,
    /// Wait for the start of the first tasks.
    pub expected_wait_ms: u64,
    /// Longest wait after which the job would still be of value.
    pub tolerable_wait_ms: u64,
}

impl RoomAdmission {
    /// Applies the rooms of an ownership record. They may lack jobs that were accepted
    /// just before.
    pub fn rooms_received(&mut self, now: TimeMs, rooms: Vec<PoolRoom>) {
        self.rooms = rooms.into_iter().map(|room| (room.pool.clone(), room)).collect();
        self.received_at = Some(now);
        while self.accepted.pop_front_if(|job| now.since(job.at) > VIEW_LAG_MS).is_some() {}
    }

    /// Decides on a new job, and counts it if it is accepted.
    pub fn decide(&mut self, now: TimeMs, spec: &JobSpec, share: ReturnShare) -> RoomDecision {
        if spec.is_long_running() || spec.schedule.is_some() {
            return RoomDecision::Accept;
        }
        let Some(view_age_ms) = self.view_age_ms(now) else { return RoomDecision::Accept };
        let Some(room) = self.rooms.get(&spec.pool) else { return RoomDecision::Accept };
        let job = AcceptedJob::new(now, spec);
        let free_cpu_milli = self.free_cpu_milli(room);
        let expected_wait_ms = self.expected_wait_ms(view_age_ms, room, job.place);
        let tolerable_wait_ms = tolerable_wait_ms(spec);
        if free_cpu_milli >= job.first_cpu_milli || expected_wait_ms <= tolerable_wait_ms {
            self.accepted.push_back(job);
            return RoomDecision::Accept;
        }
        let interval_ms = time_for_ms(spec.work_core_ms(), room.shared_cpu_milli());
        let returns = self.returns.entry(spec.pool.clone()).or_default();
        let earliest_ms = expected_wait_ms - tolerable_wait_ms;
        let retry_after_ms = returns.assign(now, earliest_ms, interval_ms, share);
        let inputs =
            RoomInputs { view_age_ms, free_cpu_milli, expected_wait_ms, tolerable_wait_ms };
        RoomDecision::Refuse { retry_after_ms, inputs }
    }

    /// Age of the rooms; none if they say nothing.
    fn view_age_ms(&self, now: TimeMs) -> Option<u64> {
        let age_ms = now.since(self.received_at?);
        (age_ms <= VIEW_AGE_MAX_MS).then_some(age_ms)
    }

    fn accepted_in<'a>(&'a self, room: &'a PoolRoom) -> impl Iterator<Item = &'a AcceptedJob> {
        self.accepted.iter().filter(|job| job.pool == room.pool)
    }

    fn free_cpu_milli(&self, room: &PoolRoom) -> u64 {
        let taken = self.accepted_in(room).map(|job| job.first_cpu_milli);
        room.free_cpu_milli().saturating_sub(taken.fold(0, u64::saturating_add))
    }

    /// Time until the pool has done the work that is placed before a new job: what waited
    /// when the owner measured, less the time since then, and what this node has accepted.
    fn expected_wait_ms(&self, view_age_ms: u64, room: &PoolRoom, place: OrderPlace) -> u64 {
        let known = room.work_ahead_core_ms(place);
        if known == 0 {
            return 0;
        }
        let accepted = self.accepted_in(room).filter(|job| job.place <= place);
        let accepted = accepted.map(|job| job.work_core_ms);
        let ahead = accepted.fold(known, u64::saturating_add);
        time_for_ms(ahead, room.shared_cpu_milli()).saturating_sub(view_age_ms)
    }
}

impl AcceptedJob {
    fn new(now: TimeMs, spec: &JobSpec) -> Self {
        let first = spec.steps.iter().filter(|step| step.depends_on.is_empty());
        let first_cpu = first
            .map(|step| step.effective_request().cpu_milli.saturating_mul(step.task_count.into()));
        Self {
            at: now,
            pool: spec.pool.clone(),
            place: OrderPlace::of_new_job(spec),
            first_cpu_milli: first_cpu.fold(0, u64::saturating_add),
            work_core_ms: spec.work_core_ms(),
        }
    }
}

/// Longest wait after which a job would still be of value, if it takes as long as it
/// declares. A job that misses its objective is of less value, but of more than none.
fn tolerable_wait_ms(spec: &JobSpec) -> u64 {
    let critical_path_ms = spec.critical_path_ms();
    let bound_ms = spec.rules.objective_ms(critical_path_ms).saturating_mul(OVERDUE_FACTOR);
    bound_ms.saturating_sub(critical_path_ms)
}

/// Time for which work takes this much CPU.
fn time_for_ms(work_core_ms: u64, cpu_milli: u64) -> u64 {
    work_core_ms.saturating_mul(1_000) / cpu_milli.max(1)
}
