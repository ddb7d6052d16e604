//! A minion crashes while it is cut off from the store, and starts again under its
//! id as one of another kind.

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
const MACHINES: usize = 6;
/// The machine whose minion crashes.
const CRASHED: usize = 0;
/// Label that all submissions require.
const LABEL: &str = "large";
const CPU: u64 = 4_000;
/// Time from the cut to the crash, from the crash to the start, and from the start
/// to the end of the cut: 4 s in all.
const UNTIL_CRASH: Duration = Duration::from_millis(300);
const UNTIL_START: Duration = Duration::from_millis(700);
const UNTIL_HEALED: Duration = Duration::from_millis(3_000);
/// Interval of the submissions, and their number.
const INTERVAL: Duration = Duration::from_millis(150);
const SUBMISSIONS: u64 = 80;
/// Submission after which the cut begins.
const CUT_AFTER: u64 = 20;
const WATCH: Duration = Duration::from_secs(20);

fn kind(label: &str, cpu: u64) -> Kind {
    Kind { label: label.to_owned(), cpu, mem_mb: 16_384 }
}

pub fn play(folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    let machines = (0..MACHINES).map(|number| {
        let machine = Machine {
            name: format!("m-{number:04x}"),
            service: QUEUE.service.to_owned(),
            zone: "zone-a".to_owned(),
            rack: "r1-0".to_owned(),
        };
        (machine, kind(LABEL, CPU))
    });
    let mut world = World::start(folder, &[QUEUE], machines.collect())?;
    world.wait_until_ready(&QUEUE)?;
    let phase = object(&[
        ("count", 4_u64.into()),
        ("cpu", 1_000_u64.into()),
        ("mem_mb", 256_u64.into()),
        ("estimate_ms", 700_u64.into()),
        ("requirements", LABEL.into()),
    ]);
    let body =
        object(&[("spec", "run_ms=700;cpu=1000".into()), ("phases", Value::List(vec![phase]))]);
    let ids: Vec<String> = (0..SUBMISSIONS).map(|n| format!("5c0e{n:08x}36f8")).collect();
    thread::scope(|scope| {
        let world = &world;
        let (ids, body) = (&ids, &body);
        let callers = scope.spawn(move || {
            ids.iter().all(|id| {
                let began = Instant::now();
                let is_accepted = world.submit(&QUEUE, id, body);
                thread::sleep(INTERVAL.saturating_sub(began.elapsed()));
                is_accepted
            })
        });
        thread::sleep(INTERVAL * u32::try_from(CUT_AFTER).unwrap_or(0));
        if has_trouble {
            let id = world.minions.id(CRASHED);
            world.minions.set_reaches_store(CRASHED, false);
            thread::sleep(UNTIL_CRASH);
            world.minions.crash(CRASHED);
            thread::sleep(UNTIL_START);
            world.minions.boot(CRASHED, &id, kind("small", CPU / 2), false);
            thread::sleep(UNTIL_HEALED);
            world.minions.set_reaches_store(CRASHED, true);
        }
        callers.join().unwrap_or(false)
    });
    let deadline = Instant::now() + WATCH;
    let mut open: Vec<&String> = ids.iter().collect();
    while !open.is_empty() && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(250));
        open.retain(|id| world.state(&QUEUE, id) != "completed");
    }
    Ok(judge(&mut world, open.len()))
}

/// ROUTE: a start on a minion without the label in `requirements`. LIMIT: a start
/// over the capacity of a minion.
fn judge(world: &mut World, open: usize) -> Outcome {
    if !world.are_nodes_running() {
        return Outcome::NotRun("a node has ended".to_owned());
    }
    let seen = world.minions.seen.lock().unwrap();
    let unlabelled: Vec<_> = seen.starts.iter().filter(|start| start.label != LABEL).collect();
    let over = seen.starts.iter().filter(|start| start.cpu > start.capacity).count();
    for start in &unlabelled {
        world.record.line(format!(
            "ROUTE {} run={} started at {} ms on {} of kind {}",
            start.task, start.attempt, start.at_ms, start.minion, start.label
        ));
    }
    world.record.line(format!(
        "RESULT starts={}; on a minion without the label={}; over the capacity of the \
         minion={over}; submissions not completed={open}",
        seen.starts.len(),
        unlabelled.len(),
    ));
    if unlabelled.is_empty() { Outcome::Held } else { Outcome::Broken }
}
