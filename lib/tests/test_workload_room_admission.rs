//! Load pattern: demand rises above what a pool can serve, and nodes refuse jobs that
//! would be of no value when they end.

mod workload_fake;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::owner_record::OwnershipRecord;
use cowslipport_lib::workload::pool_room::ComingVms;
use cowslipport_lib::workload::pool_room::OrderPlace;
use cowslipport_lib::workload::pool_room::PoolRoom;
use cowslipport_lib::workload::pool_room::WaitingWork;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::return_schedule::ReturnSchedule;
use cowslipport_lib::workload::return_schedule::ReturnShare;
use cowslipport_lib::workload::room_admission::RoomAdmission;
use cowslipport_lib::workload::room_admission::RoomDecision;
use cowslipport_lib::workload::spec::JobSpec;
use cowslipport_lib::workload::spec::Schedule;
use cowslipport_lib::workload::spec::StepSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::workload_fake::Fleet;
use crate::workload_fake::POOL;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const ALONE: ReturnShare = ReturnShare { nodes: 1, index: 0 };
const NOW: TimeMs = TimeMs(10_000);

/// Four tasks of four cores, which take half a second each: 8,000 core-milliseconds.
fn small_job() -> JobSpec {
    job(vec![step(4, cores(4))])
}

/// A pool of 16 cores, all in use, with this much work before a small job.
fn full_room(work_core_ms: u64) -> PoolRoom {
    let waiting = vec![WaitingWork { place: OrderPlace::of_new_job(&small_job()), work_core_ms }];
    PoolRoom {
        pool: POOL.to_owned(),
        capacity_cpu_milli: 16_000,
        used_cpu_milli: 16_000,
        waiting,
        ..PoolRoom::default()
    }
}

fn admission(room: PoolRoom) -> RoomAdmission {
    let mut admission = RoomAdmission::default();
    admission.rooms_received(NOW, vec![room]);
    admission
}

fn is_refused(admission: &mut RoomAdmission, now: TimeMs, spec: &JobSpec) -> bool {
    match admission.decide(now, spec, ALONE) {
        RoomDecision::Accept => false,
        RoomDecision::Refuse { .. } => true,
    }
}

/// The owner states the rise of demand in its record, and a node that reads it refuses
/// new jobs; when the work is done, it accepts them again. With the switch off, nothing
/// is stated.
#[test]
fn rise_of_demand_is_stated_and_ends() {
    let mut fleet = Fleet::new(2, cores(8));
    for key in 0..100 {
        fleet.submit(key, small_job(), SHORT_WORK);
    }
    fleet.advance(1_000);
    let stated = |fleet: &Fleet| {
        let record = fleet.store.get(&RecordKey::Ownership).expect("a record");
        OwnershipRecord::decode(record).expect("a valid record").rooms
    };
    assert_eq!(stated(&fleet), Vec::new(), "nothing is stated without a measurement");
    let measure = |fleet: &mut Fleet| {
        let now = fleet.time();
        let owner = fleet.owner.as_mut().expect("an owner");
        let rooms = owner.measure_rooms(now, fleet.now, &fleet.catalog, &ComingVms::default());
        owner.set_rooms(rooms);
        fleet.advance(1_100);
    };
    measure(&mut fleet);
    let mut admission = RoomAdmission::default();
    admission.rooms_received(NOW, stated(&fleet));
    assert!(is_refused(&mut admission, NOW, &small_job()));
    fleet.advance(200_000);
    measure(&mut fleet);
    admission.rooms_received(NOW, stated(&fleet));
    assert!(!is_refused(&mut admission, NOW, &small_job()));
    fleet.assert_no_violations();
}

/// A job that would be late, but of value to its caller, waits: its objective is 1.4 s
/// and its work takes 0.5 s, so it is of value after 3.7 s of waiting.
#[test]
fn job_that_would_be_of_value_is_accepted() {
    assert!(!is_refused(&mut admission(full_room(59_200)), NOW, &small_job()));
    assert!(is_refused(&mut admission(full_room(59_300)), NOW, &small_job()));
}

/// Work behind a job doesn't keep it waiting: one of less work, or more urgent, is placed
/// first.
#[test]
fn work_behind_a_job_does_not_count() {
    let mut admission = admission(full_room(1_000_000));
    assert!(is_refused(&mut admission, NOW, &small_job()));
    assert!(!is_refused(&mut admission, NOW, &job(vec![step(1, cores(1))])));
    let mut room = full_room(1_000_000);
    room.waiting[0].place.priority = 1;
    admission.rooms_received(NOW, vec![room]);
    assert!(!is_refused(&mut admission, NOW, &small_job()));
}

/// Long-running and scheduled jobs are not refused for room, and old rooms say nothing:
/// the store may be away, and the peak over.
#[test]
fn doubts_count_for_the_job() {
    let mut admission = admission(full_room(1_000_000));
    let long = StepSpec { long_running: true, ..step(4, cores(4)) };
    assert!(!is_refused(&mut admission, NOW, &job(vec![long])));
    let schedule = Some(Schedule { occurrences: 2, first_due_unix_ms: 20_000, interval_ms: 1_000 });
    assert!(!is_refused(&mut admission, NOW, &JobSpec { schedule, ..small_job() }));
    let elsewhere = JobSpec { pool: "other".to_owned(), ..small_job() };
    assert!(!is_refused(&mut admission, NOW, &elsewhere));
    assert!(is_refused(&mut admission, NOW.plus(2_500), &small_job()));
    assert!(!is_refused(&mut admission, NOW.plus(2_501), &small_job()));
}

/// No refusal with room free, over random rooms and jobs, also on the way: VMs that move
/// to the pool or are on standby count as room.
#[test]
fn no_refusal_with_room_free() {
    let mut rng = ChaCha8Rng::seed_from_u64(46);
    let mut refusals = 0;
    for _ in 0..2_000 {
        let mut room = full_room(rng.random_range(0..200_000));
        room.used_cpu_milli = rng.random_range(0..=16_000);
        room.long_running_cpu_milli = rng.random_range(0..=room.used_cpu_milli);
        let free = room.capacity_cpu_milli - room.used_cpu_milli;
        let spec = job(vec![step(rng.random_range(1..=8), cores(rng.random_range(1..=4)))]);
        let first = u64::from(spec.steps[0].task_count) * spec.steps[0].request.cpu_milli;
        let refused = is_refused(&mut admission(room), NOW, &spec);
        refusals += u32::from(refused);
        assert!(!refused || free < first, "{spec:?} is refused with {free} free");
    }
    assert!(refusals > 100, "only {refusals} refusals");
    let mut fleet = Fleet::new(2, cores(8));
    for key in 0..100 {
        fleet.submit(key, small_job(), SHORT_WORK);
    }
    fleet.advance(500);
    let now = fleet.time();
    let coming = ComingVms { standby_cpu_milli: 64_000, ..ComingVms::default() };
    let owner = fleet.owner.as_ref().expect("an owner");
    let rooms = owner.measure_rooms(now, fleet.now, &fleet.catalog, &coming);
    assert!(!is_refused(&mut admission(rooms[0].clone()), NOW, &small_job()));
}

/// A node counts what it has accepted since the owner measured, so that it doesn't give
/// the same room to a whole peak.
#[test]
fn node_counts_what_it_has_accepted() {
    let room = PoolRoom { used_cpu_milli: 0, ..full_room(1_000_000) };
    let mut admission = admission(room.clone());
    assert!(!is_refused(&mut admission, NOW, &small_job()));
    assert!(is_refused(&mut admission, NOW, &small_job()), "the room is taken");
    admission.rooms_received(NOW.plus(100), vec![room.clone()]);
    assert!(is_refused(&mut admission, NOW.plus(100), &small_job()), "the rooms may lack it");
    admission.rooms_received(NOW.plus(1_100), vec![room]);
    assert!(!is_refused(&mut admission, NOW.plus(1_100), &small_job()));
}

/// Who was refused first returns first, at any times of refusal, and each not before the
/// pool has room for it.
#[test]
fn callers_return_in_the_order_of_refusal() {
    let mut rng = ChaCha8Rng::seed_from_u64(47);
    let mut schedule = ReturnSchedule::default();
    let (mut now, mut last_return) = (TimeMs(0), TimeMs(0));
    for _ in 0..1_000 {
        now = now.plus(rng.random_range(0..700));
        let earliest_ms = rng.random_range(0..5_000);
        let delay_ms = schedule.assign(now, earliest_ms, rng.random_range(0..500), ALONE);
        assert_eq!(delay_ms % 1_000, 0, "callers are told whole seconds");
        assert!(delay_ms >= earliest_ms.max(1_000));
        assert!(now.plus(delay_ms) >= last_return);
        last_return = now.plus(delay_ms);
    }
}

/// Twenty nodes refuse five callers each at the same moment, and the pool serves ten of
/// them a second: they return at that rate.
#[test]
fn returns_of_many_nodes_are_spread() {
    let mut returns = [0; 15];
    for index in 0..20 {
        let mut schedule = ReturnSchedule::default();
        for _ in 0..5 {
            let share = ReturnShare { nodes: 20, index };
            let delay_ms = schedule.assign(NOW, 2_000, 100, share);
            returns[usize::try_from(delay_ms / 1_000).expect("a few seconds")] += 1;
        }
    }
    assert_eq!(returns.iter().sum::<u32>(), 100);
    assert!(returns.iter().all(|count| *count <= 11), "{returns:?}");
    assert_eq!(returns[..2], [0, 0], "nobody returns in vain");
}
