//! A machine is due for upkeep, and its lasting tasks have no place elsewhere.

use std::collections::BTreeSet;
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
use crate::world::Queue;
use crate::world::World;

const QUEUE: Queue =
    Queue { name: "r-watch", prefix: "/watch/", service: "studio", max_attempts: 4, advice: None };
const MACHINES: usize = 4;
/// Six tasks fit on a minion.
const MINION_CPU: u64 = 16_000;
const TASK_CPU: u64 = 2_500;
/// Submissions with the numbers of their tasks. There is room for one task more.
const SUBMISSIONS: [(&str, u64); 2] = [("5c0e7a21d94b36f8", 12), ("6d1f8b32e05c4709", 11)];
/// The upkeep of one machine, as the operator requests it.
const DEADLINE_S: u64 = 26;
/// How long the tasks are watched from the request on.
const WATCH: Duration = Duration::from_secs(45);
/// The rule counts from 6 s after the last run, for 3 s.
const BOUND_MS: u64 = 9_000;

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let machines = (0..MACHINES).map(|number| {
        let machine = Machine {
            name: format!("m-{number:04x}"),
            service: QUEUE.service.to_owned(),
            zone: "zone-a".to_owned(),
            rack: "r1-0".to_owned(),
        };
        (machine, Kind { label: "a".to_owned(), cpu: MINION_CPU, mem_mb: 65_536 })
    });
    let mut world = World::start(folder, &[QUEUE], machines.collect())?;
    world.wait_until_ready(&QUEUE)?;
    for (id, count) in SUBMISSIONS {
        let phase = object(&[
            ("count", count.into()),
            ("cpu", TASK_CPU.into()),
            ("mem_mb", 256_u64.into()),
            ("estimate_ms", 500_u64.into()),
            ("long_running", true.into()),
            ("max_unavailable", 1_u64.into()),
        ]);
        let body = object(&[
            ("spec", format!("lasting=1;cpu={TASK_CPU}").into()),
            ("phases", Value::List(vec![phase])),
        ]);
        if !world.submit(&QUEUE, id, &body) {
            return Ok(Outcome::NotRun("a submission was not accepted".to_owned()));
        }
    }
    let tasks: BTreeSet<String> = SUBMISSIONS
        .iter()
        .flat_map(|(id, count)| (0..*count).map(move |index| format!("{id}.0.0.{index}")))
        .collect();
    let running = |world: &World| -> BTreeSet<String> {
        (0..MACHINES).flat_map(|number| world.minions.tasks(number)).collect()
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    while running(&world).len() < tasks.len() {
        if Instant::now() > deadline {
            return Ok(Outcome::NotRun("the tasks do not start".to_owned()));
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        let wave = object(&[
            ("wave", 1_u64.into()),
            ("machines", Value::List(vec!["m-0000".into()])),
            ("deadline_s", DEADLINE_S.into()),
            ("max_count", 1_u64.into()),
        ]);
        world.record.line(format!("WAVE {wave}"));
        world.store.put("keyed.op", "wave/1", &wave.to_string());
    }
    Ok(watch(&mut world, &tasks, running))
}

/// LOST: a lasting task does not run, while a minion has room for it twice over.
fn watch<F>(world: &mut World, tasks: &BTreeSet<String>, running: F) -> Outcome
where
    F: Fn(&World) -> BTreeSet<String>,
{
    let began_at_ms = world.record.now_ms();
    let mut last_run: Vec<(&String, u64)> = tasks.iter().map(|task| (task, began_at_ms)).collect();
    let (mut longest_ms, mut longest) = (0, String::new());
    let deadline = Instant::now() + WATCH;
    while Instant::now() < deadline {
        thread::sleep(Duration::from_millis(50));
        let now = world.record.now_ms();
        let present = running(world);
        let has_room = (0..MACHINES).any(|number| world.minions.free_cpu(number) >= 2 * TASK_CPU);
        for (task, last) in &mut last_run {
            if present.contains(*task) || !has_room {
                *last = now;
            } else if now - *last > longest_ms {
                longest_ms = now - *last;
                longest.clone_from(task);
            }
        }
    }
    let present = running(world);
    for task in tasks.difference(&present) {
        world.record.line(format!("AWAY {task} at the end"));
    }
    for number in 0..MACHINES {
        world.record.line(format!(
            "ROOM {} runs {} tasks, free cpu={}",
            world.minions.id(number),
            world.minions.tasks(number).len(),
            world.minions.free_cpu(number)
        ));
    }
    let status = world.store.newest("keyed.status", "wave/1").unwrap_or_default();
    world.record.line(format!(
        "RESULT longest time away with room={longest_ms} ms ({longest}); status of the wave={}",
        String::from_utf8_lossy(&status)
    ));
    if !world.are_nodes_running() {
        return Outcome::NotRun("a node has ended".to_owned());
    }
    if longest_ms > BOUND_MS { Outcome::Broken } else { Outcome::Held }
}
