//! The part of the fold that applies operations on VMs and progress of waves.

use crate::budget;
use crate::control::ControlState;
use crate::control::Operation;
use crate::control::OperationPhase;
use crate::control::Vm;
use crate::control::Wave;
use crate::fold::ControlChange;
use crate::fold::VoidReason;
use crate::fold::missing;
use crate::ids::Offset;
use crate::ids::OperationId;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::record::DrainPurpose;
use crate::record::Health;
use crate::record::VmStep;
use crate::record::WavePhase;

impl ControlState {
    pub(crate) fn begin_drain(
        &mut self,
        offset: Offset,
        id: VmId,
        purpose: DrainPurpose,
    ) -> Result<Vec<ControlChange>, VoidReason> {
        let vm = self.vms.get(id).ok_or_else(|| missing("VM", &id.to_string()))?;
        if vm.operation.is_some() {
            return Err(VoidReason::WrongOperation { vm: id });
        }
        match purpose {
            DrainPurpose::Wave(wave) => self.check_wave_runs(wave)?,
            DrainPurpose::Move(pool) => self.check_move(id, vm, pool)?,
        }
        budget::check_drain(self, id)
            .map_err(|exceeded| VoidReason::BudgetExceeded { vm: id, exceeded })?;
        let operation =
            Operation { id: OperationId(offset), purpose, phase: OperationPhase::Draining };
        if let Some(vm) = self.vms.get_mut(id) {
            vm.operation = Some(operation);
        }
        Ok(vec![ControlChange::Vm(id)])
    }

    fn check_wave_runs(&self, id: WaveId) -> Result<(), VoidReason> {
        match self.waves.get(id).map(|wave| wave.phase) {
            Some(WavePhase::Running) => Ok(()),
            Some(WavePhase::Halted | WavePhase::Finished) | None => {
                Err(VoidReason::WaveNotRunning(id))
            }
        }
    }

    /// Counts VMs on their way as well, so that two planners together keep
    /// the smallest and the largest size of a pool.
    fn check_move(&self, id: VmId, vm: &Vm, target: PoolId) -> Result<(), VoidReason> {
        let to = self.pools.get(target).ok_or_else(|| missing("pool", &target.to_string()))?;
        if target == vm.pool {
            return Err(VoidReason::WrongOperation { vm: id });
        }
        let arriving = self.pool_size_after_moves(target) + 1;
        if arriving > to.spec.max_vms {
            return Err(VoidReason::PoolSize { pool: target, vms: arriving });
        }
        let Some(from) = self.pools.get(vm.pool) else { return Ok(()) };
        let remaining = self.pool_size_after_moves(vm.pool).saturating_sub(1);
        if remaining < from.spec.min_vms {
            return Err(VoidReason::PoolSize { pool: vm.pool, vms: remaining });
        }
        Ok(())
    }

    /// Number of VMs of a pool once all moves that are under way are done.
    pub fn pool_size_after_moves(&self, pool: PoolId) -> u32 {
        let count = self.vms.iter().filter(|(_, vm)| vm.pool_after_move() == pool).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    pub(crate) fn step_operation(
        &mut self,
        offset: Offset,
        id: VmId,
        operation_id: OperationId,
        step: VmStep,
    ) -> Result<Vec<ControlChange>, VoidReason> {
        let wrong = VoidReason::WrongOperation { vm: id };
        let vm = self.vms.get_mut(id).ok_or_else(|| missing("VM", &id.to_string()))?;
        let operation = match vm.operation {
            Some(operation) if operation.id == operation_id => operation,
            Some(_) | None => return Err(wrong),
        };
        let next_phase = match (operation.phase, step, operation.purpose) {
            (OperationPhase::Draining, VmStep::Reboot, _) => Some(OperationPhase::Rebooting),
            // A VM that changes its pool is maintained on the way.
            (OperationPhase::Moved, VmStep::Reboot, _) => Some(OperationPhase::Rebooting),
            (OperationPhase::Draining, VmStep::Move, DrainPurpose::Move(pool)) => {
                // The pool may have been removed while the VM drained.
                self.pools.get(pool).ok_or_else(|| missing("pool", &pool.to_string()))?;
                vm.pool = pool;
                vm.pool_since = offset;
                Some(OperationPhase::Moved)
            }
            (OperationPhase::Rebooting | OperationPhase::Moved, VmStep::Done, _) => None,
            (OperationPhase::Draining, VmStep::Cancel, _) => None,
            (_, VmStep::Failed, _) => {
                vm.health = Health::Down;
                None
            }
            (_, VmStep::Reboot | VmStep::Move | VmStep::Done | VmStep::Cancel, _) => {
                return Err(wrong);
            }
        };
        vm.operation = next_phase.map(|phase| Operation { phase, ..operation });
        let mut changes = vec![ControlChange::Vm(id)];
        changes.extend(self.note_wave_result(id, operation, step));
        Ok(changes)
    }

    /// A VM counts for the wave that drained it, and one that was rebooted
    /// during a move counts for every running wave of its pool.
    fn note_wave_result(
        &mut self,
        vm: VmId,
        operation: Operation,
        step: VmStep,
    ) -> Vec<ControlChange> {
        match step {
            VmStep::Done | VmStep::Failed => {}
            VmStep::Reboot | VmStep::Move | VmStep::Cancel => return Vec::new(),
        }
        let mut changes = Vec::new();
        for wave in self.waves_of(vm, operation) {
            let Some(entry) = self.waves.get_mut(wave) else { continue };
            if step == VmStep::Done {
                entry.done.insert(vm);
                entry.step_done.push(vm);
            } else {
                entry.note_failure(vm);
            }
            changes.push(ControlChange::Wave(wave));
        }
        changes
    }

    fn waves_of(&self, id: VmId, operation: Operation) -> Vec<WaveId> {
        match (operation.purpose, operation.phase) {
            (DrainPurpose::Wave(wave), _) => vec![wave],
            (DrainPurpose::Move(_), OperationPhase::Rebooting) => self.running_waves_for(id),
            (DrainPurpose::Move(_), OperationPhase::Draining | OperationPhase::Moved) => Vec::new(),
        }
    }

    /// Running waves that have yet to maintain the VM.
    pub fn running_waves_for(&self, id: VmId) -> Vec<WaveId> {
        let Some(vm) = self.vms.get(id) else { return Vec::new() };
        let Some(pool) = self.pools.get(vm.pool) else { return Vec::new() };
        let covers = |wave: &Wave| {
            wave.phase == WavePhase::Running
                && wave.spec.pools.contains(&pool.spec.name)
                && wave.has_pending_vm(id, vm)
        };
        self.waves.iter().filter(|(_, wave)| covers(wave)).map(|(wave, _)| wave).collect()
    }

    /// A VM that breaks after its reboot counts as failed until its step has
    /// been proven by an update of the wave.
    pub(crate) fn note_wave_health(&mut self, vm: VmId, health: Health) {
        if health != Health::Down {
            return;
        }
        for (_, wave) in self.waves.iter_mut() {
            let watched = wave.step_done.len();
            wave.step_done.retain(|done| *done != vm);
            if wave.step_done.len() < watched {
                wave.done.remove(&vm);
                wave.note_failure(vm);
            }
        }
    }

    /// A VM that leaves proves nothing; watched on, it would never be healthy
    /// and the step never complete.
    pub(crate) fn forget_in_waves(&mut self, vm: VmId) {
        for (_, wave) in self.waves.iter_mut() {
            wave.step_done.retain(|done| *done != vm);
        }
    }

    /// Only an operator resumes a halted wave. A planner proposes twice the
    /// width that it saw, which is more than a halted wave has, so a proposal
    /// that arrives after the halt is void.
    pub(crate) fn update_wave(
        &mut self,
        id: WaveId,
        phase: WavePhase,
        width: u32,
    ) -> Result<Vec<ControlChange>, VoidReason> {
        let wave = self.waves.get_mut(id).ok_or_else(|| missing("wave", &id.to_string()))?;
        let valid = match (wave.phase, phase) {
            (WavePhase::Running, WavePhase::Running) => {
                width > wave.width && wave.step_done.len() >= wave.step_needed as usize
            }
            (WavePhase::Halted, WavePhase::Running) => width <= wave.width,
            (WavePhase::Running | WavePhase::Halted, WavePhase::Halted | WavePhase::Finished) => {
                true
            }
            (WavePhase::Finished, WavePhase::Running | WavePhase::Halted | WavePhase::Finished) => {
                false
            }
        };
        if !valid {
            return Err(VoidReason::WaveStep(id));
        }
        let resumed = wave.phase == WavePhase::Halted;
        wave.phase = phase;
        wave.width = width.clamp(1, wave.spec.max_width.max(1));
        wave.step_failed = 0;
        if resumed {
            wave.require_new_evidence();
        } else {
            wave.step_done.drain(..wave.step_done.len().min(wave.step_needed as usize));
            wave.step_needed = wave.width;
        }
        Ok(vec![ControlChange::Wave(id)])
    }
}

impl Vm {
    /// The pool that the VM is in once its move is done.
    pub fn pool_after_move(&self) -> PoolId {
        match self.operation.map(|operation| operation.purpose) {
            Some(DrainPurpose::Move(pool)) => pool,
            Some(DrainPurpose::Wave(_)) | None => self.pool,
        }
    }

    /// True if a move has brought the VM into its pool and it has not served
    /// there yet.
    pub fn is_arriving(&self) -> bool {
        match self.operation.map(|operation| operation.purpose) {
            Some(DrainPurpose::Move(pool)) => pool == self.pool,
            Some(DrainPurpose::Wave(_)) | None => false,
        }
    }
}

impl Wave {
    /// True if the wave has yet to maintain a VM of its pools.
    pub fn has_pending_vm(&self, id: VmId, vm: &Vm) -> bool {
        vm.joined_at < self.started_at && !self.done.contains(&id) && !self.failed.contains(&id)
    }

    /// Only VMs that come back from now on prove the step; those that came
    /// back before stay watched.
    fn require_new_evidence(&mut self) {
        let watched = u32::try_from(self.step_done.len()).unwrap_or(u32::MAX);
        self.step_needed = watched.saturating_add(self.width);
    }

    /// Halves the width, and halts the wave at the offset of the failure that
    /// is one too many, so that no drain of a planner that has not seen the
    /// failure begins after it.
    fn note_failure(&mut self, vm: VmId) {
        self.failed.insert(vm);
        self.step_failed += 1;
        self.width = (self.width / 2).max(1);
        self.require_new_evidence();
        if self.step_failed > self.spec.max_failed {
            self.phase = match self.phase {
                WavePhase::Running | WavePhase::Halted => WavePhase::Halted,
                WavePhase::Finished => WavePhase::Finished,
            };
        }
    }
}
