//! What the owner knows of the lease of each attempt.
//!
//! A lease ends at a time on the worker's clock, and holds for all tasks of the worker.
//! A worker that restarts under its name begins a new clock, and may carry out calls
//! that were meant for its former incarnation: it then grants longer leases than the
//! owner intends. Only an answer tells how long a lease is.

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DispatcherEvent;
use crate::workload::job::AttemptState;
use crate::workload::job::Placement;
use crate::workload::job::Task;
use crate::workload::key::JobId;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::lease::LATE_CALL_MS;
use crate::workload::record::RecordedPlacement;
use crate::workload::report::LeaseGrant;

/// An attempt that has run for this time is recorded again once its lease is known.
/// Most tasks end earlier, which saves a record of each.
const RECORD_LEASE_AFTER_MS: u64 = 2_000;

/// Time between two records of one job that only tell that leases are known. The record
/// of a job holds all its tasks, and their workers answer one after the other.
const RECORD_INTERVAL_MS: u64 = 1_000;

/// What the owner knows of the lease of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptLease {
    /// The lease ends with the known leases of the worker.
    Known,
    /// Another incarnation of the worker than the owner knew may have carried the start
    /// out, and granted a lease of any length.
    Unknown {
        /// Start of the incarnation that the worker was chosen for, and by whose clock the
        /// lease was computed, if it is known.
        incarnation_unix_ms: Option<u64>,
        /// When a lease that this owner has granted has expired.
        expires_at: TimeMs,
    },
}

impl AttemptLease {
    /// The lease of an attempt that is not ordered yet.
    pub(crate) fn planned(incarnation_unix_ms: Option<u64>) -> Self {
        Self::Unknown { incarnation_unix_ms, expires_at: TimeMs::default() }
    }

    /// The lease of an attempt that a former owner has recorded.
    pub(crate) fn restored(recorded: &RecordedPlacement) -> Self {
        match recorded.is_lease_known {
            true => Self::Known,
            false => Self::planned(recorded.incarnation_unix_ms),
        }
    }

    /// Start of the incarnation that the attempt was placed on; `None` if it is not known,
    /// or no longer matters because the lease is.
    pub(crate) fn incarnation_unix_ms(self) -> Option<u64> {
        match self {
            Self::Unknown { incarnation_unix_ms, .. } => incarnation_unix_ms,
            Self::Known => None,
        }
    }

    /// Records that a call without an answer, which ended at `now`, may have granted a
    /// lease.
    fn extend(&mut self, longest_expires_at: TimeMs) {
        match self {
            Self::Unknown { expires_at, .. } => *expires_at = (*expires_at).max(longest_expires_at),
            Self::Known => {}
        }
    }
}

impl Dispatcher {
    /// Handles what is known of the leases that a call to a worker has granted.
    pub(crate) fn lease_granted(&mut self, now: TimeMs, id: WorkerId, grant: LeaseGrant) {
        let times = self.lease_times;
        let Some(worker) = self.workers.get_mut(id) else { return };
        match grant {
            LeaseGrant::Remaining { ms } => {
                worker.leases.granted(times.remaining_expires_at(now, ms));
                if times.is_too_long(ms) {
                    let event = DispatcherEvent::LeaseTooLong { worker: id, remaining_ms: ms };
                    self.events.push(event);
                }
            }
            LeaseGrant::Unknown => self.lease_unknown(now, id),
            LeaseGrant::None => {}
        }
        self.note_long_leases(now, id);
    }

    /// Handles a call that may have renewed leases and got no answer until `now`, when
    /// its connection is closed. It is taken that nobody carries it out later.
    fn lease_unknown(&mut self, now: TimeMs, id: WorkerId) {
        let times = self.lease_times;
        let longest_expires_at = times.longest_expires_at(now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        // The present incarnation is known to have carried out calls for the former one.
        if worker.leases.is_too_long(times, now) {
            worker.leases.granted(longest_expires_at);
        }
        for key in &worker.tasks {
            let job = self.jobs.get_mut(key.step.job);
            let placement = job.and_then(|job| job.task_mut(*key).placement_mut());
            if let Some(placement) = placement.filter(|it| it.state != AttemptState::Planned) {
                placement.lease.extend(longest_expires_at);
            }
        }
    }

    /// Notes whether the leases on a worker last longer than owners intend. If they have
    /// become longer, the store must no longer hold that they are known.
    pub(crate) fn note_long_leases(&mut self, now: TimeMs, id: WorkerId) {
        let times = self.lease_times;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let is_too_long = worker.leases.is_too_long(times, now);
        if std::mem::replace(&mut worker.has_long_leases, is_too_long) || !is_too_long {
            return;
        }
        for key in worker.tasks.clone() {
            if self.placement(key).is_some_and(|placement| placement.is_lease_recorded) {
                self.mark_dirty(key.step.job);
            }
        }
    }

    /// Handles that the incarnation `present_unix_ms` of a worker answers. It may have
    /// carried out starts that were meant for another one, also if it does not run these
    /// tasks: a start that it refuses renews the leases, too. `unknown_until` is when
    /// unknown leases of former owners have expired.
    pub(crate) fn incarnation_reported(
        &mut self,
        now: TimeMs,
        id: WorkerId,
        present_unix_ms: Option<u64>,
        unknown_until: TimeMs,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let placements = worker.tasks.iter().filter_map(|key| self.placement(*key));
        let leases = placements.filter(|it| it.state != AttemptState::Planned).map(|it| it.lease);
        let unknown = leases.filter_map(|lease| match lease {
            AttemptLease::Unknown { incarnation_unix_ms, expires_at } => {
                let is_present =
                    incarnation_unix_ms.is_some() && incarnation_unix_ms == present_unix_ms;
                (!is_present).then(|| expires_at.max(unknown_until).plus(LATE_CALL_MS))
            }
            AttemptLease::Known => None,
        });
        let longest = unknown.max();
        if let Some(worker) = self.workers.get_mut(id)
            && let Some(longest) = longest
        {
            worker.leases.granted(longest);
        }
        self.note_long_leases(now, id);
    }

    /// Handles that a worker has reported an attempt as running.
    pub(crate) fn attempt_reported(&mut self, now: TimeMs, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
        let Some(placement) = job.task_mut(key).placement_mut() else { return };
        placement.lease = AttemptLease::Known;
        self.record_known_lease(now, key);
    }

    /// Has the lease of an attempt recorded as known, if the attempt runs for long: a
    /// successor that cannot reach the worker then need not wait for the longest lease.
    pub(crate) fn record_known_lease(&mut self, now: TimeMs, key: TaskKey) {
        let Some(job) = self.jobs.get(key.step.job) else { return };
        let is_long_running = job.step_spec(key.step.step).long_running;
        let was_recorded_lately = job
            .leases_recorded_at
            .is_some_and(|recorded_at| now.since(recorded_at) < RECORD_INTERVAL_MS);
        let Some(placement) = job.task(key).placement() else { return };
        let is_due = is_long_running || now.since(placement.since) >= RECORD_LEASE_AFTER_MS;
        if !is_due || was_recorded_lately || placement.is_lease_recorded {
            return;
        }
        if self.recorded_placement(placement).is_lease_known {
            if let Some(job) = self.jobs.get_mut(key.step.job) {
                job.leases_recorded_at = Some(now);
            }
            self.mark_dirty(key.step.job);
        }
    }

    /// Notes what the record that is written of a job tells of its leases.
    pub(crate) fn note_recorded_leases(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let tasks = job.occurrences.iter_mut().flatten().flat_map(|step| &mut step.tasks);
        for placement in tasks.filter_map(Task::placement_mut) {
            let worker = self.workers.get(placement.worker);
            let has_long_leases = worker.is_some_and(|worker| worker.has_long_leases);
            placement.is_lease_recorded =
                placement.lease == AttemptLease::Known && !has_long_leases;
        }
    }

    /// When the unknown leases that former owners may have granted on a worker have
    /// expired.
    pub(crate) fn former_unknown_expires_at(&self, id: WorkerId) -> TimeMs {
        let former_until = self.former_owners.may_renew_until();
        self.workers.get(id).map_or_else(TimeMs::default, |worker| {
            worker.leases.former_unknown_expires_at(self.lease_times, former_until)
        })
    }

    /// When the lease of an attempt on an unreachable worker has expired.
    pub(crate) fn lease_expires_at(&self, placement: &Placement) -> TimeMs {
        let former_until = self.former_owners.may_renew_until();
        let Some(worker) = self.workers.get(placement.worker) else { return TimeMs::default() };
        let known = worker.leases.expires_at(self.lease_times, former_until);
        match placement.lease {
            AttemptLease::Known => known,
            AttemptLease::Unknown { expires_at, .. } => {
                known.max(expires_at).max(self.former_unknown_expires_at(placement.worker))
            }
        }
    }

    /// What the store is told of a placement.
    pub(crate) fn recorded_placement(&self, placement: &Placement) -> RecordedPlacement {
        let worker = self.workers.get(placement.worker);
        // A successor must assume the longest leases on such a worker.
        let has_long_leases = worker.is_some_and(|worker| worker.has_long_leases);
        let (incarnation_unix_ms, is_lease_known) = match placement.lease {
            AttemptLease::Known | AttemptLease::Unknown { .. } if has_long_leases => (None, false),
            AttemptLease::Known => (None, true),
            AttemptLease::Unknown { incarnation_unix_ms, .. } => (incarnation_unix_ms, false),
        };
        let worker = self.worker_name(placement.worker).to_owned();
        RecordedPlacement { worker, incarnation_unix_ms, is_lease_known }
    }
}
