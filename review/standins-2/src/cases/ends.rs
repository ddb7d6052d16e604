//! Many short tasks end on each minion while the store is down.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::json::Value;
use crate::json::object;
use crate::minion::End;
use crate::minion::Kind;
use crate::minion::Machine;
use crate::world::Queue;
use crate::world::World;

const QUEUE: Queue = Queue {
    name: "r-render",
    prefix: "/render/",
    service: "studio",
    max_attempts: 4,
    advice: None,
};
/// Tasks of the submission, half of them on each minion.
const TASKS: u64 = 3_000;
const ID: &str = "5c0e7a21d94b36f8";
const MACHINES: usize = 2;
/// Least work of a task, and by how much the longest one works longer.
const RUN_MS: u64 = 5_000;
const UNEVEN_MS: u64 = 1_000;
/// The store is down from the time when this many tasks have ended.
const ENDED_BEFORE: usize = 20;
/// Length of the outage; the troubles of the site allow 4.5 s.
const DOWN: Duration = Duration::from_millis(3_500);
/// How long the submission is watched after the outage.
const WATCH: Duration = Duration::from_secs(20);

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let machines = (0..MACHINES).map(|number| {
        let machine = Machine {
            name: format!("m-{number:04x}"),
            service: QUEUE.service.to_owned(),
            zone: "zone-a".to_owned(),
            rack: "r1-0".to_owned(),
        };
        (machine, Kind { label: "a".to_owned(), cpu: 16_000, mem_mb: 65_536 })
    });
    let mut world = World::start(folder, &[QUEUE], machines.collect())?;
    world.wait_until_ready(&QUEUE)?;
    let phase = object(&[
        ("count", TASKS.into()),
        ("cpu", 10_u64.into()),
        ("mem_mb", 8_u64.into()),
        ("estimate_ms", RUN_MS.into()),
    ]);
    let body = object(&[
        ("spec", format!("run_ms={RUN_MS};cpu=10;uneven_ms={UNEVEN_MS}").into()),
        ("phases", Value::List(vec![phase])),
    ]);
    if !world.submit(&QUEUE, ID, &body) {
        return Ok(Outcome::NotRun("the submission was not accepted".to_owned()));
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    while world.minions.seen.lock().unwrap().ends.len() < ENDED_BEFORE {
        if Instant::now() > deadline {
            return Ok(Outcome::NotRun("the tasks do not end".to_owned()));
        }
        thread::sleep(Duration::from_millis(5));
    }
    let started = world.minions.seen.lock().unwrap().starts.len();
    world.record.line(format!("RUNNING {started} tasks have started"));
    if has_trouble {
        world.record.line("STORE down");
        world.store.set_down(true);
        thread::sleep(DOWN);
        world.store.set_down(false);
        world.record.line("STORE up");
    }
    let deadline = Instant::now() + WATCH;
    let mut state = String::new();
    while state != "completed" && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(250));
        state = world.state(&QUEUE, ID);
    }
    world.record.line(format!("STATE {ID} {state}"));
    // Ends that are listed late count as well.
    thread::sleep(Duration::from_secs(2));
    Ok(judge(&mut world))
}

/// TWICE: a start after a run has ended `done`, if that end is taken note of.
fn judge(world: &mut World) -> Outcome {
    if !world.are_nodes_running() {
        return Outcome::NotRun("a node has ended".to_owned());
    }
    let seen = world.minions.seen.lock().unwrap();
    let mut done: BTreeMap<&str, &End> = BTreeMap::new();
    for end in seen.ends.iter().filter(|end| end.how == "done") {
        done.entry(&end.task).or_insert(end);
    }
    let (mut twice, mut excused) = (0, 0);
    for start in &seen.starts {
        let Some(end) = done.get(start.task.as_str()).filter(|end| end.at_ms < start.at_ms) else {
            continue;
        };
        let is_broken = end.noted_at_ms.is_some() && !end.has_lapsed;
        (twice, excused) = (twice + usize::from(is_broken), excused + usize::from(!is_broken));
        if is_broken && twice <= 20 {
            world.record.line(format!(
                "TWICE {} run={} done at {} ms on {}, taken note of at {} ms; run={} started at {} \
                 ms on {}",
                start.task,
                end.attempt,
                end.at_ms,
                end.minion,
                end.noted_at_ms.unwrap_or(0),
                start.attempt,
                start.at_ms,
                start.minion,
            ));
        }
    }
    world.record.line(format!(
        "RESULT starts={} ends={}; starts after a run of the task was done: taken note of={twice}, \
         not taken note of or lapsed={excused}",
        seen.starts.len(),
        seen.ends.len(),
    ));
    if twice > 0 { Outcome::Broken } else { Outcome::Held }
}
