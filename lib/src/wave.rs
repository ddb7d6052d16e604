//! Maintenance waves: which VM is drained and rebooted next.
//!
//! The control state holds the width of a wave, the VMs of its step and the
//! operation of every VM. A planner adds only the times at which its process
//! observed them. A planner of another process can therefore continue the
//! wave after at most one more soak time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::budget::BudgetUsage;
use crate::config::WaveSpec;
use crate::control::ControlState;
use crate::control::OperationPhase;
use crate::control::Vm;
use crate::control::Wave;
use crate::drain::DrainGoal;
use crate::drain::DrainStatus;
use crate::ids::Offset;
use crate::ids::OperationId;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::operation;
use crate::operation::OperationTracker;
use crate::operation::PROPOSAL_RETRY_MS;
use crate::operation::RebootStatus;
use crate::operation::TrackedOperation;
use crate::operation::VmReport;
use crate::record::DrainPurpose;
use crate::record::Health;
use crate::record::WavePhase;
use crate::time::TimeMs;
use crate::wave_decision::CancelReason;
use crate::wave_decision::DrainChoice;
use crate::wave_decision::WaveDecision;
use crate::wave_decision::WaveWait;
use crate::wave_order;

/// Time for which a wave does not drain a VM again after it cancelled the drain
/// because requests did not end.
pub const CANCELLED_DRAIN_BACKOFF_MS: u64 = 60_000;

/// Reboot timeout of a VM whose wave was removed from the manifest.
const REMOVED_REBOOT_TIMEOUT_MS: u64 = 1_800_000;

/// Input of a wave planner.
#[derive(Clone, Copy, Debug)]
pub struct WaveView<'a> {
    /// The control state.
    pub state: &'a ControlState,
    /// Current time.
    pub now: TimeMs,
    /// Reports of VMs that have an operation.
    pub reports: &'a BTreeMap<VmId, VmReport>,
    /// Pools that have a surplus VM to give to another pool.
    pub donor_pools: &'a BTreeSet<PoolId>,
}

/// Plans one wave.
#[derive(Clone, Debug)]
pub struct WavePlanner {
    wave: WaveId,
    operations: OperationTracker,
    /// VMs that are back from their reboot, with the time since which each has
    /// been in service.
    soaking: BTreeMap<VmId, TimeMs>,
    proposed_drains: BTreeMap<VmId, TimeMs>,
    proposed_update: Option<TimeMs>,
    /// VMs whose drain was cancelled because requests did not end, and when.
    drain_backoff: BTreeMap<VmId, TimeMs>,
}

impl WavePlanner {
    /// Creates a planner of a wave.
    pub fn new(wave: WaveId) -> Self {
        Self {
            wave,
            operations: OperationTracker::default(),
            soaking: BTreeMap::new(),
            proposed_drains: BTreeMap::new(),
            proposed_update: None,
            drain_backoff: BTreeMap::new(),
        }
    }

    /// Returns the decisions that are due. A call iterates over every VM, so it
    /// should be made about once a second.
    pub fn plan(&mut self, view: WaveView<'_>) -> Vec<WaveDecision> {
        let removed = removed_wave_placeholder();
        let wave = view.state.waves.get(self.wave).unwrap_or(&removed);
        self.observe(view, wave);
        let mut decisions = self.advance_operations(view, wave);
        match wave.phase {
            WavePhase::Finished => {}
            WavePhase::Halted => {
                decisions.push(WaveDecision::Wait(WaveWait::Halted { failed: wave.step_failed }));
            }
            WavePhase::Running => {
                let remaining = wave_order::remaining_vms(view.state, self.wave, wave);
                let none_remaining = remaining.in_service == 0 && remaining.not_in_service == 0;
                if none_remaining && self.operations.is_empty() {
                    decisions.extend(self.finish(view, wave));
                } else {
                    decisions.extend(self.widen(view, wave));
                    decisions.extend(self.begin_drains(view, wave, &remaining));
                }
            }
        }
        decisions
    }

    /// Number of VMs that have an operation, are about to get one, or have not
    /// been healthy for the soak time. The width of the wave bounds it.
    fn width_in_use(&self, wave: &Wave, now: TimeMs) -> u32 {
        let soaking = self.soaking.values().filter(|since| !is_soaked(wave, **since, now)).count();
        let count = self.operations.len() + self.proposed_drains.len() + soaking;
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn observe(&mut self, view: WaveView<'_>, wave: &Wave) {
        let purpose = DrainPurpose::Wave(self.wave);
        self.operations.observe(view.state, view.now, |other| other == purpose);
        let operations = &self.operations;
        self.proposed_drains.retain(|vm, _| !operations.contains(*vm));
        let now = view.now;
        self.proposed_drains.retain(|_, proposed| now.since(*proposed) < PROPOSAL_RETRY_MS);
        self.drain_backoff.retain(|_, since| now.since(*since) < CANCELLED_DRAIN_BACKOFF_MS);
        self.observe_soak(view, wave);
    }

    fn observe_soak(&mut self, view: WaveView<'_>, wave: &Wave) {
        let soaking_vms: BTreeSet<VmId> = wave.step_done.iter().copied().collect();
        self.soaking.retain(|vm, _| soaking_vms.contains(vm));
        for id in soaking_vms {
            let healthy = view.state.vms.get(id).is_some_and(|vm| view.state.is_in_service(vm));
            let since = self.soaking.entry(id).or_insert(view.now);
            if !healthy {
                *since = view.now;
            }
        }
    }

    fn advance_operations(&mut self, view: WaveView<'_>, wave: &Wave) -> Vec<WaveDecision> {
        let mut excess = self.width_in_use(wave, view.now).saturating_sub(bounded_width(wave));
        let mut decisions = Vec::new();
        // If the wave was narrowed, the newest drains are cancelled first.
        for (id, tracked) in self.operations.newest_first() {
            let Some(vm) = view.state.vms.get(id) else { continue };
            let decision = match tracked.phase {
                OperationPhase::Draining => {
                    let cancel = cancel_reason(view.state, wave, vm, excess);
                    excess = excess.saturating_sub(u32::from(cancel.is_some()));
                    advance_drain(view, id, vm, &tracked, cancel)
                }
                OperationPhase::Rebooting => self.advance_reboot(view, wave, id, vm, tracked.id),
                // A wave moves no VM.
                OperationPhase::Moved => continue,
            };
            decisions.extend(self.unless_recently_proposed(view.now, id, decision));
        }
        decisions
    }

    fn advance_reboot(
        &mut self,
        view: WaveView<'_>,
        wave: &Wave,
        id: VmId,
        vm: &Vm,
        operation: OperationId,
    ) -> WaveDecision {
        let timeout_ms = wave.spec.reboot_timeout_ms;
        let report = view.reports.get(&id);
        match self.operations.reboot_status(view.state, (id, vm), report, timeout_ms, view.now) {
            RebootStatus::Back => WaveDecision::Done { vm: id, operation },
            RebootStatus::Failed { waited_ms } => {
                WaveDecision::Failed { vm: id, operation, waited_ms }
            }
            RebootStatus::CallPlatform => WaveDecision::RequestReboot { vm: id, operation },
            RebootStatus::Waiting => WaveDecision::Wait(WaveWait::Reboot { vm: id }),
        }
    }

    /// Drops a decision whose record was proposed less than
    /// [`PROPOSAL_RETRY_MS`] ago.
    fn unless_recently_proposed(
        &mut self,
        now: TimeMs,
        vm: VmId,
        decision: WaveDecision,
    ) -> Option<WaveDecision> {
        if decision.record().is_none() {
            return Some(decision);
        }
        if !self.operations.may_propose(vm, now) {
            return None;
        }
        if let WaveDecision::Cancel { reason: CancelReason::RequestsInFlight { .. }, .. } = decision
        {
            self.drain_backoff.insert(vm, now);
        }
        Some(decision)
    }

    fn widen(&mut self, view: WaveView<'_>, wave: &Wave) -> Option<WaveDecision> {
        let needed = wave.step_needed as usize;
        let step = wave.step_done.get(..needed)?;
        let soaked = step
            .iter()
            .all(|vm| self.soaking.get(vm).is_some_and(|since| is_soaked(wave, *since, view.now)));
        if !soaked || !self.may_propose_update(view.now) {
            return None;
        }
        let width = wave.width.saturating_mul(2);
        Some(WaveDecision::Widen { wave: self.wave, healthy: wave.step_needed, width })
    }

    fn finish(&mut self, view: WaveView<'_>, wave: &Wave) -> Option<WaveDecision> {
        let soaking =
            self.soaking.values().filter(|since| !is_soaked(wave, **since, view.now)).count();
        if soaking > 0 {
            let vms = u32::try_from(soaking).unwrap_or(u32::MAX);
            return Some(WaveDecision::Wait(WaveWait::Soak { vms }));
        }
        if !self.may_propose_update(view.now) {
            return None;
        }
        let done = u32::try_from(wave.done.len()).unwrap_or(u32::MAX);
        let failed = u32::try_from(wave.failed.len()).unwrap_or(u32::MAX);
        Some(WaveDecision::Finish { wave: self.wave, done, failed, width: wave.width })
    }

    fn may_propose_update(&mut self, now: TimeMs) -> bool {
        if self.proposed_update.is_some_and(|proposed| now.since(proposed) < PROPOSAL_RETRY_MS) {
            return false;
        }
        self.proposed_update = Some(now);
        true
    }

    fn begin_drains(
        &mut self,
        view: WaveView<'_>,
        wave: &Wave,
        remaining: &wave_order::RemainingVms<'_>,
    ) -> Vec<WaveDecision> {
        let width = bounded_width(wave);
        let mut free_width = width.saturating_sub(self.width_in_use(wave, view.now));
        if free_width == 0 {
            return vec![WaveDecision::Wait(WaveWait::Width { width })];
        }
        let mut budgets = BudgetUsage::new(view.state);
        for vm in self.proposed_drains.keys().filter_map(|id| view.state.vms.get(*id)) {
            budgets.add_drain(vm);
        }
        let mut decisions = Vec::new();
        let mut waits = BTreeSet::new();
        let others = remaining.in_service.saturating_sub(1);
        for candidate in remaining.candidates(view.state, view.donor_pools) {
            let id = candidate.id;
            if free_width == 0 {
                break;
            }
            if self.proposed_drains.contains_key(&id) || self.drain_backoff.contains_key(&id) {
                continue;
            }
            if let Err((domain, exceeded)) = budgets.check(view.state, candidate.vm) {
                waits.insert(WaveWait::budget(candidate.vm.pool, domain, exceeded));
                continue;
            }
            budgets.add_drain(candidate.vm);
            self.proposed_drains.insert(id, view.now);
            free_width -= 1;
            let wave_order::Candidate { domain, rounds_milli, vm, .. } = candidate;
            let reason = DrainChoice { domain, pool: vm.pool, rounds_milli, others };
            decisions.push(WaveDecision::BeginDrain { vm: id, wave: self.wave, reason });
        }
        if decisions.is_empty() && waits.is_empty() && remaining.not_in_service > 0 {
            waits.insert(WaveWait::NotInService { vms: remaining.not_in_service });
        }
        decisions.extend(waits.into_iter().map(WaveDecision::Wait));
        decisions
    }
}

/// Waves that need a planner: those that are not finished, and those that
/// still have an operation, even if the manifest no longer has them.
pub fn planned_waves(state: &ControlState) -> BTreeSet<WaveId> {
    let unfinished =
        state.waves.iter().filter(|(_, wave)| wave.phase != WavePhase::Finished).map(|(id, _)| id);
    let operating = state.vms.iter().filter_map(|(_, vm)| match vm.operation?.purpose {
        DrainPurpose::Wave(wave) => Some(wave),
        DrainPurpose::Move(_) => None,
    });
    unfinished.chain(operating).collect()
}

/// Replaces a wave that was removed from the manifest. As it is finished, the
/// planner cancels its drains and waits for its reboots.
fn removed_wave_placeholder() -> Wave {
    let spec = WaveSpec {
        name: String::new(),
        pools: Vec::new(),
        initial_width: 1,
        max_width: 1,
        max_failed: 0,
        soak_ms: 0,
        reboot_timeout_ms: REMOVED_REBOOT_TIMEOUT_MS,
    };
    Wave {
        spec,
        phase: WavePhase::Finished,
        width: 1,
        done: BTreeSet::new(),
        failed: BTreeSet::new(),
        started_at: Offset(0),
        step_done: Vec::new(),
        step_needed: 1,
        step_failed: 0,
    }
}

fn bounded_width(wave: &Wave) -> u32 {
    wave.width.min(wave.spec.max_width).max(1)
}

fn is_soaked(wave: &Wave, since: TimeMs, now: TimeMs) -> bool {
    now.since(since) >= wave.spec.soak_ms
}

fn cancel_reason(state: &ControlState, wave: &Wave, vm: &Vm, excess: u32) -> Option<CancelReason> {
    match wave.phase {
        WavePhase::Running => {}
        WavePhase::Halted | WavePhase::Finished => return Some(CancelReason::WaveNotRunning),
    }
    if !state.data_centre_in_service(vm) {
        return Some(CancelReason::DataCentreOut);
    }
    match vm.health {
        Health::Down => return Some(CancelReason::VmDown),
        Health::Up | Health::Unknown | Health::Leaving => {}
    }
    (excess > 0).then(|| CancelReason::Narrowed { width: bounded_width(wave) })
}

fn advance_drain(
    view: WaveView<'_>,
    id: VmId,
    vm: &Vm,
    tracked: &TrackedOperation,
    cancel: Option<CancelReason>,
) -> WaveDecision {
    let operation = tracked.id;
    if let Some(reason) = cancel {
        return WaveDecision::Cancel { vm: id, operation, reason };
    }
    let report = view.reports.get(&id);
    match operation::drain_status(view.state, vm, tracked, DrainGoal::Stop, report, view.now) {
        DrainStatus::Drained(reason) => WaveDecision::Reboot { vm: id, operation, reason },
        DrainStatus::Waiting(wait) => WaveDecision::Wait(WaveWait::Drain { vm: id, wait }),
        DrainStatus::Cancel { session, in_flight } => {
            let reason = CancelReason::RequestsInFlight { session, in_flight };
            WaveDecision::Cancel { vm: id, operation, reason }
        }
    }
}
