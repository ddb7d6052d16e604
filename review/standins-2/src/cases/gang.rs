//! Gangs save their progress, and one minion crashes.

use std::collections::BTreeMap;
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

const QUEUE: Queue = Queue {
    name: "r-render",
    prefix: "/render/",
    service: "studio",
    max_attempts: 4,
    advice: None,
};
const MACHINES: usize = 8;
const GANGS: u64 = 6;
const MEMBERS: u64 = 4;
/// Work of a gang.
const RUN_MS: u64 = 6_000;
/// The minion crashes this long after the last gang began to work.
const CRASH_AFTER: Duration = Duration::from_millis(2_000);
/// Time for which the minion is down; the troubles of the site allow as much.
const DOWN: Duration = Duration::from_millis(3_000);
/// `contact_ms`: after this time without a disruption, the rules hold in full.
const CONTACT_MS: u64 = 3_000;
/// How long the submissions are watched after the crash is over.
const WATCH: Duration = Duration::from_secs(30);

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
        ("count", MEMBERS.into()),
        ("cpu", 1_000_u64.into()),
        ("mem_mb", 256_u64.into()),
        ("estimate_ms", RUN_MS.into()),
        ("checkpointing", true.into()),
        ("gang", true.into()),
        ("anti_affinity", 1_u64.into()),
    ]);
    let body = object(&[
        ("spec", format!("run_ms={RUN_MS};cpu=1000;gang={MEMBERS}").into()),
        ("phases", Value::List(vec![phase])),
    ]);
    let ids: Vec<String> = (0..GANGS).map(|gang| format!("5c0e{gang:08x}36f8")).collect();
    for id in &ids {
        if !world.submit(&QUEUE, id, &body) {
            return Ok(Outcome::NotRun("a submission was not accepted".to_owned()));
        }
        thread::sleep(Duration::from_millis(130));
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    while world.minions.gangs_at_work() < ids.len() {
        if Instant::now() > deadline {
            return Ok(Outcome::NotRun("the gangs do not start".to_owned()));
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(CRASH_AFTER);
    if has_trouble {
        let busiest = (0..MACHINES).max_by_key(|number| world.minions.tasks(*number).len());
        let number = busiest.expect("there are machines");
        world.minions.crash(number);
        thread::sleep(DOWN);
        let kind = Kind { label: "a".to_owned(), cpu: 16_000, mem_mb: 65_536 };
        world.minions.boot(number, "i-00ff", kind, true);
    }
    let calm_from_ms = world.record.now_ms() + CONTACT_MS;
    let deadline = Instant::now() + WATCH;
    let mut open: BTreeSet<&String> = ids.iter().collect();
    while !open.is_empty() && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(500));
        open.retain(|id| {
            let state = world.state(&QUEUE, id);
            if state == "completed" {
                world.record.line(format!("STATE {id} {state}"));
            }
            state != "completed"
        });
    }
    for id in &open {
        world.record.line(format!("STATE {id} {} at the end", world.state(&QUEUE, id)));
    }
    Ok(judge(&mut world, calm_from_ms, open.len()))
}

/// GANG: a run ends `alone` while nothing disturbs the deployment.
fn judge(world: &mut World, calm_from_ms: u64, open: usize) -> Outcome {
    if !world.are_nodes_running() {
        return Outcome::NotRun("a node has ended".to_owned());
    }
    let seen = world.minions.seen.lock().unwrap();
    let mut values: BTreeMap<(&str, u64), BTreeSet<&str>> = BTreeMap::new();
    for start in &seen.starts {
        let step = start.task.rsplit_once('.').map_or("", |(step, _)| step);
        values.entry((step, start.attempt)).or_default().insert(&start.checkpoint);
    }
    let mixed = values.values().filter(|values| values.len() > 1).count();
    let alone: Vec<_> = seen.ends.iter().filter(|end| end.how == "alone").collect();
    let calm = alone.iter().filter(|end| end.at_ms >= calm_from_ms).count();
    world.record.line(format!(
        "RESULT runs of gangs={} with more than one checkpoint={mixed}; ends alone={} of them in \
         calm={calm}; submissions not completed={open}",
        values.len(),
        alone.len(),
    ));
    if calm > 0 { Outcome::Broken } else { Outcome::Held }
}
