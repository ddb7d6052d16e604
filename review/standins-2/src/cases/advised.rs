//! A queue with a policy, and a minion that is lost for good.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::json::Value;
use crate::json::object;
use crate::minion::Kind;
use crate::minion::Machine;
use crate::world::Policy;
use crate::world::Queue;
use crate::world::World;

const MACHINES: usize = 24;
/// Machines whose minions may run the steps of the queue.
const ALLOWED: &[usize] = &[0, 1, 2, 3, 20, 21];
const QUEUE: Queue = Queue {
    name: "r-watch",
    prefix: "/watch/",
    service: "studio",
    max_attempts: 4,
    advice: Some(Policy { decision_ms: 100, period_ms: 10, valid_ms: 30_000, allowed: ALLOWED }),
};
const ID: &str = "5c0e7a21d94b36f8";
const TASKS: usize = 4;
/// Time from the start of the tasks to the loss of a minion.
const LOST_AFTER: Duration = Duration::from_secs(2);
/// How long the tasks are watched after that.
const WATCH: Duration = Duration::from_secs(30);
/// The rule counts from 6 s after the last run, for 3 s.
const BOUND_MS: u64 = 9_000;

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let machines = (0..MACHINES).map(|number| {
        let machine = Machine {
            name: format!("m-{number:04x}"),
            service: QUEUE.service.to_owned(),
            zone: "zone-a".to_owned(),
            rack: format!("r1-{}", number / 4),
        };
        (machine, Kind { label: "a".to_owned(), cpu: 16_000, mem_mb: 65_536 })
    });
    let mut world = World::start(folder, &[QUEUE], machines.collect())?;
    world.wait_until_ready(&QUEUE)?;
    let phase = object(&[
        ("count", (TASKS as u64).into()),
        ("cpu", 1_000_u64.into()),
        ("mem_mb", 256_u64.into()),
        ("estimate_ms", 500_u64.into()),
        ("anti_affinity", 1_u64.into()),
        ("long_running", true.into()),
    ]);
    let body =
        object(&[("spec", "lasting=1;cpu=1000".into()), ("phases", Value::List(vec![phase]))]);
    if !world.submit(&QUEUE, ID, &body) {
        return Ok(Outcome::NotRun("the submission was not accepted".to_owned()));
    }
    let running = |world: &World| -> Vec<usize> {
        (0..MACHINES).filter(|number| !world.minions.tasks(*number).is_empty()).collect()
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    while running(&world).len() < TASKS {
        if Instant::now() > deadline {
            return Ok(Outcome::NotRun("the tasks do not start".to_owned()));
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(LOST_AFTER);
    let lost_at_ms = world.record.now_ms();
    let tasks = match has_trouble {
        true => world.minions.crash(running(&world)[0]),
        false => Vec::new(),
    };
    // The longest time for which a task was away.
    let (mut away_ms, mut complete_at_ms) = (0, lost_at_ms);
    let deadline = Instant::now() + WATCH;
    while Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
        let now = world.record.now_ms();
        away_ms = away_ms.max(now - complete_at_ms);
        if running(&world).len() == TASKS {
            complete_at_ms = now;
        }
    }
    world.record.line(format!("RESULT lost tasks={tasks:?}; away for {away_ms} ms at most"));
    if !world.are_nodes_running() {
        return Ok(Outcome::NotRun("a node has ended".to_owned()));
    }
    Ok(if away_ms > BOUND_MS { Outcome::Broken } else { Outcome::Held })
}
