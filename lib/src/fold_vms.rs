//! Applies operations on VMs and the progress of waves to the control state.

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

    /// Checks that the move leaves both pools within their size limits. A VM
    /// whose move is under way counts for its target pool, so that two planners
    /// cannot exceed the limits together.
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

    /// Number of VMs in a pool once all moves that are under way are done.
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
            // A VM that changes its pool is maintained during the move.
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
        changes.extend(self.record_wave_result(id, operation, step));
        Ok(changes)
    }

    /// Records the result of an operation in the waves for which it counts: in
    /// the wave that drained the VM or, if the VM was rebooted during a move,
    /// in every running wave of its pool.
    fn record_wave_result(
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
                entry.record_failure(vm);
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

    /// Counts a VM as failed if its health changes to `Down` after its reboot
    /// and before an update of the wave has completed its step.
    pub(crate) fn update_waves_on_health(&mut self, vm: VmId, health: Health) {
        if health != Health::Down {
            return;
        }
        for (_, wave) in self.waves.iter_mut() {
            let watched = wave.step_done.len();
            wave.step_done.retain(|done| *done != vm);
            if wave.step_done.len() < watched {
                wave.done.remove(&vm);
                wave.record_failure(vm);
            }
        }
    }

    /// Stops watching a VM that left. It would never become healthy, and its
    /// step would never complete.
    pub(crate) fn remove_from_wave_steps(&mut self, vm: VmId) {
        for (_, wave) in self.waves.iter_mut() {
            wave.step_done.retain(|done| *done != vm);
        }
    }

    /// Applies a new phase and width. Only an operator resumes a halted wave: a
    /// planner proposes twice the width that it read, which is more than the
    /// width of a halted wave, so its update is void if it arrives after the
    /// halt.
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
            wave.restart_step();
        } else {
            wave.step_done.drain(..wave.step_done.len().min(wave.step_needed as usize));
            wave.step_needed = wave.width;
        }
        Ok(vec![ControlChange::Wave(id)])
    }
}

impl Vm {
    /// The pool that the VM belongs to once its move, if any, is done.
    pub fn pool_after_move(&self) -> PoolId {
        match self.operation.map(|operation| operation.purpose) {
            Some(DrainPurpose::Move(pool)) => pool,
            Some(DrainPurpose::Wave(_)) | None => self.pool,
        }
    }

    /// True if the VM has been moved to its pool and does not serve there yet.
    pub fn is_arriving(&self) -> bool {
        match self.operation.map(|operation| operation.purpose) {
            Some(DrainPurpose::Move(pool)) => pool == self.pool,
            Some(DrainPurpose::Wave(_)) | None => false,
        }
    }
}

impl Wave {
    /// True if the wave has yet to maintain the VM, which is in one of its
    /// pools.
    pub fn has_pending_vm(&self, id: VmId, vm: &Vm) -> bool {
        vm.joined_at < self.started_at && !self.done.contains(&id) && !self.failed.contains(&id)
    }

    /// Restarts the step: it is complete once `width` more VMs are back in
    /// service. VMs that came back before are still watched.
    fn restart_step(&mut self) {
        let watched = u32::try_from(self.step_done.len()).unwrap_or(u32::MAX);
        self.step_needed = watched.saturating_add(self.width);
    }

    /// Records a failed VM and halves the width. The failure that exceeds
    /// `max_failed` halts the wave at its own offset, so that a later drain of
    /// a planner that has not seen the failure is void.
    fn record_failure(&mut self, vm: VmId) {
        self.failed.insert(vm);
        self.step_failed += 1;
        self.width = (self.width / 2).max(1);
        self.restart_step();
        if self.step_failed > self.spec.max_failed {
            self.phase = match self.phase {
                WavePhase::Running | WavePhase::Halted => WavePhase::Halted,
                WavePhase::Finished => WavePhase::Finished,
            };
        }
    }
}
