//! Processor time of decoding and applying each kind of record.

use cowslipport_lib::fold::Outcome;
use cowslipport_lib::ids::OperationId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::ids::WaveId;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::DrainPurpose;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::record::VmStep;
use serde::Serialize;

use crate::cost::as_f64;
use crate::cost::time_each;
use crate::model;
use crate::model::FleetSize;
use crate::model::Model;
use crate::model::number;

/// Records of one kind that are applied one after another.
const RECORDS_PER_CASE: usize = 60;

/// Cost of one kind of record.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RecordCost {
    pub(crate) kind: &'static str,
    /// Mean size in bytes.
    pub(crate) bytes: f64,
    /// Processor time of decoding, in nanoseconds.
    pub(crate) decode_ns: f64,
    /// Processor time of applying, in nanoseconds.
    pub(crate) apply_ns: f64,
}

/// An initial state and records that take effect on it one after another.
struct Case {
    kind: &'static str,
    model: Model,
    records: Vec<ControlRecord>,
}

/// Measures all kinds of records on a state of this size.
pub(crate) fn measure(model: &Model, size: FleetSize) -> Vec<RecordCost> {
    let mut cases = vec![
        case("session renew", model, &|model, index| RecordBody::SessionRenew {
            session: model::session_id(index % size.sessions),
            renewal: model.state.next_offset.0,
            next_offset: model.state.next_offset,
        }),
        case("commit of one organisation", model, &|model, index| {
            model
                .commit(vec![model::organisation(index % size.organisations, 2000 + number(index))])
        }),
        case("commit of one pool", model, &|model, index| {
            model.commit(vec![model::pool(index % size.pools, 9 + number(index))])
        }),
        case("commit of one pool's budgets", model, &|model, index| {
            model.commit(vec![model::budgets(index % size.pools, 5 + number(index))])
        }),
        case("data centre set", model, &|_, index| RecordBody::DataCentreSet {
            data_centre: model::data_centre_name(3),
            in_service: index % 2 == 1,
            author: "operator@predah".to_owned(),
        }),
        case("health of one VM", model, &|_, index| {
            let vm = VmId(number(index));
            RecordBody::VmBatch(vec![VmObservation::Health { vm, health: Health::Unknown }])
        }),
        case("join of one VM", model, &|_, index| {
            RecordBody::VmBatch(vec![model::join(size.workers + index, size.pools)])
        }),
        case("leave of one VM", model, &|_, index| {
            RecordBody::VmBatch(vec![VmObservation::Left { vm: VmId(number(index)) }])
        }),
        case("ten grants of one organisation", model, &|model, index| {
            RecordBody::GrantBatch(model.grants(index % size.organisations, size.pools))
        }),
    ];
    cases.extend(operations(model));
    cases.extend(memberships(model, size));
    cases.iter().map(cost).collect()
}

/// Builds a case from the records that `body` returns. `body` is given the state
/// after the earlier records.
fn case<F>(kind: &'static str, model: &Model, body: &F) -> Case
where
    F: Fn(&Model, usize) -> RecordBody,
{
    case_with(RECORDS_PER_CASE, kind, model, body)
}

fn case_with<F>(count: usize, kind: &'static str, model: &Model, body: &F) -> Case
where
    F: Fn(&Model, usize) -> RecordBody,
{
    let start = model.clone();
    let mut model = model.clone();
    let mut records = Vec::new();
    for index in 0..count {
        let body = body(&model, index);
        let record = model.record(body);
        let outcome = model.state.apply(model.state.next_offset, &record);
        assert!(matches!(outcome, Outcome::Applied(_)), "{kind}: {outcome:?}");
        records.push(record);
    }
    Case { kind, model: start, records }
}

/// Drains of VMs with the further steps of their operations. Consecutive VMs are
/// in different pools, so no budget refuses a drain.
fn operations(model: &Model) -> Vec<Case> {
    let purpose = DrainPurpose::Wave(WaveId(0));
    let vm = |index: usize| VmId(number(index));
    let begun =
        case("drain begin", model, &|_, index| RecordBody::DrainBegin { vm: vm(index), purpose });
    let step = |kind, model: &Model, step| {
        case(kind, model, &|model, index| {
            let operation = model.state.vms.get(vm(index)).and_then(|vm| vm.operation);
            let operation = operation.map_or(OperationId(model.state.next_offset), |op| op.id);
            RecordBody::VmOperation { vm: vm(index), operation, step }
        })
    };
    let rebooting = step("VM reboots", &state_after(&begun), VmStep::Reboot);
    let done = step("VM is back", &state_after(&rebooting), VmStep::Done);
    vec![begun, rebooting, done]
}

/// The session of a process that opens and closes. The membership changes one
/// process at a time, so each case has one record.
fn memberships(model: &Model, size: FleetSize) -> Vec<Case> {
    let opened = case_with(1, "session open", model, &|_, _| {
        RecordBody::SessionOpen(model::session(size.sessions))
    });
    let closed = case_with(1, "session close", &state_after(&opened), &|_, _| {
        RecordBody::SessionClose { session: model::session_id(size.sessions), released: true }
    });
    vec![opened, closed]
}

/// The state after the records of a case.
fn state_after(case: &Case) -> Model {
    let mut model = case.model.clone();
    for record in &case.records {
        model.apply(record.body.clone());
    }
    model
}

fn cost(case: &Case) -> RecordCost {
    let encoded: Vec<Vec<u8>> = case.records.iter().map(ControlRecord::encode).collect();
    let bytes: usize = encoded.iter().map(Vec::len).sum();
    let count = encoded.len();
    let decode_ns = time_each(
        count,
        || (),
        |()| encoded.iter().map(|bytes| ControlRecord::decode(bytes)).collect::<Vec<_>>(),
    );
    let apply_ns = time_each(
        count,
        || case.model.state.clone(),
        |mut state| {
            for record in &case.records {
                state.apply(state.next_offset, record);
            }
            state
        },
    );
    RecordCost { kind: case.kind, bytes: as_f64(bytes) / as_f64(count), decode_ns, apply_ns }
}
