//! The parts of an encoded snapshot together are the canonical encoding.

mod fleet;

use cowslipport_lib::config::Budget;
use cowslipport_lib::config::BudgetScope;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::protos::control::Snapshot;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmObservation;
use fleet::Fleet;
use prost::Message;
use sha2::Digest;
use sha2::Sha256;

fn state(vms: u32) -> ControlState {
    let budgets = [Budget { scope: BudgetScope::Rack, max_unavailable: 1 }];
    let mut fleet = Fleet::new(3, vms, &budgets);
    fleet.commit(vec![fleet::wave("w1", &["p0", "p1"], 1, 1)]);
    fleet.apply_valid(RecordBody::VmBatch(vec![VmObservation::Left { vm: VmId(vms - 1) }]));
    fleet.state
}

/// Guards against parts that are not in the order of the fields, and against a
/// field that no part holds: a process that encodes the whole message would
/// then compute another digest. One fleet ends within a part, one at its end.
#[test]
fn parts_are_the_encoding_of_the_whole_message() {
    for vms in [10, 256, 600] {
        let state = state(vms);
        let bytes = state.encode();
        let whole = Snapshot::decode(bytes.as_slice()).expect("the parts form one message");
        assert!(whole.encode_to_vec() == bytes, "{vms} VMs");
        let digest: [u8; 32] = Sha256::digest(&bytes).into();
        assert_eq!(state.digest(), digest);
        assert_eq!(ControlState::decode(&bytes).expect("the state is valid"), state);
    }
}

/// Guards against processes that compute digests at different offsets, and
/// against an interval between digests that does not grow with the fleet.
#[test]
fn digests_are_due_at_the_same_offsets_of_the_same_state() {
    let due = |state: &mut ControlState| {
        let from = state.next_offset;
        let offsets = (from.0..from.0 + 10_000).filter(|_| {
            state.skip(state.next_offset);
            state.digest_due()
        });
        offsets.count()
    };
    let mut small = state(50);
    let mut restored = ControlState::decode(&small.encode()).expect("the state is valid");
    assert_eq!(due(&mut small), 39);
    assert_eq!(due(&mut restored), 39);
    assert_eq!(due(&mut state(1251)), 19);
}
