//! The control state decides between conflicting records by their order, and
//! stays correct across retries, snapshots and lowered limits.

use cowslipport_lib::config::Budget;
use cowslipport_lib::config::BudgetScope;
use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::config::ConfigCommit;
use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::config::DataCentreSpec;
use cowslipport_lib::config::OrganisationSpec;
use cowslipport_lib::config::PoolSpec;
use cowslipport_lib::config::WaveSpec;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::fold::VoidReason;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::OperationId;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::RegionId;
use cowslipport_lib::ids::Revision;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::ids::WaveId;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::DrainPurpose;
use cowslipport_lib::record::GrantChange;
use cowslipport_lib::record::GrantDirection;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::SessionOpen;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::record::VmStep;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::snapshot::encode_chunks;
use cowslipport_lib::snapshot::newest_snapshot;

struct Fold {
    state: ControlState,
    sequence: u64,
}

impl Fold {
    fn apply(&mut self, body: RecordBody) -> Outcome {
        self.sequence += 1;
        let record = ControlRecord { id: RecordId { writer: 1, sequence: self.sequence }, body };
        let record = ControlRecord::decode(&record.encode()).expect("an encoded record decodes");
        self.state.apply(self.state.next_offset, &record)
    }

    fn apply_valid(&mut self, body: RecordBody) {
        let outcome = self.apply(body);
        assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?}");
    }
}

impl Fold {
    fn renew(&mut self, session: u64, renewal: u64) {
        let next_offset = self.state.next_offset;
        let session = SessionId(session);
        self.apply_valid(RecordBody::SessionRenew { session, renewal, next_offset });
    }
}

fn cpu(cpu_milli: u64) -> Resources {
    Resources { cpu_milli, memory_bytes: cpu_milli, accelerators: 0 }
}

fn pool(name: &str) -> ConfigChange {
    ConfigChange::PutPool(PoolSpec {
        name: name.to_owned(),
        slots_per_vm: 8,
        min_vms: 0,
        max_vms: 50,
        spare: false,
        on_data_centre_out: DataCentreOutPolicy::Finish,
        drain_timeout_ms: 60_000,
    })
}

fn organisation(limit: Resources) -> ConfigChange {
    let name = "t1".to_owned();
    ConfigChange::PutOrganisation(OrganisationSpec {
        name,
        share_milli: 1000,
        limit,
        keys: Vec::new(),
    })
}

fn wave() -> ConfigChange {
    ConfigChange::PutWave(WaveSpec {
        name: "w1".to_owned(),
        pools: vec!["p1".to_owned()],
        initial_width: 1,
        max_width: 4,
        max_failed: 1,
        soak_ms: 1000,
        reboot_timeout_ms: 1000,
    })
}

fn commit(expected: u64, author: &str, changes: Vec<ConfigChange>) -> RecordBody {
    let expected_revision = Revision(expected);
    RecordBody::ConfigCommit(ConfigCommit { expected_revision, author: author.to_owned(), changes })
}

fn open(session: u64) -> RecordBody {
    open_as(session, &format!("entry-{session}"))
}

fn open_as(session: u64, name: &str) -> RecordBody {
    RecordBody::SessionOpen(SessionOpen {
        session: SessionId(session),
        name: name.to_owned(),
        data_centre: "dc1".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        lease_ms: 6000,
    })
}

fn join(index: u32) -> VmObservation {
    VmObservation::Joined(
        VmJoined {
            name: format!("vm-{index}"),
            data_centre: "dc1".to_owned(),
            rack: format!("r{}", index / 4),
            pool: "p1".to_owned(),
            worker_address: "127.0.0.1:2".to_owned(),
            upstream_address: String::new(),
            capacity: cpu(32_000),
        }
        .into(),
    )
}

/// Two pools, one organisation with a limit of 10 cores, one wave, 8 VMs in one
/// data centre, a budget of two VMs for `p1`, and two sessions.
fn fleet() -> Fold {
    let mut fold = Fold { state: ControlState::default(), sequence: 0 };
    let data_centre = DataCentreSpec { name: "dc1".to_owned(), region: "south".to_owned() };
    let budgets = vec![Budget { scope: BudgetScope::Pool, max_unavailable: 2 }];
    fold.apply_valid(commit(
        0,
        "ana",
        vec![
            ConfigChange::PutDataCentre(data_centre),
            pool("p1"),
            pool("p2"),
            ConfigChange::PutBudgets { pool: "p1".to_owned(), budgets },
            organisation(cpu(10_000)),
            wave(),
        ],
    ));
    fold.apply_valid(RecordBody::VmBatch((0..8).map(join).collect()));
    fold.apply_valid(open(11));
    fold.renew(11, 1);
    fold.apply_valid(open(12));
    fold.renew(11, 2);
    fold.renew(12, 1);
    fold
}

fn partition(pool: u32) -> PartitionId {
    PartitionId { pool: PoolId(pool), region: RegionId(0) }
}

fn grant(fold: &Fold, pool: u32, direction: GrantDirection, amount: Resources) -> RecordBody {
    let partition = partition(pool);
    let owner = fold.state.owners[&partition].owner.expect("a member owns the partition");
    RecordBody::GrantBatch(vec![GrantChange {
        organisation: OrganisationId(0),
        partition,
        owner,
        direction,
        amount,
    }])
}

fn drain(vm: u32) -> RecordBody {
    RecordBody::DrainBegin { vm: VmId(vm), purpose: DrainPurpose::Wave(WaveId(0)) }
}

/// Guards against a second operator overwriting the commit of the first.
#[test]
fn racing_commit_is_void_and_names_the_first_author() {
    let mut fold = fleet();
    fold.apply_valid(commit(1, "ana", vec![organisation(cpu(1))]));
    let outcome = fold.apply(commit(1, "bo", vec![organisation(cpu(2))]));
    let author = "ana".to_owned();
    let reason = VoidReason::RevisionConflict { expected: 1, found: 2, author };
    assert_eq!(outcome, Outcome::Void(reason));
    assert_eq!(fold.state.organisations.get(OrganisationId(0)).unwrap().spec.limit, cpu(1));
}

/// Guards against a retry after a lost reply taking effect twice.
#[test]
fn repeated_append_is_void() {
    let mut fold = fleet();
    let body = grant(&fold, 0, GrantDirection::Take, cpu(4000));
    let record = ControlRecord { id: RecordId { writer: 9, sequence: 1 }, body };
    let first = fold.state.apply(fold.state.next_offset, &record);
    let second = fold.state.apply(fold.state.next_offset, &record);
    assert!(matches!(first, Outcome::Applied(_)));
    assert_eq!(second, Outcome::Void(VoidReason::Duplicate));
    assert_eq!(fold.state.granted(OrganisationId(0)), cpu(4000));
}

/// Guards against two partitions that together hold more than the limit of an
/// organisation, also after the limit was lowered.
#[test]
fn grants_never_rise_above_the_limit() {
    let mut fold = fleet();
    let take = grant(&fold, 0, GrantDirection::Take, cpu(6000));
    fold.apply_valid(take);
    let take = grant(&fold, 1, GrantDirection::Take, cpu(6000));
    assert_eq!(fold.apply(take), Outcome::Void(VoidReason::EmptyBatch));
    fold.apply_valid(commit(1, "ana", vec![organisation(cpu(5000))]));
    let take = grant(&fold, 1, GrantDirection::Take, cpu(1));
    assert_eq!(fold.apply(take), Outcome::Void(VoidReason::EmptyBatch));
    let returned = grant(&fold, 0, GrantDirection::Return, cpu(3000));
    fold.apply_valid(returned);
    let take = grant(&fold, 1, GrantDirection::Take, cpu(2000));
    fold.apply_valid(take);
    assert_eq!(fold.state.granted(OrganisationId(0)), cpu(5000));
}

/// Guards against a former owner changing the grants of a partition.
#[test]
fn grant_of_a_former_owner_is_void() {
    let mut fold = fleet();
    let body = grant(&fold, 0, GrantDirection::Take, cpu(1000));
    let owner = fold.state.owners[&partition(0)].owner.unwrap();
    let seen_renewal = fold.state.sessions[&owner].renewal;
    let vm_gone = false;
    fold.apply_valid(RecordBody::SessionExpire { session: owner, seen_renewal, vm_gone });
    assert_eq!(fold.apply(body), Outcome::Void(VoidReason::EmptyBatch));
}

/// Guards against concurrent drains that each respect a budget and together
/// exceed it.
#[test]
fn third_drain_is_void_for_a_budget_of_two() {
    let mut fold = fleet();
    fold.apply_valid(drain(0));
    fold.apply_valid(drain(1));
    let outcome = fold.apply(drain(2));
    assert!(matches!(outcome, Outcome::Void(VoidReason::BudgetExceeded { .. })), "{outcome:?}");
}

/// Guards against a budget that does not count the VMs of a data centre which
/// is out of service.
#[test]
fn vms_of_a_data_centre_out_of_service_use_the_budget() {
    let mut fold = fleet();
    fold.apply_valid(RecordBody::DataCentreSet {
        data_centre: "dc1".to_owned(),
        in_service: false,
        author: "ana".to_owned(),
    });
    // The drain of a VM that is unavailable already does not use the budget.
    fold.apply_valid(drain(0));
    fold.apply_valid(RecordBody::DataCentreSet {
        data_centre: "dc1".to_owned(),
        in_service: true,
        author: "ana".to_owned(),
    });
    fold.apply_valid(drain(1));
    assert!(matches!(fold.apply(drain(2)), Outcome::Void(_)));
}

/// Guards against a VM that is moved twice: its owner repeats the move after a
/// lost reply, or continues with an operation that has ended.
#[test]
fn move_takes_effect_once_and_only_for_its_operation() {
    let mut fold = fleet();
    let operation = OperationId(fold.state.next_offset);
    let purpose = DrainPurpose::Move(PoolId(1));
    fold.apply_valid(RecordBody::DrainBegin { vm: VmId(3), purpose });
    let step = |step| RecordBody::VmOperation { vm: VmId(3), operation, step };
    let moved_at = fold.state.next_offset;
    fold.apply_valid(step(VmStep::Move));
    // Owners fence a worker by this offset, since the epochs of its former
    // partition may be higher than those of the new one.
    assert_eq!(fold.state.vms.get(VmId(3)).unwrap().pool_since, moved_at);
    assert!(matches!(fold.apply(step(VmStep::Move)), Outcome::Void(_)));
    fold.apply_valid(step(VmStep::Done));
    assert!(matches!(fold.apply(step(VmStep::Move)), Outcome::Void(_)));
    assert_eq!(fold.state.vms.get(VmId(3)).unwrap().pool, PoolId(1));
}

/// Guards against expiry of a session that was renewed before the expiry was
/// applied.
#[test]
fn expiry_that_missed_a_renewal_is_void() {
    let mut fold = fleet();
    let session = SessionId(11);
    fold.apply_valid(RecordBody::SessionRenew { session, renewal: 1, next_offset: Offset(0) });
    let outcome =
        fold.apply(RecordBody::SessionExpire { session, seen_renewal: 0, vm_gone: false });
    assert_eq!(outcome, Outcome::Void(VoidReason::SessionNotExpired(session)));
}

/// Guards against a part of the state that snapshots leave out: a process that
/// starts from a snapshot would then differ from the others.
#[test]
fn snapshot_restores_an_equal_state() {
    let mut fold = fleet();
    fold.apply_valid(drain(0));
    let take = grant(&fold, 0, GrantDirection::Take, cpu(4000));
    fold.apply_valid(take);
    fold.apply_valid(RecordBody::VmBatch(vec![VmObservation::Left { vm: VmId(5) }]));
    fold.apply_valid(commit(1, "ana", vec![ConfigChange::RemoveOrganisation("t1".to_owned())]));
    let restored = newest_snapshot(&encode_chunks(&fold.state)).expect("the snapshot is whole");
    assert_eq!(restored, fold.state);
    assert_eq!(restored.digest(), fold.state.digest());
}

/// Guards against use of a snapshot that lacks a chunk.
#[test]
fn incomplete_snapshot_is_skipped_for_an_older_one() {
    let mut fold = fleet();
    let older = encode_chunks(&fold.state);
    let expected = fold.state.clone();
    fold.apply_valid(RecordBody::VmBatch((8..2000).map(join).collect()));
    let mut records = older;
    let newer = encode_chunks(&fold.state);
    assert!(newer.len() > 1);
    records.extend(newer.into_iter().skip(1));
    assert_eq!(newest_snapshot(&records), Some(expected));
}

/// Guards against a change of the members before a majority has applied the
/// last one. Majorities before and after two changes need not share a member,
/// so a process that alone reaches the log could outvote the others.
#[test]
fn second_change_of_the_members_waits_for_a_majority() {
    let mut fold = fleet();
    fold.apply_valid(open(13));
    let pending = VoidReason::MembershipPending(fold.state.quorum_epoch);
    assert_eq!(fold.apply(open(14)), Outcome::Void(pending.clone()));
    let session = SessionId(11);
    let expire = |vm_gone| RecordBody::SessionExpire { session, seen_renewal: 2, vm_gone };
    assert_eq!(fold.apply(expire(false)), Outcome::Void(pending));
    fold.apply_valid(expire(true));
    fold.renew(12, 2);
    fold.renew(13, 1);
    fold.apply_valid(open(14));
}

/// Guards against processes that were all restarted and can never join, because
/// the sessions from before the restart form the majority.
#[test]
fn restart_of_all_processes_forms_a_new_membership() {
    let mut fold = fleet();
    fold.apply_valid(open_as(21, "entry-11"));
    fold.apply_valid(open_as(22, "entry-12"));
    fold.renew(21, 1);
    fold.apply_valid(open_as(22, "entry-12"));
    let sessions: Vec<SessionId> = fold.state.sessions.keys().copied().collect();
    assert_eq!(sessions, [SessionId(21), SessionId(22)]);
}
