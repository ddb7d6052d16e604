//! VMs and racks are found by name, and copies of the state share the
//! descriptions of VMs.

use std::sync::Arc;

use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::config::ConfigCommit;
use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::config::DataCentreSpec;
use cowslipport_lib::config::PoolSpec;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::Revision;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::resources::Resources;

const VMS: u32 = 40;

fn apply(state: &mut ControlState, body: RecordBody) -> Outcome {
    let id = RecordId { writer: 1, sequence: state.next_offset.0 };
    state.apply(state.next_offset, &ControlRecord { id, body })
}

/// Returns a name; the names are in another order than the indices.
fn name(index: u32) -> String {
    format!("vm-{}", index * 17 % VMS)
}

fn join(index: u32) -> VmObservation {
    let joined = VmJoined {
        name: name(index),
        data_centre: "dc1".to_owned(),
        rack: format!("r{}", index * 7 % 10),
        pool: "p1".to_owned(),
        worker_address: "127.0.0.1:2".to_owned(),
        upstream_address: String::new(),
        capacity: Resources::ZERO,
    };
    VmObservation::Joined(Arc::new(joined))
}

fn joined() -> ControlState {
    let mut state = ControlState::default();
    let region = "south".to_owned();
    let changes = vec![
        ConfigChange::PutDataCentre(DataCentreSpec { name: "dc1".to_owned(), region }),
        ConfigChange::PutPool(PoolSpec {
            name: "p1".to_owned(),
            slots_per_vm: 8,
            min_vms: 0,
            max_vms: 50,
            spare: false,
            on_data_centre_out: DataCentreOutPolicy::Finish,
            drain_timeout_ms: 60_000,
        }),
    ];
    let author = "ana".to_owned();
    let commit = ConfigCommit { expected_revision: Revision(0), author, changes };
    apply(&mut state, RecordBody::ConfigCommit(commit));
    apply(&mut state, RecordBody::VmBatch((0..VMS).map(join).collect()));
    state
}

/// Guards against a VM that is not found, is found under the name of another
/// VM, or joins twice, while other VMs leave and after a snapshot.
#[test]
fn vms_are_found_by_name() {
    let mut state = joined();
    let leaves = (0..VMS).step_by(3).map(|index| VmObservation::Left { vm: VmId(index) });
    apply(&mut state, RecordBody::VmBatch(leaves.collect()));
    let restored = ControlState::decode(&state.encode()).expect("a snapshot decodes");
    assert_eq!(restored, state);
    for state in [&mut state, &mut restored.clone()] {
        for index in 0..VMS {
            let expected = (index % 3 != 0).then_some(VmId(index));
            assert_eq!(state.vm_by_name(&name(index)), expected);
        }
        apply(state, RecordBody::VmBatch((0..VMS).map(join).collect()));
        assert_eq!((state.vms.len(), state.racks.len()), (40, 10));
        assert!((0..VMS).all(|index| {
            let vm = state.vm_by_name(&name(index)).and_then(|id| state.vms.get(id));
            vm.is_some_and(|vm| vm.joined.name == name(index))
        }));
    }
}

/// Guards against copies of the state that each hold all names and addresses;
/// they would not fit into the memory of an entry VM.
#[test]
fn copies_share_the_descriptions_of_vms() {
    let record = RecordBody::VmBatch((0..VMS).map(join).collect());
    let mut states = [joined(), joined()];
    for state in &mut states {
        let leaves = (0..VMS).map(|index| VmObservation::Left { vm: VmId(index) }).collect();
        apply(state, RecordBody::VmBatch(leaves));
        apply(state, record.clone());
    }
    let [left, right] = &states;
    assert_eq!(left.vms.len(), 40);
    for (id, vm) in left.vms.iter() {
        let other = right.vms.get(id).expect("both have the VM");
        assert!(Arc::ptr_eq(&vm.joined, &other.joined));
    }
}
