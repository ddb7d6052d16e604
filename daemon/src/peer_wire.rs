//! Conversion of peer messages between the generated and the checked types.

use std::collections::BTreeMap;

use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::snapshot::StateDigest;

/// Value of `confirmed_age_ms` if no confirmation is known.
const NO_CONFIRMATION: u64 = u64::MAX;

/// What a process knows of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemberEntry {
    /// The member.
    pub(crate) session: SessionId,
    /// Offset of the next record that the member will apply.
    pub(crate) next_offset: Offset,
    /// True if the member can reach the log.
    pub(crate) log_reachable: bool,
    /// Age of the member's last confirmation when the entry was made.
    pub(crate) confirmed_age_ms: Option<u64>,
    /// Age of the entry.
    pub(crate) age_ms: u64,
    /// Digest of the member's state at an offset.
    pub(crate) digest: Option<(Offset, StateDigest)>,
    /// Requests in flight from the member to each VM.
    pub(crate) in_flight: BTreeMap<VmId, u32>,
    /// Requests of the member that are waiting for a slot, by pool.
    pub(crate) waiting: BTreeMap<PoolId, u32>,
    /// Workers of VMs with an operation in partitions that the member owns.
    pub(crate) workers: Vec<WorkerEntry>,
}

/// What a member knows of a worker whose VM has an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerEntry {
    /// The VM.
    pub(crate) vm: VmId,
    /// Number of tasks in the worker's last answer, or `None` if the worker is
    /// unreachable.
    pub(crate) tasks: Option<u32>,
    /// Time for which the worker has answered since its last restart.
    pub(crate) answering_ms: u64,
}

impl From<&MemberEntry> for raw::MemberView {
    fn from(entry: &MemberEntry) -> Self {
        let in_flight =
            |(vm, requests): (&VmId, &u32)| raw::VmInFlight { vm: vm.0, requests: *requests };
        let waiting = |(pool, requests): (&PoolId, &u32)| raw::PoolWaiting {
            pool: pool.0,
            requests: *requests,
        };
        let worker = |worker: &WorkerEntry| raw::WorkerView {
            vm: worker.vm.0,
            tasks: worker.tasks,
            answering_ms: worker.answering_ms,
        };
        Self {
            session: entry.session.0,
            next_offset: entry.next_offset.0,
            log_reachable: entry.log_reachable,
            confirmed_age_ms: entry.confirmed_age_ms.unwrap_or(NO_CONFIRMATION),
            age_ms: entry.age_ms,
            digest: entry.digest.map(|(_, digest)| digest.to_vec()).unwrap_or_default(),
            digest_offset: entry.digest.map_or(0, |(offset, _)| offset.0),
            in_flight: entry.in_flight.iter().map(in_flight).collect(),
            waiting: entry.waiting.iter().map(waiting).collect(),
            workers: entry.workers.iter().map(worker).collect(),
        }
    }
}

impl From<&raw::MemberView> for MemberEntry {
    fn from(raw: &raw::MemberView) -> Self {
        let digest = StateDigest::try_from(raw.digest.as_slice()).ok();
        let confirmed = raw.confirmed_age_ms;
        Self {
            session: SessionId(raw.session),
            next_offset: Offset(raw.next_offset),
            log_reachable: raw.log_reachable,
            confirmed_age_ms: (confirmed != NO_CONFIRMATION).then_some(confirmed),
            age_ms: raw.age_ms,
            digest: digest.map(|digest| (Offset(raw.digest_offset), digest)),
            in_flight: raw.in_flight.iter().map(|entry| (VmId(entry.vm), entry.requests)).collect(),
            waiting: raw.waiting.iter().map(|entry| (PoolId(entry.pool), entry.requests)).collect(),
            workers: raw
                .workers
                .iter()
                .map(|worker| WorkerEntry {
                    vm: VmId(worker.vm),
                    tasks: worker.tasks,
                    answering_ms: worker.answering_ms,
                })
                .collect(),
        }
    }
}
