//! Freshness and authority of five processes that read one log and ask each
//! other, while links and the log fail. Messages take time, and a process may
//! be paused between any two steps.

use cowslipport_lib::freshness::CONFIRMATION_MAX_AGE_MS;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::time::TimeMs;
use rand::Rng;

use crate::freshness_world::*;

mod freshness_world;

const DEFAULT_SEEDS: u64 = 16;

fn take_out() -> RecordBody {
    RecordBody::DataCentreSet {
        data_centre: "dc1".to_owned(),
        in_service: false,
        author: "ana".to_owned(),
    }
}

fn seeds() -> u64 {
    let asked = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    asked.unwrap_or(DEFAULT_SEEDS)
}

/// Guards against a withdrawn key or a data centre taken out that still counts
/// on a process that is cut off, and against two owners that start work at the
/// same time, under random cuts, log outages and pauses.
#[test]
fn accepted_records_count_within_two_seconds_and_owners_exclude_each_other() {
    for seed in 0..seeds() {
        let mut world = World::new(seed);
        let mut commits = 0;
        for _ in 0..60 {
            random_fault(&mut world);
            if world.rng.random_bool(0.5) {
                commits += 1;
                let writer = world.rng.random_range(0..PROCESSES);
                if world.log_up[writer] {
                    world.append(1000 + writer as u64, commits, take_out());
                }
            }
            let pause_ms = world.rng.random_range(100..6_000);
            world.run_ms(pause_ms);
        }
    }
}

fn random_fault(world: &mut World) {
    let index = world.rng.random_range(0..PROCESSES);
    let other = world.rng.random_range(0..PROCESSES);
    match world.rng.random_range(0..8) {
        0 => world.log_up = [false; PROCESSES],
        1 => world.log_up = [true; PROCESSES],
        2 => world.log_up[index] = !world.log_up[index],
        3 => {
            let up = !world.link_up[index][other];
            world.link_up[index][other] = up;
            world.link_up[other][index] = up;
        }
        4 => world.link_up = [[true; PROCESSES]; PROCESSES],
        5 => {
            for other in 0..PROCESSES {
                world.link_up[index][other] = false;
                world.link_up[other][index] = false;
            }
        }
        6 => {
            let pause_ms = world.rng.random_range(100..15_000);
            world.processes[index].paused_until = world.now.plus(pause_ms);
        }
        _ => {}
    }
}

fn views(world: &World) -> Vec<ViewState> {
    let view = |(index, process): (usize, &Process)| {
        process.freshness.view(world.now, session(index), &process.state)
    };
    world.processes.iter().enumerate().map(view).collect()
}

/// Guards against an outage of the log that stops all work.
#[test]
fn log_outage_of_an_hour_leaves_every_process_able_to_work() {
    let mut world = World::new(7);
    world.log_up = [false; PROCESSES];
    world.run_ms(4_000);
    for _ in 0..36 {
        world.run_ms(100_000);
        assert_eq!(views(&world), [ViewState::Outage; PROCESSES]);
    }
    world.log_up = [true; PROCESSES];
    world.run_ms(10_000);
    assert_eq!(views(&world), [ViewState::Confirmed; PROCESSES]);
}

/// Guards against work in a minority that is cut off from log and majority.
#[test]
fn minority_without_the_log_is_stale_within_the_bound() {
    let mut world = World::new(8);
    for cut in 0..2 {
        world.log_up[cut] = false;
        for other in 2..PROCESSES {
            world.link_up[cut][other] = false;
            world.link_up[other][cut] = false;
        }
    }
    world.run_ms(CONFIRMATION_MAX_AGE_MS + STEP_MS + MAX_DELAY_MS);
    assert_eq!(&views(&world)[..2], [ViewState::Stale; 2]);
    assert_eq!(&views(&world)[2..], [ViewState::Confirmed; 3]);
}

/// Guards against a process that loses the log alone and stops working though
/// its peers tell it of the head.
#[test]
fn process_without_the_log_is_confirmed_by_its_peers() {
    let mut world = World::new(9);
    world.log_up[0] = false;
    world.run_ms(10_000);
    world.append(1000, 1, take_out());
    world.run_ms(4_000);
    assert_eq!(views(&world)[0], ViewState::Confirmed);
    let known = world.processes[0].state.next_offset;
    assert!(world.accepted_at.range(known..).all(|(_, at)| world.now.since(*at) <= 2_000));
    assert!(!world.processes[0].state.data_centres.iter().any(|(_, entry)| entry.in_service));
}

/// Guards against partitions that stay without an owner after a crash for
/// longer than the design says, at its latencies: the log is followed by long
/// polls and a message takes a few milliseconds.
#[test]
fn partitions_of_a_crashed_owner_pass_on_within_eleven_seconds() {
    let mut world = World::new(10);
    world.max_delay_ms = 10;
    world.poll_interval_ms = STEP_MS;
    world.run_ms(2_000);
    let crashed_at = world.now;
    world.processes[0].paused_until = TimeMs(u64::MAX);
    world.run_ms(11_000);
    let owned = world.processes[1].state.owners.len();
    let recent = crashed_at.plus(10_000);
    let granted = world.last_granted.iter().filter(|(key, at)| key.1 != 0 && **at > recent);
    assert_eq!(granted.count(), owned);
}
