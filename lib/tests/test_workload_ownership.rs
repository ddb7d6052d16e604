//! Tests of the ownership of one process.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::ownership::JoinAnswer;
use cowslipport_lib::workload::ownership::Ownership;
use cowslipport_lib::workload::ownership::OwnershipChange;

const TTL_MS: u64 = 1_000;

fn answer(generation: u64) -> JoinAnswer {
    JoinAnswer { generation, is_owner: true }
}

const GAINED: fn(u64) -> Option<OwnershipChange> = |epoch| Some(OwnershipChange::Gained { epoch });
const USED: fn(u64) -> Option<OwnershipChange> = |epoch| Some(OwnershipChange::EpochUsed { epoch });

/// Two ownerships of a process must not have the same epoch: the store would
/// drop the first appends of the second one.
#[test]
fn epoch_is_granted_once() {
    let mut ownership = Ownership::new(TTL_MS);
    ownership.join_answered(TimeMs(0), JoinAnswer { generation: 6, is_owner: false });
    assert_eq!(ownership.join_answered(TimeMs(100), answer(7)), GAINED(7));
    ownership.give_up();
    assert_eq!(ownership.join_answered(TimeMs(200), answer(7)), USED(7));
    assert_eq!(ownership.epoch(), None);
    assert!(!ownership.is_confirmed(TimeMs(250)));
    assert_eq!(ownership.join_answered(TimeMs(300), answer(8)), GAINED(8));
}

/// The first answer may confirm the ownership of a former incarnation that had
/// the same name in the group.
#[test]
fn epoch_of_a_former_incarnation_is_not_granted() {
    let mut ownership = Ownership::new(TTL_MS);
    assert_eq!(ownership.join_answered(TimeMs(0), answer(4)), USED(4));
    assert_eq!(ownership.join_answered(TimeMs(10), answer(4)), USED(4));
    assert!(!ownership.is_confirmed(TimeMs(10)));
    assert_eq!(ownership.join_answered(TimeMs(20), answer(6)), GAINED(6));
}

/// Another member may have been the owner while this one did not reach the
/// store.
#[test]
fn ownership_after_an_expired_one_has_a_higher_epoch() {
    let mut ownership = Ownership::new(TTL_MS);
    ownership.join_answered(TimeMs(0), JoinAnswer { generation: 2, is_owner: false });
    assert_eq!(ownership.join_answered(TimeMs(0), answer(3)), GAINED(3));
    let change = ownership.join_answered(TimeMs(2_000), answer(5));
    assert_eq!(change, Some(OwnershipChange::Lost));
    let change = ownership.join_answered(TimeMs(2_300), answer(5));
    assert_eq!(change, Some(OwnershipChange::Gained { epoch: 5 }));
}
