//! Waves of maintenance: which VM is emptied next, and when it is taken down.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::PlacementReleaseReason;
use crate::workload::job::Task;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::order::StopReason;
use crate::workload::owner_record::WaveProgress;
use crate::workload::vm::VmAction;
use crate::workload::vm::VmEntry;
use crate::workload::vm::VmList;
use crate::workload::vm::VmOrder;
use crate::workload::vm::VmOrderAnswer;
use crate::workload::vm::VmPlanInput;
use crate::workload::vm::VmState;

/// Tasks that end by themselves get this time before a VM is taken down with
/// them; most run for less.
const EMPTY_WITHIN_MS: u64 = 2_500;
/// VMs are emptied ahead, so that a further one can go down as soon as another
/// is back: this many times as many as may be down.
const EMPTIED_FACTOR: u64 = 2;
/// An order that shows no effect in the list of VMs for this time is repeated.
const REPEAT_ORDER_MS: u64 = 4_000;
/// A VM that the service called busy is tried again after this time.
const BUSY_BACKOFF_MS: u64 = 1_000;

/// A wave as the operator asks for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveSpec {
    /// Number of the wave.
    pub wave: u64,
    /// VMs that are due.
    pub vms: Vec<String>,
    /// Time in which all should be done.
    pub deadline_ms: u64,
    /// Most VMs that are down at the same time.
    pub max_down: u32,
}

/// Time that the maintenance of one VM takes: until it is empty, while it is
/// down, and until the list of VMs shows it again.
const VM_TIME_MS: u64 = 4_500;
/// Part of its time, in percent, in which a wave should be done, so that a
/// change of owners or a slow service does not make it late.
const DONE_WITHIN_PERCENT: u64 = 50;

/// A wave and what has become of it.
#[derive(Clone, Debug)]
struct Wave {
    spec: WaveSpec,
    asked_at: TimeMs,
    maintained: BTreeSet<String>,
    is_completed: bool,
    under_way: BTreeMap<String, UnderWay>,
    retry_at: BTreeMap<String, TimeMs>,
}

/// A VM that is being maintained.
#[derive(Clone, Debug)]
struct UnderWay {
    worker: Option<String>,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It gets no new tasks until it is empty.
    Emptying { since: TimeMs },
    /// It was ordered down.
    Ordered { at: TimeMs, accepted_at: Option<TimeMs>, seen_down: bool },
}

/// All waves.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceScheduler {
    waves: BTreeMap<u64, Wave>,
    changed: BTreeSet<u64>,
}

impl MaintenanceScheduler {
    /// Takes over a wave.
    pub fn wave_requested(&mut self, asked_at: TimeMs, spec: WaveSpec) {
        let wave = self.waves.entry(spec.wave).or_insert_with(|| Wave {
            spec: spec.clone(),
            asked_at,
            maintained: BTreeSet::new(),
            is_completed: false,
            under_way: BTreeMap::new(),
            retry_at: BTreeMap::new(),
        });
        wave.spec = spec;
        self.changed.insert(wave.spec.wave);
    }

    /// Takes over what a former owner has recorded.
    pub fn wave_restored(&mut self, number: u64, progress: &WaveProgress) {
        let Some(wave) = self.waves.get_mut(&number) else { return };
        wave.maintained.extend(progress.maintained.iter().cloned());
        wave.is_completed |= progress.completed;
    }

    /// Forgets a wave that the operator has taken back.
    pub fn wave_withdrawn(&mut self, number: u64) {
        self.waves.remove(&number);
    }

    /// VMs that are being maintained.
    pub fn vms_under_maintenance(&self) -> BTreeSet<String> {
        self.waves.values().flat_map(|wave| wave.under_way.keys().cloned()).collect()
    }

    /// Takes over the list of VMs.
    pub fn vms_listed(&mut self, vms: &VmList, dispatcher: &mut Dispatcher) {
        for wave in self.waves.values_mut() {
            wave.follow_list(vms, dispatcher, &mut self.changed);
        }
    }

    /// Takes over the answer to an order.
    pub fn order_answered(
        &mut self,
        now: TimeMs,
        vm: &str,
        number: u64,
        answer: VmOrderAnswer,
        dispatcher: &mut Dispatcher,
    ) {
        let Some(wave) = self.waves.get_mut(&number) else { return };
        match answer {
            VmOrderAnswer::Accepted => {
                let stage = wave.under_way.get_mut(vm).map(|under_way| &mut under_way.stage);
                if let Some(Stage::Ordered { accepted_at, .. }) = stage {
                    *accepted_at = Some(now);
                }
            }
            VmOrderAnswer::Unknown | VmOrderAnswer::EpochTooLow => {}
            VmOrderAnswer::NotDue => {
                wave.maintained.insert(vm.to_owned());
                wave.give_up(vm, dispatcher);
                self.changed.insert(number);
            }
            VmOrderAnswer::Busy | VmOrderAnswer::Refused => {
                wave.retry_at.insert(vm.to_owned(), now.plus(BUSY_BACKOFF_MS));
                wave.give_up(vm, dispatcher);
            }
        }
    }

    /// The VMs that are to be taken down now. Lasting tasks in the way are
    /// stopped as far as their steps allow, and start elsewhere.
    pub fn plan_maintenance(
        &mut self,
        now: TimeMs,
        round: VmPlanInput<'_>,
        dispatcher: &mut Dispatcher,
    ) -> Vec<VmOrder> {
        let mut orders = Vec::new();
        for wave in self.waves.values_mut().filter(|wave| !wave.is_completed) {
            wave.choose_next(now, round.vms, round.excluded, dispatcher);
            wave.empty(now, round, dispatcher, &mut orders);
            if wave.is_over(round.vms) {
                wave.is_completed = true;
                self.changed.insert(wave.spec.wave);
            }
        }
        orders
    }

    /// Waves whose record is older than their state.
    pub fn take_changed(&mut self) -> Vec<(u64, WaveProgress)> {
        let changed = std::mem::take(&mut self.changed);
        let records = changed.into_iter().filter_map(|number| {
            let wave = self.waves.get(&number)?;
            let maintained = wave.maintained.iter().cloned().collect();
            Some((number, WaveProgress { maintained, completed: wave.is_completed }))
        });
        records.collect()
    }
}

impl Wave {
    fn follow_list(
        &mut self,
        vms: &VmList,
        dispatcher: &mut Dispatcher,
        changed: &mut BTreeSet<u64>,
    ) {
        let mut back = Vec::new();
        for (vm, under_way) in &mut self.under_way {
            let Stage::Ordered { at, accepted_at, seen_down } = &mut under_way.stage else {
                continue;
            };
            let Some(entry) = vms.get(vm) else {
                // It is gone for good.
                back.push(vm.clone());
                continue;
            };
            if vms.requested_at <= *at {
                continue;
            }
            match entry.state {
                VmState::Maintenance => {
                    *seen_down = true;
                    if let Some(worker) = &under_way.worker {
                        dispatcher.vm_went_down(worker);
                    }
                }
                VmState::Down | VmState::Moving => *seen_down = true,
                VmState::Up => {
                    // An order that a former owner gave, too, is accepted and
                    // ends nothing: the VM is up as it was.
                    let was_done = accepted_at.is_some_and(|at| vms.requested_at > at);
                    if *seen_down || was_done || entry.worker != under_way.worker {
                        back.push(vm.clone());
                    }
                }
            }
        }
        for vm in back {
            // The worker has left with the maintenance, or stays for good.
            self.give_up(&vm, dispatcher);
            self.maintained.insert(vm);
            changed.insert(self.spec.wave);
        }
    }

    fn give_up(&mut self, vm: &str, dispatcher: &mut Dispatcher) {
        let Some(under_way) = self.under_way.remove(vm) else { return };
        if let Some(worker) = under_way.worker {
            dispatcher.set_cordoned(&worker, false);
        }
    }

    /// Begins with further VMs while the wave allows it, those with the least
    /// to lose first.
    fn choose_next(
        &mut self,
        now: TimeMs,
        vms: &VmList,
        excluded: &BTreeSet<String>,
        dispatcher: &mut Dispatcher,
    ) {
        let room = self.at_a_time(now, vms).saturating_sub(self.under_way.len());
        let mut due: Vec<(Load, &String)> = self
            .spec
            .vms
            .iter()
            .filter(|vm| !excluded.contains(*vm) && self.is_due(now, vm, vms))
            .map(|vm| (load_of(vm, vms, dispatcher), vm))
            .collect();
        due.sort();
        for (_, vm) in due.into_iter().take(room) {
            let worker = vms.get(vm).and_then(|entry| entry.worker.clone());
            if let Some(worker) = &worker {
                dispatcher.set_cordoned(worker, true);
            }
            let stage = Stage::Emptying { since: now };
            self.under_way.insert(vm.clone(), UnderWay { worker, stage });
        }
    }

    /// VMs to be emptied or down at a time: as few as let the wave end in time,
    /// since each is missing in its pool.
    fn at_a_time(&self, now: TimeMs, vms: &VmList) -> usize {
        let is_left = |vm: &&String| !self.maintained.contains(*vm) && vms.get(vm).is_some();
        let left = self.spec.vms.iter().filter(is_left).count() as u64;
        let done_by = self.asked_at.plus(self.spec.deadline_ms * DONE_WITHIN_PERCENT / 100);
        let most = u64::from(self.spec.max_down).saturating_mul(EMPTIED_FACTOR);
        let needed = match done_by.since(now) {
            0 => most,
            time_ms => (left * VM_TIME_MS).div_ceil(time_ms),
        };
        usize::try_from(needed.clamp(1, most.max(1))).unwrap_or(usize::MAX)
    }

    fn is_due(&self, now: TimeMs, vm: &str, vms: &VmList) -> bool {
        let is_up = vms.get(vm).is_some_and(|entry| entry.state == VmState::Up);
        is_up
            && !self.maintained.contains(vm)
            && !self.under_way.contains_key(vm)
            && self.retry_at.get(vm).is_none_or(|retry_at| now >= *retry_at)
    }

    /// VMs that are down, or may be.
    fn down(&self, vms: &VmList) -> usize {
        let is_down = |vm: &&String| match self.under_way.get(*vm).map(|vm| vm.stage) {
            Some(Stage::Ordered { .. }) => true,
            Some(Stage::Emptying { .. }) | None => {
                vms.get(vm).is_some_and(|entry| entry.state == VmState::Maintenance)
            }
        };
        self.spec.vms.iter().filter(is_down).count()
    }

    /// Takes down the VMs that are empty, or that have had their time, as many
    /// as may be down.
    fn empty(
        &mut self,
        now: TimeMs,
        round: VmPlanInput<'_>,
        dispatcher: &mut Dispatcher,
        orders: &mut Vec<VmOrder>,
    ) {
        let VmPlanInput { vms, max_orders, may_stop_long_running, .. } = round;
        let mut room = (self.spec.max_down as usize).saturating_sub(self.down(vms));
        for (vm, under_way) in &mut self.under_way {
            let may_order = orders.len() < max_orders;
            let is_ready = match under_way.stage {
                Stage::Emptying { since } => {
                    let has_waited = now.since(since) >= EMPTY_WITHIN_MS;
                    under_way.follow_worker(vms.get(vm), dispatcher);
                    let is_empty = under_way.worker.as_deref().is_none_or(|worker| {
                        dispatcher.empty_for_maintenance(worker, has_waited, may_stop_long_running)
                    });
                    let may_go_down = is_empty && may_order && room > 0;
                    room -= usize::from(may_go_down);
                    may_go_down
                }
                Stage::Ordered { at, seen_down, .. } => {
                    may_order && !seen_down && now.since(at) >= REPEAT_ORDER_MS
                }
            };
            if is_ready {
                under_way.stage = Stage::Ordered { at: now, accepted_at: None, seen_down: false };
                let action = VmAction::Maintain { wave: self.spec.wave };
                orders.push(VmOrder { vm: vm.clone(), action });
            }
        }
    }

    /// True if every VM that still exists was maintained.
    fn is_over(&self, vms: &VmList) -> bool {
        self.under_way.is_empty()
            && self.spec.vms.iter().all(|vm| self.maintained.contains(vm) || vms.get(vm).is_none())
    }
}

impl UnderWay {
    /// Takes over the present worker of the VM, which may have been started anew.
    fn follow_worker(&mut self, entry: Option<&VmEntry>, dispatcher: &mut Dispatcher) {
        let present = entry.and_then(|entry| entry.worker.clone());
        if present == self.worker {
            return;
        }
        if let Some(worker) = &present {
            dispatcher.set_cordoned(worker, true);
        }
        self.worker = present;
    }
}

/// What would be lost with a VM: its lasting tasks, which have to start
/// elsewhere one after the other, and the room that is taken.
type Load = (usize, u64);

fn load_of(vm: &str, vms: &VmList, dispatcher: &mut Dispatcher) -> Load {
    let Some(worker) = vms.get(vm).and_then(|entry| entry.worker.as_deref()) else {
        return (0, 0);
    };
    let id = dispatcher.worker_id(worker);
    let lasting = dispatcher.tasks_on(id).into_iter().filter(|task| {
        let job = dispatcher.jobs.get(task.step.job);
        job.is_some_and(|job| job.step_spec(task.step.step).long_running)
    });
    let lasting = lasting.count();
    (lasting, dispatcher.workers.get(id).map_or(0, |worker| worker.used.cpu_milli))
}

impl Dispatcher {
    /// Stops what may be stopped on a worker. Returns true once the worker can
    /// be taken down: it is empty, or what is left is worth less than the wait.
    fn empty_for_maintenance(
        &mut self,
        name: &str,
        has_waited: bool,
        may_stop_long_running: bool,
    ) -> bool {
        let id = self.worker_id(name);
        let tasks = self.tasks_on(id);
        let is_listed = self.workers.get(id).is_some_and(|worker| worker.listing.is_some());
        if tasks.is_empty() && !self.is_stored_as_empty(id) {
            return false;
        }
        if !is_listed && tasks.is_empty() {
            // A worker on standby, which gets no tasks.
            return true;
        }
        if !self.is_known_well(id) {
            // What runs on the VM is not known: another worker may be there.
            return false;
        }
        let mut is_empty = true;
        for task in tasks {
            let Some(job) = self.jobs.get(task.step.job) else { continue };
            let spec = job.step_spec(task.step.step);
            let is_stopping = job.task(task).placement().is_some_and(|place| place.stop.is_some());
            is_empty &= !spec.long_running && has_waited;
            if spec.long_running
                && !is_stopping
                && may_stop_long_running
                && self.may_take_away(task)
            {
                self.stop(task, StopReason::Maintenance);
            }
        }
        is_empty
    }

    /// The VM of a worker is down for maintenance, which ended all that ran
    /// there. Another worker comes back.
    fn vm_went_down(&mut self, name: &str) {
        let id = self.worker_id(name);
        self.release_ordered(id, PlacementReleaseReason::VmDown);
    }

    fn tasks_on(&self, id: WorkerId) -> Vec<TaskKey> {
        self.workers.get(id).map_or_else(Vec::new, |worker| worker.tasks.iter().copied().collect())
    }

    /// True if planned work may take a task away now.
    fn may_take_away(&self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(task.step.job) else { return false };
        let Some(most) = job.step_spec(task.step.step).max_unavailable else { return true };
        let others = (0..).zip(&job.step(task.step).tasks);
        let away =
            others.filter(|(index, other)| *index != task.index && !self.is_available(other));
        away.count() < most as usize
    }

    /// True if a lasting task works, on a worker that answers.
    fn is_available(&self, task: &Task) -> bool {
        task.placement().is_some_and(|placement| {
            let worker = self.workers.get(placement.worker);
            placement.is_available() && worker.is_some_and(|worker| !worker.is_unreachable())
        })
    }
}
