//! A small fleet in a folded control state, for tests of the request path.

#![allow(dead_code, reason = "each test crate uses a part")]

use std::sync::Arc;

use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::config::ConfigCommit;
use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::config::DataCentreSpec;
use cowslipport_lib::config::OrganisationKey;
use cowslipport_lib::config::OrganisationSpec;
use cowslipport_lib::config::PoolSpec;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::fold::ControlChange;
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::SessionOpen;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::resources::Resources;
use sha2::Digest;
use sha2::Sha256;

pub(crate) struct Fleet {
    pub(crate) state: ControlState,
    sequence: u64,
}

impl Fleet {
    /// Creates a fleet with four data centres, pool `p1` with `vms` instances,
    /// organisations `t1` to `t3` with keys `k1` to `k3` and shares of 1, 1 and
    /// 4, and `processes` sessions numbered from 1.
    pub(crate) fn new(vms: u32, processes: u64) -> Self {
        let mut fleet = Self { state: ControlState::default(), sequence: 0 };
        let mut changes: Vec<_> = (1..=4)
            .map(|index| {
                ConfigChange::PutDataCentre(DataCentreSpec {
                    name: format!("dc{index}"),
                    region: "south".to_owned(),
                })
            })
            .collect();
        changes.push(ConfigChange::PutPool(PoolSpec {
            name: "p1".to_owned(),
            slots_per_vm: 8,
            min_vms: 0,
            max_vms: 50,
            spare: false,
            on_data_centre_out: DataCentreOutPolicy::Finish,
            drain_timeout_ms: 60_000,
        }));
        changes.extend([organisation("t1", 1000, &["k1"]), organisation("t2", 1000, &["k2"])]);
        changes.push(organisation("t3", 4000, &["k3"]));
        fleet.commit(changes);
        fleet.apply(RecordBody::VmBatch((0..vms).map(join).collect()));
        for session in 1..=processes {
            fleet.open_session(session);
        }
        fleet
    }

    pub(crate) fn apply(&mut self, body: RecordBody) -> Vec<ControlChange> {
        self.sequence += 1;
        let record = ControlRecord { id: RecordId { writer: 1, sequence: self.sequence }, body };
        match self.state.apply(self.state.next_offset, &record) {
            Outcome::Applied(changes) => changes,
            Outcome::Void(reason) => panic!("record is void: {reason}"),
        }
    }

    pub(crate) fn commit(&mut self, changes: Vec<ConfigChange>) -> Vec<ControlChange> {
        let expected_revision = self.state.revision;
        let author = "ana".to_owned();
        self.apply(RecordBody::ConfigCommit(ConfigCommit { expected_revision, author, changes }))
    }

    pub(crate) fn open_session(&mut self, session: u64) -> Vec<ControlChange> {
        let changes = self.apply(RecordBody::SessionOpen(SessionOpen {
            session: SessionId(session),
            name: format!("entry-{session}"),
            data_centre: format!("dc{}", session % 4 + 1),
            peer_address: "127.0.0.1:1".to_owned(),
            lease_ms: 6000,
        }));
        // Members are added one at a time, after a majority has applied the
        // last change.
        let members: Vec<_> = self.state.sessions.keys().copied().collect();
        for session in members {
            let next_offset = self.state.next_offset;
            self.apply(RecordBody::SessionRenew { session, renewal: 0, next_offset });
        }
        changes
    }

    pub(crate) fn expire_session(&mut self, session: u64) -> Vec<ControlChange> {
        let session = SessionId(session);
        self.apply(RecordBody::SessionExpire { session, seen_renewal: 0, vm_gone: true })
    }
}

pub(crate) fn organisation(name: &str, share_milli: u32, keys: &[&str]) -> ConfigChange {
    let keys = keys
        .iter()
        .map(|key| OrganisationKey { name: (*key).to_owned(), sha256: Sha256::digest(key).into() })
        .collect();
    let limit = Resources::ZERO;
    ConfigChange::PutOrganisation(OrganisationSpec {
        name: name.to_owned(),
        share_milli,
        limit,
        keys,
    })
}

pub(crate) fn organisation_id(fleet: &Fleet, name: &str) -> OrganisationId {
    fleet.state.organisation_by_name(name).expect("the organisation exists")
}

fn join(index: u32) -> VmObservation {
    VmObservation::Joined(Arc::new(VmJoined {
        name: format!("vm-{index}"),
        data_centre: format!("dc{}", index % 4 + 1),
        rack: format!("r{}", index / 4),
        pool: "p1".to_owned(),
        worker_address: "127.0.0.1:2".to_owned(),
        upstream_address: format!("127.0.0.1:{}", 10_000 + index),
        capacity: Resources::ZERO,
    }))
}
