//! The owners of partitions change with the members and the manifest, and only
//! then.

use std::collections::BTreeMap;

use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::config::ConfigCommit;
use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::config::DataCentreSpec;
use cowslipport_lib::config::OrganisationSpec;
use cowslipport_lib::config::PoolSpec;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::RegionId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::SessionOpen;
use cowslipport_lib::resources::Resources;

fn apply(state: &mut ControlState, body: RecordBody) {
    let id = RecordId { writer: 1, sequence: state.next_offset.0 };
    let outcome = state.apply(state.next_offset, &ControlRecord { id, body });
    assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?}");
}

fn commit(state: &mut ControlState, changes: Vec<ConfigChange>) {
    let expected_revision = state.revision;
    let author = "ana".to_owned();
    let commit = ConfigCommit { expected_revision, author, changes };
    apply(state, RecordBody::ConfigCommit(commit));
}

fn open(state: &mut ControlState, session: u64, data_centre: &str) {
    let session = SessionId(session);
    apply(
        state,
        RecordBody::SessionOpen(SessionOpen {
            session,
            name: format!("entry-{session}"),
            data_centre: data_centre.to_owned(),
            peer_address: "127.0.0.1:1".to_owned(),
            lease_ms: 6000,
        }),
    );
    // The next change of the members needs a majority that has applied this.
    let next_offset = state.next_offset;
    let members: Vec<SessionId> = state.sessions.keys().copied().collect();
    for session in members {
        apply(state, RecordBody::SessionRenew { session, renewal: 1, next_offset });
    }
}

fn data_centre(name: &str, region: &str) -> ConfigChange {
    ConfigChange::PutDataCentre(DataCentreSpec { name: name.to_owned(), region: region.to_owned() })
}

fn pool(name: &str, slots_per_vm: u32) -> ConfigChange {
    ConfigChange::PutPool(PoolSpec {
        name: name.to_owned(),
        slots_per_vm,
        min_vms: 0,
        max_vms: 50,
        spare: false,
        on_data_centre_out: DataCentreOutPolicy::Finish,
        drain_timeout_ms: 60_000,
    })
}

/// Twenty pools; `dc1` in the region `south` with members 11 and 12, and `dc2`
/// in the region `north` with member 13.
fn two_regions() -> ControlState {
    let mut state = ControlState::default();
    let pools = (0..20).map(|index| pool(&format!("p{index}"), 8));
    let data_centres = [data_centre("dc1", "south"), data_centre("dc2", "north")];
    commit(&mut state, data_centres.into_iter().chain(pools).collect());
    for (session, data_centre) in [(11, "dc1"), (12, "dc1"), (13, "dc2")] {
        open(&mut state, session, data_centre);
    }
    state
}

/// Number of partitions that each member owns in a region.
fn owned(state: &ControlState, region: u32) -> BTreeMap<Option<SessionId>, usize> {
    let mut owned = BTreeMap::new();
    let in_region = |(id, _): &(&PartitionId, _)| id.region == RegionId(region);
    for (_, ownership) in state.owners.iter().filter(in_region) {
        *owned.entry(ownership.owner).or_default() += 1;
    }
    owned
}

/// Guards against a pool or a region without owners, and against owners of a
/// pool that was removed.
#[test]
fn new_partitions_get_owners_and_removed_ones_lose_them() {
    let mut state = two_regions();
    commit(&mut state, vec![pool("late", 8)]);
    assert_eq!(state.owners.len(), 42);
    commit(&mut state, vec![data_centre("dc3", "west")]);
    assert_eq!(state.owners.len(), 63);
    assert!(state.owners.values().all(|ownership| ownership.owner.is_some()));
    commit(&mut state, vec![ConfigChange::RemovePool("late".to_owned())]);
    assert_eq!(state.owners.len(), 60);
}

/// Guards against a member that keeps the partitions of a region to which its
/// data centre no longer belongs, or gets none in the new region.
#[test]
fn members_follow_a_data_centre_to_another_region() {
    let mut state = two_regions();
    let (south, north) = (0, 1);
    assert_eq!(owned(&state, north), BTreeMap::from([(Some(SessionId(13)), 20)]));
    commit(&mut state, vec![data_centre("dc2", "south")]);
    assert!(owned(&state, south).contains_key(&Some(SessionId(13))));
    // The partitions of a region without members are shared by all members.
    assert_eq!(owned(&state, north).len(), 3);
    commit(&mut state, vec![ConfigChange::RemoveDataCentre("dc2".to_owned())]);
    assert!(!owned(&state, south).contains_key(&Some(SessionId(13))));
}

/// Guards against a commit that changes owners, and so causes a takeover wait,
/// although neither the set of pools nor the regions change.
#[test]
fn commit_without_new_partitions_keeps_the_owners() {
    let mut state = two_regions();
    let before = state.owners.clone();
    let limit = Resources::ZERO;
    let name = "t1".to_owned();
    let organisation = OrganisationSpec { name, share_milli: 1000, limit, keys: Vec::new() };
    let changes = vec![
        ConfigChange::PutOrganisation(organisation),
        pool("p0", 4),
        data_centre("dc1", "south"),
    ];
    commit(&mut state, changes);
    assert_eq!(state.owners, before);
}
