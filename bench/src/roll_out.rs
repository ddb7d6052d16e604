//! One maintenance wave over all pools.

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
const RESUME_MS: u64 = 600_000;

/// A wave that does not end within a day is reported as that.
const LONGEST_MS: u64 = 86_400_000;

/// What a wave took.
pub(crate) struct RollOut {
    pub(crate) time_ms: u64,
    pub(crate) violations: u32,
}

/// The VMs behind the fold.
pub(crate) struct Machines<'a> {
    trace: &'a Trace,
    drains: BTreeMap<VmId, (OperationId, TimeMs)>,
    reboots: BTreeMap<VmId, (OperationId, TimeMs)>,
    repairs: BTreeMap<VmId, TimeMs>,
}

impl<'a> Machines<'a> {
    pub(crate) fn new(trace: &'a Trace) -> Self {
        let (drains, reboots, repairs) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { trace, drains, reboots, repairs }
    }

    pub(crate) fn reboot(&mut self, vm: VmId, operation: OperationId, now: TimeMs) {
        if self.reboots.get(&vm).is_none_or(|(known, _)| *known != operation) {
            self.reboots.insert(vm, (operation, now));
        }
    }

    pub(crate) fn repair_failed(&mut self, fleet: &mut Fleet, now: TimeMs) {
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

    /// What is known about VMs with an operation. `drain_ms` overrides the
    /// time that the trace gives.
    pub(crate) fn reports(
        &mut self,
        fleet: &Fleet,
        now: TimeMs,
        move_ms: u64,
    ) -> BTreeMap<VmId, VmReport> {
        let mut reports = BTreeMap::new();
        for (id, vm) in fleet.state.vms.iter() {
            let Some(operation) = vm.operation else { continue };
            let known = self.drains.get(&id).filter(|(known, _)| *known == operation.id);
            let since = known.map_or(now, |(_, since)| *since);
            self.drains.insert(id, (operation.id, since));
            let maintenance = self.trace.maintenance[id.0 as usize];
            let is_move = vm.pool_after_move() != vm.pool;
            let drain_ms = if is_move { move_ms } else { maintenance.drain_ms };
            let mut report = VmReport::default();
            report.drain.tasks = WorkerTasks::Running(u32::from(now.since(since) < drain_ms));
            let back = |(rebooted, begun): &(OperationId, TimeMs)| {
                *rebooted == operation.id
                    && maintenance.reboot_ms.is_some_and(|took| now.since(*begun) >= took)
            };
            if operation.phase == OperationPhase::Rebooting
                && self.reboots.get(&id).is_some_and(back)
            {
                report.healthy_since = Some(now);
            }
            reports.insert(id, report);
        }
        reports
    }
}

/// Runs one wave to its end.
pub(crate) fn run(profile: &Profile, trace: &Trace) -> RollOut {
    let mut fleet = Fleet::new(profile);
    fleet.begin_wave(profile);
    let mut machines = Machines::new(trace);
    let mut planner = WavePlanner::new(WAVE);
    let donor_pools = BTreeSet::new();
    let mut now = TimeMs(0);
    let mut last = 0;
    let mut halted_since = None;
    while now.0 < LONGEST_MS {
        machines.repair_failed(&mut fleet, now);
        let reports = machines.reports(&fleet, now, profile.move_ms);
        let view =
            WaveView { state: &fleet.state, now, reports: &reports, donor_pools: &donor_pools };
        for decision in planner.plan(view) {
            match decision {
                WaveDecision::RequestReboot { vm, operation } => {
                    machines.reboot(vm, operation, now)
                }
                WaveDecision::Done { .. } | WaveDecision::Failed { .. } => last = now.0,
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
                return RollOut { time_ms: last, violations: fleet.violations };
            }
            WavePhase::Halted => {
                let since = *halted_since.get_or_insert(now);
                if now.since(since) >= RESUME_MS {
                    let phase = WavePhase::Running;
                    fleet.append(RecordBody::WaveUpdate { wave: WAVE, phase, width });
                }
            }
        }
        now = now.plus(TICK_MS);
    }
    RollOut { time_ms: LONGEST_MS, violations: fleet.violations }
}

impl RollOut {
    pub(crate) fn row(&self, profile: &Profile, trace: &Trace) -> Row {
        let one_at_a_time: u64 =
            (0..profile.vms).map(|vm| roll_out_bound::out_of_service_ms(profile, trace, vm)).sum();
        let bound = roll_out_bound::bound_ms(profile, trace);
        Row::new(Measure::RollOutTimeMs, self.time_ms as f64, one_at_a_time as f64, bound)
    }
}
