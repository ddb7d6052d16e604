//! Writes a log line, a metric and a journal entry for each decision of waves
//! and moves. A reason to wait is written only when it changes.

use std::collections::BTreeMap;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::ids::WaveId;
use cowslipport_lib::move_decision::MoveDecision;
use cowslipport_lib::wave_decision::WaveDecision;
use metrics::counter;
use slog::Logger;
use slog::info;

use crate::placement_log::vm_name;
use crate::tasks::journal::JournalEntry;
use crate::tasks::journal::JournalHandle;
use crate::tasks::journal::Subject;

/// The reason to wait that was written last, for each wave and for the moves.
#[derive(Debug, Default)]
pub(crate) struct LastWaitReasons {
    waves: BTreeMap<WaveId, String>,
    moves: String,
}

/// Logs a decision of a wave and adds it to the journal.
pub(crate) fn log_wave_decision(
    logger: &Logger,
    journal: &JournalHandle,
    state: &ControlState,
    id: WaveId,
    decision: &WaveDecision,
    last: &mut LastWaitReasons,
) {
    let name = state.waves.get(id).map_or_else(|| id.to_string(), |wave| wave.spec.name.clone());
    let mut subjects = vec![Subject::Wave(name.clone())];
    let vm = |vm: &VmId| Subject::Vm(vm_name(state, *vm));
    let (kind, reason) = match decision {
        WaveDecision::BeginDrain { vm: id, wave: _, reason } => {
            subjects.push(vm(id));
            ("begin_drain", format!("{reason:?}"))
        }
        WaveDecision::Reboot { vm: id, operation: _, reason } => {
            subjects.push(vm(id));
            ("reboot", format!("{reason:?}"))
        }
        WaveDecision::RequestReboot { .. } => return,
        WaveDecision::Done { vm: id, operation: _ } => {
            subjects.push(vm(id));
            ("done", "VM is back".to_owned())
        }
        WaveDecision::Failed { vm: id, operation: _, waited_ms } => {
            subjects.push(vm(id));
            ("failed", format!("VM is not back after {waited_ms} ms"))
        }
        WaveDecision::Cancel { vm: id, operation: _, reason } => {
            subjects.push(vm(id));
            ("cancel", reason.to_string())
        }
        WaveDecision::Widen { wave: _, healthy, width } => {
            ("widen", format!("{healthy} VMs stayed healthy, width {width}"))
        }
        WaveDecision::Finish { wave: _, done, failed, width: _ } => {
            ("finish", format!("{done} VMs done, {failed} failed"))
        }
        WaveDecision::Wait(wait) => {
            let reason = wait.describe(state);
            if last.waves.get(&id) == Some(&reason) {
                return;
            }
            last.waves.insert(id, reason.clone());
            ("wait", reason)
        }
    };
    write_decision(logger, journal, subjects, kind, reason);
}

/// Logs a decision about moves and adds it to the journal.
pub(crate) fn log_move_decision(
    logger: &Logger,
    journal: &JournalHandle,
    state: &ControlState,
    decision: &MoveDecision,
    last: &mut LastWaitReasons,
) {
    let pool = |id: &PoolId| state.pools.get(*id).map_or("?", |pool| pool.spec.name.as_str());
    let vm = |vm: &VmId| vec![Subject::Vm(vm_name(state, *vm))];
    let (subjects, kind, reason) = match decision {
        MoveDecision::BeginDrain { vm: id, from, to, reason } => {
            let reason = format!("from {} to {}: {reason:?}", pool(from), pool(to));
            (vm(id), "begin_move", reason)
        }
        MoveDecision::Move { vm: id, operation: _, reason } => {
            (vm(id), "move", format!("{reason:?}"))
        }
        MoveDecision::Reboot { vm: id, operation: _ } => {
            (vm(id), "reboot", "a wave needs it".to_owned())
        }
        MoveDecision::RequestReboot { .. } => return,
        MoveDecision::Done { vm: id, operation: _ } => {
            (vm(id), "moved", "VM serves its new pool".to_owned())
        }
        MoveDecision::Failed { vm: id, operation: _, waited_ms } => {
            (vm(id), "failed", format!("VM is not back after {waited_ms} ms"))
        }
        MoveDecision::Cancel { vm: id, operation: _, reason } => {
            (vm(id), "cancel_move", format!("{reason:?}"))
        }
        MoveDecision::Wait(wait) => {
            let reason = format!("{wait:?}");
            if last.moves == reason {
                return;
            }
            last.moves.clone_from(&reason);
            (Vec::new(), "wait_move", reason)
        }
    };
    write_decision(logger, journal, subjects, kind, reason);
}

fn write_decision(
    logger: &Logger,
    journal: &JournalHandle,
    subjects: Vec<Subject>,
    decision: &'static str,
    reason: String,
) {
    counter!("cowslipport_maintenance_decisions_total", "decision" => decision).increment(1);
    let names = subjects.iter().map(Subject::name).collect::<Vec<_>>().join(",");
    info!(logger, "maintenance"; "subject" => names, "decision" => decision, "reason" => &reason);
    if !subjects.is_empty() {
        journal.record(JournalEntry { subjects, decision: decision.to_owned(), reason });
    }
}
