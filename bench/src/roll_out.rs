//! Simulates one maintenance wave over all pools.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::control::OperationPhase;
use cowslipport_lib::drain::WorkerTasks;
use cowslipport_lib::ids::OperationId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::ids::WaveId;
use cowslipport_lib::operation::VmReport;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::WavePhase;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::wave::WavePlanner;
use cowslipport_lib::wave::WaveView;
use cowslipport_lib::wave_decision::WaveDecision;

use crate::fleet::Fleet;
use crate::measure::Measure;
use crate::measure::Row;
use crate::profile::Profile;
use crate::roll_out_bound;
use crate::trace::Trace;

const TICK_MS: u64 = 1000;
const WAVE: WaveId = WaveId(0);

/// Time after which an operator resumes a halted wave.
const RESUME_DELAY_MS: u64 = 600_000;

/// A wave that has not finished within a day is reported with this time.
const MAX_WAVE_MS: u64 = 86_400_000;

/// Result of a wave.
pub(crate) struct RollOut {
    pub(crate) time_ms: u64,
    pub(crate) violations: u32,
}

/// Simulated VMs, which drain, reboot and fail as the trace says.
pub(crate) struct SimulatedVms<'a> {
    trace: &'a Trace,
    drains: BTreeMap<VmId, (OperationId, TimeMs)>,
    reboots: BTreeMap<VmId, (OperationId, TimeMs)>,
    repairs: BTreeMap<VmId, TimeMs>,
}

impl<'a> SimulatedVms<'a> {
    pub(crate) fn new(trace: &'a Trace) -> Self {
        let (drains, reboots, repairs) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { trace, drains, reboots, repairs }
    }

    pub(crate) fn reboot(&mut self, vm: VmId, operation: OperationId, now: TimeMs) {
        if self.reboots.get(&vm).is_none_or(|(known, _)| *known != operation) {
            self.reboots.insert(vm, (operation, now));
        }
    }

    pub(crate) fn repair_down_vms(&mut self, fleet: &mut Fleet, now: TimeMs) {
        let down: Vec<VmId> = fleet
            .state
            .vms
            .iter()
            .filter(|(_, vm)| vm.health == Health::Down)
            .map(|(id, _)| id)
            .collect();
        for vm in down {
            let at = now.plus(self.trace.maintenance[vm.0 as usize].repair_ms);
            if now >= *self.repairs.entry(vm).or_insert(at) {
                self.repairs.remove(&vm);
                fleet.set_health(vm, Health::Up);
            }
        }
    }

    /// Reports of the VMs with an operation. A VM that changes its pool drains for
    /// `move_ms` instead of the time in the trace.
    pub(crate) fn reports(
        &mut self,
        fleet: &Fleet,
        now: TimeMs,
        move_ms: u64,
    ) -> BTreeMap<VmId, VmReport> {
        let mut reports = BTreeMap::new();
        for (id, vm) in fleet.state.vms.iter() {
            let Some(operation) = vm.operation else { continue };
            let drain = self.drains.get(&id).filter(|(known, _)| *known == operation.id);
            let since = drain.map_or(now, |(_, since)| *since);
            self.drains.insert(id, (operation.id, since));
            let maintenance = self.trace.maintenance[id.0 as usize];
            let is_move = vm.pool_after_move() != vm.pool;
            let drain_ms = if is_move { move_ms } else { maintenance.drain_ms };
            let mut report = VmReport::default();
            report.drain.tasks = WorkerTasks::Running(u32::from(now.since(since) < drain_ms));
            let is_back = |(rebooted, begun): &(OperationId, TimeMs)| {
                *rebooted == operation.id
                    && maintenance.reboot_ms.is_some_and(|took| now.since(*begun) >= took)
            };
            if operation.phase == OperationPhase::Rebooting
                && self.reboots.get(&id).is_some_and(is_back)
            {
                report.healthy_since = Some(now);
            }
            reports.insert(id, report);
        }
        reports
    }
}

/// Simulates one wave until it finishes.
pub(crate) fn run(profile: &Profile, trace: &Trace) -> RollOut {
    let mut fleet = Fleet::new(profile);
    fleet.begin_wave(profile);
    let mut simulated_vms = SimulatedVms::new(trace);
    let mut planner = WavePlanner::new(WAVE);
    let donor_pools = BTreeSet::new();
    let mut now = TimeMs(0);
    let mut last_outcome_ms = 0;
    let mut halted_since = None;
    while now.0 < MAX_WAVE_MS {
        simulated_vms.repair_down_vms(&mut fleet, now);
        let reports = simulated_vms.reports(&fleet, now, profile.move_ms);
        let view =
            WaveView { state: &fleet.state, now, reports: &reports, donor_pools: &donor_pools };
        for decision in planner.plan(view) {
            match decision {
                WaveDecision::RequestReboot { vm, operation } => {
                    simulated_vms.reboot(vm, operation, now)
                }
                WaveDecision::Done { .. } | WaveDecision::Failed { .. } => last_outcome_ms = now.0,
                WaveDecision::BeginDrain { .. }
                | WaveDecision::Reboot { .. }
                | WaveDecision::Cancel { .. }
                | WaveDecision::Widen { .. }
                | WaveDecision::Finish { .. }
                | WaveDecision::Wait(_) => {}
            }
            if let Some(body) = decision.record() {
                fleet.append(body);
            }
        }
        let wave = fleet.state.waves.get(WAVE).expect("the wave was committed");
        let (phase, width) = (wave.phase, wave.width);
        match phase {
            WavePhase::Running => halted_since = None,
            WavePhase::Finished => {
                return RollOut { time_ms: last_outcome_ms, violations: fleet.violations };
            }
            WavePhase::Halted => {
                let since = *halted_since.get_or_insert(now);
                if now.since(since) >= RESUME_DELAY_MS {
                    let phase = WavePhase::Running;
                    fleet.append(RecordBody::WaveUpdate { wave: WAVE, phase, width });
                }
            }
        }
        now = now.plus(TICK_MS);
    }
    RollOut { time_ms: MAX_WAVE_MS, violations: fleet.violations }
}

impl RollOut {
    pub(crate) fn row(&self, profile: &Profile, trace: &Trace) -> Row {
        let one_at_a_time: u64 =
            (0..profile.vms).map(|vm| roll_out_bound::out_of_service_ms(profile, trace, vm)).sum();
        let bound = roll_out_bound::bound_ms(profile, trace);
        Row::new(Measure::RollOutTimeMs, self.time_ms as f64, one_at_a_time as f64, bound)
    }
}
