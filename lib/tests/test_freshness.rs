//! Freshness of the views and authority of the owners among five processes that
//! read one log and exchange reports, while links and the log fail. Messages
//! are delayed, and a process may be paused between any two steps.

use cowslipport_lib::freshness::CONFIRMATION_MAX_AGE_MS;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::time::TimeMs;
use rand::Rng;

use crate::freshness_world::*;

mod freshness_world;

const DEFAULT_SEEDS: u64 = 16;

fn take_data_centre_out() -> RecordBody {
    RecordBody::DataCentreSet {
        data_centre: "dc1".to_owned(),
        in_service: false,
        author: "ana".to_owned(),
    }
}

fn seeds() -> u64 {
    let requested = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    requested.unwrap_or(DEFAULT_SEEDS)
}

/// Guards against a process that is cut off and still accepts a withdrawn key
/// or uses a data centre that was taken out of service, and against two owners
/// that start work at the same time, under random partitions, outages of the
/// log and pauses.
#[test]
fn accepted_records_are_known_within_two_seconds_and_owners_exclude_each_other() {
    for seed in 0..seeds() {
        let mut sim = Simulation::new(seed);
        let mut commits = 0;
        for _ in 0..60 {
            random_fault(&mut sim);
            if sim.rng.random_bool(0.5) {
                commits += 1;
                let writer = sim.rng.random_range(0..PROCESSES);
                if sim.log_up[writer] {
                    sim.append(1000 + writer as u64, commits, take_data_centre_out());
                }
            }
            let pause_ms = sim.rng.random_range(100..6_000);
            sim.run_ms(pause_ms);
        }
    }
}

fn random_fault(sim: &mut Simulation) {
    let index = sim.rng.random_range(0..PROCESSES);
    let other = sim.rng.random_range(0..PROCESSES);
    match sim.rng.random_range(0..8) {
        0 => sim.log_up = [false; PROCESSES],
        1 => sim.log_up = [true; PROCESSES],
        2 => sim.log_up[index] = !sim.log_up[index],
        3 => {
            let up = !sim.link_up[index][other];
            sim.link_up[index][other] = up;
            sim.link_up[other][index] = up;
        }
        4 => sim.link_up = [[true; PROCESSES]; PROCESSES],
        5 => {
            for other in 0..PROCESSES {
                sim.link_up[index][other] = false;
                sim.link_up[other][index] = false;
            }
        }
        6 => {
            let pause_ms = sim.rng.random_range(100..15_000);
            sim.processes[index].paused_until = sim.now.plus(pause_ms);
        }
        _ => {}
    }
}

fn views(sim: &Simulation) -> Vec<ViewState> {
    let view = |(index, process): (usize, &Process)| {
        process.freshness.view(sim.now, session(index), &process.state)
    };
    sim.processes.iter().enumerate().map(view).collect()
}

/// Guards against an outage of the log that makes all views stale and so stops
/// all work.
#[test]
fn log_outage_of_an_hour_leaves_every_process_able_to_work() {
    let mut sim = Simulation::new(7);
    sim.log_up = [false; PROCESSES];
    sim.run_ms(4_000);
    for _ in 0..36 {
        sim.run_ms(100_000);
        assert_eq!(views(&sim), [ViewState::Outage; PROCESSES]);
    }
    sim.log_up = [true; PROCESSES];
    sim.run_ms(10_000);
    assert_eq!(views(&sim), [ViewState::Confirmed; PROCESSES]);
}

/// Guards against new work in a minority that reaches neither the log nor the
/// majority.
#[test]
fn minority_without_the_log_is_stale_within_the_bound() {
    let mut sim = Simulation::new(8);
    for cut in 0..2 {
        sim.log_up[cut] = false;
        for other in 2..PROCESSES {
            sim.link_up[cut][other] = false;
            sim.link_up[other][cut] = false;
        }
    }
    sim.run_ms(CONFIRMATION_MAX_AGE_MS + STEP_MS + MAX_DELAY_MS);
    assert_eq!(&views(&sim)[..2], [ViewState::Stale; 2]);
    assert_eq!(&views(&sim)[2..], [ViewState::Confirmed; 3]);
}

/// Guards against a process that stops work because it alone cannot reach the
/// log, although the reports of its peers confirm its view.
#[test]
fn process_without_the_log_is_confirmed_by_its_peers() {
    let mut sim = Simulation::new(9);
    sim.log_up[0] = false;
    sim.run_ms(10_000);
    sim.append(1000, 1, take_data_centre_out());
    sim.run_ms(4_000);
    assert_eq!(views(&sim)[0], ViewState::Confirmed);
    let known = sim.processes[0].state.next_offset;
    assert!(sim.accepted_at.range(known..).all(|(_, at)| sim.now.since(*at) <= 2_000));
    assert!(!sim.processes[0].state.data_centres.iter().any(|(_, entry)| entry.in_service));
}

/// Guards against partitions that stay without an owner after a crash for
/// longer than the design allows. Latencies are those of the design: the log is
/// read by long polls, and a message takes a few milliseconds.
#[test]
fn partitions_of_a_crashed_owner_get_a_new_owner_within_eleven_seconds() {
    let mut sim = Simulation::new(10);
    sim.max_delay_ms = 10;
    sim.poll_interval_ms = STEP_MS;
    sim.run_ms(2_000);
    let crashed_at = sim.now;
    sim.processes[0].paused_until = TimeMs(u64::MAX);
    sim.run_ms(11_000);
    let owned = sim.processes[1].state.owners.len();
    let recent = crashed_at.plus(10_000);
    let granted = sim.last_granted.iter().filter(|(key, at)| key.1 != 0 && **at > recent);
    assert_eq!(granted.count(), owned);
}
